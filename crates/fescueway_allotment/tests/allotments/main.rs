//! Tests of allotments in a fleet in virtual time, and of their parts.

mod fleet;
mod loads;
mod losses;
mod parts;
