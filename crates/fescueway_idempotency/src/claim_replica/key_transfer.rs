//! Transfer of claimed keys between replicas.

use fescueway_core::{KeyDigest, MonoTime, NodeId};

use super::ClaimReplica;
use crate::{ClaimLimits, PartitionRecord, ReplicaState, TableChunk, replica_state::ReplicaEvent};

impl ClaimReplica {
    /// Returns claimed keys for a replica that `record` names. `None` when this node may lack some.
    pub fn fetch(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        record: &PartitionRecord,
        after: Option<KeyDigest>,
    ) -> Option<TableChunk> {
        self.learn(now, limits, record);
        let is_current = self.record.as_ref() == Some(record);
        let is_complete = self.complete_epoch == Some(record.epoch)
            || self.complete_epoch == Some(record.epoch - 1)
            || self.has_orphaned_keys(record);
        if !is_current || !is_complete {
            return None;
        }
        let chunk = self.table.chunk(after);
        if chunk.is_last {
            self.handed_over_epoch = Some(record.epoch);
        }
        Some(chunk)
    }

    /// Adds keys that were fetched from `from` under `record`. Returns whether to fetch the next
    /// chunk from there at once.
    pub fn receive(
        &mut self,
        now: MonoTime,
        from: NodeId,
        record: &PartitionRecord,
        chunk: &TableChunk,
    ) -> bool {
        let is_expected =
            self.record.as_ref() == Some(record) && self.state() == ReplicaState::Recovering;
        if !is_expected {
            return false;
        }
        self.table.merge(now, chunk);
        if let Some((key, _)) = chunk.entries.last() {
            self.fetch_positions.insert(from, *key);
        }
        if chunk.is_last {
            self.fetches_in_flight.remove(&from);
            self.complete(record.epoch);
        } else {
            self.fetches_in_flight.insert(from, now);
        }
        !chunk.is_last
    }

    /// Marks the claimed keys as complete in `epoch`.
    pub(super) fn complete(&mut self, epoch: u64) {
        if self.abandoned_epoch == Some(epoch) {
            return;
        }
        self.complete_epoch = Some(epoch);
        self.recovery_ends_at = None;
        self.state_machine.handle(&ReplicaEvent::Completed);
    }
}
