//! The path of requests through real nodes on loopback.

mod backends;
mod caller_limits;
mod common;
mod decision_lines;
mod host_field;
mod hostile_peers;
mod live_gates;
mod load_header;
mod logged_process;
mod mixed_answers;
mod nested_calls;
mod outcomes;
mod process;
mod shared_routes;
mod stopping;
mod streaming;
mod two_nodes;
