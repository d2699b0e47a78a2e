//! Streams between nodes: the client's pool, the server, and control messages.

mod control_table;
mod frame_reader;
mod peer_error;
mod peer_link;
mod peer_offer;
mod peer_pool;
mod peer_reply;
mod peer_server;
mod pump_guard;

pub use self::{
    control_table::ControlTable,
    peer_error::{PeerError, PeerStep},
    peer_pool::PeerPool,
    peer_server::serve_peers,
    pump_guard::PumpGuard,
};
pub(crate) use self::{
    frame_reader::FrameReader,
    peer_link::LinkLease,
    peer_offer::{offer_to_peer, unreachable_host},
    peer_reply::PeerReply,
};
