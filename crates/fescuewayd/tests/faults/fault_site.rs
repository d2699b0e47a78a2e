//! A small site: a store and six VMs, which belong to two services and three failure domains.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fescueway_config::{ConfigSet, Document};
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_platform::{StoreClient, StoreSettings};
use fescueway_rollout::{ApplyOutcome, ApplyPlan, driver};
use fescueway_testkit::{BackendPlan, BackendTally, StoreFaults, StoreStub, unique_loopback};
use fescuewayd::{Daemon, DaemonSettings, StatusBoard};
use tokio::time::{Instant, sleep};

use crate::{
    call_record::SendResult,
    caller::{CallKind, call},
    load_plan::EntryList,
    site_vm::SiteVm,
};

/// Number of failure domains.
pub const DOMAINS: usize = 3;

/// VMs of each service, one in each failure domain.
const VMS_PER_SERVICE: usize = 3;

/// Time that probes of a target may take, in milliseconds per second.
pub const PROBE_BUDGET_MS_PER_S: f64 = 5.0;

/// Deadline of every request, far above any latency, so that no request exceeds it.
pub const DEADLINE_MS: u64 = 10_000;

/// The site's name.
const SITE: &str = "test";

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time within which a request that its caller gave up on could still begin to run.
const LATE_RUN_TIME: Duration = Duration::from_millis(500);

/// A small site with a store and VMs.
#[derive(Debug)]
pub struct FaultSite {
    /// Time of its start.
    pub start: Instant,
    /// The store.
    pub store: StoreStub,
    /// The VMs: those that serve reads, then those that serve bookings.
    pub vms: Vec<SiteVm>,
    /// Entries that callers use.
    pub entries: EntryList,
    /// Tallies of the backend servers of replaced VMs.
    replaced_tallies: Vec<BackendTally>,
}

impl FaultSite {
    /// Starts the site, and waits until every node knows every target and serves bookings.
    pub async fn start() -> Self {
        let store = StoreStub::start().await.expect("a free port");
        let mut site = Self {
            start: Instant::now(),
            store,
            vms: Vec::new(),
            entries: Arc::default(),
            replaced_tallies: Vec::new(),
        };
        let outcome = site.apply("first", DEADLINE_MS, None).await;
        assert_eq!(outcome, ApplyOutcome::Accepted(1));
        for index in 0..2 * VMS_PER_SERVICE {
            let vm = site.start_vm(index).await;
            site.vms.push(vm);
        }
        let entries = site.vms.iter().map(|vm| vm.entry).collect();
        site.entries = Arc::new(Mutex::new(entries));
        site.wait_until_targets_known().await;
        site.wait_until_bookings_succeed().await;
        site
    }

    /// Applies a configuration to the store, as `fescueway apply` does.
    pub async fn apply(
        &self,
        operation: &str,
        deadline_ms: u64,
        base: Option<u64>,
    ) -> ApplyOutcome {
        let plan = ApplyPlan {
            values: configuration(deadline_ms).service_values(),
            operator: operation.into(),
            operation: operation.into(),
            unix_time_s: 0,
            note: "".into(),
            base,
        };
        driver::apply(&self.store_client(), plan, WAIT_TIMEOUT).await
    }

    /// A client of the store.
    pub fn store_client(&self) -> StoreClient {
        let settings = StoreSettings::try_from(vec![self.store.address()]);
        StoreClient::new(settings.expect("one address"))
    }

    /// Makes the store unavailable or available.
    pub fn set_store_down(&self, is_down: bool) {
        self.store.set_faults(StoreFaults {
            is_down,
            ..StoreFaults::default()
        });
    }

