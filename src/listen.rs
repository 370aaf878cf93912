//! TCP listeners.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// The length of the accept queue, enough for a burst of callers.
const BACKLOG: u32 = 1024;

/// Binds a listener whose connections send each token immediately.
///
/// # Errors
///
/// When the address is in use or does not belong to this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit this on Linux. Without it, a small write waits for the delayed acknowledgement of the
    // one before: callers see a stall of 40 ms before the first token, and before the end of an answer.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
