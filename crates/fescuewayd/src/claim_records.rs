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

/// Maximum number of records changed by one transaction.
const MAX_TXN_RECORDS: usize = 16;

/// The records of partitions in the platform's store.
#[derive(Clone, Debug)]
pub struct ClaimRecords {
    /// The store connection.
    store: StoreLink,
}

impl ClaimRecords {
    /// Records in the store behind `store`.
    pub fn new(store: StoreLink) -> Self {
        Self { store }
    }

    /// Waits until the call budget permits a store call.
    pub async fn wait_for_budget(&self) {
        self.store.wait_for_budget().await;
    }

    /// Reads and changes the records of one service, and passes the stored records to `task`.
    ///
    /// One call serves all partitions of a service. Actions that fail or don't fit into one
    /// transaction are requested again at a later tick, which also detects a change whose reply was
    /// lost.
    pub async fn sync(
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
        let result = match proposals.get(..proposals.len().min(MAX_TXN_RECORDS)) {
            Some([]) | None => self.read(service).await,
            Some(batch) => self.propose(service, batch).await,
        };
        match result {
            Ok(found) => confirm_records(task, service, sent_at, &found),
            Err(error) => emit(&CLAIM_STORE_FAILED, &[service, &error]),
        }
    }

    /// Replaces the records if all of them are as expected, and returns the stored records
    /// afterwards.
    async fn propose(
        &self,
        service: &ServiceName,
        batch: &[(PartitionId, Option<PartitionRecord>, PartitionRecord)],
    ) -> Result<FoundRecords, StoreError> {
        let mut txn = StoreTxn::default();
        for (partition, expected, record) in batch {
            let key = record_key(partition);
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
        txn.then.push(StoreOp::Range(record_range(service)));
        txn.otherwise.push(StoreOp::Range(record_range(service)));
        let reply = self.store.client.commit(&txn, CALL_TIMEOUT).await;
        self.store.record_result(reply.as_ref().err());
        let reply = reply?;
        if reply.is_success {
            for (partition, _, record) in batch {
                log_change(partition, record);
            }
        }
        let values = reply.reads.into_iter().flatten();
        Ok(values.filter_map(from_value).collect())
    }

    /// Reads the records of a service.
    async fn read(&self, service: &ServiceName) -> Result<FoundRecords, StoreError> {
        let range = record_range(service);
        let reply = self.store.client.range(&range, CALL_TIMEOUT).await;
        self.store.record_result(reply.as_ref().err());
        let reply = reply?;
        Ok(reply.values.into_iter().filter_map(from_value).collect())
    }
}

/// Records by their keys.
type FoundRecords = BTreeMap<String, PartitionRecord>;

/// The key range of a service's records.
fn record_range(service: &ServiceName) -> KeyRange {
    KeyRange::Prefix(format!("{RECORD_PREFIX}{service}/"))
}

/// Confirms the stored records to the partitions of a service.
fn confirm_records(
    task: &ClaimTask,
    service: &ServiceName,
    sent_at: MonoTime,
    found: &FoundRecords,
) {
    task.with_node(service, |node, now| {
        let indexes = 0..node.replicas().len() as u16;
        for index in indexes {
            let partition = PartitionId {
                service: service.clone(),
                index,
            };
            let record = found.get(&record_key(&partition));
            node.confirm(now, &partition, sent_at, record);
        }
    });
}

/// Logs a changed record.
fn log_change(partition: &PartitionId, record: &PartitionRecord) {
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
fn record_key(partition: &PartitionId) -> String {
    format!("{RECORD_PREFIX}{partition}")
}

/// Encodes a record for the store. Equal records have equal values, so comparing values compares
/// records.
fn to_value(record: &PartitionRecord) -> Vec<u8> {
    // A record holds only numbers, names and addresses, which are always valid JSON.
    serde_json::to_vec(record).unwrap_or_default()
}

/// Decodes a record with its key; `None` for an invalid value.
fn from_value(value: StoreValue) -> Option<(String, PartitionRecord)> {
    let record = serde_json::from_slice(&value.value).ok()?;
    Some((value.key, record))
}
