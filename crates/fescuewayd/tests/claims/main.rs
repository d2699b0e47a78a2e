//! Idempotency keys, requests that crash backend servers, and probes, over real sockets.

mod bookings;
mod fleet;
mod probes;
mod suspects;
