//! Periodic maintenance of a replica.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::MonoTime;

use super::ClaimReplica;
use crate::{
    ClaimLimits, Replica, ReplicaAction, ReplicaState,
    record_change::RecordChange,
    replica_choice::{LiveHosts, best_backups, jitter_fraction},
    role_balance::RoleBalance,
};

/// Hosts that are probed as possible successors of the other replica.
const MAX_PROBED_SUCCESSORS: usize = 3;

/// The delay between reads that find no record doubles at most this often.
const MAX_READ_DELAY_DOUBLINGS: u32 = 4;

impl ClaimReplica {
    /// Processes the passage of time and returns the actions that are due. `live` are the hosts of
    /// the service that are up, including this node.
    pub fn tick(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Vec<ReplicaAction> {
        self.table.expire(now, limits.key_retention());
        self.failure_detector.expire(now, limits.replica_timeout);
        let reachable_hosts = self.reachable_hosts(now, limits, live);
        let live = &reachable_hosts;
        self.track_absent(now, live);
        let is_alone = self
            .record
            .as_ref()
            .is_some_and(|held| held.backup.is_none());
        self.awaits_backup = is_alone && live.keys().any(|host| *host != self.own.node);
        self.end_recovery(now);
        let mut actions = self.fetches(now, limits, live);
        actions.extend(self.announcements(live));
        actions.extend(self.probes(now, live));
        if now < self.next_store_call_at {
            return actions;
        }
        actions.extend(self.store_action(now, limits, live));
        actions
    }

    /// The store action due when the node may make a store call, for whichever partition it was
    /// requested. A takeover joins the call without waiting for its spread.
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
        let live = self.reachable_hosts(now, &limits, live);
        self.store_action(now, &limits, &live)
    }

