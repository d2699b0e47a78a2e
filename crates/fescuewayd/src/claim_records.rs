//! The records of partitions in the platform's store.

use std::collections::BTreeMap;

use fescueway_core::{MonoTime, ServiceName};
use fescueway_idempotency::{PartitionId, PartitionRecord, ReplicaAction};
use fescueway_platform::{Compare, KeyRange, StoreError, StoreOp, StoreTxn, StoreValue};
use fescueway_telemetry::{
    emit,
    events::claim::{CLAIM_STORE_FAILED, PARTITION_CHANGED, PARTITION_RECOVERING},
};

use crate::{
    claim_task::ClaimTask,
    store_link::{CALL_TIMEOUT, StoreLink},
};

/// Keys of the records begin with this.
const RECORD_PREFIX: &str = "fescueway/claims/";

/// Records changed by one transaction at most.
const TXN_RECORDS: usize = 16;

/// The records of partitions in the platform's store.
#[derive(Clone, Debug)]
pub struct ClaimRecords {
    /// The way to the store.
    store: StoreLink,
}

impl ClaimRecords {
    /// Records in the store behind `store`.
    pub fn new(store: StoreLink) -> Self {
        Self { store }
    }

    /// Reads and changes records of one service, and tells `task` what stands there.
    ///
    /// One call serves all partitions of a service. What fails, or doesn't fit into one
    /// transaction, is wanted again at a later tick; after a lost answer that finds what took
    /// effect.
    pub async fn settle(
        self,
        task: &ClaimTask,
        service: &ServiceName,
        actions: Vec<(PartitionId, ReplicaAction)>,
    ) {
        let proposals: Vec<_> = actions
            .into_iter()
            .filter_map(|(partition, action)| match action {
                ReplicaAction::Propose { expected, record } => Some((partition, expected, record)),
                _ => None,
            })
            .collect();
        let sent_at = task.now();
        let settled = match proposals.get(..proposals.len().min(TXN_RECORDS)) {
            Some([]) | None => self.read(service).await,
            Some(batch) => self.propose(service, batch).await,
        };
        match settled {
            Ok(found) => tell(task, service, sent_at, &found),
            Err(error) => emit(&CLAIM_STORE_FAILED, &[service, &error]),
        }
    }

    /// Swaps records if each of them stands as expected, and returns what stands afterwards.
    async fn propose(
        &self,
        service: &ServiceName,
        batch: &[(PartitionId, Option<PartitionRecord>, PartitionRecord)],
    ) -> Result<FoundRecords, StoreError> {
        let mut txn = StoreTxn::default();
        for (partition, expected, record) in batch {
            let key = key_of(partition);
            txn.compares.push(match expected {
                None => Compare::Absent(key.clone()),
                Some(expected) => Compare::Value(key.clone(), to_value(expected)),
            });
            txn.then.push(StoreOp::Put {
                key,
                value: to_value(record),
                lease: None,
            });
        }
        txn.then.push(StoreOp::Range(records_of(service)));
        txn.otherwise.push(StoreOp::Range(records_of(service)));
        let call = self.store.client.commit(&txn, CALL_TIMEOUT);
        let reply = self.store.call(call).await?;
        if reply.is_success {
            for (partition, _, record) in batch {
                tell_change(partition, record);
            }
        }
        let values = reply.reads.into_iter().flatten();
        Ok(values.filter_map(from_value).collect())
    }

    /// Reads the records of a service.
    async fn read(&self, service: &ServiceName) -> Result<FoundRecords, StoreError> {
        let range = records_of(service);
        let call = self.store.client.range(&range, CALL_TIMEOUT);
        let reply = self.store.call(call).await?;
        Ok(reply.values.into_iter().filter_map(from_value).collect())
    }
}

/// Records by their keys.
type FoundRecords = BTreeMap<String, PartitionRecord>;

/// Where the records of a service stand.
fn records_of(service: &ServiceName) -> KeyRange {
    KeyRange::Prefix(format!("{RECORD_PREFIX}{service}/"))
}

/// Tells the partitions of a service what was found.
fn tell(task: &ClaimTask, service: &ServiceName, sent_at: MonoTime, found: &FoundRecords) {
    task.with_node(service, |node, now| {
        let indexes = 0..node.replicas().len() as u16;
        for index in indexes {
            let partition = PartitionId {
                service: service.clone(),
                index,
            };
            let record = found.get(&key_of(&partition));
            node.confirm(now, &partition, sent_at, record);
        }
    });
}

/// Tells operators of a change.
fn tell_change(partition: &PartitionId, record: &PartitionRecord) {
    let backup = record.backup.as_ref();
    let backup = backup.map_or_else(|| "none".to_owned(), |backup| backup.node.to_string());
    let primary = &record.primary.node;
    emit(
        &PARTITION_CHANGED,
        &[partition, &record.epoch, primary, &backup],
    );
    if let Some(orphans) = &record.orphans {
        emit(
            &PARTITION_RECOVERING,
            &[partition, &record.epoch, &orphans.epoch],
        );
    }
}

/// The key of a partition's record.
fn key_of(partition: &PartitionId) -> String {
    format!("{RECORD_PREFIX}{partition}")
}

/// A record as it stands in the store. Equal records have equal values, so that a compare of the
/// value is a compare of the record.
fn to_value(record: &PartitionRecord) -> Vec<u8> {
    // A record holds only numbers, names and addresses, which are always valid JSON.
    serde_json::to_vec(record).unwrap_or_default()
}

/// A record with its key, `None` for a value that is none.
fn from_value(value: StoreValue) -> Option<(String, PartitionRecord)> {
    let record = serde_json::from_slice(&value.value).ok()?;
    Some((value.key, record))
}
