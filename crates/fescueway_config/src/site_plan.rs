//! The validated configuration of one site.

use std::{collections::BTreeMap, sync::Arc};

use fescueway_core::{ServiceName, SiteName};

use crate::{AccountDirectory, RoutePlan, ServicePlan};

/// The validated configuration of one site: the base with the site's overlay merged into it.
#[derive(Clone, Debug, PartialEq)]
pub struct SitePlan {
    /// The site.
    pub site: SiteName,
    /// Every service of the site.
    pub services: BTreeMap<ServiceName, Arc<ServicePlan>>,
    /// Routes by host, which take precedence over the path prefixes of the services. Each names its
    /// services in `split`. The routes of a host are sorted, the longest prefix first.
    pub host_routes: BTreeMap<Arc<str>, Vec<Arc<RoutePlan>>>,
    /// The client accounts; `None` at a site without accounts, where keys have no meaning. With an
    /// empty directory no key is valid.
    pub accounts: Option<Arc<AccountDirectory>>,
    /// The largest request body of any route, in bytes; `None` for the node's own limit.
    pub max_body_bytes: Option<u64>,
}

/// The route that matches a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The service that the route belongs to; `None` when its `split` names the services.
    pub owner: Option<&'a Arc<ServicePlan>>,
    /// The route.
    pub route: &'a RoutePlan,
}

impl SitePlan {
    /// Creates the plan of a site without services.
    #[must_use]
    pub fn empty(site: SiteName) -> Self {
        Self {
            site,
            services: BTreeMap::new(),
            host_routes: BTreeMap::new(),
            accounts: None,
            max_body_bytes: None,
        }
    }

    /// The service that serves `path` of `host`: the one with the longest matching path prefix, and
    /// of equally long ones the first by name.
    #[must_use]
    pub fn service_for(&self, host: &str, path: &str) -> Option<&Arc<ServicePlan>> {
        let matches = self.services.values().filter_map(|plan| {
            let length = plan.match_length(host, path)?;
            Some((length, plan))
        });
        matches
            .reduce(|best, next| if next.0 > best.0 { next } else { best })
            .map(|found| found.1)
    }

    /// The route of a request: a matching route of its host, otherwise one of the service whose
    /// path prefix matches.
    #[must_use]
    pub fn route_for(&self, host: &str, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        let routes = self.host_routes.get(host).into_iter().flatten();
        let mut matching = routes.filter(|route| route.is_match(method, path));
        if let Some(route) = matching.next() {
            return Some(RouteMatch { owner: None, route });
        }
        let owner = self.service_for(host, path)?;
        Some(RouteMatch {
            owner: Some(owner),
            route: owner.route_for(method, path),
        })
    }
}
