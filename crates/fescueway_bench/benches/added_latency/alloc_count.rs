//! Global allocator that counts the allocations of each thread.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
};

/// System allocator that counts allocations.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

thread_local! {
    /// Number of allocations of this thread so far.
    static COUNT: Cell<u64> = const { Cell::new(0) };
}

/// Returns the number of allocations of the current thread so far.
pub fn allocations() -> u64 {
    COUNT.get()
}

#[expect(unsafe_code, reason = "counting allocations takes an allocator")]
// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // The counter may be destroyed already while the thread ends.
        let _ = COUNT.try_with(|count| count.set(count.get() + 1));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}
