//! Commands that use the platform's store, with store faults and with concurrent operators.

use std::{
    sync::{Arc, mpsc::channel},
    thread::{self, JoinHandle},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use fescueway_core::NodeId;
use fescueway_platform::{StoreClient, StoreOp, StoreSettings, StoreTxn};
use fescueway_rollout::{DomainReport, Laggard, store_keys};
use fescueway_testkit::{StoreFaults, StoreStub};
use serde_json::Value;
use tokio::runtime::Builder;

use crate::support::{CliRun, fescueway};

const CAPROCK: [&str; 2] = ["configs/caprock/base.json", "configs/caprock/texas.json"];
const PWLL: [&str; 2] = ["configs/pwll/base.json", "configs/pwll/wales.json"];

/// Starts a store stub on a separate thread, where it runs until the process ends.
fn store_stub() -> Arc<StoreStub> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        runtime.block_on(async move {
            let stub = Arc::new(StoreStub::start().await.expect("a store"));
            sender.send(stub).expect("the test thread is waiting");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("a store")
}

fn with_store(store: &StoreStub, arguments: &[&str]) -> CliRun {
    let address = store.address().to_string();
    let command = [&arguments[..1], &["--store", &address], &arguments[1..]].concat();
    fescueway(&command)
}

fn apply(store: &StoreStub, files: [&str; 2], options: &[&str]) -> CliRun {
    with_store(store, &[&["apply"], options, &files].concat())
}

/// Revision and operator of each entry of `fescueway history`, the newest first.
fn history(store: &StoreStub) -> Vec<(u64, String)> {
    let run = with_store(store, &["history", "--json"]);
    assert_eq!(run.status, 0, "{run:?}");
    let heads: Vec<Value> = serde_json::from_str(&run.stdout).expect("JSON");
    let entries = heads.iter().map(|head| {
        let operator = head["operator"].as_str().expect("an operator");
        (
            head["revision"].as_u64().expect("a revision"),
            operator.to_owned(),
        )
    });
    entries.collect()
}

/// Writes the report of a failure domain to the store.
fn write_report(store: &StoreStub, domain: &str, report: &DomainReport) {
    let settings = StoreSettings::try_from(vec![store.address()]).expect("an address");
    let put = StoreOp::Put {
        key: store_keys::in_force(&domain.into()),
        value: serde_json::to_vec(report).expect("JSON"),
        lease: None,
    };
    let txn = StoreTxn {
        then: vec![put],
        ..StoreTxn::default()
    };
    let runtime = Builder::new_current_thread().enable_all().build();
    let client = StoreClient::new(settings);
    let reply = runtime
        .expect("a runtime")
        .block_on(client.commit(&txn, Duration::from_secs(5)));
    assert!(reply.expect("an answer").is_success);
}

fn in_force_report(revision: u64, age: Duration) -> DomainReport {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    DomainReport {
        nodes: 5,
        lowest: revision,
        highest: revision,
        laggards: Vec::new(),
        unix_time_s: now.saturating_sub(age).as_secs(),
        unheard: 0,
    }
}

#[test]
fn applied_configuration_shows_in_history_diff_and_status() {
    let store = store_stub();
    assert!(
        with_store(&store, &["history"])
            .stdout
            .contains("no configuration was accepted yet")
    );
    let run = with_store(&store, &["status"]);
    assert!(
        run.stdout.contains("no configuration was accepted yet"),
        "{run:?}"
    );

    let run = apply(&store, CAPROCK, &["--note", "first"]);
    assert_eq!(
        (run.status, &*run.stdout),
        (0, "accepted as revision 1\n"),
        "{run:?}"
    );
    let run = apply(&store, CAPROCK, &[]);
    assert!(
        run.status == 0 && run.stdout.contains("revision 1 holds this already"),
        "{run:?}"
    );
    let run = with_store(&store, &[&["diff"], &CAPROCK[..]].concat());
    assert_eq!(run.stdout, "compared with revision 1\nnothing changes\n");
    let run = with_store(&store, &[&["diff", "--json"], &PWLL[..]].concat());
    let diff: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(diff["revision"], 1);
    assert!(!diff["changes"].as_array().expect("changes").is_empty());

    assert_eq!(apply(&store, PWLL, &["--operator", "nia"]).status, 0);
    let expected = [(2, String::from("nia")), (1, String::from("tester"))];
    assert_eq!(history(&store), expected);
    assert!(with_store(&store, &["history"]).stdout.contains("first"));
    let run = with_store(&store, &["status"]);
    assert_eq!(run.status, 1, "{run:?}");
    assert!(run.stdout.contains("revision 2, accepted 2"), "{run:?}");
    assert!(
        run.stdout.contains("no failure domain has reported yet"),
        "{run:?}"
    );
}

#[test]
fn change_based_on_another_revision_is_refused() {
    let store = store_stub();
    let run = apply(&store, CAPROCK, &["--revision", "3"]);
    assert!(
        run.status == 1 && run.stderr.contains("holds no configuration"),
        "{run:?}"
    );
    assert!(history(&store).is_empty());
    assert_eq!(apply(&store, CAPROCK, &["--operator", "ann"]).status, 0);
    assert_eq!(
        apply(&store, PWLL, &["--operator", "nia", "--revision", "1"]).status,
        0
    );
    let run = apply(&store, CAPROCK, &["--operator", "ann", "--revision", "1"]);
    assert_eq!(run.status, 1, "{run:?}");
    assert!(
        run.stderr
            .contains("changed meanwhile by nia at revision 2"),
        "{run:?}"
    );
    assert!(run.stdout.is_empty(), "{run:?}");
    assert_eq!(history(&store).len(), 2);
}

#[test]
fn of_two_concurrent_applies_one_is_accepted_and_the_other_gets_a_conflict() {
    let store = store_stub();
    // The delay lets both read the head before either replaces it. If one starts late, `--revision`
    // gives the same result.
    let faults = StoreFaults {
        delay: Duration::from_millis(300),
        ..StoreFaults::default()
    };
    store.set_faults(faults);
    let other = Arc::clone(&store);
    let other =
        thread::spawn(move || apply(&other, PWLL, &["--operator", "nia", "--revision", "0"]));
    let own = apply(&store, CAPROCK, &["--operator", "ann", "--revision", "0"]);
    let other = other.join().expect("a run");
    store.set_faults(StoreFaults::default());

    let (winner, loser, name) = if own.status == 0 {
        (own, other, "ann")
    } else {
        (other, own, "nia")
    };
    assert_eq!(
        (winner.status, loser.status),
        (0, 1),
        "{winner:?} {loser:?}"
    );
    let conflict = format!("changed meanwhile by {name} at revision 1");
    assert!(loser.stderr.contains(&conflict), "{loser:?}");
    assert_eq!(history(&store), [(1, name.to_owned())]);
}

#[test]
fn apply_writes_once_and_reports_success_despite_lost_answers() {
    for lost_answers in 1..=4 {
        let store = store_stub();
        store.set_faults(StoreFaults {
            lost_answers,
            ..StoreFaults::default()
        });
        let run = apply(&store, CAPROCK, &[]);
        assert_eq!(
            (run.status, &*run.stdout),
            (0, "accepted as revision 1\n"),
            "{run:?}"
        );
        assert_eq!(history(&store).len(), 1, "{lost_answers} lost answers");
    }
}

#[test]
fn store_that_is_down_is_reported() {
    let store = store_stub();
    store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let run = apply(&store, CAPROCK, &["--timeout", "1"]);
    assert!(
        run.status == 1 && run.stderr.contains("nothing of this is or will be"),
        "{run:?}"
    );
    let run = with_store(&store, &["status"]);
    let address = store.address().to_string();
    assert!(run.status == 1 && run.stderr.contains(&address), "{run:?}");
    assert_eq!(fescueway(&["history"]).status, 2);
}

/// Runs `fescueway apply --wait` on a separate thread, with this timeout in seconds.
fn apply_and_wait(
    store: &Arc<StoreStub>,
    files: [&'static str; 2],
    timeout: &'static str,
) -> JoinHandle<CliRun> {
    let store = Arc::clone(store);
    thread::spawn(move || apply(&store, files, &["--wait", "--timeout", timeout]))
}

/// Waits until a revision is accepted. Nodes report a revision only after that.
fn wait_until_accepted(store: &StoreStub, revision: u64) {
    while history(store).first().is_none_or(|head| head.0 < revision) {}
}

#[test]
fn lost_head_is_reported_and_apply_goes_above_it() {
    let store = store_stub();
    assert_eq!(apply(&store, CAPROCK, &[]).status, 0);
    write_report(&store, "north", &in_force_report(41, Duration::ZERO));
    let run = with_store(&store, &["status"]);
    assert!(
        run.status == 1 && run.stdout.contains("above it"),
        "{run:?}"
    );
    let run = apply(&store, CAPROCK, &[]);
    assert!(run.stdout.contains("accepted as revision 1041"), "{run:?}");
}

#[test]
fn wait_ends_when_all_domains_report_the_revision_and_names_laggards() {
    let store = store_stub();
    let waiting = apply_and_wait(&store, CAPROCK, "10");
    wait_until_accepted(&store, 1);
    write_report(&store, "north", &in_force_report(1, Duration::ZERO));
    write_report(&store, "south", &in_force_report(1, Duration::ZERO));
    let run = waiting.join().expect("no panic");
    assert!(
        run.status == 0 && run.stdout.contains("in force at all 10 nodes"),
        "{run:?}"
    );

    let laggard = Laggard {
        revision: 1,
        node: NodeId(0xab),
        fault: String::from("no such field"),
    };
    let lagging = DomainReport {
        highest: 2,
        laggards: vec![laggard],
        ..in_force_report(1, Duration::ZERO)
    };
    let waiting = apply_and_wait(&store, PWLL, "3");
    wait_until_accepted(&store, 2);
    write_report(&store, "north", &lagging);
    write_report(
        &store,
        "south",
        &in_force_report(2, Duration::from_hours(1)),
    );
    let run = waiting.join().expect("no panic");
    assert_eq!(run.status, 1, "{run:?}");
    for line in [
        "accepted as revision 2",
        "north: node 00000000000000ab has revision 1, can't apply the newer one: no such field",
        "south: no report for 360",
    ] {
        assert!(run.stdout.contains(line), "{line:?} is not in {run:?}");
    }
    let status = with_store(&store, &["status", "--json"]);
    let status: Value = serde_json::from_str(&status.stdout).expect("JSON");
    assert_eq!(status["fleet"]["lags"].as_array().expect("lags").len(), 2);
}
