//! One node's way to the newest configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use fescueway_config::{ConfigSet, ServiceDigest, SitePlan};
use fescueway_core::{ConfigMark, MonoTime, ServiceName, SiteName};
use rand_core::Rng;

use crate::{ConfigHead, ConfigReply, ConfigRequest, SiteIndex};

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
    Heard(ConfigMark),
    /// A watch of the store, or a read, showed a head.
    HeadSeen(ConfigHead),
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

#[derive(Clone, Debug)]
struct HeldConfig {
    head: ConfigHead,
    mark: ConfigMark,
    values: BTreeMap<ServiceName, Arc<[u8]>>,
    /// The revision at which this node saw each service change.
    changed_at: BTreeMap<ServiceName, u64>,
    /// The revision at which this node saw each service go.
    removed_at: BTreeMap<ServiceName, u64>,
    /// The first revision that this node held: it can't tell what changed up to then.
    since: u64,
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
            RolloutEvent::Heard(mark) => self.note_newest(mark, false),
            RolloutEvent::HeadSeen(head) => self.note_newest(head.mark(), true),
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
        if request.site != self.site || request.have >= held.mark.revision {
            return None;
        }
        let is_full = request.have < held.since;
        let is_after = |at: Option<&u64>| at.is_some_and(|at| *at > request.have);
        let changed = held
            .values
            .iter()
            .filter(|(name, _)| is_full || is_after(held.changed_at.get(*name)));
        let removed = held
            .removed_at
            .iter()
            .filter(|(_, at)| !is_full && is_after(Some(at)));
        Some(ConfigReply {
            head: held.head.clone(),
            is_full,
            values: changed
                .map(|(name, bytes)| (name.clone(), bytes.to_vec()))
                .collect(),
            removed: removed.map(|(name, _)| name.clone()).collect(),
        })
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
                self.hold(reply.head, mark, values);
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
    fn complete(&self, reply: &ConfigReply) -> Option<BTreeMap<ServiceName, Arc<[u8]>>> {
        let mut values = BTreeMap::new();
        if !reply.is_full {
            values.clone_from(&self.held.as_ref()?.values);
        }
        for name in &reply.removed {
            values.remove(name);
        }
        for (name, bytes) in &reply.values {
            values.insert(name.clone(), Arc::from(bytes.as_slice()));
        }
        let digests = values.iter();
        let digests = digests.map(|(name, bytes)| (name.clone(), ServiceDigest::of(bytes)));
        let index = SiteIndex(digests.collect());
        let is_right = match reply.head.sites.get(&self.site) {
            Some(digest) => *digest == index.digest(),
            None => values.is_empty(),
        };
        is_right.then_some(values)
    }

    fn plan_of(&self, values: &BTreeMap<ServiceName, Arc<[u8]>>) -> Result<SitePlan, String> {
        let sited = values.values().map(|bytes| (self.site.clone(), &**bytes));
        let config = ConfigSet::from_values(sited).map_err(|fault| fault.to_string())?;
        let plan = config.sites().get(&self.site);
        Ok(plan
            .cloned()
            .unwrap_or_else(|| SitePlan::empty(self.site.clone())))
    }

    fn hold(
        &mut self,
        head: ConfigHead,
        mark: ConfigMark,
        values: BTreeMap<ServiceName, Arc<[u8]>>,
    ) {
        let revision = mark.revision;
        let Some(config) = &mut self.held else {
            self.held = Some(HeldConfig {
                head,
                mark,
                values,
                changed_at: BTreeMap::new(),
                removed_at: BTreeMap::new(),
                since: revision,
            });
            return;
        };
        let names: BTreeSet<_> = config.values.keys().chain(values.keys()).cloned().collect();
        for name in names {
            match (config.values.get(&name), values.get(&name)) {
                (Some(old), Some(new)) if old == new => {}
                (_, Some(_)) => {
                    config.removed_at.remove(&name);
                    config.changed_at.insert(name, revision);
                }
                (_, None) => {
                    config.changed_at.remove(&name);
                    config.removed_at.insert(name, revision);
                }
            }
        }
        config.head = head;
        config.mark = mark;
        config.values = values;
    }
}
