//! Queue of log lines, so that a slow log reader never blocks the threads that log.

use std::{
    fmt::{Arguments, Debug, Formatter, Result as FormatResult},
    io::{Result, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use crate::{emit, events::operator};

/// Capacity of the queue in bytes: about 1,000 lines.
const MAX_QUEUED_BYTES: usize = 256 * 1_024;

/// Interval between two writes. Each write wakes a thread, which costs more than formatting a line. A
/// process that is killed loses the lines of this interval.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Bounded queue of log lines. Cheap to clone.
///
/// A background thread writes the lines. When the queue is full, lines are dropped and counted; E3013
/// reports their number once the reader reads again.
#[derive(Clone)]
pub struct LogQueue(Arc<SharedQueue>);

/// State shared by the clones of a [`LogQueue`].
struct SharedQueue {
    lines: Mutex<QueuedLines>,
    /// Notifies the writer of new lines, and [`LogQueue::flush`] of finished writes.
    changed: Condvar,
}

/// Queued lines and the number of dropped ones.
#[derive(Default)]
struct QueuedLines {
    /// Complete lines, at most [`MAX_QUEUED_BYTES`].
    bytes: Vec<u8>,
    /// Number of lines in `bytes`.
    count: u64,
    /// Whether the writer has taken lines that are not written yet.
    is_writing: bool,
    /// Lines dropped since the last E3013.
    unreported: u64,
    /// Lines dropped in total.
    lost: u64,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes its lines to `output`.
    ///
    /// # Errors
    ///
    /// When the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> Result<Self> {
        let queue = Self(Arc::new(SharedQueue {
            lines: Mutex::default(),
            changed: Condvar::new(),
        }));
        let writer = queue.clone();
        let builder = thread::Builder::new().name("log".to_owned());
        builder.spawn(move || writer.run_writer(output))?;
        Ok(queue)
    }

    /// Adds a line, or drops and counts it when the queue is full.
    pub fn push(&self, line: &Arguments<'_>) {
        let mut lines = self.lines();
        let length = lines.bytes.len();
        // Writing to memory can't fail.
        let _ = writeln!(lines.bytes, "{line}");
        if lines.bytes.len() > MAX_QUEUED_BYTES {
            lines.bytes.truncate(length);
            lines.count_lost(1);
        } else {
            lines.count += 1;
        }
        drop(lines);
        if length == 0 {
            self.0.changed.notify_all();
        }
    }

    /// Number of lines dropped so far.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lines().lost
    }

    /// Waits at most `limit` until all lines are written. Returns whether they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let is_pending = |lines: &mut QueuedLines| lines.is_writing || !lines.bytes.is_empty();
        let waited = self
            .0
            .changed
            .wait_timeout_while(self.lines(), limit, is_pending);
        let (_lines, waited) = waited.unwrap_or_else(PoisonError::into_inner);
        !waited.timed_out()
    }

    /// Writes queued lines to `output`, forever.
    fn run_writer(self, mut output: impl Write) {
        let mut batch = Vec::new();
        loop {
            let count = self.take(&mut batch);
            let written = output.write_all(&batch).and_then(|()| output.flush());
            let unreported = self.finish_write(written.is_ok(), count);
            batch.clear();
            if unreported > 0 {
                emit(&operator::LOG_LINES_LOST, &[&unreported]);
            }
            thread::sleep(WRITE_INTERVAL);
        }
    }

    /// Waits for lines and moves all of them to `batch`. Returns their number.
    fn take(&self, batch: &mut Vec<u8>) -> u64 {
        let is_empty = |lines: &mut QueuedLines| lines.bytes.is_empty();
        let waited = self.0.changed.wait_while(self.lines(), is_empty);
        let mut lines = waited.unwrap_or_else(PoisonError::into_inner);
        mem::swap(&mut lines.bytes, batch);
        lines.is_writing = true;
        mem::take(&mut lines.count)
    }

    /// Records that `count` lines were written, or lost if the write failed. Returns the number of lost
    /// lines to report now: 0 after a failed write, because the report would be lost too.
    fn finish_write(&self, is_written: bool, count: u64) -> u64 {
        let mut lines = self.lines();
        lines.is_writing = false;
        if !is_written {
            lines.count_lost(count);
        }
        self.0.changed.notify_all();
        if is_written {
            mem::take(&mut lines.unreported)
        } else {
            0
        }
    }

    /// Locks the queued lines.
    fn lines(&self) -> MutexGuard<'_, QueuedLines> {
        self.0.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueuedLines {
    /// Counts dropped lines.
    fn count_lost(&mut self, count: u64) {
        self.unreported += count;
        self.lost += count;
    }
}

impl Debug for LogQueue {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.debug_struct("LogQueue")
            .field("lost", &self.lost())
            .finish_non_exhaustive()
    }
}
