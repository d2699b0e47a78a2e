//! An open watch.

use std::{net::SocketAddr, time::Duration};

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    StoreError, StoreFault, StoreStep, WatchBatch,
    json_mapping::{RawStreamed, RawWatch},
};

/// The longest line that is read, in bytes.
const LINE_LIMIT: usize = 64 << 20;

/// An open watch on the store's keys.
///
/// After an error the watch is over. It resumes by opening another one at the revision after the
/// last batch; when that is compacted, its owner reads the keys anew.
#[derive(Debug)]
pub struct StoreWatch {
    /// The store member that serves it.
    peer: SocketAddr,
    /// The stream of answers, one JSON value a line.
    stream: Incoming,
    /// Bytes of lines that are not whole yet.
    pending: Vec<u8>,
}

impl StoreWatch {
    /// A watch whose answers arrive on `stream`.
    pub(crate) fn new(peer: SocketAddr, stream: Incoming) -> Self {
        Self {
            peer,
            stream,
            pending: Vec::new(),
        }
    }

    /// Waits for the next changes; `None` when nothing came within `idle_limit`.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    /// When the stream ended, or [`StoreFault::Compacted`] when it asked for changes that the
    /// store no longer holds.
    pub async fn next(&mut self, idle_limit: Duration) -> Result<Option<WatchBatch>, StoreError> {
        let waiting = self.next_batch();
        match tokio::time::timeout(idle_limit, waiting).await {
            Ok(Ok(batch)) => Ok(Some(batch)),
            Ok(Err(fault)) => Err(StoreError {
                step: StoreStep::Watch,
                peer: self.peer,
                fault,
            }),
            Err(_elapsed) => Ok(None),
        }
    }

    /// Waits for the next changes.
    async fn next_batch(&mut self) -> Result<WatchBatch, StoreFault> {
        loop {
            let Some(line) = self.take_line() else {
                self.read_more().await?;
                continue;
            };
            let batch = parse_line(&line)?;
            if !batch.events.is_empty() {
                return Ok(batch);
            }
        }
    }

    /// The first whole line that is pending.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.pending.iter().position(|&byte| byte == b'\n')?;
        let rest = self.pending.split_off(end + 1);
        Some(std::mem::replace(&mut self.pending, rest))
    }

    /// Waits for more bytes.
    async fn read_more(&mut self) -> Result<(), StoreFault> {
        if self.pending.len() > LINE_LIMIT {
            return Err(StoreFault::Unexpected("a line is too long".into()));
        }
        let Some(frame) = self.stream.frame().await else {
            return Err(StoreFault::AnswerLost("the watch was cut".into()));
        };
        let frame = frame.map_err(|error| StoreFault::AnswerLost(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            self.pending.extend_from_slice(&data);
        }
        Ok(())
    }
}

/// The changes that one line tells of. A line that only confirms the watch has none.
fn parse_line(line: &[u8]) -> Result<WatchBatch, StoreFault> {
    let unexpected = |reason: String| StoreFault::Unexpected(reason);
    let raw = serde_json::from_slice::<RawStreamed<RawWatch>>(line);
    let raw = raw.map_err(|error| unexpected(error.to_string()))?;
    if let Some(error) = raw.error {
        return Err(unexpected(error.to_string()));
    }
    let Some(watch) = raw.result else {
        return Ok(WatchBatch::default());
    };
    if let Some(revision) = watch.compacted() {
        return Err(StoreFault::Compacted(revision));
    }
    if watch.canceled {
        return Err(StoreFault::AnswerLost("the store ended the watch".into()));
    }
    WatchBatch::try_from(watch).map_err(unexpected)
}
