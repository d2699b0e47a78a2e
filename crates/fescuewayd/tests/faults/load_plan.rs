//! Load with random arrivals from a seed.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep_until},
};

use crate::{
    call_record::CallRecord,
    caller::{CallKind, call},
};

/// Maximum number of sends of a booking.
const BOOKING_SENDS: usize = 3;

/// Size of a download in bytes.
const DOWNLOAD_BYTES: usize = 100_000;

/// Reads in ten requests on average; one more is a download, the rest are bookings.
const READS_IN_TEN: u32 = 6;

/// Entries that callers use. It can be changed while the load runs.
pub type EntryList = Arc<Mutex<Vec<SocketAddr>>>;

/// Load with random arrivals from a seed.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Seed for the arrivals, the kinds of requests and the choice of entries.
    pub seed: u64,
    /// Duration over which requests arrive.
    pub arrival_duration: Duration,
    /// Mean arrival rate before a load step.
    pub requests_per_s: f64,
    /// The rate is multiplied by [`LoadPlan::STEP_FACTOR`] from this time on.
    pub step_at: Option<Duration>,
}

impl LoadPlan {
    /// Factor of a load step.
    const STEP_FACTOR: f64 = 3.0;

    /// Load without a step.
    pub fn steady(seed: u64, arrival_duration: Duration, requests_per_s: f64) -> Self {
        Self {
            seed,
            arrival_duration,
            requests_per_s,
            step_at: None,
        }
    }

    /// Starts to send the requests through `entries`.
    pub fn start(self, entries: &EntryList) -> JoinHandle<Vec<CallRecord>> {
        tokio::spawn(self.run(Arc::clone(entries)))
    }

    /// Sends the requests and waits for their results. Arrivals don't wait for earlier requests.
    async fn run(self, entries: EntryList) -> Vec<CallRecord> {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed);
        let mut calls = JoinSet::new();
        let start = Instant::now();
        let mut arrival = Duration::ZERO;
        for index in 0.. {
            arrival += self.draw_interarrival_time(arrival, &mut random);
            if arrival > self.arrival_duration {
                break;
            }
            let kind = draw_kind(&mut random);
            let first = random.next_u32() as usize;
            sleep_until(start + arrival).await;
            let tried_entries = entries_to_try(&entries, first, kind);
            let key = format!("seed-{}-{index}", self.seed);
            calls.spawn(async move { call(kind, key, &tried_entries).await });
        }
        calls.join_all().await
    }

    /// Draws the time from one arrival to the next.
    fn draw_interarrival_time(&self, arrival: Duration, random: &mut Pcg64Mcg) -> Duration {
        let is_stepped = self.step_at.is_some_and(|step| arrival >= step);
        let requests_per_s = if is_stepped {
            self.requests_per_s * Self::STEP_FACTOR
        } else {
            self.requests_per_s
        };
        let uniform = (f64::from(random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
        Duration::from_secs_f64(-uniform.ln() / requests_per_s)
    }
}

/// Draws the kind of a request.
fn draw_kind(random: &mut Pcg64Mcg) -> CallKind {
    match random.next_u32() % 10 {
        drawn if drawn < READS_IN_TEN => CallKind::Read,
        READS_IN_TEN => CallKind::Download(DOWNLOAD_BYTES),
        _ => CallKind::Booking,
    }
}

/// The entries that a caller tries in turn. The random number `first` selects the first one.
fn entries_to_try(entries: &EntryList, first: usize, kind: CallKind) -> Vec<SocketAddr> {
    let mut tried_entries = entries.lock().expect("the lock is not poisoned").clone();
    let offset = first % tried_entries.len();
    tried_entries.rotate_left(offset);
    tried_entries.truncate(if kind == CallKind::Booking {
        BOOKING_SENDS
    } else {
        1
    });
    tried_entries
}
