//! The state by which one node fetches and activates the newest configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fescueway_config::{ConfigSet, ServiceDigest, SitePlan};
use fescueway_core::{ConfigMark, MonoTime, SiteName};
use rand_core::Rng;

use crate::{
    ConfigHead, ConfigReply, ConfigRequest, SiteIndex,
    held_config::{HeldConfig, SiteValues},
};

/// Timeout of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum backoff after a failed fetch.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Backoff after the first failed fetch, before jitter. Doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Fetches from peers that must fail before the store is asked.
const PEER_ATTEMPTS: u32 = 3;

/// From then on, one in this many fetches goes to the store.
const STORE_ATTEMPT_INTERVAL: u32 = 4;

/// An event that a node's rollout handles.
#[derive(Clone, Debug)]
pub enum RolloutEvent {
    /// The mark of the configuration that a peer has in force.
    PeerMark(ConfigMark),
    /// A head that was read from the store or received from a watch.
    StoreHead(ConfigHead),
    /// The source replied to the fetch.
    Fetched(ConfigReply),
    /// The source didn't reply or returned an invalid reply.
    FetchFailed,
    /// Time has passed.
    Tick,
}

/// What the caller has to do for a node's rollout.
#[derive(Clone, Debug)]
pub enum RolloutAction {
    /// Fetch a configuration.
    Fetch {
        /// Where to fetch it.
        source: FetchSource,
        /// The request to send.
        request: ConfigRequest,
        /// The lowest revision that is useful.
        revision: u64,
    },
    /// This plan is in force now: route requests by it and announce its mark to the peers.
    PutInForce {
        /// The plan.
        plan: Arc<SitePlan>,
        /// Identifies the configuration.
        mark: ConfigMark,
    },
    /// A configuration is invalid; the previous one stays in force.
    Rejected {
        /// Its revision.
        revision: u64,
        /// Why it is invalid.
        reason: String,
    },
}

/// The source that a configuration is fetched from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FetchSource {
    /// Any peer of the site that has the revision in force.
    Peer,
    /// The platform's store.
    Store,
}

/// The configuration status that a node reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutStatus {
    /// The configuration in force at this node.
    pub in_force: ConfigMark,
    /// The newest configuration that this node knows of.
    pub newest: ConfigMark,
    /// Why a newer configuration was rejected, empty when none was.
    pub fault: String,
}

/// The state by which one node fetches and activates the newest configuration.
#[derive(Clone, Debug)]
pub struct RolloutState {
    site: SiteName,
    /// The configuration in force. Its revision never decreases.
    held: Option<HeldConfig>,
    /// The newest known configuration; never below the one in force.
    newest: ConfigMark,
    /// The last rejected revision, and why.
    rejected: Option<(u64, String)>,
    /// When the current fetch times out, `NEVER` without one.
    fetch_deadline: MonoTime,
    /// Earliest time of the next fetch.
    next_fetch_at: MonoTime,
    /// Consecutive failed fetches.
    failures: u32,
    /// Whether the newest head came from the store. If so, the store is asked before any peer.
    is_newest_in_store: bool,
    /// Whether the next fetch requests the full configuration, since an incremental reply did not
    /// match the configuration in force.
    is_full_fetch_needed: bool,
}

