//! Counting allocator that benches install as their global allocator.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static CALLS: AtomicU64 = AtomicU64::new(0);

/// System allocator that counts the bytes in use and the allocations.
#[derive(Clone, Copy, Debug, Default)]
pub struct CountingAllocator;

impl CountingAllocator {
    /// Returns the number of bytes in use.
    #[must_use]
    pub fn live_bytes() -> usize {
        LIVE_BYTES.load(Ordering::Relaxed)
    }

    /// Returns the number of allocations so far.
    #[must_use]
    pub fn calls() -> u64 {
        CALLS.load(Ordering::Relaxed)
    }
}

#[expect(unsafe_code, reason = "an allocator can't be written without")]
// SAFETY: every call is forwarded to the system allocator unchanged; counting allocates nothing.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        CALLS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}
