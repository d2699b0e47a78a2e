//! A log reader that stops reading must not block the threads that log.

use std::{
    io::{Result, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::{Duration, Instant},
};

use fescueway_telemetry::LogQueue;

/// Lines to log: far more than the queue holds.
const LINE_COUNT: usize = 20_000;

/// Maximum time to add all lines while nobody reads: a tenth of a millisecond each.
const MAX_PUSH_TIME: Duration = Duration::from_secs(2);

/// An output whose writes block until the test drops the sender of `blocked`.
struct BlockedOutput {
    /// Blocks each write while its sender exists.
    blocked: Receiver<()>,
    /// Passes each write to the test.
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        // Fails once the sender is dropped, which unblocks all writes.
        let _ = self.blocked.recv();
        // The test may have ended and dropped the receiver.
        let _ = self.written.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn unread_lines_are_dropped_and_counted_without_blocking() {
    let (unblock, blocked) = channel();
    let (written, read) = channel();
    let queue = LogQueue::start(BlockedOutput { blocked, written }).expect("a thread");
    let start = Instant::now();
    for index in 0..LINE_COUNT {
        queue.push(&format_args!(
            "line {index} with some text so that it is as long as others"
        ));
    }
    assert!(start.elapsed() < MAX_PUSH_TIME, "{:?}", start.elapsed());
    let lost = queue.lost();
    assert!(lost > 0, "all {LINE_COUNT} lines fitted");
    assert!(!queue.flush(Duration::from_millis(50)), "nobody reads");
    drop(unblock);
    assert!(queue.flush(Duration::from_secs(10)), "the reader is back");
    let lines = read.try_iter().flatten().filter(|byte| *byte == b'\n');
    assert_eq!(lines.count() as u64 + lost, LINE_COUNT as u64);
    // The queue has room for new lines again.
    queue.push(&format_args!("one more"));
    assert!(queue.flush(Duration::from_secs(10)));
    assert_eq!(queue.lost(), lost);
}
