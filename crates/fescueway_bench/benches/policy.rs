//! Compares routing and admission with simple policies and an oracle, in virtual time.
//!
//! Prints a table per deployment and scenario and checks the bounds. The results depend on the
//! seeds only. A broken bound that isn't listed in `KNOWN-RED.txt` fails the bench.

use std::{fmt::Write as _, process::ExitCode, thread};

use fescueway_bench::{
    BenchBound, print_broken,
    simulation::{
        CAPROCK_FEW, CAPROCK_MANY, PWLL_FEW, PWLL_MANY, SimDeployment, SimPolicy, SimResults,
        SimRun, SimScenario, generate_trace, simple_policies,
    },
};

/// Seeds used to tune the constants of routing and admission.
const TUNED_SEEDS: [u64; 4] = [11, 12, 104, 105];

/// Seeds held out from tuning.
const HELD_OUT_SEEDS: [u64; 2] = [206, 207];

/// Maximum ratio of the p99 latency to the oracle's.
const MAX_LATENCY_RATIO: f64 = 1.05;

/// Maximum ratio of the p99 extra time to the oracle's at steady load.
const MAX_EXTRA_RATIO: f64 = 1.0;

/// Maximum ratio of the p99 extra time to the oracle's with a straggler.
const MAX_STRAGGLER_RATIO: f64 = 1.5;

/// Maximum mean number of offers per request at a load of 70% of the slots.
const MAX_OFFERS_70: f64 = 1.05;

/// Maximum mean number of offers per request at a load of 90% of the slots.
const MAX_OFFERS_90: f64 = 1.15;

/// Minimum share of the requests answered in time under overload, relative to the capacity.
const MIN_OVERLOAD_SHARE: f64 = 0.9;

/// Tolerance within which two policies' in-time shares count as equal.
const IN_TIME_TOLERANCE: f64 = 0.01;

/// Results of all policies for one deployment and scenario.
struct ScenarioTable {
    /// Deployment and scenario.
    title: String,
    /// The scenario's name.
    scenario: &'static str,
    /// Offered load as a share of the slots, at the start.
    load: f64,
    /// Name and results of each simple policy.
    simple: Vec<(&'static str, SimResults)>,
    /// Results of the oracle that also sees offers in transit. For comparison only.
    wire_oracle: SimResults,
    /// Results of the oracle that the bounds refer to.
    oracle: SimResults,
    /// Results of fescueway's router and gate.
    fescueway: SimResults,
}

/// Runs one policy with all seeds.
fn measure(deployment: &SimDeployment, scenario: &SimScenario, policy: SimPolicy) -> SimResults {
    let mut results = SimResults::default();
    for seed in TUNED_SEEDS.into_iter().chain(HELD_OUT_SEEDS) {
        let requests = generate_trace(deployment, scenario, seed);
        let run = SimRun::new(deployment, scenario, policy, &requests, seed);
        results.merge(run.run());
    }
    results.sort();
    results
}

/// Runs every policy.
fn measure_all(deployment: &SimDeployment, scenario: &SimScenario) -> ScenarioTable {
    let simple = simple_policies();
    ScenarioTable {
        title: format!("{} / {}", deployment.name, scenario.name),
        scenario: scenario.name,
        load: scenario.load_at(0),
        simple: simple
            .map(|policy| (policy.name, measure(deployment, scenario, policy)))
            .to_vec(),
        wire_oracle: measure(deployment, scenario, SimPolicy::WIRE_ORACLE),
        oracle: measure(deployment, scenario, SimPolicy::ORACLE),
        fescueway: measure(deployment, scenario, SimPolicy::FESCUEWAY),
    }
}

/// Returns the table row of one policy.
fn row(name: &str, results: &SimResults) -> String {
    format!(
        "  {:<16} {:8.2} {:8.2} {:8.2} {:8.2} {:8.2} {:8.4} {:8.4} {:7.4} {:7.3} {:4} {:4} {:6}\n",
        name,
        results.latency_ms(0.5),
        results.latency_ms(0.99),
        results.latency_ms(0.999),
        results.extra_ms(0.5),
        results.extra_ms(0.99),
        results.in_time_share(),
        results.refused_share(),
        results.failed as f64 / results.requests.max(1) as f64,
        results.offers_per_request(),
        results.doubled,
        results.refused_but_run,
        results.run_after_drain,
    )
}

impl ScenarioTable {
    /// Returns the table as text.
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
        for (name, results) in &self.simple {
            text += &row(name, results);
        }
        text += &row(SimPolicy::WIRE_ORACLE.name, &self.wire_oracle);
        text += &row(SimPolicy::ORACLE.name, &self.oracle);
        text += &row(SimPolicy::FESCUEWAY.name, &self.fescueway);
        text
    }

