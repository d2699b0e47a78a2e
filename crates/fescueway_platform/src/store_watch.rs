//! Watches on keys of the store.

use std::{net::SocketAddr, pin::Pin, time::Duration};

use fescueway_core::BootTime;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    KeyRange, StoreAnswer, StoreCall, StoreCallKind, StoreEra, StoreError, StoreFault,
    StoreMapping, StoreRevision, WatchBatch, WatchMapping,
    store_connection::{Sender, connect, exchange, open_stream},
    store_era::EraTracker,
};

/// Time that a long poll waits at the store for changes by default. Stores allow at most 30 s; shorter
/// waits need more calls.
const POLL_WAIT: Duration = Duration::from_secs(25);

/// Time that a poll may take in addition to its wait.
const POLL_GRACE: Duration = Duration::from_millis(500);

/// Maximum length of a line of a stream.
const MAX_LINE_BYTES: usize = 64 << 20;

/// Decodes one line of a stream.
type LineReader = fn(&[u8]) -> Result<WatchBatch, StoreFault>;

/// A poll in flight.
type PollFuture = Pin<Box<dyn Future<Output = Result<(Sender, StoreAnswer), StoreFault>> + Send>>;

/// An open watch on the store's keys.
///
/// An error ends the watch. To resume, open a new watch at the revision after that of the last
/// batch; if that revision is compacted or of a former era, read the keys again first.
#[derive(Debug)]
pub struct StoreWatch {
    /// Address of the store member that serves the watch.
    peer: SocketAddr,
    /// The revision of the last batch.
    revision: StoreRevision,
    /// The era of the store, which other calls may find to have ended.
    tracker: EraTracker,
    source: WatchSource,
    /// The clock of the times at which polls are sent; without it, polls prove nothing.
    clock: Option<fn() -> BootTime>,
    /// When the poll in flight, or the last one, was sent.
    sent_at: Option<BootTime>,
    /// When the latest poll was sent that was answered without changes.
    proven_at: Option<BootTime>,
}

/// How a watch receives changes.
enum WatchSource {
    /// From one streaming answer.
    Stream {
        /// Body of the answer, one JSON value per line.
        stream: Incoming,
        /// Received bytes that are not decoded yet.
        pending: Vec<u8>,
        /// Decodes one line.
        read_line: LineReader,
    },
    /// From long polls, one batch per answer.
    Poll {
        /// The watched keys.
        range: KeyRange,
        /// Time that the next poll waits at the store for changes.
        wait: Duration,
        /// Encodes a poll.
        poll: fn(&KeyRange, i64, Duration) -> StoreCall,
        /// Decodes the answer to a poll.
        read: fn(&StoreAnswer) -> Result<WatchBatch, StoreFault>,
        /// Reads the era of an answer.
        read_era: fn(&HeaderMap) -> Option<StoreEra>,
        /// The poll in flight, if any.
        waiting: Option<PollFuture>,
        /// The connection, unless a poll is in flight.
        sender: Option<Sender>,
    },
}

impl StoreWatch {
    /// Opens a watch with the store member at `peer`.
    pub(crate) async fn open(
        peer: SocketAddr,
        mapping: &StoreMapping,
        range: &KeyRange,
        from_revision: StoreRevision,
        tracker: EraTracker,
    ) -> Result<Self, StoreFault> {
        let StoreRevision { era, number } = from_revision;
        if era != tracker.newest().era {
            return Err(StoreFault::Restored);
        }
        let source = match mapping.watch {
            WatchMapping::Stream {
                open,
                read_line,
                read_refusal,
            } => {
                let opened = open_stream(peer, open(range, number)).await?;
                WatchSource::Stream {
                    stream: opened.map_err(|answer| read_refusal(&answer))?,
                    pending: Vec::new(),
                    read_line,
                }
            }
            WatchMapping::Poll { poll, read } => WatchSource::Poll {
                range: range.clone(),
                wait: POLL_WAIT,
                poll,
                read,
                read_era: mapping.read_era,
                waiting: None,
                sender: Some(connect(peer).await?),
            },
        };
        let revision = StoreRevision {
            era,
            number: number - 1,
        };
        Ok(Self {
            peer,
            revision,
            tracker,
            source,
            clock: None,
            sent_at: None,
            proven_at: None,
        })
    }

    /// Sets the time that a poll waits at the store, from the next poll on. A lost answer is noticed
    /// when the wait is over, so a shorter one bounds the delay of a change and needs more calls. Streams
    /// have no polls.
    pub fn set_poll_wait(&mut self, poll_wait: Duration) {
        if let WatchSource::Poll { wait, .. } = &mut self.source {
            *wait = poll_wait;
        }
    }

