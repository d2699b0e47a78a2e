//! Shows the progress of long waits on a terminal.

use std::io::{self, IsTerminal, Write};

/// A line on standard error that each update overwrites. Nothing is shown when standard error is
/// not a terminal.
#[derive(Debug)]
pub(crate) struct ProgressLine {
    /// Whether standard error is a terminal.
    is_shown: bool,
}

impl ProgressLine {
    /// Creates an empty line.
    pub(crate) fn new() -> Self {
        Self {
            is_shown: io::stderr().is_terminal(),
        }
    }

    /// Replaces the line by `text`.
    pub(crate) fn show(&self, text: &str) {
        if self.is_shown {
            // A failed write of the progress must not end the wait.
            let _ = write!(io::stderr(), "\r\x1b[K{text}").and_then(|()| io::stderr().flush());
        }
    }
}

impl Drop for ProgressLine {
    fn drop(&mut self) {
        self.show("");
    }
}
