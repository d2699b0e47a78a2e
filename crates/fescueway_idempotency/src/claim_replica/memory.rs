//! The memory that replicas hand to each other.

use fescueway_core::{KeyDigest, MonoTime, NodeId};

use super::ClaimReplica;
use crate::{ClaimLimits, PartitionRecord, ReplicaState, TableChunk, tenure::TenureEvent};

impl ClaimReplica {
    /// Hands memory to a replica that `record` names. `None` when this node hasn't the whole.
    pub fn fetch(
        &mut self,
        now: MonoTime,
        limits: &ClaimLimits,
        record: &PartitionRecord,
        after: Option<KeyDigest>,
    ) -> Option<TableChunk> {
        self.learn(now, limits, record);
        let is_same = self.record.as_ref() == Some(record);
        let is_whole = self.complete_epoch == Some(record.epoch)
            || self.complete_epoch == Some(record.epoch - 1)
            || self.is_source_of(record);
        if !is_same || !is_whole {
            return None;
        }
        let chunk = self.table.chunk(after);
        if chunk.is_last {
            self.handed_on_epoch = Some(record.epoch);
        }
        Some(chunk)
    }

    /// Takes memory that was fetched from `from` under `record`. Says whether more is to be
    /// fetched from there at once.
    pub fn receive(
        &mut self,
        now: MonoTime,
        from: NodeId,
        record: &PartitionRecord,
        chunk: &TableChunk,
    ) -> bool {
        let is_due =
            self.record.as_ref() == Some(record) && self.state() == ReplicaState::Recovering;
        if !is_due {
            return false;
        }
        self.table.merge(now, chunk);
        if let Some((key, _)) = chunk.entries.last() {
            self.fetched.insert(from, *key);
        }
        if chunk.is_last {
            self.fetching.remove(&from);
            self.complete(record.epoch);
        } else {
            self.fetching.insert(from, now);
        }
        !chunk.is_last
    }

    /// The memory is whole in `epoch`.
    pub(super) fn complete(&mut self, epoch: u64) {
        if self.abandoned_epoch == Some(epoch) {
            return;
        }
        self.complete_epoch = Some(epoch);
        self.recovered_at = None;
        self.tenure.handle(&TenureEvent::Completed);
    }
}
