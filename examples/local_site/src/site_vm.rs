//! One VM of the site: a backend server and the node beside it.

use std::net::SocketAddr;

use eyre::Result;
use fescueway_core::ServiceName;
use fescueway_testkit::{BackendPlan, BackendStub, BackendTally};
use fescuewayd::{Daemon, DaemonSettings};

use crate::{announcer::Announcer, site_spec::ServiceSpec};

/// One VM of the site: a backend server and the node beside it.
#[derive(Debug)]
pub struct SiteVm {
    /// The service that the backend server serves.
    service: ServiceSpec,
    /// The node.
    daemon: Daemon,
    /// The backend server.
    backend: BackendStub,
    /// Announces the backend server to its node.
    announcer: Announcer,
    /// Counters of the backend servers that this one replaced.
    replaced_tallies: Vec<BackendTally>,
}

impl SiteVm {
    /// Starts a node and a backend server that announces itself to it.
    pub async fn start(
        service: &ServiceSpec,
        plan: BackendPlan,
        settings: DaemonSettings,
    ) -> Result<Self> {
        let daemon = Daemon::start(settings).await?;
        let backend = BackendStub::start(plan).await?;
        let announcer = Announcer::start(daemon.addresses().backends, service, backend.address());
        let service = service.clone();
        Ok(Self {
            service,
            daemon,
            backend,
            announcer,
            replaced_tallies: Vec::new(),
        })
    }

    /// The node.
    pub fn daemon(&self) -> &Daemon {
        &self.daemon
    }

    /// The service that its backend server serves.
    pub fn service(&self) -> &ServiceSpec {
        &self.service
    }

    /// The address at which its node accepts callers.
    pub fn entry(&self) -> SocketAddr {
        self.daemon.addresses().callers
    }

    /// Drains the backend server.
    pub fn drain(&self) {
        self.daemon
            .state()
            .drain(&ServiceName::from(self.service.name));
    }

    /// Ends the drain of the backend server.
    pub fn undrain(&self) {
        self.daemon
            .state()
            .undrain(&ServiceName::from(self.service.name));
    }

    /// Sets the factor on its service times from the next request on.
    pub fn set_slowdown(&self, factor: f64) {
        self.backend.change(|plan| plan.slowdown = factor);
    }

    /// Crashes the backend server and stops its announcements.
    pub fn kill_backend(&mut self) {
        self.announcer.stop();
        self.backend.crash();
    }

    /// Starts a backend server in place of the crashed one.
    pub async fn replace_backend(&mut self, plan: BackendPlan) -> Result<()> {
        self.replaced_tallies.push(self.backend.tally());
        self.backend = BackendStub::start(plan).await?;
        let node = self.daemon.addresses().backends;
        self.announcer = Announcer::start(node, &self.service, self.backend.address());
        Ok(())
    }

    /// Counters of its backend servers, including replaced ones.
    pub fn tallies(&self) -> Vec<BackendTally> {
        let mut tallies = self.replaced_tallies.clone();
        tallies.push(self.backend.tally());
        tallies
    }

    /// Stops the node gracefully.
    pub async fn stop(self) {
        self.announcer.stop();
        self.daemon.stop().await;
    }
}
