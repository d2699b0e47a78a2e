//! The load generator, which also applies the scheduled faults.

use std::{
    io::{IsTerminal, stderr},
    time::Duration,
};

use eyre::Result;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};

use crate::{
    call_client::CallClient,
    call_result::CallResult,
    fault_schedule::FaultSchedule,
    load_tally::LoadTally,
    local_site::LocalSite,
    site_spec::{ServiceSpec, SiteSpec},
};

/// Seed of the arrival times and of the choice of entries.
const SEED: u64 = 0x1eaf;

/// How long calls that are open at the end of the run may take.
const OPEN_CALL_LIMIT: Duration = Duration::from_secs(15);

/// Generates load and applies the scheduled faults.
#[derive(Debug)]
pub struct LoadDriver {
    /// The services with the time of their next call, from the start of the run.
    services: Vec<(ServiceSpec, Duration)>,
    /// Duration of the run.
    duration: Duration,
    /// Random generator for arrival times and entries.
    random: Pcg64Mcg,
    /// The results of the calls.
    tally: LoadTally,
}

/// A completed call.
struct CompletedCall {
    /// Name of the service.
    service: &'static str,
    /// Number of the call.
    id: u64,
    /// Whether a drain was the only active fault when it began.
    is_only_drain: bool,
    /// Its result.
    result: CallResult,
}

impl LoadDriver {
    /// Creates a generator of this site's load.
    pub fn new(spec: &SiteSpec, seconds: u64) -> Self {
        let services = spec
            .services
            .iter()
            .map(|service| (service.clone(), Duration::ZERO));
        Self {
            services: services.collect(),
            duration: Duration::from_secs(seconds),
            random: Pcg64Mcg::seed_from_u64(SEED),
            tally: LoadTally::default(),
        }
    }

    /// Runs an open-loop load: calls start on schedule, whether or not earlier ones have completed.
    pub async fn run(mut self, site: &mut LocalSite) -> Result<LoadTally> {
        let clients: Vec<_> = site.entries().into_iter().map(CallClient::new).collect();
        let mut schedule = FaultSchedule::new(self.duration);
        let mut calls = JoinSet::new();
        let start = Instant::now();
        let mut next_id = 0;
        let mut last_second = 0;
        loop {
            let (index, due) = self.next_arrival();
            if due >= self.duration {
                break;
            }
            sleep_until(start + due).await;
            if let Some(step) = schedule.next_due(start.elapsed()) {
                eprintln!("{:>5.1} s  {}", start.elapsed().as_secs_f64(), step.title());
                site.apply_step(step).await?;
            }
            let client = clients[self.random.next_u32() as usize % clients.len()].clone();
            let service = self.services[index].0.clone();
            let is_only_drain = schedule.is_only_drain();
            let id = next_id;
            next_id += 1;
            calls.spawn(async move {
                let result = client.call(&service, id).await;
                CompletedCall {
                    service: service.name,
                    id,
                    is_only_drain,
                    result,
                }
            });
            while let Some(completed) = calls.try_join_next() {
                self.record(&completed?)?;
            }
            last_second = self.print_progress(start.elapsed(), last_second);
        }
        self.wait_for_open_calls(calls).await?;
        Ok(self.tally)
    }

    /// Returns the service that is called next, and when, and samples the time of its following call.
    fn next_arrival(&mut self) -> (usize, Duration) {
        let mut index = 0;
        for (position, (_, due)) in self.services.iter().enumerate() {
            if *due < self.services[index].1 {
                index = position;
            }
        }
        let uniform = (f64::from(self.random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
        let (service, due) = &mut self.services[index];
        let now = *due;
        *due = now + Duration::from_secs_f64(-uniform.ln() / service.rate);
        (index, now)
    }

    /// Waits for the calls that are open at the end of the run.
    async fn wait_for_open_calls(&mut self, mut calls: JoinSet<CompletedCall>) -> Result<()> {
        let open_calls = async {
            while let Some(completed) = calls.join_next().await {
                self.record(&completed?)?;
            }
            Ok(())
        };
        timeout(OPEN_CALL_LIMIT, open_calls).await?
    }

    /// Adds a completed call to the tally.
    fn record(&mut self, completed: &CompletedCall) -> Result<()> {
        self.tally.record(
            completed.service,
            completed.id,
            &completed.result,
            completed.is_only_drain,
        )
    }

    /// Prints progress once a second on a terminal. Returns the elapsed seconds.
    fn print_progress(&self, elapsed: Duration, last_second: u64) -> u64 {
        let second = elapsed.as_secs();
        if second > last_second && stderr().is_terminal() {
            eprintln!("{second:>5} s  {} calls ended", self.tally.calls());
        }
        second
    }
}
