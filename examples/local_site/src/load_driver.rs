//! Drives load through the schedule of faults.

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
    site_shape::{ServiceShape, SiteShape},
    site_stage::SiteStage,
};

/// Seed of the arrivals and of the choice of entries.
const SEED: u64 = 0x1eaf;

/// How long calls that are open at the end may take.
const END_LIMIT: Duration = Duration::from_secs(15);

/// Drives load through the schedule of faults.
#[derive(Debug)]
pub struct LoadDriver {
    /// The services with the time of their next call.
    services: Vec<(ServiceShape, Duration)>,
    /// Length of the run.
    length: Duration,
    /// Draws arrivals and entries.
    random: Pcg64Mcg,
    /// What the callers saw.
    tally: LoadTally,
}

/// A call that ended.
struct EndedCall {
    /// Name of the service.
    service: &'static str,
    /// Number of the call.
    id: u64,
    /// Whether a drain was the only fault when it began.
    is_draining: bool,
    /// What became of it.
    result: CallResult,
}

impl LoadDriver {
    /// A driver of this shape's load.
    pub fn new(shape: &SiteShape, seconds: u64) -> Self {
        let services = shape
            .services
            .iter()
            .map(|service| (service.clone(), Duration::ZERO));
        Self {
            services: services.collect(),
            length: Duration::from_secs(seconds),
            random: Pcg64Mcg::seed_from_u64(SEED),
            tally: LoadTally::default(),
        }
    }

    /// Drives the load: callers don't wait for each other's answers.
    pub async fn run(mut self, stage: &mut SiteStage) -> Result<LoadTally> {
        let clients: Vec<_> = stage.entries().into_iter().map(CallClient::new).collect();
        let mut schedule = FaultSchedule::new(self.length);
        let mut calls = JoinSet::new();
        let start = Instant::now();
        let mut next_id = 0;
        let mut shown = 0;
        loop {
            let (index, due) = self.next_arrival();
            if due >= self.length {
                break;
            }
            sleep_until(start + due).await;
            if let Some(step) = schedule.due(start.elapsed()) {
                eprintln!("{:>5.1} s  {}", start.elapsed().as_secs_f64(), step.title());
                stage.take(step).await?;
            }
            let client = clients[self.random.next_u32() as usize % clients.len()].clone();
            let service = self.services[index].0.clone();
            let is_draining = schedule.is_draining();
            let id = next_id;
            next_id += 1;
            calls.spawn(async move {
                let result = client.call(&service, id).await;
                EndedCall {
                    service: service.name,
                    id,
                    is_draining,
                    result,
                }
            });
            while let Some(ended) = calls.try_join_next() {
                self.record(&ended?)?;
            }
            shown = self.show(start.elapsed(), shown);
        }
        self.wait_for_rest(calls).await?;
        Ok(self.tally)
    }

    /// The service that is called next, and when; draws the time of its call after that.
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

    /// Waits for the calls that are open at the end.
    async fn wait_for_rest(&mut self, mut calls: JoinSet<EndedCall>) -> Result<()> {
        let rest = async {
            while let Some(ended) = calls.join_next().await {
                self.record(&ended?)?;
            }
            Ok(())
        };
        timeout(END_LIMIT, rest).await?
    }

    /// Takes in a call that ended.
    fn record(&mut self, ended: &EndedCall) -> Result<()> {
        self.tally
            .record(ended.service, ended.id, &ended.result, ended.is_draining)
    }

    /// Shows progress once a second on a terminal.
    fn show(&self, elapsed: Duration, shown: u64) -> u64 {
        let second = elapsed.as_secs();
        if second > shown && stderr().is_terminal() {
            eprintln!("{second:>5} s  {} calls ended", self.tally.calls());
        }
        second
    }
}
