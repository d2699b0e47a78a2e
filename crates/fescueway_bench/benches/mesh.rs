//! Replays loads of a large deployment against the routers and gates, in virtual time.
//!
//! Prints a table per scenario and checks the bounds. The results depend on the seeds only. A broken
//! bound that isn't listed in `KNOWN-RED.txt` fails the bench.

use std::{fmt::Write as _, process::ExitCode, thread};

use fescueway_bench::{
    BenchBound,
    mesh::{CAPROCK_LARGE, CAPROCK_LARGE_TWIN, MeshDeployment, MeshResults, MeshRun, MeshScenario},
    print_broken,
};

/// Seeds of the runs of the large deployment.
const SEEDS: [u64; 10] = [101, 102, 103, 104, 105, 106, 107, 108, 109, 110];

/// Runs of the small deployment for each of the large one.
const TWIN_RUNS: u64 = 3;

/// Runs a scenario with all seeds.
fn measure(deployment: &MeshDeployment, scenario: &MeshScenario) -> MeshResults {
    let is_small = deployment.node_count() < CAPROCK_LARGE.node_count();
    let runs = if is_small { TWIN_RUNS } else { 1 };
    let seeds = SEEDS
        .iter()
        .flat_map(|seed| (0..runs).map(move |run| seed + 1_000 * run));
    let results = thread::scope(|scope| {
        let start = |seed| scope.spawn(move || MeshRun::new(deployment, scenario, seed).run());
        let handles: Vec<_> = seeds.map(start).collect();
        let join = |handle: thread::ScopedJoinHandle<'_, _>| handle.join().expect("a run ended");
        handles.into_iter().map(join).collect::<Vec<_>>()
    });
    let mut merged = MeshResults::default();
    for result in &results {
        merged.merge(result);
    }
    merged
}

/// Returns the results as text.
fn text(title: &str, results: &MeshResults) -> String {
    let mut text = format!(
        "{title}\n  {:<14} {:>7} {:>8} {:>8} {:>8} {:>8}\n",
        "requests", "asked", "in-time", "late", "refused", "failed"
    );
    let total = ("all", &results.total());
    let kinds = results.kinds.iter().map(|(name, tally)| (*name, tally));
    for (name, tally) in kinds.chain([total]) {
        let share = |count: u64| count as f64 / tally.asked.max(1) as f64;
        let _ = writeln!(
            text,
            "  {name:<14} {:7} {:8.4} {:8.4} {:8.4} {:8.4}",
            tally.asked,
            share(tally.in_time),
            share(tally.late),
            share(tally.refused),
            share(tally.failed),
        );
    }
    let seconds = results.seconds.iter();
    let seconds = seconds.map(|(second, tally)| format!(" {second}: {:.2}", tally.in_time_share()));
    let _ = writeln!(text, "  in time by second{}", seconds.collect::<String>());
    let _ = writeln!(
        text,
        "  per run: {:.3} refused offers; nested calls lost: {:.4}; repeats: {} ({:.0} from the limit); busiest target over the mean: {:.2?}",
        results.refused_per_run(),
        results.lost_calls as f64 / results.calls.max(1) as f64,
        results.repeats,
        -results.repeat_excess,
        results.busiest,
    );
    for account in &results.slots {
        let [free, disturbed, in_time, late, failed, cancelled] = account.shares();
        let _ = writeln!(
            text,
            "  slot time: free {free:.3}, free while disturbed {disturbed:.3}, in time {in_time:.3}, \
             late {late:.3}, failed {failed:.3}, cancelled {cancelled:.3}"
        );
    }
    for (what, counts) in [
        ("refused offers", &results.refused_offers),
        ("given up", &results.given_up),
    ] {
        let counts = counts.iter();
        let counts = counts.map(|(reason, count)| format!(" {} {count}", reason.as_str()));
        let _ = writeln!(text, "  {what}:{}", counts.collect::<String>());
    }
    text
}

/// Returns the bounds of a scenario.
fn bounds(title: &str, results: &MeshResults) -> Vec<BenchBound> {
    let bound = |check: &str, value: f64, limit: f64| BenchBound {
        name: format!("mesh: {title} / {check}"),
        value,
        limit,
    };
    vec![
        bound("doubled", results.doubled as f64, 0.0),
        bound("refused-but-run", results.refused_but_run as f64, 0.0),
        bound("repeats-above-budget", results.repeat_excess, 0.0),
    ]
}

fn main() -> ExitCode {
    println!("Seeds {SEEDS:?}.\n");
    let mut checked = Vec::new();
    for scenario in MeshScenario::all() {
        for deployment in [CAPROCK_LARGE, CAPROCK_LARGE_TWIN] {
            let title = format!("{} / {}", deployment.name, scenario.name);
            let results = measure(&deployment, &scenario);
            println!("{}", text(&title, &results));
            checked.extend(bounds(&title, &results));
        }
    }
    println!("{} bounds checked.", checked.len());
    if print_broken(&checked) {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
