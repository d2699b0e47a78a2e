//! Queries the local backend server for its work pace when requests wait for it.
//!
//! Other load on a VM comes and goes within some hundred milliseconds, and a request keeps the pace at
//! which it began. So the admission gate starts no request based on a report that is older than
//! some milliseconds.

use std::{sync::Arc, time::Duration};

use fescueway_core::ServiceName;
use fescueway_proxy::{HostTarget, LoadReader, ProxyState};
use tokio::time::{sleep, timeout};

use crate::backend_query::QueryConnection;

/// Timeout of a query.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before a failed query is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Queries the work pace. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PaceTask {
    /// The proxy.
    proxy: ProxyState,
    /// Parses the load header field.
    read_load: LoadReader,
}

impl PaceTask {
    /// Starts the task if the profile defines a load header field with a pace.
    pub fn start(proxy: &ProxyState) {
        let Some(read_load) = proxy.profile().read_load else {
            return;
        };
        let task = Self {
            proxy: proxy.clone(),
            read_load,
        };
        proxy.tasks().spawn(task.run());
    }

    /// Follows the current local backend server.
    async fn run(self) {
        let mut announced = self.proxy.announced();
        loop {
            let service = self.proxy.local_services().into_iter().next();
            let target = service
                .as_ref()
                .and_then(|name| self.proxy.host_target(name));
            match service.zip(target) {
                Some((service, target)) => self.query_target(&service, &target).await,
                None if announced.changed().await.is_err() => return,
                None => {}
            }
        }
    }

    /// Queries a target while it is the current one.
    async fn query_target(&self, service: &ServiceName, target: &Arc<HostTarget>) {
        let mut connection = QueryConnection::new(target.pool().address());
        // A request that starts before the pace is known may run slowly until it ends.
        self.query(service, target, &mut connection).await;
        let mut announced = self.proxy.announced();
        loop {
            tokio::select! {
                () = target.load_query_due() => self.query(service, target, &mut connection).await,
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

    /// Sends one query.
    async fn query(
        &self,
        service: &ServiceName,
        target: &HostTarget,
        connection: &mut QueryConnection,
    ) {
        let plan = self.proxy.plan();
        let Some(service) = plan.services.get(service) else {
            return;
        };
        target.begin_load_query();
        // A backend server that doesn't answer is detected by the requests to it.
        let Ok(Ok(answer)) = timeout(
            ANSWER_TIMEOUT,
            connection.query(&self.proxy, &service.probe.path),
        )
        .await
        else {
            sleep(RETRY_DELAY).await;
            return;
        };
        answer.apply_statement(&self.proxy, &service.name, target);
        let load = answer.headers.get(&self.proxy.profile().load);
        if let Some(load) = load.and_then(|field| (self.read_load)(field.as_bytes())) {
            target.learn_load(&load);
        }
    }
}
