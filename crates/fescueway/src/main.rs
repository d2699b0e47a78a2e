//! To be written.
fn main() {}
