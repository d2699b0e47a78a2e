//! An update on one member's state, as nodes send it to each other.

use fescueway_core::NodeId;
use serde::{Deserialize, Serialize};

use crate::NodeRecord;

/// The status of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberStatus {
    /// It answers pings.
    Alive,
    /// It didn't answer one node and has a few seconds to refute the suspicion.
    Suspect,
    /// It didn't refute the suspicion. A live member refutes this status too once it learns of it.
    Down,
    /// It announced that it leaves. Final, since a restarted process has a new identity.
    Left,
}

impl MemberStatus {
    /// Whether requests and pings may still be sent to the member.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// An update on one member's state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumor {
    /// The member.
    pub node: NodeId,
    /// Increased only by the member itself, to refute a suspicion.
    pub incarnation: u32,
    /// The member's status at that incarnation.
    pub status: MemberStatus,
    /// Version of the member's record, set even if the record is left out.
    pub version: u32,
    /// The record, left out if the receiver is likely to have it.
    pub record: Option<NodeRecord>,
}

/// The part of a rumor that orders the updates of a member's status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatusStamp {
    /// The member's incarnation.
    pub incarnation: u32,
    /// Its status at that incarnation.
    pub status: MemberStatus,
}

impl StatusStamp {
    /// Whether this overrides `held`. Leaving is final; otherwise the higher incarnation wins, and
    /// at equal incarnations the worse status.
    pub fn overrides(self, held: Self) -> bool {
        if held.status == MemberStatus::Left {
            return false;
        }
        if self.status == MemberStatus::Left {
            return true;
        }
        (self.incarnation, self.status) > (held.incarnation, held.status)
    }
}
