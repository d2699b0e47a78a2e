//! A small site: a store, and six VMs of two services in three failure domains.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fescueway_config::{ConfigSet, Document};
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_platform::{StoreClient, StoreSettings};
use fescueway_rollout::{ApplyOutcome, ApplyPlan, driver};
use fescueway_testkit::{BackendPlan, BackendTally, StoreFaults, StoreStub, own_loopback};
use fescuewayd::{Daemon, DaemonSettings, StatusBoard};
use tokio::time::{Instant, sleep};

use crate::{
    call_record::SendEnd,
    caller::{CallKind, call},
    load_plan::EntryList,
    site_vm::SiteVm,
};

/// Failure domains.
pub const DOMAINS: usize = 3;

/// VMs of each service, one in each failure domain.
const VMS_PER_SERVICE: usize = 3;

/// Time that probes may take of each target, in milliseconds per second.
pub const PROBE_BUDGET_MS: f64 = 5.0;

/// Deadline of every request: far above what any takes, so that none runs out.
pub const DEADLINE_MS: u64 = 10_000;

/// The site's name.
const SITE: &str = "test";

/// Longest wait for what happens by itself.
const LIMIT: Duration = Duration::from_secs(20);

/// Time in which a request that was given up would begin to run late.
const LATE_RUNS: Duration = Duration::from_millis(500);

/// A small site.
#[derive(Debug)]
pub struct FaultSite {
    /// When it was started.
    pub start: Instant,
    /// The store.
    pub store: StoreStub,
    /// The VMs: those that serve reads, then those that serve bookings.
    pub vms: Vec<SiteVm>,
    /// Entries that callers use.
    pub entries: EntryList,
    /// What backend servers of replaced VMs counted.
    past: Vec<BackendTally>,
}

impl FaultSite {
    /// Starts all, and waits until every node knows every target.
    pub async fn start() -> Self {
        let store = StoreStub::start().await.expect("a port");
        let mut site = Self {
            start: Instant::now(),
            store,
            vms: Vec::new(),
            entries: Arc::default(),
            past: Vec::new(),
        };
        let outcome = site.apply("first", DEADLINE_MS, None).await;
        assert_eq!(outcome, ApplyOutcome::Accepted(1));
        for index in 0..2 * VMS_PER_SERVICE {
            let vm = site.start_vm(index).await;
            site.vms.push(vm);
        }
        let entries = site.vms.iter().map(|vm| vm.entry).collect();
        site.entries = Arc::new(Mutex::new(entries));
        site.wait_until_whole().await;
        site.wait_until_booked().await;
        site
    }

    /// Has the store accept a configuration, as `fescueway apply` does.
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
        driver::apply(&self.store_client(), plan, LIMIT).await
    }

    /// A client of the store.
    pub fn store_client(&self) -> StoreClient {
        let settings = StoreSettings::try_from(vec![self.store.address()]);
        StoreClient::new(settings.expect("one address"))
    }

    /// The store is cut off, or back.
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

    /// What the nodes tell operators.
    pub fn boards(&self) -> Vec<StatusBoard> {
        self.daemons()
            .map(|daemon| daemon.board().clone())
            .collect()
    }

    /// The node of a VM.
    pub fn daemon(&self, index: usize) -> &Daemon {
        self.vms[index].daemon.as_ref().expect("the node runs")
    }

    /// Callers use the entry of this VM no more.
    pub fn leave_entry(&self, index: usize) {
        let gone = self.vms[index].entry;
        let mut entries = self.entries.lock().expect("no panic");
        entries.retain(|entry| *entry != gone);
    }

    /// A VM goes away at once; callers use its entry no more.
    pub fn kill_vm(&mut self, index: usize) {
        self.leave_entry(index);
        self.vms[index].kill();
    }

    /// A new VM takes the place of one.
    pub async fn replace_vm(&mut self, index: usize) {
        self.kill_vm(index);
        let vm = self.start_vm(index).await;
        self.entries.lock().expect("no panic").push(vm.entry);
        let old = std::mem::replace(&mut self.vms[index], vm);
        self.past.push(old.backend.tally());
    }

    /// What all backend servers counted that ever were here, once none begins late.
    pub async fn tallies(&self) -> Vec<BackendTally> {
        sleep(LATE_RUNS).await;
        let present = self.vms.iter().map(|vm| vm.backend.tally());
        self.past.iter().cloned().chain(present).collect()
    }

    /// Waits until every node that runs has this revision in force.
    pub async fn wait_until_in_force(&self, revision: u64) {
        within("the revision is in force everywhere", || {
            self.boards()
                .iter()
                .all(|board| board.facts().in_force == revision)
        })
        .await;
    }

    /// Waits until every node knows every service and every target.
    async fn wait_until_whole(&self) {
        within("every node knows every target", || {
            self.daemons().all(|daemon| {
                let state = daemon.state();
                state.plan().services.len() == 2
                    && state.routes().targets().len() == 2 * VMS_PER_SERVICE
            })
        })
        .await;
    }

    /// Waits until every entry has bookings served, for which the homes of the keys must be held.
    async fn wait_until_booked(&self) {
        let start = Instant::now();
        // A booking that succeeds may have been refused by another host before.
        while self.daemons().any(|node| node.unsettled_partitions() > 0) {
            assert!(start.elapsed() < LIMIT, "a partition stays closed");
            sleep(Duration::from_millis(20)).await;
        }
        for (index, vm) in self.vms.iter().enumerate() {
            let mut number = 0;
            loop {
                let key = format!("first-{index}-{number}");
                let record = call(CallKind::Booking, key, &[vm.entry]).await;
                if record.ends.iter().any(SendEnd::is_success) {
                    break;
                }
                assert!(start.elapsed() < LIMIT, "no bookings: {record:?}");
                number += 1;
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Starts the VM at `index`.
    async fn start_vm(&self, index: usize) -> SiteVm {
        let domain = DomainName::new(format!("domain-{}", index % DOMAINS));
        let mut settings =
            DaemonSettings::on_loopback(SiteName::from(SITE), domain).with_ip(own_loopback());
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

    /// Two nodes to join through.
    fn seed_peers(&self) -> Vec<SocketAddr> {
        let peers = self.daemons().map(|daemon| daemon.addresses().peers);
        peers.take(2).collect()
    }
}

/// The deadline that the configuration in force gives bookings.
pub fn booking_deadline(daemon: &Daemon) -> Duration {
    let plan = daemon.state().plan();
    plan.services[&ServiceName::from("bookings")]
        .default_route
        .deadline
}

/// Waits until `is_so`.
pub async fn within(what: &str, mut is_so: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_so() {
        assert!(start.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// The configuration with this deadline.
fn configuration(deadline_ms: u64) -> ConfigSet {
    let service = |prefix: &str, idempotency: &str| {
        format!(
            r#""{prefix}": {{
                "path_prefixes": ["/{prefix}"],
                "default_route": {{
                    "idempotency": "{idempotency}", "deadline_ms": {deadline_ms}
                }},
                "probe": {{ "budget_ms_per_s": {PROBE_BUDGET_MS} }}
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
