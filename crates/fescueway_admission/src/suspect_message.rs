//! Messages between the hosts of a service about requests that may crash backend servers.

use fescueway_core::NodeId;
use serde::{Deserialize, Serialize};

/// One crash of one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// Host node of the backend server.
    pub host: NodeId,
    /// Serial number of the crash among those that this node detected.
    pub serial: u64,
}

impl CrashId {
    /// Stands for all crashes at which a request was in flight that a backend server had answered
    /// before, except for those in a trial. They count as one strike.
    pub const SHARED: Self = Self {
        host: NodeId(0),
        serial: 0,
    };
}

/// A message between hosts of one service. Each is answered by a [`SuspectReply`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectMessage {
    /// To all hosts: requests were in flight when a backend server crashed, which is a strike
    /// against each of them.
    Strike {
        /// The crash.
        crash: CrashId,
        /// Fingerprints of the requests that were in flight.
        fingerprints: Vec<u64>,
    },
    /// To the coordinator: requests permission to run a suspect once at `host`.
    Trial {
        /// The fingerprint.
        fingerprint: u64,
        /// The host.
        host: NodeId,
        /// Crashes that the host knows of, because the coordinator may not know them yet.
        crashes: Vec<CrashId>,
    },
    /// To the coordinator: the suspect was already running at `host` when it got the strike.
    Running {
        /// The fingerprint.
        fingerprint: u64,
        /// The host.
        host: NodeId,
    },
    /// To the coordinator: a trial at `host` ended without a result.
    TrialEnded {
        /// The fingerprint.
        fingerprint: u64,
        /// The host.
        host: NodeId,
    },
    /// To all hosts: a backend server answered the request, so it is no longer a suspect.
    Cleared {
        /// The fingerprint.
        fingerprint: u64,
    },
    /// To hosts that joined earlier: asks for the known suspects.
    Recall,
}

/// The answer to a [`SuspectMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectReply {
    /// The message was recorded. For a [`SuspectMessage::Strike`], holds those of its fingerprints
    /// that run here now.
    Noted(Vec<u64>),
    /// The suspect may run once.
    Granted,
    /// The suspect runs elsewhere, or is refused.
    Denied,
    /// The answer to [`SuspectMessage::Recall`]: the known suspects, each with its crashes.
    Struck(Vec<(u64, Vec<CrashId>)>),
}
