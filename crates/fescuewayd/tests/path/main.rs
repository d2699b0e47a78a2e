//! Requests through real nodes on loopback.

mod accounts;
mod caller_disconnects;
mod caller_limits;
mod common;
mod concurrent_responses;
mod decision_logs;
mod hedges;
mod host_field;
mod hostile_peers;
mod invalid_statuses;
mod load_header;
mod logged_process;
mod nested_calls;
mod outcomes;
mod process;
mod queue_limit_update;
mod raw_backend;
mod shared_routes;
mod silent_connections;
mod stopping;
mod streaming;
mod time_limits;
mod two_nodes;
