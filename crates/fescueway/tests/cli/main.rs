//! Tests of the built command line: its arguments, its use of the store, and running nodes.

mod accounts;
mod command_line;
mod daemon;
mod fleet;
mod rollout;
mod support;
mod trace;