    /// A proposal of another record, or a read of the record.
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
        self.next_store_call_at = now + limits.store_call_interval;
        self.next_read_at = now + limits.store_call_interval;
        if self.record.is_none() && action == ReplicaAction::Read {
            self.next_read_at = now + limits.store_call_interval * 2_u32.pow(self.empty_reads);
            self.empty_reads = MAX_READ_DELAY_DOUBLINGS.min(self.empty_reads + 1);
        }
        Some(action)
    }

    /// Proposes to move the partition if the host of its primary or backup has more than its share
    /// and no other change is in progress.
    pub(crate) fn rebalance(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        balance: &RoleBalance<'_>,
    ) -> Option<ReplicaAction> {
        let record = self.record.as_ref()?;
        let fraction = jitter_fraction(&self.partition, record.epoch);
        let delay = limits.rebalance_delay.mul_f64(1.0 + fraction);
        let is_delay_over = now.since(self.learned_at) >= delay && now >= self.next_store_call_at;
        let is_stable =
            self.absent_since.is_empty() && record.orphans.is_none() && !self.is_leaving;
        let is_primary = record.primary.node == self.own.node;
        if !is_delay_over || !is_stable || !is_primary || !self.is_granting(now, limits) {
            return None;
        }
        let next = balance.next_record(&self.partition, record)?;
        self.next_store_call_at = now + limits.store_call_interval;
        Some(ReplicaAction::Propose {
            expected: Some(record.clone()),
            record: next,
        })
    }

    /// The hosts that this node considers up. Only a complete replica applies its own failure
    /// detection: an incomplete one would treat the other replica's claimed keys as lost.
    fn reachable_hosts(&self, now: MonoTime, limits: &ClaimLimits, live: &LiveHosts) -> LiveHosts {
        if self.state() != ReplicaState::Serving {
            return live.clone();
        }
        self.failure_detector
            .without_unresponsive(now, limits.replica_timeout, live)
    }

    /// Requests a read of the record at the next tick, as after a claim that no replica granted.
    pub fn request_read(&mut self) {
        self.is_read_requested = true;
    }

    /// Updates since when replicas of the record have been absent.
    fn track_absent(&mut self, now: MonoTime, live: &LiveHosts) {
        let Some(record) = &self.record else {
            return;
        };
        let mut absent = BTreeMap::new();
        for replica in record
            .replicas()
            .filter(|held| !live.contains_key(&held.node))
        {
            let known = self.absent_since.get(&replica.node).copied();
            let since = known.or_else(|| self.failure_detector.suspected_since(replica.node));
            let since = since.unwrap_or(now);
            absent.insert(replica.node, since);
        }
        self.absent_since = absent;
    }

    /// Ends the recovery once all missing keys are past their retention.
    fn end_recovery(&mut self, now: MonoTime) {
        let is_over = self.recovery_ends_at.is_some_and(|at| now >= at);
        if !is_over || self.state() != ReplicaState::Recovering {
            return;
        }
        if let Some(epoch) = self.epoch() {
            self.complete(epoch);
        }
    }

    /// Sends the record to its replicas if this node is or was one, and as primary once to each
    /// other host, so that no node has to read the store.
    fn announcements(&mut self, live: &LiveHosts) -> Vec<ReplicaAction> {
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
            let is_receiver = is_primary || record.has_replica(to.node);
            to.node != own && is_receiver && !self.informed_nodes.contains(&to.node)
        };
        let due: Vec<_> = live.values().filter(is_due).cloned().collect();
        let others = due.iter().map(|to| to.node);
        self.informed_nodes
            .extend(others.filter(|node| !record.has_replica(*node)));
        let announce = |to: Replica| ReplicaAction::Announce {
            to,
            record: record.clone(),
        };
        due.into_iter().map(announce).collect()
    }

    /// Probes the other replica while it is suspected or absent, or while the store has not
    /// confirmed the record here. While it is suspected or absent, also probes its possible
    /// successors.
    fn probes(&mut self, now: MonoTime, live: &LiveHosts) -> Vec<ReplicaAction> {
        let Some(record) = self
            .record
            .as_ref()
            .filter(|held| held.has_replica(self.own.node))
        else {
            return Vec::new();
        };
        let peer = record.peer_of(self.own.node).cloned();
        let is_suspected = peer.as_ref().is_some_and(|peer| {
            self.failure_detector.suspected_since(peer.node).is_some()
                || self.absent_since.contains_key(&peer.node)
        });
        let is_due = is_suspected || self.confirmed_at.is_none();
        if !is_due || !self.failure_detector.begin_round(now) {
            return Vec::new();
        }
        let mut probed: Vec<_> = peer.iter().collect();
        if is_suspected {
            let hosts = best_backups(&self.partition, live, &self.own).into_iter();
            let others =
                hosts.filter(|host| peer.as_ref().is_none_or(|peer| peer.node != host.node));
            probed.extend(
                others
                    .filter(|host| self.failure_detector.record_probe(host.node))
                    .take(MAX_PROBED_SUCCESSORS),
            );
        }
        let probe = |to: &Replica| ReplicaAction::Probe {
            to: to.clone(),
            probed_at: now,
        };
        probed.into_iter().map(probe).collect()
    }

    /// Fetches claimed keys from every node that may have all, unless a fetch is in flight.
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
        let fetches_in_flight = &mut self.fetches_in_flight;
        let is_due = |from: &&Replica| {
            let since = fetches_in_flight.get(&from.node);
            since.is_none_or(|since| now.since(*since) >= limits.claim_timeout / 2)
        };
        let due: Vec<_> = sources.filter(is_due).cloned().collect();
        fetches_in_flight.extend(due.iter().map(|from| (from.node, now)));
        let fetch = |from: Replica| ReplicaAction::Fetch {
            after: self.fetch_positions.get(&from.node).copied(),
            from,
            record: record.clone(),
        };
        due.into_iter().map(fetch).collect()
    }

    /// Whether to read the record from the store. A host that the record doesn't name needs no
    /// confirmation: the replicas refuse its claims with a newer record if its own is out of date.
    fn is_read_due(&self, now: MonoTime, limits: &ClaimLimits) -> bool {
        let Some(record) = &self.record else {
            return now >= self.next_read_at;
        };
        if !record.has_replica(self.own.node) {
            return self.is_read_requested && now >= self.next_read_at;
        }
        match self.confirmed_at {
            None => now >= self.next_read_at,
            Some(at) => now.since(at) >= limits.confirmation_interval(),
        }
    }

    /// The proposal of a record that should replace the known one, if any.
    fn proposal(
        &self,
        now: MonoTime,
        limits: &ClaimLimits,
        live: &LiveHosts,
    ) -> Option<ReplicaAction> {
        let responsive = self.failure_detector.responsive_hosts(self.own.node, live);
        let is_peer_absent = !self.absent_since.is_empty() && self.state() == ReplicaState::Serving;
        let change = RecordChange {
            own: &self.own,
            partition: &self.partition,
            live: responsive
                .as_ref()
                .filter(|_| is_peer_absent)
                .unwrap_or(live),
            limits,
            now,
            absent_since: &self.absent_since,
            peer_timeout: self.peer_timeout(limits, responsive.is_some()),
            started_at: self.started_at,
            is_complete: self.state() == ReplicaState::Serving,
            is_abandoned: self.abandoned_epoch == self.epoch() && self.record.is_some(),
            is_leaving: self.is_leaving,
        };
        let record = change.next_record(self.record.as_ref())?;
        Some(ReplicaAction::Propose {
            expected: self.record.clone(),
            record,
        })
    }

    /// How long the other replica may be absent before it is replaced. Without a reply from any
    /// other host this node may itself be partitioned from the network, so it waits twice as long.
    fn peer_timeout(&self, limits: &ClaimLimits, is_connected: bool) -> Duration {
        let fraction = jitter_fraction(&self.partition, self.epoch().unwrap_or(0));
        let timeout = limits.replica_timeout + limits.takeover_spread.mul_f64(fraction);
        timeout * if is_connected { 1 } else { 2 }
    }
}
