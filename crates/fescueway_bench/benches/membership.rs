//! Checks the cost of membership, configuration and the store against the limits of the required
//! fleet, and that the table of `docs/CAPACITY.md` is current. A broken bound that isn't listed in
//! `KNOWN-RED.txt` fails the bench.

use std::{fs, process::ExitCode};

use fescueway_bench::{
    fleet::{CapacityPage, CountingAllocator},
    is_known_red,
};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Path of the page with the table.
const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");

/// Returns whether a broken bound is listed as known. Its name ends at the last colon.
fn is_known(fault: &str) -> bool {
    let name = fault.rsplit_once(':').map_or(fault, |(name, _figure)| name);
    is_known_red(name)
}

fn main() -> ExitCode {
    let page = CapacityPage::measure();
    print!("{}\n{}", page.measured, page.table());
    println!(
        "processor time of one instance of 6,000 members: {:.5}% of a core (by the wall clock)",
        page.core_share * 100.0
    );
    let mut faults: Vec<_> = page
        .rows
        .iter()
        .filter(|row| !row.is_met())
        .map(|row| format!("capacity: {}: {:.0} {}", row.quantity, row.value, row.unit))
        .collect();
    if page.missed > 0 {
        faults.push(format!("{} nodes never learned some news", page.missed));
    }
    let text = fs::read_to_string(PAGE).unwrap_or_default();
    if !text.contains(&page.table()) {
        faults.push(
            "docs/CAPACITY.md is stale: put in what `cargo run --release -p fescueway_bench \
             --bin capacity` prints"
                .to_owned(),
        );
    }
    let (known, new): (Vec<_>, Vec<_>) = faults.iter().partition(|fault| is_known(fault));
    for fault in known {
        println!("known red: {fault}");
    }
    for fault in &new {
        eprintln!("bound broken: {fault}");
    }
    if new.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
