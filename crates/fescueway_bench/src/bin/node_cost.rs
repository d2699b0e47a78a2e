//! Prints the control-plane cost of a whole node for the fleet sizes in the arguments, by default
//! 10, 50, 100 and 200 nodes. The memory values are most accurate with one size per run.

use std::env;

use fescueway_bench::{
    fleet::{CountingAllocator, FleetRequirements, filled_share, slope},
    whole_node::{NodeCost, NodeRates},
};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Default fleet sizes, in nodes.
const SIZES: [usize; 4] = [10, 50, 100, 200];

fn main() {
    let sizes: Vec<usize> = env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        SIZES.to_vec()
    } else {
        sizes
    };
    let costs: Vec<_> = sizes.into_iter().map(measure).collect();
    if costs.len() > 1 {
        print_slope("quiet", &costs, |cost| cost.idle);
        print_slope("changing", &costs, |cost| cost.changing);
    }
}

/// Measures one fleet and prints it.
fn measure(nodes: usize) -> NodeCost {
    let cost = NodeCost::measure(nodes);
    println!(
        "{nodes} nodes, settled after {:.1} s; each second and node:",
        cost.settled_s
    );
    print_rates("quiet", &cost.idle);
    print_rates("changing", &cost.changing);
    println!(
        "  memory of a node: {:.2} MB in use, {:.2} MB resident",
        cost.heap_bytes / 1e6,
        cost.resident_bytes / 1e6
    );
    println!("  changes in force at all after {:.2?} s", cost.in_force_s);
    println!(
        "  fetching a change: {} B, and {} B around it on a new connection, {} B on an open one",
        cost.fetch.message, cost.fetch.new_connection_overhead, cost.fetch.open_connection_overhead
    );
    cost
}

/// Prints the rates of one node.
fn print_rates(name: &str, rates: &NodeRates) {
    println!(
        "  {name}: {:.4}% of a core; {:.2} datagrams and {:.0} B sent, {:.2} and {:.0} B received; \
         {:.3} calls of the store and {:.0} B",
        rates.core_share * 100.0,
        rates.sent,
        rates.sent_bytes,
        rates.received,
        rates.received_bytes,
        rates.store_calls,
        rates.store_bytes
    );
}

/// Prints how the rates of a node grow with the fleet, and their values at the required size.
/// Traffic grows with the non-empty buckets of a digest; from some 600 members on, none is empty.
fn print_slope(name: &str, costs: &[NodeCost], select: impl Fn(&NodeCost) -> NodeRates) {
    let line = |rate: fn(&NodeRates) -> f64| {
        let points = costs.iter();
        let points = points.map(|cost| (filled_share(cost.nodes as f64), rate(&select(cost))));
        slope(
            &points.collect::<Vec<_>>(),
            filled_share(FleetRequirements::NODES),
        )
    };
    let (core, core_full) = line(|rates| rates.core_share * 100.0);
    let (bytes, bytes_full) = line(|rates| rates.sent_bytes + rates.received_bytes);
    let (datagrams, datagrams_full) = line(|rates| rates.sent + rates.received);
    println!(
        "{name}, from an empty to a full digest: {core:+.4} to {core_full:.4}% of a core, \
         {bytes:+.0} to {bytes_full:.0} B/s, {datagrams:+.2} to {datagrams_full:.2} datagrams/s"
    );
}
