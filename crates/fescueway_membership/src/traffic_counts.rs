//! Traffic counts of a membership instance.

use crate::DatagramError;

/// Counts since the start. Bytes are those of the datagrams' payloads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrafficCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received, dropped ones included.
    pub received: u64,
    /// Bytes received, dropped ones included.
    pub received_bytes: u64,
    /// Datagrams dropped because the tag doesn't match the fleet's secret.
    pub forged: u64,
    /// Datagrams dropped because they are truncated or don't decode.
    pub malformed: u64,
    /// Datagrams dropped because they are too long.
    pub oversize: u64,
    /// Datagrams dropped because of another protocol version.
    pub other_version: u64,
    /// Rumors that changed the member table.
    pub applied_rumors: u64,
    /// Suspicions raised by this node.
    pub suspicions: u64,
    /// False rumors about itself that this node refuted.
    pub refutations: u64,
}

impl TrafficCounts {
    pub(crate) const fn on_sent(&mut self, bytes: usize) {
        self.sent += 1;
        self.sent_bytes += bytes as u64;
    }

    pub(crate) const fn on_received(&mut self, bytes: usize) {
        self.received += 1;
        self.received_bytes += bytes as u64;
    }

    pub(crate) const fn on_dropped(&mut self, error: DatagramError) {
        match error {
            DatagramError::Forged => self.forged += 1,
            DatagramError::Malformed => self.malformed += 1,
            DatagramError::Oversize => self.oversize += 1,
            DatagramError::Version(_) => self.other_version += 1,
        }
    }
}
