//! Load whose arrivals are drawn from a seed.

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

/// Times that a caller sends a booking at most.
const BOOKING_SENDS: usize = 3;

/// Bytes of a download.
const DOWNLOAD_BYTES: usize = 100_000;

/// Of ten requests this many are reads; one more is a download, the rest are bookings.
const READS_IN_TEN: u32 = 6;

/// Entries that callers use, to be changed while the load runs.
pub type EntryList = Arc<Mutex<Vec<SocketAddr>>>;

/// Load whose arrivals are drawn from a seed.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Seed of the arrivals and of the choice of entries.
    pub seed: u64,
    /// How long requests arrive.
    pub length: Duration,
    /// Requests per second.
    pub rate: f64,
    /// The rate is multiplied by [`LoadPlan::STEP`] from this time on.
    pub step_at: Option<Duration>,
}

impl LoadPlan {
    /// Size of a load step.
    const STEP: f64 = 3.0;

    /// Load without a step.
    pub fn steady(seed: u64, length: Duration, rate: f64) -> Self {
        Self {
            seed,
            length,
            rate,
            step_at: None,
        }
    }

    /// Starts to make the requests through `entries`.
    pub fn start(self, entries: &EntryList) -> JoinHandle<Vec<CallRecord>> {
        tokio::spawn(self.run(Arc::clone(entries)))
    }

    /// Makes the requests and waits for their ends. Callers don't wait for each other.
    async fn run(self, entries: EntryList) -> Vec<CallRecord> {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed);
        let mut calls = JoinSet::new();
        let start = Instant::now();
        let mut due = Duration::ZERO;
        for number in 0.. {
            due += self.draw_gap(due, &mut random);
            if due > self.length {
                break;
            }
            let kind = draw_kind(&mut random);
            let first = random.next_u32() as usize;
            sleep_until(start + due).await;
            let path = entry_path(&entries, first, kind);
            let key = format!("seed-{}-{number}", self.seed);
            calls.spawn(async move { call(kind, key, &path).await });
        }
        calls.join_all().await
    }

    /// Time until the next arrival after `due`.
    fn draw_gap(&self, due: Duration, random: &mut Pcg64Mcg) -> Duration {
        let is_stepped = self.step_at.is_some_and(|step| due >= step);
        let rate = if is_stepped {
            self.rate * Self::STEP
        } else {
            self.rate
        };
        let uniform = (f64::from(random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }
}

/// Draws what is called.
fn draw_kind(random: &mut Pcg64Mcg) -> CallKind {
    match random.next_u32() % 10 {
        drawn if drawn < READS_IN_TEN => CallKind::Read,
        READS_IN_TEN => CallKind::Download(DOWNLOAD_BYTES),
        _ => CallKind::Booking,
    }
}

/// The entries that a caller tries, the first of them drawn as `first`.
fn entry_path(entries: &EntryList, first: usize, kind: CallKind) -> Vec<SocketAddr> {
    let mut path = entries.lock().expect("no panic").clone();
    let middle = first % path.len();
    path.rotate_left(middle);
    path.truncate(if kind == CallKind::Booking {
        BOOKING_SENDS
    } else {
        1
    });
    path
}
