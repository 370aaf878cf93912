//! Connections to endpoints.

use std::error::Error as _;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tracing::info;

use crate::edge::desk::lock;
use crate::http_client::is_readable;
use crate::paced_stream::MAX_READ;
use crate::paced_stream::PacedStream;

/// How long a connection may take: an endpoint is a few milliseconds away, and a request that could not be sent may go to
/// another one.
const CONNECT: Duration = Duration::from_millis(500);

/// How long sent bytes may stay without acknowledgement before the connection counts as dead: three retransmissions on a
/// path of a few milliseconds.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);

/// After which silence, and how often, the system asks whether the other end is still there.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// How many of these questions go unanswered on a connection that is given up.
const KEEPALIVES: u32 = 2;

/// How long a connection is kept for the next request where the endpoint does not say when it closes it.
const IDLE: Duration = Duration::from_secs(10);

/// How long before the endpoint would close a connection it is used no more: a request that crosses the close is lost, and
/// nobody can tell whether it ran.
const MARGIN: Duration = Duration::from_millis(1000);

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum UpstreamError {
    /// No byte of it was sent.
    #[error("no connection")]
    Unsent,
    /// The endpoint closed the connection, or sent something else than an answer.
    #[error("the connection was closed")]
    Closed,
    /// The connection was given up without a sign of the endpoint, which may still read the request.
    #[error("the connection timed out")]
    TimedOut,
}

/// Where an endpoint is: one that has another's address gets no connection that was the other's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) endpoint: String,
}

/// One connection. Dropped, it is reset at once, which makes an endpoint stop what it runs for it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    target: Target,
    /// Until when it may be used again.
    until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The connections that wait for the next request.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    idle: Mutex<IndexMap<Target, Vec<Connection>>>,
}

impl Upstream {
    /// Sends a request and returns the head of its answer, with the connection that the rest will come over.
    ///
    /// # Errors
    ///
    /// When no head came.
    pub(crate) async fn send(
        &self,
        target: Target,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), UpstreamError> {
        let connection = match self.take(&target) {
            Some(connection) => connection,
            None => connect(target).await?,
        };
        exchange(connection, request).await
    }

    /// Sends a request over a new connection, as [`Upstream::send`] does over a kept one if there is any.
    ///
    /// # Errors
    ///
    /// When no head came.
    pub(crate) async fn send_anew(
        target: Target,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), UpstreamError> {
        exchange(connect(target).await?, request).await
    }

    /// Keeps a connection whose answer was read whole for the next request.
    pub(crate) fn keep(&self, mut connection: Connection, idle: Option<Duration>) {
        let idle = idle.unwrap_or(IDLE).saturating_sub(MARGIN);
        connection.until = Instant::now() + idle;
        if connection.sender.is_closed() || idle.is_zero() {
            return;
        }
        let target = connection.target.clone();
        lock(&self.idle).entry(target).or_default().push(connection);
    }

    /// Opens a connection to where another one led, and keeps it for the next request if it may be idle; returns whether it
    /// was refused, since nothing listens there any more.
    pub(crate) async fn reopen(&self, ended: &Connection, idle: Option<Option<Duration>>) -> bool {
        let target = ended.target.clone();
        let stream = match open(target.address).await {
            Ok(stream) => stream,
            Err(error) => {
                let endpoint = &target.endpoint;
                info!(event = "endpoint-unreached", endpoint, %error);
                return error.kind() == ErrorKind::ConnectionRefused;
            }
        };
        if let Some(idle) = idle
            && let Ok(connection) = handshake(stream, target).await
        {
            self.keep(connection, idle);
        }
        false
    }

    /// Closes the connections that were not used again in time.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, idle| {
            idle.retain(|c| now < c.until && !c.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Takes the connection that was used last: the others then grow old and are closed.
    fn take(&self, target: &Target) -> Option<Connection> {
        let now = Instant::now();
        let mut all = lock(&self.idle);
        let idle = all.get_mut(target)?;
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() && now < connection.until {
                return Some(connection);
            }
        }
        None
    }
}

async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), UpstreamError> {
    match connection.sender.try_send_request(request).await {
        Ok(answer) if is_readable(&answer) => Ok((connection, answer)),
        Ok(_) => Err(UpstreamError::Closed),
        // Given back with the error is only a request of which nothing was written.
        Err(error) if error.message().is_some() => Err(UpstreamError::Unsent),
        Err(error) => Err(broken(error.error())),
    }
}

/// Returns how a connection broke on which a request was sent.
fn broken(error: &hyper::Error) -> UpstreamError {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    match cause.map(io::Error::kind) {
        None
        | Some(ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe) => {
            UpstreamError::Closed
        }
        Some(_) => UpstreamError::TimedOut,
    }
}

async fn connect(target: Target) -> Result<Connection, UpstreamError> {
    let stream = open(target.address).await;
    let stream = stream.map_err(|_| UpstreamError::Unsent)?;
    handshake(stream, target).await
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
    watch(&stream);
    Ok(stream)
}

async fn handshake(stream: TcpStream, target: Target) -> Result<Connection, UpstreamError> {
    let built = http1::Builder::new()
        .max_buf_size(MAX_READ)
        .handshake(TokioIo::new(PacedStream::new(stream)))
        .await;
    let Ok((sender, connection)) = built else {
        return Err(UpstreamError::Unsent);
    };
    // How a connection ends shows at the request that is on it.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        target,
        until: Instant::now(),
    })
}

/// Has the system notice a connection whose other end is gone without a word.
///
/// A machine that lost its power, or that is cut off, sends no reset: a request would wait for its deadline.
fn watch(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVES);
    // A request that is given up must not arrive later, when a link that held it back delivers it. An orderly close still
    // sends what was written before it; a reset discards it.
    let set = stream
        .set_zero_linger()
        .and_then(|()| socket.set_tcp_nodelay(true))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = set {
        tracing::warn!(event = "socket-option", %error);
    }
}
