//! Request and response bodies, streamed with bounded memory. A body that can't be completed aborts
//! its stream, so a truncated body is never taken for a complete one.

mod answer_body;
mod body_error;
mod discarded_body;
mod host_body;
mod idle_timer;
mod peer_body;
mod request_body;
mod send_body;

pub use self::{
    answer_body::{AnswerBody, CountedBody},
    body_error::BodyError,
    discarded_body::{DiscardError, discard_body},
    host_body::HostBody,
    idle_timer::IdleTimer,
    peer_body::PeerBody,
    request_body::{RequestBody, SharedBody},
    send_body::send_body,
};
