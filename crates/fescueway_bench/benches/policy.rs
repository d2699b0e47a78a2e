//! Routing and admission against simple policies and an oracle, in virtual time.

use std::{env, fmt::Write as _, thread};

use fescueway_bench::rig::{
    CAPROCK_FEW, CAPROCK_MANY, PWLL_FEW, PWLL_MANY, RigFigures, RigPolicy, RigRun, RigScenario,
    RigShape, generate_trace, simple_policies,
};

/// Seeds of the runs.
const SEEDS: [u64; 3] = [11, 12, 13];

/// Runs one policy over all seeds.
fn measure(shape: &RigShape, scenario: &RigScenario, policy: RigPolicy) -> RigFigures {
    let mut figures = RigFigures::default();
    for seed in SEEDS {
        let requests = generate_trace(shape, scenario, seed);
        let run = RigRun::new(shape, scenario, policy, &requests, seed);
        figures.merge(run.run());
    }
    figures.sort();
    figures
}

/// One policy's line of a table.
fn row(name: &str, figures: &RigFigures) -> String {
    format!(
        "    {:<16} {:8.2} {:8.2} {:8.2} {:8.2} {:8.2} {:8.4} {:8.4} {:6} {:8.3} {:3} {:3} {:3}\n",
        name,
        figures.latency_ms(0.5),
        figures.latency_ms(0.99),
        figures.latency_ms(0.999),
        figures.extra_ms(0.5),
        figures.extra_ms(0.99),
        figures.in_time_share(),
        figures.refused_share(),
        figures.failed,
        figures.offers_per_request(),
        figures.doubled,
        figures.refused_but_run,
        figures.run_after_drain,
    )
}

/// The tables of one deployment.
fn report(shape: &RigShape, policies: &[RigPolicy]) -> String {
    let mut text = String::new();
    for scenario in RigScenario::all() {
        let _ = writeln!(text, "{} / {}", shape.name, scenario.name);
        for policy in policies {
            text += &row(policy.name, &measure(shape, &scenario, *policy));
        }
    }
    text
}

fn main() {
    let mut policies = simple_policies().to_vec();
    policies.push(RigPolicy::WIRE_ORACLE);
    policies.push(RigPolicy::ORACLE);
    policies.push(RigPolicy::FESCUEWAY);
    if env::args().any(|argument| argument == "--oracle") {
        policies = vec![RigPolicy::ORACLE, RigPolicy::FESCUEWAY];
    }
    let shapes = [CAPROCK_FEW, CAPROCK_MANY, PWLL_FEW, PWLL_MANY];
    println!(
        "    policy                p50      p99    p99.9  extra50  extra99  in-time  refused failed   offers doubled refused-but-run run-after-drain"
    );
    thread::scope(|scope| {
        let policies = &policies;
        let handles = shapes.map(|shape| scope.spawn(move || report(&shape, policies)));
        for handle in handles {
            print!("{}", handle.join().unwrap_or_default());
        }
    });
}
