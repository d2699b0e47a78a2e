//! Fleet membership: which nodes are live, and which targets they serve.
//!
//! A [`MemberList`] is one node's view of the fleet. It implements a SWIM-like protocol with constant
//! work for each node: one ping a period, indirect pings before a suspicion, incarnation numbers to
//! refute false rumors, rumors piggybacked on every datagram, and an anti-entropy exchange of digests
//! that repairs what gossip missed. It does no I/O: the owner passes in [`MemberEvent`]s and carries
//! out the returned [`MemberAction`]s.
//!
//! ```
//! # use fescueway_core::{DomainName, MonoTime, NodeId, SiteName};
//! # use fescueway_membership::{FleetSecret, MemberList, MemberSettings};
//! # use rand_pcg::Pcg64Mcg;
//! let settings = MemberSettings {
//!     node: NodeId(7),
//!     gossip_address: "127.0.0.1:7001".parse().unwrap(),
//!     peer_address: "127.0.0.1:7000".parse().unwrap(),
//!     domain: DomainName::from("texas-a"),
//!     site: SiteName::from("caprock"),
//!     seeds: vec!["127.0.0.1:7101".parse().unwrap()],
//!     secret: FleetSecret::new(b"shared by all nodes"),
//! };
//! let mut random = Pcg64Mcg::new(1);
//! let list = MemberList::new(MonoTime::ZERO, settings, &mut random);
//! assert_eq!(list.live_count(), 1);
//! ```

mod byte_budget;
mod datagram;
mod datagram_codec;
mod datagram_handling;
mod fleet_join;
mod fleet_search;
mod fleet_sync;
mod gossip_push;
mod member_event;
mod member_list;
mod member_settings;
mod member_state;
mod member_table;
mod node_record;
mod pause_recovery;
mod peer_probe;
mod probe_order;
mod record_delivery;
mod rumor;
mod rumor_handling;
mod rumor_queue;
mod traffic_counts;

pub use crate::{
    datagram::{Datagram, MessageBody},
    datagram_codec::{DatagramCodec, DatagramError, FleetSecret, MAX_DATAGRAM_BYTES},
    fleet_search::{FleetKnowledge, FleetSearch},
    member_event::{DownCause, MemberAction, MemberEvent},
    member_list::{MemberList, PING_PERIOD, jittered},
    member_settings::MemberSettings,
    member_state::MemberState,
    node_record::{NodeRecord, ServedService},
    rumor::{MemberStatus, Rumor},
    traffic_counts::TrafficCounts,
};
