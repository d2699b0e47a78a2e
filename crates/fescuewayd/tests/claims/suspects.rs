//! A request that crashes its backend server crashes two of them at most.

use std::time::Duration;

use bytes::Bytes;
use fescueway_testkit::BackendPlan;
use http::Request;
use http_body_util::Full;
use tokio::time::sleep;

use crate::fleet::Fleet;

fn request(path: &str, is_crashing: bool) -> Request<Full<Bytes>> {
    let mut builder = Request::get(path).header("host", "test");
    if is_crashing {
        builder = builder.header("x-crash", "1");
    }
    builder.body(Full::default()).expect("a valid request")
}

#[tokio::test]
async fn a_crashing_request_sent_through_several_entries_crashes_two_backend_servers_at_most() {
    let plan = BackendPlan {
        service_time: Duration::from_millis(50),
        ..BackendPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    let unrelated_paths: Vec<_> = (0..12)
        .map(|number| format!("/bystander/{number}"))
        .collect();
    let reads = unrelated_paths.iter().enumerate().map(|(number, path)| {
        let fleet = &fleet;
        async move {
            for _ in 0..20 {
                let response = fleet.send(number % 3, request(path, false)).await;
                if response.status == 200 {
                    return true;
                }
                sleep(Duration::from_millis(100)).await;
            }
            false
        }
    });
    let crashing_sends = async {
        sleep(Duration::from_millis(10)).await;
        for number in 0..10 {
            fleet.send(number % 3, request("/crash", true)).await;
            sleep(Duration::from_millis(20)).await;
        }
    };
    let (served, ()) = tokio::join!(join_all(reads), crashing_sends);
    let crashed = fleet.backends.iter().filter(|backend| backend.is_crashed());
    assert!(crashed.count() <= 2);
    assert!(served.into_iter().all(|is_served| is_served));
    // No entry offers the crashing request to the last backend server.
    for number in 0..6 {
        let refusal = fleet.send(number % 3, request("/crash", true)).await;
        assert_eq!((refusal.status, refusal.outcome.as_str()), (503, "not-run"));
    }
    let running = fleet
        .backends
        .iter()
        .filter(|backend| !backend.is_crashed());
    assert!(running.count() >= 1);
}

#[tokio::test]
async fn a_crash_is_counted_while_the_port_is_still_open() {
    let plan = BackendPlan {
        exit_time: Duration::from_secs(5),
        ..BackendPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    for number in 0..10 {
        fleet.send(number % 3, request("/crash", true)).await;
        sleep(Duration::from_millis(50)).await;
    }
    let crashed = fleet.backends.iter().filter(|backend| backend.is_crashed());
    assert_eq!(crashed.count(), 2);
}

/// Runs all `futures` concurrently and returns their results.
async fn join_all<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut pending: Vec<_> = futures.map(|future| (Box::pin(future), None)).collect();
    std::future::poll_fn(|cx| {
        let mut is_done = true;
        for (future, output) in &mut pending {
            if output.is_none() {
                match future.as_mut().poll(cx) {
                    std::task::Poll::Ready(value) => *output = Some(value),
                    std::task::Poll::Pending => is_done = false,
                }
            }
        }
        if is_done {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    pending
        .into_iter()
        .filter_map(|(_, output)| output)
        .collect()
}
