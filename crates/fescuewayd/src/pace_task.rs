//! Asks the backend servers beside the node for the pace of work while no answer tells it.
//!
//! Neighbours on a VM come and go within some hundred milliseconds. While they do, a host refuses
//! what is better placed elsewhere, so that hardly an answer tells when they are gone.

use std::{sync::Arc, time::Duration};

use fescueway_core::ServiceName;
use fescueway_proxy::{HostTarget, LoadReader, ProxyState};
use tokio::time::{sleep, timeout};

use crate::backend_inquiry::InquiryLine;

/// Age of the last word at which a disturbed backend server is asked: work waits for the end of the
/// disturbance.
const DISTURBED_AGE: Duration = Duration::from_millis(25);

/// Age of the last word at which any other one is asked: a third of that time. What begins in between
/// runs slowly to its end.
const USUAL_AGE: Duration = Duration::from_millis(100);

/// Pace from which a backend server counts as disturbed, as a multiple of the usual time.
const DISTURBED_PACE: f64 = 1.25;

/// Time within which a backend server has to answer.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Asks for the pace of work. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PaceTask {
    /// The path of requests.
    proxy: ProxyState,
    /// Reads the load.
    read: LoadReader,
}

impl PaceTask {
    /// Starts to ask, where backend servers tell a pace.
    pub fn start(proxy: &ProxyState) {
        let Some(read) = proxy.profile().read_load else {
            return;
        };
        let task = Self {
            proxy: proxy.clone(),
            read,
        };
        proxy.tasks().spawn(task.look_after());
    }

    /// Follows the backend server beside the node.
    async fn look_after(self) {
        let mut announced = self.proxy.announced();
        loop {
            let service = self.proxy.local_services().into_iter().next();
            let target = service
                .as_ref()
                .and_then(|name| self.proxy.host_target(name));
            match service.zip(target) {
                Some((service, target)) => self.follow(&service, &target).await,
                None if announced.changed().await.is_err() => return,
                None => {}
            }
        }
    }

    /// Asks one target while it is the one in use.
    async fn follow(&self, service: &ServiceName, target: &Arc<HostTarget>) {
        let mut line = InquiryLine::new(target.pool().address());
        // What begins before the pace is known may run slowly to its end.
        self.ask(service, target, &mut line).await;
        loop {
            sleep(DISTURBED_AGE).await;
            let current = self.proxy.host_target(service);
            if !current.is_some_and(|current| Arc::ptr_eq(&current, target)) {
                return;
            }
            if is_due(target) {
                self.ask(service, target, &mut line).await;
            }
        }
    }

    /// Asks once.
    async fn ask(&self, service: &ServiceName, target: &HostTarget, line: &mut InquiryLine) {
        let plan = self.proxy.plan();
        let Some(service) = plan.services.get(service) else {
            return;
        };
        // One that doesn't answer is for the requests to find out.
        let Ok(Ok(answer)) = timeout(ANSWER_TIME, line.ask(&service.probe.path)).await else {
            return;
        };
        let load = answer.headers.get(&self.proxy.profile().load);
        if let Some(load) = load.and_then(|field| (self.read)(field.as_bytes())) {
            target.learn_load(&load);
        }
    }
}

/// Whether the last word of the pace of work is too old.
fn is_due(target: &HostTarget) -> bool {
    match target.told_pace() {
        // One that never told a pace is not asked for it.
        None => false,
        Some((pace, age)) if pace > DISTURBED_PACE => age >= DISTURBED_AGE,
        Some((_, age)) => age >= USUAL_AGE,
    }
}
