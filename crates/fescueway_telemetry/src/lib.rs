//! What operators see: numbered events, metrics and service-level burn.

mod event_kind;
pub mod events;

pub use crate::event_kind::{EventKind, emit};
