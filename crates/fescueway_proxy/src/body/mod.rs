//! Bodies: streamed in both directions at bounded memory, ended or aborted, never short.

mod answer_body;
mod body_error;
mod body_pump;
mod host_body;
mod peer_body;
mod request_body;

pub use self::{
    answer_body::{AnswerBody, CountedBody},
    body_error::BodyError,
    body_pump::pump_body,
    host_body::HostBody,
    peer_body::PeerBody,
    request_body::{RequestBody, SharedBody},
};
