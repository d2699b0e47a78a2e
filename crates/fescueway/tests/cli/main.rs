//! The built command line: its arguments, the store, and a running node.

mod command_line;
mod daemon;
mod fleet;
mod rollout;
mod support;
mod trace;
