//! The parts of the decisions.
