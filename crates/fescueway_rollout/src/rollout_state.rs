//! One node's way to the newest configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fescueway_config::{ConfigSet, ServiceDigest, SitePlan};
use fescueway_core::{ConfigMark, MonoTime, SiteName};
use rand_core::Rng;

use crate::{
    ConfigHead, ConfigReply, ConfigRequest, SiteIndex,
    held_config::{HeldConfig, SiteValues},
};

/// Time that a source has to answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest pause between two fetches that failed.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Shortest such pause.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);

/// Fetches from peers that have to fail before the store is asked.
const PEER_TRIES: u32 = 3;

/// One in this many further tries goes to the store.
const STORE_ONE_IN: u32 = 4;

/// What a node's rollout is told.
#[derive(Clone, Debug)]
pub enum RolloutEvent {
    /// A peer has a configuration in force.
    PeerMark(ConfigMark),
    /// A watch of the store, or a read, showed a head.
    StoreHead(ConfigHead),
    /// The source that was asked answered.
    Fetched(ConfigReply),
    /// The source that was asked didn't answer, or not well.
    FetchFailed,
    /// Time has passed.
    Tick,
}

/// What a node's rollout asks for.
#[derive(Clone, Debug)]
pub enum RolloutAction {
    /// Fetch a configuration.
    Fetch {
        /// Of whom.
        source: FetchSource,
        /// What to ask.
        request: ConfigRequest,
        /// The least revision that is of use.
        revision: u64,
    },
    /// This plan is in force now: route by it, and tell the others the mark.
    PutInForce {
        /// The plan.
        plan: Arc<SitePlan>,
        /// Names it.
        mark: ConfigMark,
    },
    /// A configuration can't be applied; the last one stays in force.
    Rejected {
        /// Its revision.
        revision: u64,
        /// Why.
        reason: String,
    },
}

/// Where a configuration is fetched.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FetchSource {
    /// Any peer of the site that has the revision in force.
    Peer,
    /// The platform's store.
    Store,
}

/// What a node says of its configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutStatus {
    /// What is in force here.
    pub in_force: ConfigMark,
    /// The newest that is known of.
    pub newest: ConfigMark,
    /// Why the newest can't be applied, empty when nothing is wrong.
    pub fault: String,
}

/// One node's way to the newest configuration.
#[derive(Clone, Debug)]
pub struct RolloutState {
    site: SiteName,
    /// What is in force. Its revision never falls.
    held: Option<HeldConfig>,
    /// The newest that is known of; never below what is held.
    newest: ConfigMark,
    /// Why a revision can't be applied.
    rejected: Option<(u64, String)>,
    /// When the fetch under way has failed, `NEVER` without one.
    fetch_ends: MonoTime,
    /// When the next fetch may start.
    fetch_opens: MonoTime,
    /// Fetches that failed in a row.
    failures: u32,
    /// Whether the newest was seen in the store, which then is asked first.
    is_in_store: bool,
    /// Whether everything is asked for, after a part did not fit to what is held.
    is_full_due: bool,
}

impl RolloutState {
    /// A node of `site` without a configuration.
    #[must_use]
    pub fn new(site: SiteName) -> Self {
        Self {
            site,
            held: None,
            newest: ConfigMark::default(),
            rejected: None,
            fetch_ends: MonoTime::NEVER,
            fetch_opens: MonoTime::ZERO,
            failures: 0,
            is_in_store: false,
            is_full_due: false,
        }
    }

    /// Takes in an event and tells what to do.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: RolloutEvent,
        random: &mut impl Rng,
    ) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        match event {
            RolloutEvent::PeerMark(mark) => self.note_newest(mark, false),
            RolloutEvent::StoreHead(head) => self.note_newest(head.mark(), true),
            RolloutEvent::Fetched(reply) => self.on_fetched(now, reply, random, &mut actions),
            RolloutEvent::FetchFailed => self.on_failed(now, random),
            RolloutEvent::Tick => {}
        }
        if self.fetch_ends <= now {
            self.on_failed(now, random);
        }
        actions.extend(self.start_fetch(now));
        actions
    }

    /// When a [`RolloutEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        if self.fetch_ends != MonoTime::NEVER {
            self.fetch_ends
        } else if self.is_behind() {
            self.fetch_opens
        } else {
            MonoTime::NEVER
        }
    }

    /// What this node says of its configuration.
    #[must_use]
    pub fn status(&self) -> RolloutStatus {
        let fault = self.rejected.as_ref().map(|(_, reason)| reason.clone());
        RolloutStatus {
            in_force: self.in_force(),
            newest: self.newest,
            fault: fault.unwrap_or_default(),
        }
    }

    /// The canonical forms that are in force, by which a fetch from the store knows what it needs.
    #[must_use]
    pub fn held_values(&self) -> BTreeMap<ServiceDigest, Arc<[u8]>> {
        let values = self.held.iter().flat_map(|held| held.values.values());
        values
            .map(|bytes| (ServiceDigest::of(bytes), Arc::clone(bytes)))
            .collect()
    }

    /// Answers another node of the site. `None` when this node has nothing newer.
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

    fn note_newest(&mut self, mark: ConfigMark, is_in_store: bool) {
        if mark.revision > self.newest.revision {
            self.newest = mark;
            self.is_in_store = is_in_store;
            self.failures = 0;
        }
    }

    /// Whether there is something newer that is worth fetching.
    fn is_behind(&self) -> bool {
        let rejected = self.rejected.as_ref().map_or(0, |(revision, _)| *revision);
        self.newest.revision > self.in_force().revision.max(rejected)
    }

    fn start_fetch(&mut self, now: MonoTime) -> Option<RolloutAction> {
        let is_under_way = self.fetch_ends != MonoTime::NEVER;
        if is_under_way || now < self.fetch_opens || !self.is_behind() {
            return None;
        }
        self.fetch_ends = now + FETCH_TIMEOUT;
        let tries = if self.is_in_store { 0 } else { PEER_TRIES };
        let is_store =
            self.failures >= tries && (self.failures - tries).is_multiple_of(STORE_ONE_IN);
        let have = if self.is_full_due {
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
        let pause = (SHORTEST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
        self.failures += 1;
        self.fetch_ends = MonoTime::NEVER;
        self.fetch_opens = now + pause.mul_f64(0.5 + share / 2.0);
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
            // An old peer or a stale read: what is in force stays.
            self.on_failed(now, random);
            return;
        }
        let Some(values) = self.complete(&reply) else {
            self.is_full_due = true;
            self.on_failed(now, random);
            return;
        };
        self.note_newest(mark, false);
        self.fetch_ends = MonoTime::NEVER;
        self.fetch_opens = now;
        self.failures = 0;
        self.is_full_due = false;
        match self.plan_of(&values) {
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

    /// All of the site's values after `reply`, `None` when they aren't those that the head names.
    fn complete(&self, reply: &ConfigReply) -> Option<SiteValues> {
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
        let is_right = match reply.head.sites.get(&self.site) {
            Some(digest) => *digest == index.digest(),
            None => values.is_empty(),
        };
        is_right.then_some(values)
    }

    fn plan_of(&self, values: &SiteValues) -> Result<SitePlan, String> {
        let sited = values.values().map(|bytes| (self.site.clone(), &**bytes));
        let config = ConfigSet::from_values(sited).map_err(|fault| fault.to_string())?;
        let plan = config.sites().get(&self.site);
        Ok(plan
            .cloned()
            .unwrap_or_else(|| SitePlan::empty(self.site.clone())))
    }
}
