//! Prints what control costs a whole node, for fleets of the sizes in the arguments, 10, 50, 100
//! and 200 nodes without any. A size for each start of the program gives the truest memory.

use std::env;

use fescueway_bench::{
    fleet::{CountingAllocator, FleetRequirements, filled_share, slope},
    whole_node::{NodeCost, NodeFigures},
};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Sizes of the fleet without arguments, in nodes.
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
        print_slope("quiet", &costs, |cost| cost.quiet);
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
    print_figures("quiet", &cost.quiet);
    print_figures("changing", &cost.changing);
    println!(
        "  memory of a node: {:.2} MB in use, {:.2} MB resident",
        cost.heap_bytes / 1e6,
        cost.resident_bytes / 1e6
    );
    println!("  changes in force at all after {:.2?} s", cost.in_force_s);
    println!(
        "  fetching a change: {} B, and {} B around it on a new connection, {} B on an open one",
        cost.fetch.message, cost.fetch.around_first, cost.fetch.around_later
    );
    cost
}

/// Prints the figures of one node.
fn print_figures(name: &str, figures: &NodeFigures) {
    println!(
        "  {name}: {:.4}% of a core; {:.2} datagrams and {:.0} B sent, {:.2} and {:.0} B received; \
         {:.3} calls of the store and {:.0} B",
        figures.core_share * 100.0,
        figures.sent,
        figures.sent_bytes,
        figures.received,
        figures.received_bytes,
        figures.store_calls,
        figures.store_bytes
    );
}

/// Prints how the figures of a node grow with the fleet, and what they come to at the target's
/// size. Traffic grows with the buckets in use of a digest, which are all in use from some 600
/// members on.
fn print_slope(name: &str, costs: &[NodeCost], read: impl Fn(&NodeCost) -> NodeFigures) {
    let line = |figure: fn(&NodeFigures) -> f64| {
        let points = costs.iter();
        let points = points.map(|cost| (filled_share(cost.nodes as f64), figure(&read(cost))));
        slope(
            &points.collect::<Vec<_>>(),
            filled_share(FleetRequirements::NODES),
        )
    };
    let (core, core_full) = line(|figures| figures.core_share * 100.0);
    let (bytes, bytes_full) = line(|figures| figures.sent_bytes + figures.received_bytes);
    let (datagrams, datagrams_full) = line(|figures| figures.sent + figures.received);
    println!(
        "{name}, from an empty to a full digest: {core:+.4} to {core_full:.4}% of a core, \
         {bytes:+.0} to {bytes_full:.0} B/s, {datagrams:+.2} to {datagrams_full:.2} datagrams/s"
    );
}