    /// Sets the clock by which the next polls prove that nothing had changed.
    pub fn set_clock(&mut self, clock: fn() -> BootTime) {
        self.clock = Some(clock);
    }

    /// The latest time known at which all changes had been returned by [`StoreWatch::next`]: when a
    /// poll was sent that was answered without changes. `None` without such a poll or without a clock,
    /// and for streams.
    #[must_use]
    pub fn proven_at(&self) -> Option<BootTime> {
        self.proven_at
    }

    /// Waits for the next changes; returns `None` if there were none within `idle_limit`.
    ///
    /// Cancel safe: dropping the future loses no changes.
    ///
    /// # Errors
    /// If the watch ended; [`StoreFault::Compacted`] if it asked for changes that the store no
    /// longer holds, [`StoreFault::Restored`] if the store came back from an older copy.
    pub async fn next(&mut self, idle_limit: Duration) -> Result<Option<WatchBatch>, StoreError> {
        let (peer, tracker, era) = (self.peer, self.tracker.clone(), self.revision.era);
        let waiting = async {
            tokio::select! {
                batch = self.next_batch() => batch,
                () = tracker.wait_for_end(era) => Err(StoreFault::Restored),
            }
        };
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

    /// Waits for the next changes.
    async fn next_batch(&mut self) -> Result<WatchBatch, StoreFault> {
        loop {
            let mut batch = match &mut self.source {
                WatchSource::Stream {
                    stream,
                    pending,
                    read_line,
                } => read_line(&next_line(stream, pending).await?)?,
                WatchSource::Poll { .. } => self.poll_once().await?,
            };
            batch.set_era(self.revision.era);
            // A line that only confirms the watch may have no revision.
            self.tracker
                .observe_revision(batch.revision, self.revision)?;
            self.revision.number = self.revision.number.max(batch.revision.number);
            if !batch.events.is_empty() {
                return Ok(batch);
            }
        }
    }

    /// Waits for the answer to one poll. The batch is empty if the wait of the poll was over.
    async fn poll_once(&mut self) -> Result<WatchBatch, StoreFault> {
        let WatchSource::Poll {
            range,
            wait,
            poll,
            read,
            read_era,
            waiting,
            sender,
        } = &mut self.source
        else {
            return Ok(WatchBatch::default());
        };
        let polling = waiting.get_or_insert_with(|| {
            // Taken before anything is sent, so that it is at most too early.
            self.sent_at = self.clock.map(|clock| clock());
            let call = poll(range, self.revision.next().number, *wait);
            Box::pin(poll_store(
                self.peer,
                sender.take(),
                call,
                *wait + POLL_GRACE,
            ))
        });
        let answered = polling.as_mut().await;
        *waiting = None;
        let (connection, answer) = answered?;
        *sender = Some(connection);
        let named = read_era(&answer.headers);
        if self.tracker.observe_era(named, self.revision)? != self.revision.era {
            return Err(StoreFault::Restored);
        }
        let mut batch = read(&answer)?;
        if batch.events.is_empty() {
            self.proven_at = self.sent_at;
        }
        // A protocol may be able to watch prefixes only.
        batch.events.retain(|event| range.contains(event.key()));
        Ok(batch)
    }
}

/// Makes one poll on the connection of the previous poll, or on a new one.
async fn poll_store(
    peer: SocketAddr,
    sender: Option<Sender>,
    call: StoreCall,
    time_left: Duration,
) -> Result<(Sender, StoreAnswer), StoreFault> {
    let mut sender = match sender {
        Some(sender) => sender,
        None => connect(peer).await?,
    };
    let answering = exchange(&mut sender, peer, call);
    match tokio::time::timeout(time_left, answering).await {
        Ok(answer) => Ok((sender, answer?)),
        Err(elapsed) => Err(StoreFault::AnswerLost(elapsed.to_string())),
    }
}

/// Waits for the next complete line.
async fn next_line(stream: &mut Incoming, pending: &mut Vec<u8>) -> Result<Vec<u8>, StoreFault> {
    loop {
        if let Some(end) = pending.iter().position(|&byte| byte == b'\n') {
            let rest = pending.split_off(end + 1);
            return Ok(std::mem::replace(pending, rest));
        }
        if pending.len() > MAX_LINE_BYTES {
            return Err(StoreFault::Unexpected("a line is too long".into()));
        }
        let Some(frame) = stream.frame().await else {
            return Err(StoreFault::AnswerLost("the watch was closed".into()));
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
