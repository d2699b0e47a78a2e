//! Log lines that wait to be written, so that a reader who is slow never holds up who logs.

use std::{
    fmt::{Arguments, Debug, Formatter, Result as FormatResult},
    io::{Result, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use crate::{emit, events::operator};

/// Bytes of lines that may wait: about 1,000 lines.
const MAX_WAITING_BYTES: usize = 256 * 1_024;

/// Pause between two writes. Each write wakes a thread, which costs more than forming a line; a process
/// that is killed loses the lines of this long.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Log lines that wait to be written. Cheap to clone.
///
/// A thread of its own writes them. Lines that find no room are counted and left out; E3013 tells how
/// many once the reader is back.
#[derive(Clone)]
pub struct LogQueue(Arc<SharedQueue>);

/// What the clones of a [`LogQueue`] share.
struct SharedQueue {
    lines: Mutex<WaitingLines>,
    /// Tells the writer of lines, and who flushes that they are written.
    changed: Condvar,
}

/// Lines that wait.
#[derive(Default)]
struct WaitingLines {
    /// Whole lines, at most [`MAX_WAITING_BYTES`] of them.
    bytes: Vec<u8>,
    /// How many lines they are.
    count: u64,
    /// Whether the writer has lines that it took and has not written.
    is_writing: bool,
    /// Lines that were left out since the last E3013.
    untold: u64,
    /// Lines that were left out in all.
    lost: u64,
}

impl LogQueue {
    /// A queue whose lines go to `output`.
    ///
    /// # Errors
    ///
    /// When the operating system gives no thread.
    pub fn start(output: impl Write + Send + 'static) -> Result<Self> {
        let queue = Self(Arc::new(SharedQueue {
            lines: Mutex::default(),
            changed: Condvar::new(),
        }));
        let writer = queue.clone();
        let builder = thread::Builder::new().name("log".to_owned());
        builder.spawn(move || writer.write_on(output))?;
        Ok(queue)
    }

    /// Adds a line, or counts it when there is no room.
    pub fn push(&self, line: &Arguments<'_>) {
        let mut lines = self.lines();
        let length = lines.bytes.len();
        // Writing to memory can't fail.
        let _ = writeln!(lines.bytes, "{line}");
        if lines.bytes.len() > MAX_WAITING_BYTES {
            lines.bytes.truncate(length);
            lines.leave_out(1);
        } else {
            lines.count += 1;
        }
        drop(lines);
        if length == 0 {
            self.0.changed.notify_all();
        }
    }

    /// Lines that were left out so far.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lines().lost
    }

    /// Waits until all lines are written, at most `limit`. Whether they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let is_open = |lines: &mut WaitingLines| lines.is_writing || !lines.bytes.is_empty();
        let waited = self
            .0
            .changed
            .wait_timeout_while(self.lines(), limit, is_open);
        let (_lines, waited) = waited.unwrap_or_else(PoisonError::into_inner);
        !waited.timed_out()
    }

    /// Writes lines as they come.
    fn write_on(self, mut output: impl Write) {
        let mut batch = Vec::new();
        loop {
            let count = self.take(&mut batch);
            let written = output.write_all(&batch).and_then(|()| output.flush());
            let untold = self.written(written.is_ok(), count);
            batch.clear();
            if untold > 0 {
                emit(&operator::LOG_LINES_LOST, &[&untold]);
            }
            thread::sleep(WRITE_PAUSE);
        }
    }

    /// Waits for lines and takes all that there are. How many they are.
    fn take(&self, batch: &mut Vec<u8>) -> u64 {
        let is_empty = |lines: &mut WaitingLines| lines.bytes.is_empty();
        let waited = self.0.changed.wait_while(self.lines(), is_empty);
        let mut lines = waited.unwrap_or_else(PoisonError::into_inner);
        mem::swap(&mut lines.bytes, batch);
        lines.is_writing = true;
        mem::take(&mut lines.count)
    }

    /// Notes that `count` lines were written, or are lost. Tells the lines lost before that are to
    /// be told now: none while nobody could read it.
    fn written(&self, is_written: bool, count: u64) -> u64 {
        let mut lines = self.lines();
        lines.is_writing = false;
        if !is_written {
            lines.leave_out(count);
        }
        self.0.changed.notify_all();
        if is_written {
            mem::take(&mut lines.untold)
        } else {
            0
        }
    }

    /// The lines that wait, locked.
    fn lines(&self) -> MutexGuard<'_, WaitingLines> {
        self.0.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WaitingLines {
    /// Counts lines that are left out.
    fn leave_out(&mut self, count: u64) {
        self.untold += count;
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
