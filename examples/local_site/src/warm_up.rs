//! Waits until bookings run: partitions of a service's keys need replicas first.

use std::{net::SocketAddr, time::Duration};

use eyre::Result;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    call_client::CallClient,
    site_spec::{CallKind, ServiceSpec},
};

/// Number of consecutive bookings that have to run before the load starts, enough to reach every
/// partition of the keys.
const MIN_BOOKINGS: u64 = 64;

/// Number of bookings that are sent concurrently.
const BATCH_SIZE: u64 = 8;

/// Number of the first booking, out of the range of the load's call numbers.
const FIRST_BOOKING_ID: u64 = 1 << 40;

/// Delay before the next batch after a booking failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Waits until bookings of each service run, until `deadline` at most.
pub async fn warm_up(services: &[ServiceSpec], entry: SocketAddr, deadline: Instant) -> Result<()> {
    let client = CallClient::new(entry);
    let bookings = services
        .iter()
        .filter(|service| service.kind == CallKind::Booking);
    for service in bookings {
        let mut next_id = FIRST_BOOKING_ID;
        let mut answered = 0;
        while answered < MIN_BOOKINGS {
            eyre::ensure!(
                Instant::now() < deadline,
                "{} takes no bookings",
                service.name
            );
            if run_batch(&client, service, next_id).await? {
                answered += BATCH_SIZE;
            } else {
                answered = 0;
                sleep(RETRY_DELAY).await;
            }
            next_id += BATCH_SIZE;
        }
    }
    Ok(())
}

/// Sends a batch of concurrent bookings. Returns whether all of them were answered.
async fn run_batch(client: &CallClient, service: &ServiceSpec, first_id: u64) -> Result<bool> {
    let mut calls = JoinSet::new();
    for id in first_id..first_id + BATCH_SIZE {
        let (client, service) = (client.clone(), service.clone());
        calls.spawn(async move { client.call(&service, id).await });
    }
    let mut is_all_answered = true;
    while let Some(result) = calls.join_next().await {
        is_all_answered &= result?.is_answered();
    }
    Ok(is_all_answered)
}
