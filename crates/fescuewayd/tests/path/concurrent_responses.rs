//! The response to a request never reaches another caller. Many requests run at once, and some
//! callers disconnect early.

use std::time::Duration;

use fescueway_testkit::BackendPlan;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::timeout;

use crate::common::{TwoNodes, request, send, text};

/// Seed for which callers disconnect, and when.
const SEED: u64 = 20;

/// Total number of callers.
const CALLERS: usize = 300;

#[tokio::test]
async fn every_caller_gets_its_own_response() {
    let backend = BackendPlan {
        spread: 1.0,
        ..BackendPlan::default()
    };
    let nodes = TwoNodes::start(Duration::from_secs(10), backend).await;
    let address = nodes.entry.addresses().callers;
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let is_disconnecting = random.next_u32() % 4 == 0;
        let caller_timeout = Duration::from_millis(u64::from(random.next_u32() % 20));
        let caller_timeout = if is_disconnecting {
            caller_timeout
        } else {
            Duration::from_mins(1)
        };
        callers.push(tokio::spawn(async move {
            let id = format!("r-{index}");
            let read = request("GET", "/windows", &[("x-request-id", &id)], "");
            let response_body = async { text(send(address, read).await).await };
            timeout(caller_timeout, response_body)
                .await
                .map(|body| (id, body))
        }));
        if index % 5 == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let mut own_responses = 0;
    for caller in callers {
        let Ok((id, body)) = caller.await.expect("the task doesn't panic") else {
            continue;
        };
        let is_own = body.contains(&format!("\"request_id\":\"{id}\""));
        assert!(is_own || body.starts_with("refused"), "{id}: {body}");
        own_responses += usize::from(is_own);
    }
    assert!(
        own_responses > CALLERS / 4,
        "{own_responses} answered, seed {SEED}"
    );
}
