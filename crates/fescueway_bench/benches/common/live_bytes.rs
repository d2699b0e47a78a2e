//! Global allocator that counts the live bytes: allocated and not yet freed.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicU64, Ordering},
};

/// System allocator that counts the bytes allocated and freed.
struct LiveBytes;

/// Number of bytes allocated so far.
static ALLOCATED: AtomicU64 = AtomicU64::new(0);

/// Number of bytes freed so far.
static FREED: AtomicU64 = AtomicU64::new(0);

#[global_allocator]
static ALLOCATOR: LiveBytes = LiveBytes;

#[expect(
    unsafe_code,
    reason = "counting bytes needs a global allocator, whose trait is unsafe"
)]
// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for LiveBytes {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        FREED.fetch_add(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Returns the number of bytes allocated and not yet freed.
pub fn live_bytes() -> u64 {
    ALLOCATED.load(Ordering::Relaxed) - FREED.load(Ordering::Relaxed)
}