impl RolloutState {
    /// The state of a node of `site` without a configuration.
    #[must_use]
    pub fn new(site: SiteName) -> Self {
        Self {
            site,
            held: None,
            newest: ConfigMark::default(),
            rejected: None,
            fetch_deadline: MonoTime::NEVER,
            next_fetch_at: MonoTime::ZERO,
            failures: 0,
            is_newest_in_store: false,
            is_full_fetch_needed: false,
        }
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: RolloutEvent,
        random: &mut impl Rng,
    ) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        match event {
            RolloutEvent::PeerMark(mark) => self.update_newest(mark, false),
            RolloutEvent::StoreHead(head) => self.update_newest(head.mark(), true),
            RolloutEvent::Fetched(reply) => self.on_fetched(now, reply, random, &mut actions),
            RolloutEvent::FetchFailed => self.on_failed(now, random),
            RolloutEvent::Tick => {}
        }
        if self.fetch_deadline <= now {
            self.on_failed(now, random);
        }
        actions.extend(self.start_fetch(now));
        actions
    }

    /// When a [`RolloutEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        if self.fetch_deadline != MonoTime::NEVER {
            self.fetch_deadline
        } else if self.is_behind() {
            self.next_fetch_at
        } else {
            MonoTime::NEVER
        }
    }

    /// The configuration status of this node.
    #[must_use]
    pub fn status(&self) -> RolloutStatus {
        let fault = self.rejected.as_ref().map(|(_, reason)| reason.clone());
        RolloutStatus {
            in_force: self.in_force(),
            newest: self.newest,
            fault: fault.unwrap_or_default(),
        }
    }

    /// The canonical forms in force by digest. A fetch from the store skips these values.
    #[must_use]
    pub fn held_values(&self) -> BTreeMap<ServiceDigest, Arc<[u8]>> {
        let values = self.held.iter().flat_map(|held| held.values.values());
        values
            .map(|bytes| (ServiceDigest::of(bytes), Arc::clone(bytes)))
            .collect()
    }

    /// The reply to another node of the site. `None` when this node has nothing newer.
    #[must_use]
    pub fn answer(&self, request: &ConfigRequest) -> Option<ConfigReply> {
        let held = self.held.as_ref()?;
        let is_newer = request.site == self.site && request.have < held.mark.revision;
        is_newer.then(|| held.reply(request.have))
    }

    fn in_force(&self) -> ConfigMark {
        self.held
            .as_ref()
            .map_or_else(ConfigMark::default, |held| held.mark)
    }

    fn update_newest(&mut self, mark: ConfigMark, is_newest_in_store: bool) {
        if mark.revision > self.newest.revision {
            self.newest = mark;
            self.is_newest_in_store = is_newest_in_store;
            self.failures = 0;
        }
    }

    /// Whether a newer configuration is known that was not rejected.
    fn is_behind(&self) -> bool {
        let rejected = self.rejected.as_ref().map_or(0, |(revision, _)| *revision);
        self.newest.revision > self.in_force().revision.max(rejected)
    }

    fn start_fetch(&mut self, now: MonoTime) -> Option<RolloutAction> {
        let is_fetching = self.fetch_deadline != MonoTime::NEVER;
        if is_fetching || now < self.next_fetch_at || !self.is_behind() {
            return None;
        }
        self.fetch_deadline = now + FETCH_TIMEOUT;
        let peer_attempts = if self.is_newest_in_store {
            0
        } else {
            PEER_ATTEMPTS
        };
        let is_store = self.failures >= peer_attempts
            && (self.failures - peer_attempts).is_multiple_of(STORE_ATTEMPT_INTERVAL);
        let have = if self.is_full_fetch_needed {
            0
        } else {
            self.in_force().revision
        };
        Some(RolloutAction::Fetch {
            source: if is_store {
                FetchSource::Store
            } else {
                FetchSource::Peer
            },
            request: ConfigRequest {
                site: self.site.clone(),
                have,
            },
            revision: self.newest.revision,
        })
    }

    fn on_failed(&mut self, now: MonoTime, random: &mut impl Rng) {
        let doublings = self.failures.min(6);
        let backoff = (MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        let jitter = f64::from(random.next_u32()) / f64::from(u32::MAX);
        self.failures += 1;
        self.fetch_deadline = MonoTime::NEVER;
        self.next_fetch_at = now + backoff.mul_f64(0.5 + jitter / 2.0);
    }

    fn on_fetched(
        &mut self,
        now: MonoTime,
        reply: ConfigReply,
        random: &mut impl Rng,
        actions: &mut Vec<RolloutAction>,
    ) {
        let mark = reply.head.mark();
        if mark.revision <= self.in_force().revision {
            // A lagging peer or a stale read: the configuration in force stays.
            self.on_failed(now, random);
            return;
        }
        let Some(values) = self.merge_reply(&reply) else {
            self.is_full_fetch_needed = true;
            self.on_failed(now, random);
            return;
        };
        self.update_newest(mark, false);
        self.fetch_deadline = MonoTime::NEVER;
        self.next_fetch_at = now;
        self.failures = 0;
        self.is_full_fetch_needed = false;
        match self.build_plan(&values) {
            Ok(plan) => {
                self.rejected = None;
                let held = match self.held.take() {
                    Some(held) => held.replaced(reply.head, mark, values),
                    None => HeldConfig::new(reply.head, mark, values),
                };
                self.held = Some(held);
                let plan = Arc::new(plan);
                actions.push(RolloutAction::PutInForce { plan, mark });
            }
            Err(reason) => {
                let revision = mark.revision;
                self.rejected = Some((revision, reason.clone()));
                actions.push(RolloutAction::Rejected { revision, reason });
            }
        }
    }

    /// Merges `reply` into the site's values. `None` when their digest differs from the one in the
    /// head.
    fn merge_reply(&self, reply: &ConfigReply) -> Option<SiteValues> {
        let mut values = if reply.is_full {
            SiteValues::new()
        } else {
            self.held.as_ref()?.values.clone()
        };
        values.retain(|name, _| !reply.removed.contains(name));
        let sent = reply.values.iter();
        values.extend(sent.map(|(name, bytes)| (name.clone(), Arc::from(bytes.as_slice()))));
        let digests = values.iter();
        let digests = digests.map(|(name, bytes)| (name.clone(), ServiceDigest::of(bytes)));
        let index = SiteIndex(digests.collect());
        let is_digest_equal = match reply.head.sites.get(&self.site) {
            Some(digest) => *digest == index.digest(),
            None => values.is_empty(),
        };
        is_digest_equal.then_some(values)
    }

    fn build_plan(&self, values: &SiteValues) -> Result<SitePlan, String> {
        let site_values = values.values().map(|bytes| (self.site.clone(), &**bytes));
        let config = ConfigSet::from_values(site_values).map_err(|fault| fault.to_string())?;
        let plan = config.sites().get(&self.site);
        Ok(plan
            .cloned()
            .unwrap_or_else(|| SitePlan::empty(self.site.clone())))
    }
}
