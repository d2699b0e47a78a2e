//! What is in force at one site.

use std::{collections::BTreeMap, sync::Arc};

use fescueway_core::{ServiceName, SiteName};

use crate::ServicePlan;

/// The checked configuration of one site: the base with the site's overlay merged into it.
#[derive(Clone, Debug, PartialEq)]
pub struct SitePlan {
    /// The site.
    pub site: SiteName,
    /// Every service of the site.
    pub services: BTreeMap<ServiceName, Arc<ServicePlan>>,
}

impl SitePlan {
    /// The plan of a site without services.
    #[must_use]
    pub fn empty(site: SiteName) -> Self {
        Self {
            site,
            services: BTreeMap::new(),
        }
    }

    /// The service that serves `path` of `host`: the longest path prefix wins, and of equally
    /// long ones the first name.
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
}
