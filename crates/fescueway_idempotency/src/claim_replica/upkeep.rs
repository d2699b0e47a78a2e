//! What a replica does as time passes.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::MonoTime;

use super::ClaimReplica;
use crate::{
    ClaimLimits, Replica, ReplicaAction, ReplicaState,
    record_change::RecordChange,
    replica_choice::{LiveHosts, best_backups, spread_share},
    role_balance::RoleBalance,
};

/// Hosts that are asked whether they could follow the other replica.
const ASKED_SUCCESSORS: usize = 3;

/// The pause between reads that find no record doubles this often at most.
const MOST_DOUBLINGS: u32 = 4;

impl ClaimReplica {
    /// Time passed. `live` are the hosts of the service that are up, this node included.
    pub fn tick(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Vec<ReplicaAction> {
        self.table.expire(now, limits.key_retention());
        self.watch.expire(now, limits.replica_timeout);
        let trusted = self.trusted(now, limits, live);
        let live = &trusted;
        self.track_absent(now, live);
        let is_alone = self
            .record
            .as_ref()
            .is_some_and(|held| held.backup.is_none());
        self.awaits_backup = is_alone && live.keys().any(|host| *host != self.own.node);
        self.end_recovery(now);
        let mut actions = self.fetches(now, limits, live);
        actions.extend(self.tells(live));
        actions.extend(self.asks(now, live));
        if now < self.store_at {
            return actions;
        }
        actions.extend(self.store_action(now, limits, live));
        actions
    }

    /// What is wanted of the store when the node's turn has come, for whichever partition it was
    /// asked for: a takeover that is near joins the call.
    pub fn due_store_action(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Option<ReplicaAction> {
        let limits = ClaimLimits {
            takeover_spread: Duration::ZERO,
            ..limits.clone()
        };
        let live = self.trusted(now, &limits, live);
        self.store_action(now, &limits, &live)
    }

    /// A change of the record, or a read of it.
    fn store_action(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Option<ReplicaAction> {
        let proposal = self.proposal(now, limits, live);
        if proposal.is_some() && self.state() == ReplicaState::Recovering {
            self.abandoned_epoch = self.epoch();
        }
        let is_read_due = self.is_read_due(now, limits);
        let action = proposal.or_else(|| is_read_due.then_some(ReplicaAction::Read))?;
        self.store_at = now + limits.store_call_interval;
        self.read_at = now + limits.store_call_interval;
        if self.record.is_none() && action == ReplicaAction::Read {
            self.read_at = now + limits.store_call_interval * 2_u32.pow(self.reads);
            self.reads = MOST_DOUBLINGS.min(self.reads + 1);
        }
        Some(action)
    }

    /// Moves the partition when its primary or its backup keeps more than others, and nothing else
    /// is under way.
    pub(crate) fn rebalance(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        balance: &RoleBalance<'_>,
    ) -> Option<ReplicaAction> {
        let record = self.record.as_ref()?;
        let share = spread_share(&self.partition, record.epoch);
        let pause = limits.rebalance_delay.mul_f64(1.0 + share);
        let is_quiet = now.since(self.learned_at) >= pause && now >= self.store_at;
        let is_whole = self.absent.is_empty() && record.orphans.is_none() && !self.is_leaving;
        let is_primary = record.primary.node == self.own.node;
        if !is_quiet || !is_whole || !is_primary || !self.is_granting(now, limits) {
            return None;
        }
        let next = balance.next_record(&self.partition, record)?;
        self.store_at = now + limits.store_call_interval;
        Some(ReplicaAction::Propose {
            expected: Some(record.clone()),
            record: next,
        })
    }

    /// The hosts that this node counts on. Only a replica with the whole memory goes by what it
    /// hears itself: another one would count that memory as lost.
    fn trusted(&self, now: MonoTime, limits: &ClaimLimits, live: &LiveHosts) -> LiveHosts {
        if self.state() != ReplicaState::Serving {
            return live.clone();
        }
        self.watch.without_silent(now, limits.replica_timeout, live)
    }

    /// Asks for a read of the record at the next tick, as after a claim that found no replica.
    pub fn request_read(&mut self) {
        self.is_doubtful = true;
    }

    /// Notes since when replicas of the record are absent.
    fn track_absent(&mut self, now: MonoTime, live: &LiveHosts) {
        let Some(record) = &self.record else {
            return;
        };
        let mut absent = BTreeMap::new();
        for replica in record
            .replicas()
            .filter(|held| !live.contains_key(&held.node))
        {
            let known = self.absent.get(&replica.node).copied();
            let since = known.or_else(|| self.watch.doubted_since(replica.node));
            let since = since.unwrap_or(now);
            absent.insert(replica.node, since);
        }
        self.absent = absent;
    }

    /// Ends the wait for memory that is past its retention.
    fn end_recovery(&mut self, now: MonoTime) {
        let is_over = self.recovered_at.is_some_and(|at| now >= at);
        if !is_over || self.state() != ReplicaState::Recovering {
            return;
        }
        if let Some(epoch) = self.epoch() {
            self.complete(epoch);
        }
    }

    /// Tells the replicas of a record that this node had a part in, and as primary once each
    /// other host, so that none has to read the store.
    fn tells(&mut self, live: &LiveHosts) -> Vec<ReplicaAction> {
        let Some(record) = self
            .record
            .as_ref()
            .filter(|_| self.state() != ReplicaState::Closed)
        else {
            return Vec::new();
        };
        let own = self.own.node;
        let is_primary = record.primary.node == own && self.confirmed_at.is_some();
        let is_due = |to: &&Replica| {
            let is_meant = is_primary || record.has_replica(to.node);
            to.node != own && is_meant && !self.told.contains(&to.node)
        };
        let due: Vec<_> = live.values().filter(is_due).cloned().collect();
        let others = due.iter().map(|to| to.node);
        self.told
            .extend(others.filter(|node| !record.has_replica(*node)));
        let tell = |to: Replica| ReplicaAction::Announce {
            to,
            record: record.clone(),
        };
        due.into_iter().map(tell).collect()
    }

    /// Asks how others stand: the other replica, and who may follow it, while it is doubted or
    /// absent, and the other replica while the store has not confirmed the record here.
    fn asks(&mut self, now: MonoTime, live: &LiveHosts) -> Vec<ReplicaAction> {
        let Some(record) = self
            .record
            .as_ref()
            .filter(|held| held.has_replica(self.own.node))
        else {
            return Vec::new();
        };
        let peer = record.peer_of(self.own.node).cloned();
        let is_doubted = peer.as_ref().is_some_and(|peer| {
            self.watch.doubted_since(peer.node).is_some() || self.absent.contains_key(&peer.node)
        });
        let is_due = is_doubted || self.confirmed_at.is_none();
        if !is_due || !self.watch.begin_round(now) {
            return Vec::new();
        }
        let mut asked: Vec<_> = peer.iter().collect();
        if is_doubted {
            let hosts = best_backups(&self.partition, live, &self.own).into_iter();
            let others =
                hosts.filter(|host| peer.as_ref().is_none_or(|peer| peer.node != host.node));
            asked.extend(
                others
                    .filter(|host| self.watch.ask(host.node))
                    .take(ASKED_SUCCESSORS),
            );
        }
        let ask = |to: &Replica| ReplicaAction::Probe {
            to: to.clone(),
            probed_at: now,
        };
        asked.into_iter().map(ask).collect()
    }

    /// Fetches from every node that may have the whole memory and is not being asked for it.
    fn fetches(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Vec<ReplicaAction> {
        let Some(record) = &self.record else {
            return Vec::new();
        };
        if self.state() != ReplicaState::Recovering {
            return Vec::new();
        }
        let orphans = record.orphans.iter().flat_map(|set| &set.replicas);
        let peers = record
            .replicas()
            .filter(|replica| live.contains_key(&replica.node));
        let sources = peers
            .chain(orphans)
            .filter(|source| source.node != self.own.node);
        let fetching = &mut self.fetching;
        let is_due = |from: &&Replica| {
            let since = fetching.get(&from.node);
            since.is_none_or(|since| now.since(*since) >= limits.claim_timeout / 2)
        };
        let due: Vec<_> = sources.filter(is_due).cloned().collect();
        fetching.extend(due.iter().map(|from| (from.node, now)));
        let fetch = |from: Replica| ReplicaAction::Fetch {
            after: self.fetched.get(&from.node).copied(),
            from,
            record: record.clone(),
        };
        due.into_iter().map(fetch).collect()
    }

    /// Whether the store should be asked if the record still stands. A host that is not named
    /// needs no confirmation: the replicas tell it when its record is out of date.
    fn is_read_due(&self, now: MonoTime, limits: &ClaimLimits) -> bool {
        let Some(record) = &self.record else {
            return now >= self.read_at;
        };
        if !record.has_replica(self.own.node) {
            return self.is_doubtful && now >= self.read_at;
        }
        match self.confirmed_at {
            None => now >= self.read_at,
            Some(at) => now.since(at) >= limits.confirmation_interval(),
        }
    }

    /// The record that should stand instead of the known one, if any.
    fn proposal(
        &self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Option<ReplicaAction> {
        let heard = self.watch.heard_of(self.own.node, live);
        let is_peer_absent = !self.absent.is_empty() && self.state() == ReplicaState::Serving;
        let change = RecordChange {
            own: &self.own,
            partition: &self.partition,
            live: heard.as_ref().filter(|_| is_peer_absent).unwrap_or(live),
            limits,
            now,
            absent: &self.absent,
            peer_patience: self.peer_patience(limits, heard.is_some()),
            started_at: self.started_at,
            is_whole: self.state() == ReplicaState::Serving,
            is_abandoned: self.abandoned_epoch == self.epoch() && self.record.is_some(),
            is_leaving: self.is_leaving,
        };
        let record = change.next_record(self.record.as_ref())?;
        Some(ReplicaAction::Propose {
            expected: self.record.clone(),
            record,
        })
    }

    /// How long the other replica may be absent. Without an answer from any other host this node
    /// may be the one that is cut off, and waits twice as long.
    fn peer_patience(&self, limits: &ClaimLimits, is_in_touch: bool) -> Duration {
        let share = spread_share(&self.partition, self.epoch().unwrap_or(0));
        let patience = limits.replica_timeout + limits.takeover_spread.mul_f64(share);
        patience * if is_in_touch { 1 } else { 2 }
    }
}
