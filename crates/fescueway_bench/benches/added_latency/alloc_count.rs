//! Counts the allocations of each thread.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
};

/// The system's allocator, counting.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

thread_local! {
    /// Allocations of this thread so far.
    static COUNT: Cell<u64> = const { Cell::new(0) };
}

/// Allocations of the current thread so far.
pub fn allocations() -> u64 {
    COUNT.get()
}

#[expect(unsafe_code, reason = "counting allocations takes an allocator")]
// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // The count is gone while the thread ends.
        let _ = COUNT.try_with(|count| count.set(count.get() + 1));
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}
