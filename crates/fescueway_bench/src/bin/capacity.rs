//! Prints the table of `docs/CAPACITY.md` from slopes that it measures.

use fescueway_bench::fleet::{CapacityPage, CountingAllocator};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    print!("{}", CapacityPage::measure().table());
}
