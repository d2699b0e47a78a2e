//! Options of the proxy's TCP sockets.

use std::{io, time::Duration};

use socket2::SockRef;
use tokio::net::TcpStream;

/// Disables Nagle's algorithm, and lets the operating system close the connection when the other
/// side acknowledges no data, or keeps its window closed, for `user_timeout` (`TCP_USER_TIMEOUT`,
/// RFC 5482).
///
/// Without the timeout, connections to a VM that vanished stay open for a quarter of an hour.
///
/// # Errors
///
/// When the socket is already closed.
pub fn set_socket_options(socket: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(user_timeout))
}
