//! The configuration that a node has in force, with the revision of each change.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fescueway_core::{ConfigMark, ServiceName};

use crate::{ConfigHead, ConfigReply};

/// The canonical form of each service of a site.
pub type SiteValues = BTreeMap<ServiceName, Arc<[u8]>>;

/// The configuration that a node has in force, with the revision of each change.
#[derive(Clone, Debug)]
pub struct HeldConfig {
    /// The head.
    pub head: ConfigHead,
    /// Identifies the head.
    pub mark: ConfigMark,
    /// The values of the site's services.
    pub values: SiteValues,
    /// The revision with which this node received the last change of each service.
    changed_at: BTreeMap<ServiceName, u64>,
    /// The revision with which this node received the removal of each service.
    removed_at: BTreeMap<ServiceName, u64>,
    /// The first revision that this node had in force. Earlier changes are unknown.
    first_revision: u64,
}

impl HeldConfig {
    /// The first configuration that the node has in force.
    pub const fn new(head: ConfigHead, mark: ConfigMark, values: SiteValues) -> Self {
        Self {
            head,
            values,
            changed_at: BTreeMap::new(),
            removed_at: BTreeMap::new(),
            first_revision: mark.revision,
            mark,
        }
    }

    /// Replaces the configuration by a newer one and records what changed.
    pub fn replaced(mut self, head: ConfigHead, mark: ConfigMark, values: SiteValues) -> Self {
        let names: BTreeSet<_> = self.values.keys().chain(values.keys()).cloned().collect();
        for name in names {
            match (self.values.get(&name), values.get(&name)) {
                (Some(old), Some(new)) if old == new => {}
                (_, Some(_)) => {
                    self.removed_at.remove(&name);
                    self.changed_at.insert(name, mark.revision);
                }
                (_, None) => {
                    self.changed_at.remove(&name);
                    self.removed_at.insert(name, mark.revision);
                }
            }
        }
        Self {
            head,
            mark,
            values,
            ..self
        }
    }

    /// The reply for a node that has the revision `have`.
    pub fn reply(&self, have: u64) -> ConfigReply {
        let is_full = have < self.first_revision;
        let is_after = |at: Option<&u64>| at.is_some_and(|at| *at > have);
        let values = self.values.iter();
        let changed = values.filter(|(name, _)| is_full || is_after(self.changed_at.get(*name)));
        let removed = self.removed_at.iter();
        let removed = removed.filter(|(_, at)| !is_full && is_after(Some(at)));
        ConfigReply {
            head: self.head.clone(),
            is_full,
            values: changed
                .map(|(name, bytes)| (name.clone(), bytes.to_vec()))
                .collect(),
            removed: removed.map(|(name, _)| name.clone()).collect(),
        }
    }
}
