//! The site: a store, its VMs and their configuration.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eyre::{Result, eyre};
use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::SiteName;
use fescueway_platform::{StoreClient, StoreSettings};
use fescueway_rollout::{ApplyOutcome, ApplyPlan, driver};
use fescueway_testkit::{BackendTally, StoreFaults, StoreStub};
use fescuewayd::DaemonSettings;
use tokio::time::{Instant, sleep};

use crate::{fault_schedule::FaultStep, site_spec::SiteSpec, site_vm::SiteVm, warm_up::warm_up};

/// Number of nodes that serve as seeds to the others.
const SEED_NODES: usize = 2;

/// How long the site may take to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// How long the store may take to accept the configuration.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// Interval between checks whether the site is ready.
const READY_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Factor on the service times of a straggler.
const STRAGGLER_FACTOR: f64 = 10.0;

/// The site: a store, its VMs and their configuration.
#[derive(Debug)]
pub struct LocalSite {
    /// The specification of the site.
    spec: SiteSpec,
    /// The store.
    store: StoreStub,
    /// The configuration in force.
    plan: SitePlan,
    /// VMs, ordered by service.
    vms: Vec<SiteVm>,
}

impl LocalSite {
    /// Starts the store, applies the configuration, starts the VMs and waits until all are ready.
    pub async fn start(spec: &SiteSpec) -> Result<Self> {
        let store = StoreStub::start().await?;
        let config = check_config(spec)?;
        apply_config(&store, &config).await?;
        let plan = config.sites().get(spec.site).cloned();
        let plan = plan.ok_or_else(|| eyre!("the configuration lacks site {}", spec.site))?;
        let mut site = Self {
            spec: spec.clone(),
            store,
            plan,
            vms: Vec::new(),
        };
        let mut seeds = Vec::new();
        for service in &spec.services {
            for position in 0..service.targets {
                let settings = site.settings(position, &seeds);
                let seed = site.vms.len() as u64 + 1;
                let backend = service.backend_plan(spec.probe_time, seed);
                let vm = SiteVm::start(service, backend, settings).await?;
                if seeds.len() < SEED_NODES {
                    seeds.push(vm.daemon().addresses().peers);
                }
                site.vms.push(vm);
            }
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    /// Addresses of the entries, one for each VM.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(SiteVm::entry).collect()
    }

    /// Counters of the backend servers of a service.
    pub fn tallies(&self, service: &str) -> Vec<BackendTally> {
        let vms = self.vms.iter().filter(|vm| vm.service().name == service);
        vms.flat_map(SiteVm::tallies).collect()
    }

    /// The configured probe budget of each target, in milliseconds per second.
    pub fn probe_budget(&self, service: &str) -> f64 {
        self.plan
            .services
            .get(service)
            .map_or(0.0, |plan| plan.probe.budget_ms_per_s)
    }

    /// Applies a step of the schedule.
    pub async fn apply_step(&mut self, step: FaultStep) -> Result<()> {
        let killed_index = self
            .spec
            .services
            .first()
            .map_or(0, |service| service.targets);
        match step {
            FaultStep::Drain => self.vm(0)?.drain(),
            FaultStep::Undrain => self.vm(0)?.undrain(),
            FaultStep::Slow => self.vm(1)?.set_slowdown(STRAGGLER_FACTOR),
            FaultStep::Recover => self.vm(1)?.set_slowdown(1.0),
            FaultStep::Kill => self.vm(killed_index)?.kill_backend(),
            FaultStep::Replace => {
                let probe_time = self.spec.probe_time;
                let vm = self.vm(killed_index)?;
                let plan = vm.service().backend_plan(probe_time, 1_000);
                vm.replace_backend(plan).await?;
            }
            FaultStep::StoreDown => {
                self.store.set_faults(StoreFaults {
                    is_down: true,
                    ..StoreFaults::default()
                });
            }
            FaultStep::StoreUp => self.store.set_faults(StoreFaults::default()),
        }
        Ok(())
    }

    /// Prints the listening addresses.
    pub fn print_addresses(&self) {
        println!("store     {}", self.store.address());
        for vm in &self.vms {
            let addresses = vm.daemon().addresses();
            println!(
                "{:<18} callers {}  operators {}  host header {}  path {}",
                vm.service().name,
                addresses.callers,
                addresses.operators,
                vm.service().authority,
                vm.service().path,
            );
        }
        println!("stop with Ctrl-C");
    }

    /// Stops every node gracefully, one after another.
    pub async fn stop(self) {
        for vm in self.vms {
            vm.stop().await;
        }
    }

    /// The VM at `index`.
    fn vm(&mut self, index: usize) -> Result<&mut SiteVm> {
        self.vms
            .get_mut(index)
            .ok_or_else(|| eyre!("the site has no VM number {index}"))
    }

    /// Settings of the node at `position` within its service.
    fn settings(&self, position: usize, seeds: &[SocketAddr]) -> DaemonSettings {
        let domain = self.spec.domains[position % self.spec.domains.len()];
        let site = SiteName::from(self.spec.site);
        let mut settings = DaemonSettings::on_loopback(site, domain.into());
        settings.store = vec![self.store.address()];
        settings.seed_peers = seeds.to_vec();
        settings
    }

    /// Waits until every node knows every target and bookings run.
    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        while !self.vms.iter().all(|vm| self.is_ready(vm)) {
            eyre::ensure!(
                Instant::now() < deadline,
                "the site is not up after {START_LIMIT:?}"
            );
            sleep(READY_POLL_PERIOD).await;
        }
        let entry = self.vms.first().map(SiteVm::entry);
        let entry = entry.ok_or_else(|| eyre!("the site has no VM"))?;
        warm_up(&self.spec.services, entry, deadline).await
    }

    /// Whether a node knows every target and every service.
    fn is_ready(&self, vm: &SiteVm) -> bool {
        let state = vm.daemon().state();
        let is_in_force = state.plan().services.len() == self.spec.services.len();
        is_in_force && state.routes().targets().len() == self.vms.len()
    }
}

/// Parses and checks the configuration of the site.
fn check_config(spec: &SiteSpec) -> Result<ConfigSet> {
    let base = Document::parse("base.json", spec.base)?;
    let overlay = Document::parse("overlay.json", spec.overlay)?;
    let checked = ConfigSet::check(&base, &[overlay]);
    checked.map_err(|errors| eyre!("{}", errors[0]))
}

/// Applies the configuration to the store, as `fescueway apply` does.
async fn apply_config(store: &StoreStub, config: &ConfigSet) -> Result<()> {
    let addresses = vec![store.address()];
    let settings = StoreSettings::try_from(addresses).map_err(|error| eyre!(error))?;
    let plan = ApplyPlan {
        values: config.service_values(),
        operator: "local_site".into(),
        operation: "first".into(),
        unix_time_s: SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs(),
        note: "the site comes up".into(),
        base: None,
    };
    let outcome = driver::apply(&StoreClient::new(settings), plan, APPLY_LIMIT).await;
    eyre::ensure!(
        outcome == ApplyOutcome::Accepted(1),
        "the configuration: {outcome:?}"
    );
    Ok(())
}
