//! Waits until bookings run: the keys of a service need a home before the first of them can.

use std::{net::SocketAddr, time::Duration};

use eyre::Result;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    call_client::CallClient,
    site_shape::{CallKind, ServiceShape},
};

/// Bookings that have to run before the load begins, enough to meet every partition of the keys.
const BOOKINGS: u64 = 64;

/// Bookings that are sent at once.
const BOOKINGS_AT_ONCE: u64 = 8;

/// Number of the first booking, far from those of the load.
const FIRST_ID: u64 = 1 << 40;

/// Pause after a booking was refused.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Waits until bookings of each service run, until `deadline` at most.
pub async fn warm_up(
    services: &[ServiceShape],
    entry: SocketAddr,
    deadline: Instant,
) -> Result<()> {
    let client = CallClient::new(entry);
    let bookings = services
        .iter()
        .filter(|service| service.kind == CallKind::Booking);
    for service in bookings {
        let mut next_id = FIRST_ID;
        let mut answered = 0;
        while answered < BOOKINGS {
            eyre::ensure!(
                Instant::now() < deadline,
                "{} takes no bookings",
                service.name
            );
            if run_batch(&client, service, next_id).await? {
                answered += BOOKINGS_AT_ONCE;
            } else {
                answered = 0;
                sleep(REFUSAL_PAUSE).await;
            }
            next_id += BOOKINGS_AT_ONCE;
        }
    }
    Ok(())
}

/// Sends a few bookings at once. Whether all of them ran.
async fn run_batch(client: &CallClient, service: &ServiceShape, first_id: u64) -> Result<bool> {
    let mut calls = JoinSet::new();
    for id in first_id..first_id + BOOKINGS_AT_ONCE {
        let (client, service) = (client.clone(), service.clone());
        calls.spawn(async move { client.call(&service, id).await });
    }
    let mut is_all = true;
    while let Some(result) = calls.join_next().await {
        is_all &= result?.is_answered();
    }
    Ok(is_all)
}
