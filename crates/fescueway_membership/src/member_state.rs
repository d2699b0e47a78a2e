//! The state that one node holds of another.

use fescueway_core::{ConfigMark, MonoTime, NodeId};

use crate::{MemberStatus, NodeRecord, Rumor, datagram::MemberStamp, rumor::StatusStamp};

/// The state that one node holds of another.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Increased only by the member itself.
    pub incarnation: u32,
    /// The member's status at that incarnation.
    pub status: MemberStatus,
    /// When the status was last changed.
    pub changed_at: MonoTime,
    /// The member's record, `None` until it is received.
    pub record: Option<NodeRecord>,
    /// The configuration that the member had in force in its last datagram.
    pub mark: ConfigMark,
}

impl MemberState {
    pub(crate) const fn status_stamp(&self) -> StatusStamp {
        StatusStamp {
            incarnation: self.incarnation,
            status: self.status,
        }
    }

    pub(crate) fn version(&self) -> u32 {
        self.record.as_ref().map_or(0, |record| record.version)
    }

    /// Whether the member is live and its addresses are known.
    #[must_use]
    pub const fn is_reachable(&self) -> bool {
        self.status.is_live() && self.record.is_some()
    }

    pub(crate) fn stamp(&self, node: NodeId) -> MemberStamp {
        MemberStamp {
            node,
            incarnation: self.incarnation,
            status: self.status,
            version: self.version(),
        }
    }

    pub(crate) fn rumor(&self, node: NodeId, has_record: bool) -> Rumor {
        Rumor {
            node,
            incarnation: self.incarnation,
            status: self.status,
            version: self.version(),
            record: self.record.as_ref().filter(|_record| has_record).cloned(),
        }
    }

    /// A digest of this member's state for comparing views. Suspicions are short-lived and left
    /// out; so are members that are gone, since each view drops them at a different time.
    pub(crate) fn digest(&self, node: NodeId) -> u32 {
        if !self.status.is_live() {
            return 0;
        }
        let life = u64::from(self.incarnation) << 32 | u64::from(self.version());
        let mixed = mix(node.0 ^ mix(life));
        (mixed >> 32) as u32
    }
}

/// The finalizer of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