    /// Returns every bound of this scenario.
    fn bounds(&self) -> Vec<BenchBound> {
        let fescueway = &self.fescueway;
        let latency_ratio = fescueway.latency_ms(0.99) / self.oracle.latency_ms(0.99);
        let extra_ratio = fescueway.extra_ms(0.99) / self.oracle.extra_ms(0.99);
        let offers = fescueway.offers_per_request();
        let mut bounds = vec![
            self.bound("doubled", fescueway.doubled as f64, 0.0),
            self.bound("refused-but-run", fescueway.refused_but_run as f64, 0.0),
            self.bound("run-after-drain", fescueway.run_after_drain as f64, 0.0),
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
                let late = 1.0 - fescueway.in_time_share() / allowed;
                bounds.push(self.bound("late-of-capacity", late, 1.0 - MIN_OVERLOAD_SHARE));
            }
            _ => {}
        }
        bounds.extend(self.simple_bounds());
        bounds
    }

    /// Returns the bounds relative to the best simple policy. Latency is compared only with
    /// policies of an equal in-time share, since a policy that loses its slow requests has a short
    /// tail.
    fn simple_bounds(&self) -> Vec<BenchBound> {
        let fescueway = &self.fescueway;
        let shares = self.simple.iter().map(|entry| entry.1.in_time_share());
        let max_share = shares.fold(0.0, f64::max);
        let shortfall = max_share - fescueway.in_time_share();
        let mut bounds = vec![self.bound("in-time-vs-simple", shortfall, IN_TIME_TOLERANCE)];
        let comparable = || {
            let min_share = fescueway.in_time_share() - IN_TIME_TOLERANCE;
            let entries = self.simple.iter().map(|entry| &entry.1);
            entries.filter(move |results| results.in_time_share() >= min_share)
        };
        let minimum = |values: &mut dyn Iterator<Item = f64>| values.reduce(f64::min);
        if let Some(latency) = minimum(&mut comparable().map(|results| results.latency_ms(0.99))) {
            let ratio = fescueway.latency_ms(0.99) / latency;
            bounds.push(self.bound("p99-vs-simple", ratio, 1.0));
        }
        if let Some(extra) = minimum(&mut comparable().map(|results| results.extra_ms(0.99))) {
            let ratio = fescueway.extra_ms(0.99) / extra;
            bounds.push(self.bound("extra-vs-simple", ratio, 1.0));
        }
        bounds
    }

    /// Creates a bound of this scenario.
    fn bound(&self, check: &str, value: f64, limit: f64) -> BenchBound {
        BenchBound {
            name: format!("policy: {} / {check}", self.title),
            value,
            limit,
        }
    }
}

/// Returns the tables of one deployment and its bounds.
fn report(deployment: &SimDeployment) -> (String, Vec<BenchBound>) {
    let mut text = String::new();
    let mut bounds = Vec::new();
    for scenario in SimScenario::all() {
        let table = measure_all(deployment, &scenario);
        let _ = writeln!(text, "{}", table.text());
        bounds.extend(table.bounds());
    }
    (text, bounds)
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
    let deployments = [CAPROCK_FEW, CAPROCK_MANY, PWLL_FEW, PWLL_MANY];
    let reports = thread::scope(|scope| {
        let handles = deployments.map(|deployment| scope.spawn(move || report(&deployment)));
        handles.map(|handle| handle.join().expect("a deployment was measured"))
    });
    let mut bounds = Vec::new();
    for (text, deployment_bounds) in reports {
        print!("{text}");
        bounds.extend(deployment_bounds);
    }
    println!("{} bounds checked.", bounds.len());
    if print_broken(&bounds) {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
