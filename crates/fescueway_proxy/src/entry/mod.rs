//! The entry: accepts requests of callers and offers each one to a host.

mod account_check;
mod allotment_check;
mod answer_request;
mod entry_request;
mod entry_server;
mod final_answer;
mod hedge;
mod offer_attempt;
mod offer_loop;
mod presented_key;
mod read_ahead;
mod request_scanner;

pub use self::{
    account_check::{AccountCheck, AccountRequest},
    allotment_check::{AllotmentCheck, AllotmentPermit},
    entry_server::serve_callers,
    presented_key::PresentedKey,
};
