//! A reader of the log who stops reading holds nobody up.

use std::{
    io::{Result, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::{Duration, Instant},
};

use fescueway_telemetry::LogQueue;

/// Lines of the test: far more than fit.
const LINES: usize = 20_000;

/// Longest time that adding all lines may take: a tenth of a millisecond each, though nobody reads.
const MOST_TIME: Duration = Duration::from_secs(2);

/// An output whose every write waits for leave.
struct BlockedOutput {
    /// Gives leave, once dropped for good.
    leave: Receiver<()>,
    /// Hears what was written.
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        // The sender goes when the reader reads again.
        let _ = self.leave.recv();
        // The test may be over.
        let _ = self.written.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_nobody_reads_are_counted_and_hold_nobody_up() {
    let (blocked, leave) = channel();
    let (written, read) = channel();
    let queue = LogQueue::start(BlockedOutput { leave, written }).expect("a thread");
    let start = Instant::now();
    for index in 0..LINES {
        queue.push(&format_args!(
            "line {index} with some text so that it is as long as others"
        ));
    }
    assert!(start.elapsed() < MOST_TIME, "{:?}", start.elapsed());
    let lost = queue.lost();
    assert!(lost > 0, "all {LINES} lines fitted");
    assert!(!queue.flush(Duration::from_millis(50)), "nobody reads");
    drop(blocked);
    assert!(queue.flush(Duration::from_secs(10)), "the reader is back");
    let lines = read.try_iter().flatten().filter(|byte| *byte == b'\n');
    assert_eq!(lines.count() as u64 + lost, LINES as u64);
    // What comes now has room again.
    queue.push(&format_args!("one more"));
    assert!(queue.flush(Duration::from_secs(10)));
    assert_eq!(queue.lost(), lost);
}
