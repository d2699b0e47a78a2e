//! Distinct loopback addresses for servers under test.

use std::{
    net::{IpAddr, Ipv4Addr},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Host bits of an address in 127.0.0.0/8.
const HOST_BITS: u32 = 24;

/// Low host bits, which number the servers of one process.
const SERVER_BITS: u32 = 10;

/// Number of addresses that this process has allocated.
static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Allocates a loopback address that differs from those of the other servers in this process, and
/// from those of most other processes.
///
/// On 127.0.0.1, a stopped server could be mistaken for a later one that gets the same port.
#[must_use]
pub fn unique_loopback() -> IpAddr {
    // The first (network) and the last (broadcast) address are left out.
    let usable_count = (1 << SERVER_BITS) - 2;
    let server_bits = 1 + ALLOCATED.fetch_add(1, Ordering::Relaxed) % usable_count;
    let process_bits = process::id() << SERVER_BITS;
    let host_bits = (process_bits | server_bits) % (1 << HOST_BITS);
    let network = u32::from(Ipv4Addr::new(127, 0, 0, 0));
    IpAddr::from(Ipv4Addr::from(network | host_bits))
}