    /// The nodes that run.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.vms.iter().filter_map(|vm| vm.daemon.as_ref())
    }

    /// Status boards of the nodes that run.
    pub fn boards(&self) -> Vec<StatusBoard> {
        self.daemons()
            .map(|daemon| daemon.board().clone())
            .collect()
    }

    /// The node of a VM.
    pub fn daemon(&self, index: usize) -> &Daemon {
        self.vms[index].daemon.as_ref().expect("the node runs")
    }

    /// Removes the entry of this VM from the entries that callers use.
    pub fn remove_entry(&self, index: usize) {
        let removed = self.vms[index].entry;
        let mut entries = self.entries.lock().expect("the lock is not poisoned");
        entries.retain(|entry| *entry != removed);
    }

    /// Kills a VM and removes its entry.
    pub fn kill_vm(&mut self, index: usize) {
        self.remove_entry(index);
        self.vms[index].kill();
    }

    /// Kills a VM and starts a new one at its index.
    pub async fn replace_vm(&mut self, index: usize) {
        self.kill_vm(index);
        let vm = self.start_vm(index).await;
        self.entries
            .lock()
            .expect("the lock is not poisoned")
            .push(vm.entry);
        let old = std::mem::replace(&mut self.vms[index], vm);
        self.replaced_tallies.push(old.backend.tally());
    }

    /// Tallies of all present and replaced backend servers, after a wait for late runs.
    pub async fn tallies(&self) -> Vec<BackendTally> {
        sleep(LATE_RUN_TIME).await;
        let present = self.vms.iter().map(|vm| vm.backend.tally());
        self.replaced_tallies
            .iter()
            .cloned()
            .chain(present)
            .collect()
    }

    /// Waits until every node that runs has this revision in force.
    pub async fn wait_until_in_force(&self, revision: u64) {
        wait_until("the revision is in force everywhere", || {
            self.boards()
                .iter()
                .all(|board| board.facts().in_force == revision)
        })
        .await;
    }

    /// Waits until every node knows every service and every target.
    async fn wait_until_targets_known(&self) {
        wait_until("every node knows every target", || {
            self.daemons().all(|daemon| {
                let state = daemon.state();
                state.plan().services.len() == 2
                    && state.routes().targets().len() == 2 * VMS_PER_SERVICE
            })
        })
        .await;
    }

    /// Waits until a booking succeeds through every entry, which needs settled partitions.
    async fn wait_until_bookings_succeed(&self) {
        let start = Instant::now();
        // A success doesn't show that all partitions are settled: another host may have refused the
        // booking before.
        while self.daemons().any(|node| node.unsettled_partitions() > 0) {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "a partition stays unsettled"
            );
            sleep(Duration::from_millis(20)).await;
        }
        for (index, vm) in self.vms.iter().enumerate() {
            let mut number = 0;
            loop {
                let key = format!("first-{index}-{number}");
                let record = call(CallKind::Booking, key, &[vm.entry]).await;
                if record.results.iter().any(SendResult::is_success) {
                    break;
                }
                assert!(
                    start.elapsed() < WAIT_TIMEOUT,
                    "no booking succeeds: {record:?}"
                );
                number += 1;
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Starts the VM at `index`.
    async fn start_vm(&self, index: usize) -> SiteVm {
        let domain = DomainName::new(format!("domain-{}", index % DOMAINS));
        let mut settings =
            DaemonSettings::on_loopback(SiteName::from(SITE), domain).with_ip(unique_loopback());
        settings.store = vec![self.store.address()];
        settings.announce_timeout = Duration::from_mins(1);
        settings.seed_peers = self.seed_peers();
        let service = if index < VMS_PER_SERVICE {
            "windows"
        } else {
            "bookings"
        };
        let plan = BackendPlan {
            service_time: Duration::from_millis(20),
            spread: 0.3,
            seed: index as u64,
            ..BackendPlan::default()
        };
        SiteVm::start(service, settings, plan).await
    }

    /// Peer addresses of up to two running nodes, through which a new node joins.
    fn seed_peers(&self) -> Vec<SocketAddr> {
        let peers = self.daemons().map(|daemon| daemon.addresses().peers);
        peers.take(2).collect()
    }
}

/// Deadline of bookings in the configuration in force.
pub fn booking_deadline(daemon: &Daemon) -> Duration {
    let plan = daemon.state().plan();
    plan.services[&ServiceName::from("bookings")]
        .default_route
        .deadline
}

/// Waits until the condition holds.
pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "not within {WAIT_TIMEOUT:?}: {description}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// A configuration of both services with this deadline.
fn configuration(deadline_ms: u64) -> ConfigSet {
    let service = |prefix: &str, idempotency: &str| {
        format!(
            r#""{prefix}": {{
                "path_prefixes": ["/{prefix}"],
                "default_route": {{
                    "idempotency": "{idempotency}", "deadline_ms": {deadline_ms}
                }},
                "probe": {{ "budget_ms_per_s": {PROBE_BUDGET_MS_PER_S} }}
            }}"#
        )
    };
    let windows = service("windows", "idempotent");
    let bookings = service("bookings", "non-idempotent");
    let text = format!(r#"{{ "services": {{ {windows}, {bookings} }} }}"#);
    let base = Document::parse("base.json", &text).expect("valid JSON");
    let overlay = format!(r#"{{ "site": "{SITE}" }}"#);
    let overlay = Document::parse("test.json", &overlay).expect("valid JSON");
    ConfigSet::check(&base, &[overlay]).expect("a valid configuration")
}
