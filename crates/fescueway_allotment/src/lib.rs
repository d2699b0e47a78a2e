//! Decides which requests of a client account run when the account has an allotment.
//!
//! Each account has an owner, one node whose [`AllotmentOwner`] holds the account's token bucket. Every
//! node is an entry: its [`AllotmentEntry`] asks the owners for tokens, keeps a few in advance where
//! the demand is high, and uses a fixed share when no owner answers. [`FleetView`] tells who owns an
//! account and whether this node may grant. See docs/design/allotments.md.

mod account_answer;
mod account_question;
mod allotment_entry;
mod allotment_owner;
mod allotment_totals;
mod demand_meter;
mod entry_account;
mod entry_decision;
mod fallback_share;
mod fleet_view;
mod owned_account;
mod owner_link;
mod prefetched_tokens;
mod priority_class;

pub use crate::{
    account_answer::AccountAnswer,
    account_question::{AccountQuestion, ReleasedBucket},
    allotment_entry::AllotmentEntry,
    allotment_owner::AllotmentOwner,
    allotment_totals::AllotmentTotals,
    demand_meter::DemandMeter,
    entry_decision::{EntryDecision, WaitEnd, WaitId},
    fallback_share::FallbackShare,
    fleet_view::FleetView,
    owner_link::OwnerQuestion,
    prefetched_tokens::{PrefetchedTokens, TOKEN_LIFETIME},
    priority_class::CLASSES,
};
