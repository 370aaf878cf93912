//! Listeners.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// How many connections may wait to be accepted: a burst of callers fits.
const BACKLOG: u32 = 1024;

/// Binds a listener whose connections send each token at once.
///
/// # Errors
///
/// When the address is taken or is not this machine's.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Linux hands this on to each connection that the listener accepts. Without it a small write waits for the
    // acknowledgement of the one before, which the other side puts off: callers see a stall of 40 ms before the first
    // token, and before the end of an answer.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
