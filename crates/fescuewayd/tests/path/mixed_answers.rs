//! Answers of many requests at once, some given up, never reach another caller.

use std::time::Duration;

use fescueway_testkit::BackendPlan;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::timeout;

use crate::common::{TwoNodes, request, send, text};

/// Seed of which callers leave, and when.
const SEED: u64 = 20;

/// Callers in all.
const CALLERS: usize = 300;

#[tokio::test]
async fn every_caller_gets_the_own_answer() {
    let backend = BackendPlan {
        spread: 1.0,
        ..BackendPlan::default()
    };
    let nodes = TwoNodes::start(Duration::from_secs(10), backend).await;
    let address = nodes.entry.addresses().callers;
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let is_leaving = random.next_u32() % 4 == 0;
        let patience = Duration::from_millis(u64::from(random.next_u32() % 20));
        let patience = if is_leaving {
            patience
        } else {
            Duration::from_mins(1)
        };
        callers.push(tokio::spawn(async move {
            let id = format!("r-{index}");
            let read = request("GET", "/windows", &[("x-request-id", &id)], "");
            let answering = async { text(send(address, read).await).await };
            timeout(patience, answering).await.map(|body| (id, body))
        }));
        if index % 5 == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let mut answered = 0;
    for caller in callers {
        let Ok((id, body)) = caller.await.expect("no panic") else {
            continue;
        };
        let is_own = body.contains(&format!("\"request_id\":\"{id}\""));
        assert!(is_own || body.starts_with("refused"), "{id}: {body}");
        answered += usize::from(is_own);
    }
    assert!(answered > CALLERS / 4, "{answered} answered, seed {SEED}");
}
