//! News of one member, as nodes tell it to each other.

use fescueway_core::NodeId;
use serde::{Deserialize, Serialize};

use crate::NodeRecord;

/// What is held of a member's life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It did not answer one node, and has some seconds to refute that.
    Suspect,
    /// It did not refute the suspicion. A member that lives refutes this too when it hears of it.
    Down,
    /// It said that it leaves. Final, since a process that starts again has a new identity.
    Left,
}

impl MemberStatus {
    /// Whether requests and pings may still go to the member.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// News of one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumor {
    /// The member.
    pub node: NodeId,
    /// Raised by the member alone, to refute a suspicion.
    pub incarnation: u32,
    /// What is held of its life at that incarnation.
    pub status: MemberStatus,
    /// Version of the member's record, also when the record is left out.
    pub version: u32,
    /// The record, left out where the receiver is likely to hold it.
    pub record: Option<NodeRecord>,
}

/// The part of a rumor that orders what is told of a member's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LifeStamp {
    /// The member's incarnation.
    pub incarnation: u32,
    /// Its status at that incarnation.
    pub status: MemberStatus,
}

impl LifeStamp {
    /// Whether this overrides `held`. Leaving is final; else the higher incarnation wins, and of
    /// equal ones the worse status.
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
