//! Asks the backend server beside the node for the pace of work when requests wait for that.
//!
//! Neighbours on a VM come and go within some hundred milliseconds, and a request keeps the pace at which
//! it began. So its gate lets none begin by a report that is older than some milliseconds.

use std::{sync::Arc, time::Duration};

use fescueway_core::ServiceName;
use fescueway_proxy::{HostTarget, LoadReader, ProxyState};
use tokio::time::{sleep, timeout};

use crate::backend_inquiry::InquiryLine;

/// Time within which a backend server has to answer.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Time after which a backend server that didn't answer is asked again.
const AGAIN_INTERVAL: Duration = Duration::from_millis(50);

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
        let mut announced = self.proxy.announced();
        loop {
            tokio::select! {
                () = target.load_query_due() => self.ask(service, target, &mut line).await,
                changed = announced.changed() => if changed.is_err() {
                    return;
                }
            }
            let current = self.proxy.host_target(service);
            if !current.is_some_and(|current| Arc::ptr_eq(&current, target)) {
                return;
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
            sleep(AGAIN_INTERVAL).await;
            return;
        };
        let load = answer.headers.get(&self.proxy.profile().load);
        if let Some(load) = load.and_then(|field| (self.read)(field.as_bytes())) {
            target.learn_load(&load);
        }
    }
}
