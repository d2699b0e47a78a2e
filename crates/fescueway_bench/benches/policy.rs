//! Routing and admission against simple policies and an oracle, in virtual time.
//!
//! Prints a table per deployment and scenario and checks the bounds. The figures depend on the
//! seeds only. A broken bound that isn't listed in `KNOWN-RED.txt` fails the bench.

use std::{fmt::Write as _, process::ExitCode, thread};

use fescueway_bench::{
    is_known_red,
    rig::{
        CAPROCK_FEW, CAPROCK_MANY, PWLL_FEW, PWLL_MANY, RigFigures, RigPolicy, RigRun, RigScenario,
        RigShape, generate_trace, simple_policies,
    },
};

/// Seeds that the constants of routing and admission were tuned with.
const TUNED_SEEDS: [u64; 4] = [11, 12, 104, 105];

/// Seeds that were held out from tuning.
const HELD_OUT_SEEDS: [u64; 2] = [206, 207];

/// p99 of latency against the oracle's.
const MAX_LATENCY_RATIO: f64 = 1.05;

/// p99 of extra time against the oracle's at steady load.
const MAX_EXTRA_RATIO: f64 = 1.0;

/// p99 of extra time against the oracle's with a straggler.
const MAX_STRAGGLER_RATIO: f64 = 1.5;

/// Offers for each request at 70% of the slots.
const MAX_OFFERS_70: f64 = 1.05;

/// Offers for each request at 90% of the slots.
const MAX_OFFERS_90: f64 = 1.15;

/// Share in time under overload, of what the capacity allows.
const MIN_OVERLOAD_SHARE: f64 = 0.9;

/// A simple policy counts as answering as much with an in-time share this far below.
const IN_TIME_TOLERANCE: f64 = 0.01;

/// One bound and what was measured.
struct PolicyBound {
    /// Its name, as `KNOWN-RED.txt` has it.
    name: String,
    /// What was measured.
    value: f64,
    /// The most that is allowed.
    limit: f64,
}

/// All policies' figures for one deployment and scenario.
struct ScenarioTable {
    /// Deployment and scenario.
    title: String,
    /// The scenario's name.
    scenario: &'static str,
    /// Offered load as a share of the slots, at the start.
    load: f64,
    /// The simple policies.
    simple: Vec<(&'static str, RigFigures)>,
    /// The oracle that sees offers on their way too. For comparison only.
    wire_oracle: RigFigures,
    /// The oracle of the bounds.
    oracle: RigFigures,
    /// The router and gate of fescueway.
    own: RigFigures,
}

/// Runs one policy over all seeds.
fn measure(shape: &RigShape, scenario: &RigScenario, policy: RigPolicy) -> RigFigures {
    let mut figures = RigFigures::default();
    for seed in TUNED_SEEDS.into_iter().chain(HELD_OUT_SEEDS) {
        let requests = generate_trace(shape, scenario, seed);
        let run = RigRun::new(shape, scenario, policy, &requests, seed);
        figures.merge(run.run());
    }
    figures.sort();
    figures
}

/// Runs every policy.
fn measure_all(shape: &RigShape, scenario: &RigScenario) -> ScenarioTable {
    let simple = simple_policies();
    ScenarioTable {
        title: format!("{} / {}", shape.name, scenario.name),
        scenario: scenario.name,
        load: scenario.load_at(0),
        simple: simple
            .map(|policy| (policy.name, measure(shape, scenario, policy)))
            .to_vec(),
        wire_oracle: measure(shape, scenario, RigPolicy::WIRE_ORACLE),
        oracle: measure(shape, scenario, RigPolicy::ORACLE),
        own: measure(shape, scenario, RigPolicy::FESCUEWAY),
    }
}

/// One policy's line of a table.
fn row(name: &str, figures: &RigFigures) -> String {
    format!(
        "  {:<16} {:8.2} {:8.2} {:8.2} {:8.2} {:8.2} {:8.4} {:8.4} {:7.4} {:7.3} {:4} {:4} {:6}\n",
        name,
        figures.latency_ms(0.5),
        figures.latency_ms(0.99),
        figures.latency_ms(0.999),
        figures.extra_ms(0.5),
        figures.extra_ms(0.99),
        figures.in_time_share(),
        figures.refused_share(),
        figures.failed as f64 / figures.requests.max(1) as f64,
        figures.offers_per_request(),
        figures.doubled,
        figures.refused_but_run,
        figures.run_after_drain,
    )
}

impl ScenarioTable {
    /// The table as text.
    fn text(&self) -> String {
        let mut text = format!(
            "{}\n  {:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>4} {:>4} {:>6}\n",
            self.title,
            "policy",
            "p50",
            "p99",
            "p99.9",
            "extra50",
            "extra99",
            "in-time",
            "refused",
            "failed",
            "offers",
            "dbl",
            "rbr",
            "drain",
        );
        for (name, figures) in &self.simple {
            text += &row(name, figures);
        }
        text += &row(RigPolicy::WIRE_ORACLE.name, &self.wire_oracle);
        text += &row(RigPolicy::ORACLE.name, &self.oracle);
        text += &row(RigPolicy::FESCUEWAY.name, &self.own);
        text
    }

