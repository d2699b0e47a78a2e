//! Measures the control plane's cost and prints the table of `docs/CAPACITY.md`.

use fescueway_bench::fleet::{CapacityPage, CountingAllocator};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    print!("{}", CapacityPage::measure().table());
}
