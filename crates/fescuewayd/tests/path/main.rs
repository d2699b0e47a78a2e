//! The path of requests through real nodes on loopback.

mod common;
mod two_nodes;
