//! One VM of the site: a backend server and the node beside it.

use std::net::SocketAddr;

use eyre::Result;
use fescueway_core::ServiceName;
use fescueway_testkit::{BackendPlan, BackendStub, BackendTally};
use fescuewayd::{Daemon, DaemonSettings};

use crate::{announcer::Announcer, site_shape::ServiceShape};

/// One VM of the site: a backend server and the node beside it.
#[derive(Debug)]
pub struct StageVm {
    /// The service that the backend server serves.
    service: ServiceShape,
    /// The node.
    daemon: Daemon,
    /// The backend server.
    backend: BackendStub,
    /// Announces the backend server to its node.
    announcer: Announcer,
    /// What backend servers before this one counted.
    past: Vec<BackendTally>,
}

impl StageVm {
    /// Starts a node and a backend server that announces itself to it.
    pub async fn start(
        service: &ServiceShape,
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
            past: Vec::new(),
        })
    }

    /// The node.
    pub fn daemon(&self) -> &Daemon {
        &self.daemon
    }

    /// The service that its backend server serves.
    pub fn service(&self) -> &ServiceShape {
        &self.service
    }

    /// Where its node takes callers.
    pub fn entry(&self) -> SocketAddr {
        self.daemon.addresses().callers
    }

    /// The backend server takes nothing new.
    pub fn drain(&self) {
        self.daemon
            .state()
            .drain(&ServiceName::from(self.service.name));
    }

    /// The backend server takes work again.
    pub fn undrain(&self) {
        self.daemon
            .state()
            .undrain(&ServiceName::from(self.service.name));
    }

    /// Multiplies its service times from the next request on.
    pub fn slow_down(&self, factor: f64) {
        self.backend.change(|plan| plan.slowdown = factor);
    }

    /// The backend server crashes, and announces itself no more.
    pub fn kill_backend(&mut self) {
        self.announcer.stop();
        self.backend.crash();
    }

    /// Another backend server takes the place of the one that crashed.
    pub async fn replace_backend(&mut self, plan: BackendPlan) -> Result<()> {
        self.past.push(self.backend.tally());
        self.backend = BackendStub::start(plan).await?;
        let node = self.daemon.addresses().backends;
        self.announcer = Announcer::start(node, &self.service, self.backend.address());
        Ok(())
    }

    /// What its backend servers counted, all that were here.
    pub fn tallies(&self) -> Vec<BackendTally> {
        let mut tallies = self.past.clone();
        tallies.push(self.backend.tally());
        tallies
    }

    /// Stops the node in order.
    pub async fn stop(self) {
        self.announcer.stop();
        self.daemon.stop().await;
    }
}
