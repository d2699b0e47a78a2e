//! What every TCP socket of the path is set to.

use std::{io, time::Duration};

use socket2::SockRef;
use tokio::net::TcpStream;

/// Sends small messages at once, and lets the operating system close the connection when the other
/// side acknowledges nothing, or takes nothing, for `user_timeout` (`TCP_USER_TIMEOUT`, RFC 5482).
///
/// Without the second, a VM that vanished would hold its connections for a quarter of an hour.
///
/// # Errors
///
/// When the socket is closed already.
pub fn set_socket_options(socket: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(user_timeout))
}
