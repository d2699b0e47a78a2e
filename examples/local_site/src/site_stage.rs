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

use crate::{
    fault_schedule::FaultStep, site_shape::SiteShape, stage_vm::StageVm, warm_up::warm_up,
};

/// Nodes that others join through.
const SEED_NODES: usize = 2;

/// How long the site may take to come up.
const START_LIMIT: Duration = Duration::from_secs(20);

/// How long the store may take to accept the configuration.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// How often it is looked whether the site is up.
const START_POLL: Duration = Duration::from_millis(50);

/// How much slower a straggler is.
const STRAGGLER_FACTOR: f64 = 10.0;

/// The site: a store, its VMs and their configuration.
#[derive(Debug)]
pub struct SiteStage {
    /// What it was made from.
    shape: SiteShape,
    /// The store.
    store: StoreStub,
    /// The configuration in force.
    plan: SitePlan,
    /// VMs, those of the first service first.
    vms: Vec<StageVm>,
}

impl SiteStage {
    /// Starts the store and every VM, applies the configuration, and waits until all is in force.
    pub async fn start(shape: &SiteShape) -> Result<Self> {
        let store = StoreStub::start().await?;
        let config = check_config(shape)?;
        apply_config(&store, &config).await?;
        let plan = config.sites().get(shape.site).cloned();
        let plan = plan.ok_or_else(|| eyre!("the configuration lacks site {}", shape.site))?;
        let mut stage = Self {
            shape: shape.clone(),
            store,
            plan,
            vms: Vec::new(),
        };
        let mut seeds = Vec::new();
        for service in &shape.services {
            for position in 0..service.targets {
                let settings = stage.settings(position, &seeds);
                let seed = stage.vms.len() as u64 + 1;
                let backend = service.backend_plan(shape.probe_time, seed);
                let vm = StageVm::start(service, backend, settings).await?;
                if seeds.len() < SEED_NODES {
                    seeds.push(vm.daemon().addresses().peers);
                }
                stage.vms.push(vm);
            }
        }
        stage.wait_until_up().await?;
        Ok(stage)
    }

    /// Where callers are taken, an entry for each VM.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(StageVm::entry).collect()
    }

    /// What the backend servers of a service counted.
    pub fn tallies(&self, service: &str) -> Vec<BackendTally> {
        let own = self.vms.iter().filter(|vm| vm.service().name == service);
        own.flat_map(StageVm::tallies).collect()
    }

    /// What the configuration allows for probes of each target, in milliseconds per second.
    pub fn probe_budget(&self, service: &str) -> f64 {
        self.plan
            .services
            .get(service)
            .map_or(0.0, |plan| plan.probe.budget_ms_per_s)
    }

    /// Takes a step of the schedule.
    pub async fn take(&mut self, step: FaultStep) -> Result<()> {
        let other = self
            .shape
            .services
            .first()
            .map_or(0, |service| service.targets);
        match step {
            FaultStep::Drain => self.vm(0)?.drain(),
            FaultStep::Undrain => self.vm(0)?.undrain(),
            FaultStep::Slow => self.vm(1)?.slow_down(STRAGGLER_FACTOR),
            FaultStep::Recover => self.vm(1)?.slow_down(1.0),
            FaultStep::Kill => self.vm(other)?.kill_backend(),
            FaultStep::Replace => {
                let probe_time = self.shape.probe_time;
                let vm = self.vm(other)?;
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

    /// Prints where everything listens.
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

    /// Stops every node in order.
    pub async fn stop(self) {
        for vm in self.vms {
            vm.stop().await;
        }
    }

    /// The VM at `index`.
    fn vm(&mut self, index: usize) -> Result<&mut StageVm> {
        self.vms
            .get_mut(index)
            .ok_or_else(|| eyre!("the site has no VM number {index}"))
    }

    /// Settings of the node of a VM.
    fn settings(&self, position: usize, seeds: &[SocketAddr]) -> DaemonSettings {
        let domain = self.shape.domains[position % self.shape.domains.len()];
        let site = SiteName::from(self.shape.site);
        let mut settings = DaemonSettings::on_loopback(site, domain.into());
        settings.store = vec![self.store.address()];
        settings.seed_peers = seeds.to_vec();
        settings
    }

    /// Waits until every node knows every target, and bookings run.
    async fn wait_until_up(&self) -> Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        while !self.vms.iter().all(|vm| self.is_complete(vm)) {
            eyre::ensure!(
                Instant::now() < deadline,
                "the site is not up after {START_LIMIT:?}"
            );
            sleep(START_POLL).await;
        }
        let entry = self.vms.first().map(StageVm::entry);
        let entry = entry.ok_or_else(|| eyre!("the site has no VM"))?;
        warm_up(&self.shape.services, entry, deadline).await
    }

    /// Whether a node knows every target and every service.
    fn is_complete(&self, vm: &StageVm) -> bool {
        let state = vm.daemon().state();
        let is_in_force = state.plan().services.len() == self.shape.services.len();
        is_in_force && state.routes().targets().len() == self.vms.len()
    }
}

/// The checked configuration of the shape.
fn check_config(shape: &SiteShape) -> Result<ConfigSet> {
    let base = Document::parse("base.json", shape.base)?;
    let overlay = Document::parse("overlay.json", shape.overlay)?;
    let checked = ConfigSet::check(&base, &[overlay]);
    checked.map_err(|errors| eyre!("{}", errors[0]))
}

/// Has the store accept the configuration, as `fescueway apply` does.
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
