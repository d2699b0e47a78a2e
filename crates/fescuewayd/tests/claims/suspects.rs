//! A request that crashes its backend server takes two of them along at most.

use std::time::Duration;

use bytes::Bytes;
use fescueway_testkit::BackendPlan;
use http::Request;
use http_body_util::Full;
use tokio::time::sleep;

use crate::fleet::Fleet;

fn request(path: &str, is_crasher: bool) -> Request<Full<Bytes>> {
    let mut builder = Request::get(path).header("host", "test");
    if is_crasher {
        builder = builder.header("x-crash", "1");
    }
    builder.body(Full::default()).expect("a valid request")
}

#[tokio::test]
async fn a_crasher_sent_again_through_other_entries_crashes_two_backend_servers_at_most() {
    let plan = BackendPlan {
        service_time: Duration::from_millis(50),
        ..BackendPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    let bystanders: Vec<_> = (0..12)
        .map(|number| format!("/bystander/{number}"))
        .collect();
    let reads = bystanders.iter().enumerate().map(|(number, path)| {
        let fleet = &fleet;
        async move {
            for _ in 0..20 {
                let heard = fleet.send(number % 3, request(path, false)).await;
                if heard.status == 200 {
                    return true;
                }
                sleep(Duration::from_millis(100)).await;
            }
            false
        }
    });
    let crashes = async {
        sleep(Duration::from_millis(10)).await;
        for number in 0..10 {
            fleet.send(number % 3, request("/crash", true)).await;
            sleep(Duration::from_millis(20)).await;
        }
    };
    let (served, ()) = tokio::join!(join_all(reads), crashes);
    let gone = fleet.backends.iter().filter(|backend| backend.is_crashed());
    assert!(gone.count() <= 2);
    assert!(served.into_iter().all(|is_served| is_served));
    // The last backend server is safe from it, through every entry.
    for number in 0..6 {
        let refused = fleet.send(number % 3, request("/crash", true)).await;
        assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    }
    let alive = fleet
        .backends
        .iter()
        .filter(|backend| !backend.is_crashed());
    assert!(alive.count() >= 1);
}

#[tokio::test]
async fn a_crash_counts_while_the_port_is_still_open() {
    let plan = BackendPlan {
        exit_time: Duration::from_secs(5),
        ..BackendPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    for number in 0..10 {
        fleet.send(number % 3, request("/crash", true)).await;
        sleep(Duration::from_millis(50)).await;
    }
    let gone = fleet.backends.iter().filter(|backend| backend.is_crashed());
    assert_eq!(gone.count(), 2);
}

/// The results of all `futures`, which run side by side.
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
