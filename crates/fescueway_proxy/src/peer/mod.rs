//! Streams between nodes: connection pool, server and control messages.

mod abort_on_drop;
mod connection_pulse;
mod control_table;
mod frame_reader;
mod peer_connection;
mod peer_error;
mod peer_offer;
mod peer_pool;
mod peer_reply;
mod peer_server;

pub use self::{
    abort_on_drop::AbortOnDrop,
    control_table::ControlTable,
    peer_error::{PeerCause, PeerError, PeerStep},
    peer_pool::PeerPool,
    peer_server::serve_peers,
};
pub(crate) use self::{
    frame_reader::FrameReader,
    peer_connection::StreamPermit,
    peer_offer::{offer_to_peer, unreachable_host},
    peer_reply::PeerReply,
};
