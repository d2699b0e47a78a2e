//! Types shared by all fescueway crates: names, ids, time, load and outcomes.
//!
//! Nothing here does I/O or reads a clock. Crates that make decisions take a [`MonoTime`] as an
//! argument, so that tests and benches can run them in virtual time.

mod boot_time;
mod config_mark;
mod fnv1a_64;
mod load_report;
mod mono_time;
mod names;
mod node_id;
mod outcome;
mod rate_limit;
mod refusal;
mod request_terms;
mod server_load;
mod server_notice;
mod target_capacity;
mod target_record;
mod token_bucket;

pub use crate::{
    boot_time::BootTime,
    config_mark::ConfigMark,
    fnv1a_64::fnv1a_64,
    load_report::LoadReport,
    mono_time::MonoTime,
    names::{AccountName, DomainName, ServiceName, SiteName},
    node_id::NodeId,
    outcome::Outcome,
    rate_limit::{RateLimit, RateLimitError},
    refusal::{Refusal, RefusalReason},
    request_terms::{Idempotency, KeyDigest, OfferCause, Priority, RequestTerms},
    server_load::ServerLoad,
    server_notice::{ServerNotice, ServerStart, StatementSource},
    target_capacity::{CapacityError, RawCapacity, TargetCapacity},
    target_record::{TargetRecord, TargetState},
    token_bucket::TokenBucket,
};
