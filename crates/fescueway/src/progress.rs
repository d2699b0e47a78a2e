//! Progress of long waits, on a terminal only.

use std::io::{self, IsTerminal, Write};

/// A line on standard error that is overwritten as the wait goes on. Nothing is shown when
/// standard error is not a terminal.
#[derive(Debug)]
pub(crate) struct ProgressLine {
    /// Whether standard error is a terminal.
    is_shown: bool,
}

impl ProgressLine {
    /// An empty line.
    pub(crate) fn new() -> Self {
        Self {
            is_shown: io::stderr().is_terminal(),
        }
    }

    /// Shows how far the wait is.
    pub(crate) fn show(&self, text: &str) {
        if self.is_shown {
            // Progress that can't be shown is no reason to give up the wait.
            let _ = write!(io::stderr(), "\r\x1b[K{text}").and_then(|()| io::stderr().flush());
        }
    }
}

impl Drop for ProgressLine {
    fn drop(&mut self) {
        self.show("");
    }
}