    /// Every bound of this scenario.
    fn bounds(&self) -> Vec<PolicyBound> {
        let own = &self.own;
        let latency_ratio = own.latency_ms(0.99) / self.oracle.latency_ms(0.99);
        let extra_ratio = own.extra_ms(0.99) / self.oracle.extra_ms(0.99);
        let offers = own.offers_per_request();
        let mut bounds = vec![
            self.bound("doubled", own.doubled as f64, 0.0),
            self.bound("refused-but-run", own.refused_but_run as f64, 0.0),
            self.bound("run-after-drain", own.run_after_drain as f64, 0.0),
            self.bound("p99-vs-oracle", latency_ratio, MAX_LATENCY_RATIO),
        ];
        match self.scenario {
            "steady 50%" | "steady 70%" | "steady 90%" => {
                bounds.push(self.bound("extra-vs-oracle", extra_ratio, MAX_EXTRA_RATIO));
            }
            "straggler 10x" => {
                bounds.push(self.bound("extra-vs-oracle", extra_ratio, MAX_STRAGGLER_RATIO));
            }
            _ => {}
        }
        match self.scenario {
            "steady 70%" => bounds.push(self.bound("offers", offers, MAX_OFFERS_70)),
            "steady 90%" => bounds.push(self.bound("offers", offers, MAX_OFFERS_90)),
            "overload 150%" => {
                let allowed = 1.0 / self.load;
                let late = 1.0 - own.in_time_share() / allowed;
                bounds.push(self.bound("late-of-capacity", late, 1.0 - MIN_OVERLOAD_SHARE));
            }
            _ => {}
        }
        bounds.extend(self.simple_bounds());
        bounds
    }

    /// Bounds by the best simple policy. For latency only those count that answer as much in
    /// time: a policy that loses its slow requests has a short tail.
    fn simple_bounds(&self) -> Vec<PolicyBound> {
        let own = &self.own;
        let shares = self.simple.iter().map(|entry| entry.1.in_time_share());
        let best_share = shares.fold(0.0, f64::max);
        let missing = best_share - own.in_time_share();
        let mut bounds = vec![self.bound("in-time-vs-simple", missing, IN_TIME_TOLERANCE)];
        let equals = || {
            let least = own.in_time_share() - IN_TIME_TOLERANCE;
            let entries = self.simple.iter().map(|entry| &entry.1);
            entries.filter(move |figures| figures.in_time_share() >= least)
        };
        let best = |values: &mut dyn Iterator<Item = f64>| values.reduce(f64::min);
        if let Some(latency) = best(&mut equals().map(|figures| figures.latency_ms(0.99))) {
            let ratio = own.latency_ms(0.99) / latency;
            bounds.push(self.bound("p99-vs-simple", ratio, 1.0));
        }
        if let Some(extra) = best(&mut equals().map(|figures| figures.extra_ms(0.99))) {
            let ratio = own.extra_ms(0.99) / extra;
            bounds.push(self.bound("extra-vs-simple", ratio, 1.0));
        }
        bounds
    }

    /// One bound of this scenario.
    fn bound(&self, check: &str, value: f64, limit: f64) -> PolicyBound {
        PolicyBound {
            name: format!("policy: {} / {check}", self.title),
            value,
            limit,
        }
    }
}

/// The tables of one deployment and its bounds.
fn report(shape: &RigShape) -> (String, Vec<PolicyBound>) {
    let mut text = String::new();
    let mut bounds = Vec::new();
    for scenario in RigScenario::all() {
        let table = measure_all(shape, &scenario);
        let _ = writeln!(text, "{}", table.text());
        bounds.extend(table.bounds());
    }
    (text, bounds)
}

/// Prints the bounds that are broken. Whether one of them isn't known.
fn print_broken(bounds: &[PolicyBound]) -> bool {
    let mut is_new = false;
    for bound in bounds {
        let is_known = is_known_red(&bound.name);
        let is_broken = bound.value > bound.limit;
        let verdict = match (is_broken, is_known) {
            (true, true) => "known red",
            (true, false) => "BROKEN",
            (false, true) => "holds, but is listed as known red",
            (false, false) => continue,
        };
        is_new |= is_broken && !is_known;
        let PolicyBound { name, value, limit } = bound;
        println!("{verdict}: {name}: {value:.4}, bound {limit:.4}");
    }
    is_new
}

fn main() -> ExitCode {
    println!(
        "Milliseconds; seeds {TUNED_SEEDS:?} (tuned) and {HELD_OUT_SEEDS:?} (held out) together."
    );
    println!(
        "All but fescueway queue at the target in order of arrival, without refusals. The simple \
         policies leave a target at the instant of its drain, the oracles don't. dbl: bookings run \
         twice; rbr: refused but run; drain: runs begun after the drain.\n"
    );
    let shapes = [CAPROCK_FEW, CAPROCK_MANY, PWLL_FEW, PWLL_MANY];
    let reports = thread::scope(|scope| {
        let handles = shapes.map(|shape| scope.spawn(move || report(&shape)));
        handles.map(|handle| handle.join().expect("a deployment was measured"))
    });
    let mut bounds = Vec::new();
    for (text, own_bounds) in reports {
        print!("{text}");
        bounds.extend(own_bounds);
    }
    println!("{} bounds checked.", bounds.len());
    if print_broken(&bounds) {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
