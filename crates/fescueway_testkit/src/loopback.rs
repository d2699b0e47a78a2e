//! Loopback addresses of their own for servers under test.

use std::{
    net::{IpAddr, Ipv4Addr},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Bits of an address within 127.0.0.0/8.
const HOST_BITS: u32 = 24;

/// Bits of an address that tell the servers of one process apart.
const SERVER_BITS: u32 = 10;

/// Servers that were given an address in this process.
static SERVERS: AtomicU32 = AtomicU32::new(0);

/// A loopback address that no other server of this process has, nor of most others.
///
/// On an address of its own, a server that ends can't be taken for one that is given the same port
/// later, as it could be on 127.0.0.1.
#[must_use]
pub fn unique_loopback() -> IpAddr {
    // The first and the last address of a network stand for all of it.
    let usable = (1 << SERVER_BITS) - 2;
    let within_process = 1 + SERVERS.fetch_add(1, Ordering::Relaxed) % usable;
    let process = process::id() << SERVER_BITS;
    let host = (process | within_process) % (1 << HOST_BITS);
    let network = u32::from(Ipv4Addr::new(127, 0, 0, 0));
    IpAddr::from(Ipv4Addr::from(network | host))
}
