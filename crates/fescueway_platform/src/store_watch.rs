//! An open watch.

use std::{net::SocketAddr, pin::Pin, time::Duration};

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    KeyRange, StoreAnswer, StoreCall, StoreCallKind, StoreError, StoreFault, WatchBatch,
    WatchMapping,
    store_connection::{Sender, connect, exchange, open_stream},
};

/// How long one poll of a watch waits at the store for changes. Stores allow 30 s; a poll that waits
/// is one call, so shorter ones cost more of them.
const POLL_WAIT: Duration = Duration::from_secs(25);

/// What a poll may take beyond its wait.
const POLL_GRACE: Duration = Duration::from_secs(2);

/// The longest line that is read, in bytes.
const LINE_LIMIT: usize = 64 << 20;

/// Reads one line of a stream.
type LineReader = fn(&[u8]) -> Result<WatchBatch, StoreFault>;

/// A poll that waits for its answer.
type PollFuture = Pin<Box<dyn Future<Output = Result<(Sender, StoreAnswer), StoreFault>> + Send>>;

/// An open watch on the store's keys.
///
/// After an error the watch is over. It resumes by opening another one at the revision after the
/// last batch; when that is compacted, its owner reads the keys anew.
#[derive(Debug)]
pub struct StoreWatch {
    /// The store member that serves it.
    peer: SocketAddr,
    /// How changes arrive.
    source: WatchSource,
}

/// How changes arrive.
enum WatchSource {
    /// On one answer that never ends.
    Stream {
        /// The answer, one JSON value a line.
        stream: Incoming,
        /// Bytes of lines that are not whole yet.
        pending: Vec<u8>,
        /// Reads one line.
        read_line: LineReader,
    },
    /// Each with an answer of its own.
    Poll {
        /// What is watched.
        range: KeyRange,
        /// The revision that the next poll begins at.
        from_revision: i64,
        /// Makes a poll.
        poll: fn(&KeyRange, i64, Duration) -> StoreCall,
        /// Reads its answer.
        read: fn(&StoreAnswer) -> Result<WatchBatch, StoreFault>,
        /// The poll that waits.
        waiting: Option<PollFuture>,
        /// The connection, while no poll waits.
        sender: Option<Sender>,
    },
}

impl StoreWatch {
    /// Opens a watch.
    pub(crate) async fn open(
        peer: SocketAddr,
        mapping: &WatchMapping,
        range: &KeyRange,
        from_revision: i64,
    ) -> Result<Self, StoreFault> {
        let source = match *mapping {
            WatchMapping::Stream {
                open,
                read_line,
                read_refusal,
            } => {
                let opened = open_stream(peer, open(range, from_revision)).await?;
                WatchSource::Stream {
                    stream: opened.map_err(|answer| read_refusal(&answer))?,
                    pending: Vec::new(),
                    read_line,
                }
            }
            WatchMapping::Poll { poll, read } => WatchSource::Poll {
                range: range.clone(),
                from_revision,
                poll,
                read,
                waiting: None,
                sender: Some(connect(peer).await?),
            },
        };
        Ok(Self { peer, source })
    }

    /// Waits for the next changes; `None` when nothing came within `idle_limit`.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    /// When the watch ended, or [`StoreFault::Compacted`] when it asked for changes that the
    /// store no longer holds.
    pub async fn next(&mut self, idle_limit: Duration) -> Result<Option<WatchBatch>, StoreError> {
        let peer = self.peer;
        let waiting = self.source.next_batch(peer);
        match tokio::time::timeout(idle_limit, waiting).await {
            Ok(Ok(batch)) => Ok(Some(batch)),
            Ok(Err(fault)) => Err(StoreError {
                kind: StoreCallKind::Watch,
                peer,
                fault,
            }),
            Err(_elapsed) => Ok(None),
        }
    }
}

impl WatchSource {
    /// Waits for the next changes.
    async fn next_batch(&mut self, peer: SocketAddr) -> Result<WatchBatch, StoreFault> {
        loop {
            let batch = match self {
                Self::Stream {
                    stream,
                    pending,
                    read_line,
                } => read_line(&next_line(stream, pending).await?)?,
                Self::Poll { .. } => self.poll_once(peer).await?,
            };
            if !batch.events.is_empty() {
                return Ok(batch);
            }
        }
    }

    /// Waits for the answer to one poll. An empty batch when the poll's time was over.
    async fn poll_once(&mut self, peer: SocketAddr) -> Result<WatchBatch, StoreFault> {
        let Self::Poll {
            range,
            from_revision,
            poll,
            read,
            waiting,
            sender,
        } = self
        else {
            return Ok(WatchBatch::default());
        };
        let polling = waiting.get_or_insert_with(|| {
            let call = poll(range, *from_revision, POLL_WAIT);
            Box::pin(poll_store(peer, sender.take(), call))
        });
        let answered = polling.as_mut().await;
        *waiting = None;
        let (connection, answer) = answered?;
        *sender = Some(connection);
        let batch = read(&answer)?;
        *from_revision = batch.revision.max(*from_revision - 1) + 1;
        Ok(batch)
    }
}

/// Makes one poll, on the connection of the last one or on a new one.
async fn poll_store(
    peer: SocketAddr,
    sender: Option<Sender>,
    call: StoreCall,
) -> Result<(Sender, StoreAnswer), StoreFault> {
    let mut sender = match sender {
        Some(sender) => sender,
        None => connect(peer).await?,
    };
    let answering = exchange(&mut sender, peer, call);
    match tokio::time::timeout(POLL_WAIT + POLL_GRACE, answering).await {
        Ok(answer) => Ok((sender, answer?)),
        Err(elapsed) => Err(StoreFault::AnswerLost(elapsed.to_string())),
    }
}

/// Waits for the next whole line.
async fn next_line(stream: &mut Incoming, pending: &mut Vec<u8>) -> Result<Vec<u8>, StoreFault> {
    loop {
        if let Some(end) = pending.iter().position(|&byte| byte == b'\n') {
            let rest = pending.split_off(end + 1);
            return Ok(std::mem::replace(pending, rest));
        }
        if pending.len() > LINE_LIMIT {
            return Err(StoreFault::Unexpected("a line is too long".into()));
        }
        let Some(frame) = stream.frame().await else {
            return Err(StoreFault::AnswerLost("the watch was cut".into()));
        };
        let frame = frame.map_err(|error| StoreFault::AnswerLost(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            pending.extend_from_slice(&data);
        }
    }
}

impl std::fmt::Debug for WatchSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = match self {
            Self::Stream { .. } => "Stream",
            Self::Poll { .. } => "Poll",
        };
        f.debug_struct(name).finish_non_exhaustive()
    }
}
