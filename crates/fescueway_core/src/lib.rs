//! The vocabulary that all fescueway crates share: names, ids, time, load and outcomes.
//!
//! Nothing here does I/O or reads a clock. The decision crates take a [`MonoTime`] as an
//! argument, so that tests and benches run them under virtual time.

mod byte_digest;
mod config_mark;
mod load_report;
mod mono_time;
mod names;
mod node_id;
mod outcome;
mod refusal;
mod reported_load;
mod request_terms;
mod target_record;
mod token_bucket;

pub use crate::{
    byte_digest::byte_digest,
    config_mark::ConfigMark,
    load_report::LoadReport,
    mono_time::MonoTime,
    names::{DomainName, ServiceName, SiteName},
    node_id::NodeId,
    outcome::Outcome,
    refusal::{Refusal, RefusalReason},
    reported_load::ReportedLoad,
    request_terms::{Idempotency, KeyDigest, OfferCause, Priority, RequestTerms},
    target_record::{TargetRecord, TargetState},
    token_bucket::TokenBucket,
};
