//! What the hosts of a service tell each other about requests that crash backend servers.

use fescueway_core::NodeId;
use serde::{Deserialize, Serialize};

/// One crash of one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The host node beside it.
    pub host: NodeId,
    /// Counts the crashes that this node saw.
    pub serial: u64,
}

/// A message between hosts of one service. Each is answered by a [`SuspectReply`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectMessage {
    /// To all hosts: these were in flight when a backend server crashed.
    Strike {
        /// The crash.
        crash: CrashId,
        /// Fingerprints of what was in flight.
        fingerprints: Vec<u64>,
    },
    /// To the coordinator: may this suspect run once at `host`?
    Trial {
        /// The fingerprint.
        fingerprint: u64,
        /// The host.
        host: NodeId,
        /// The crashes that the host knows of, in case the coordinator doesn't yet.
        crashes: Vec<CrashId>,
    },
    /// To the coordinator: the suspect was already running at `host` when it was struck.
    Running {
        /// The fingerprint.
        fingerprint: u64,
        /// The host.
        host: NodeId,
    },
    /// To the coordinator: a trial at `host` ended without showing anything.
    TrialEnded {
        /// The fingerprint.
        fingerprint: u64,
        /// The host.
        host: NodeId,
    },
    /// To all hosts: a backend server answered this one.
    Cleared {
        /// The fingerprint.
        fingerprint: u64,
    },
    /// To hosts that were there before: which requests have struck?
    Recall,
}

/// The answer to a [`SuspectMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectReply {
    /// Noted. Of the struck fingerprints, these run here now.
    Noted(Vec<u64>),
    /// The suspect may run once.
    Granted,
    /// The suspect runs elsewhere, or has struck twice.
    Denied,
    /// The answer to [`SuspectMessage::Recall`]: what has struck, with its crashes.
    Struck(Vec<(u64, Vec<CrashId>)>),
}
