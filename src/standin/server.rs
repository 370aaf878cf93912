//! What the stand-ins' HTTP servers share: a listener, a call with its body read, and a reply that may be a fault.

use std::future::Future;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream::BoxStream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::HeaderMap;
use salvo::http::HeaderValue;
use salvo::http::Method;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::header::RETRY_AFTER;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

/// The largest body that is read, in bytes: a whole application file or a batch of log records fits well.
const MAX_BODY: usize = 16 << 20;

/// How many connections may wait to be accepted: a test's burst of callers fits.
const BACKLOG: u32 = 1024;

/// A stand-in that runs on the caller's loop.
#[derive(Debug)]
pub struct Started {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its server; aborting it closes the listener and each connection.
    pub task: JoinHandle<()>,
}

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
    // Linux hands this on to each connection that the listener accepts. Without it the last small write of an answer
    // waits for the acknowledgement of the one before, which a caller sees as a stall of 40 ms.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves a router on a listener, for ever.
pub(crate) async fn serve(listener: TcpListener, router: Router) {
    let Ok(acceptor) = TcpAcceptor::try_from(listener) else {
        return;
    };
    Server::new(acceptor).disable_fuse().serve(router).await;
}

/// Binds an address and serves a router there in a task of its own.
pub(crate) fn start(address: SocketAddr, router: Router) -> io::Result<Started> {
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(serve(listener, router));
    Ok(Started { address, task })
}

/// A request, with its body read.
#[derive(Debug)]
pub(crate) struct Call {
    /// Its method.
    pub(crate) method: Method,
    /// Its path, without the query.
    pub(crate) path: String,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Bytes,
    /// The connection that it came by.
    pub(crate) conn: ConnCtrl,
    params: Vec<(String, String)>,
    queries: Vec<(String, String)>,
}

impl Call {
    async fn read(req: &mut Request, ctrl: &FlowCtrl) -> Result<Self, Reply> {
        let body = match req.payload_with_max_size(MAX_BODY).await {
            Ok(body) => body.clone(),
            Err(error) => return Err(Reply::bad_request(&error)),
        };
        Ok(Self {
            method: req.method().clone(),
            path: req.uri().path().to_owned(),
            headers: req.headers().clone(),
            body,
            conn: ctrl.conn().clone(),
            params: pairs(req.params().iter()),
            queries: pairs(req.queries().iter()),
        })
    }

    /// Returns a part of the path.
    pub(crate) fn param(&self, name: &str) -> &str {
        find(&self.params, name).unwrap_or_default()
    }

    /// Returns a number of the query, or what stands for one that is missing or none.
    pub(crate) fn number(&self, name: &str, missing: u64) -> u64 {
        find(&self.queries, name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(missing)
    }

    /// Returns a header's text.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let value = self.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    }

    /// Reads the body as JSON.
    pub(crate) fn json<T>(&self) -> Result<T, Reply>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|error| Reply::bad_request(&error))
    }
}

fn pairs<'a, I>(all: I) -> Vec<(String, String)>
where
    I: Iterator<Item = (&'a String, &'a String)>,
{
    all.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn find<'a>(all: &'a [(String, String)], name: &str) -> Option<&'a str> {
    all.iter()
        .find(|(given, _)| given == name)
        .map(|(_, value)| value.as_str())
}

/// What a stand-in does with a call.
pub(crate) enum Reply {
    /// Answers with JSON.
    Json(StatusCode, Vec<u8>),
    /// Answers with JSON and says when to come again, in seconds.
    Later(StatusCode, Vec<u8>, u64),
    /// Answers with server-sent events.
    Events(BoxStream<'static, io::Result<Bytes>>),
    /// Cuts the connection without an answer.
    Cut,
    /// Never answers.
    Hang,
}

impl Reply {
    /// Answers 200.
    pub(crate) fn ok<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        Self::json(StatusCode::OK, value)
    }

    /// Answers with a status.
    pub(crate) fn json<T>(status: StatusCode, value: &T) -> Self
    where
        T: Serialize,
    {
        match serde_json::to_vec(value) {
            Ok(text) => Self::Json(status, text),
            Err(error) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Answers with an error in the form that model engines use.
    pub(crate) fn error(status: StatusCode, message: &str) -> Self {
        Self::Json(status, error_body(status, message))
    }

    /// Answers 400.
    pub(crate) fn bad_request<E>(error: &E) -> Self
    where
        E: ToString,
    {
        Self::error(StatusCode::BAD_REQUEST, &error.to_string())
    }

    /// Answers 503, with the seconds after which to come again.
    pub(crate) fn unavailable(message: &str, after: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self::Later(status, error_body(status, message), after)
    }

    async fn send(self, res: &mut Response, conn: &ConnCtrl) {
        match self {
            Self::Json(status, text) => write_json(res, status, text),
            Self::Later(status, text, after) => {
                write_json(res, status, text);
                res.headers_mut()
                    .insert(RETRY_AFTER, HeaderValue::from(after));
            }
            Self::Events(events) => {
                set_type(res, "text/event-stream");
                res.body(ResBody::stream(events));
            }
            Self::Cut => {
                conn.abort();
                // Returning could still win the race against the abort, and an answer would get out.
                pending::<()>().await;
            }
            Self::Hang => pending().await,
        }
    }
}

fn error_body(status: StatusCode, message: &str) -> Vec<u8> {
    json!({"error": {"code": status.as_u16(), "message": message}})
        .to_string()
        .into_bytes()
}

fn write_json(res: &mut Response, status: StatusCode, text: Vec<u8>) {
    res.status_code(status);
    set_type(res, "application/json");
    res.body(text);
}

fn set_type(res: &mut Response, name: &'static str) {
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(name));
}

/// A handler made of a shared state and an asynchronous function of it.
pub(crate) struct Action<S, F> {
    state: Arc<S>,
    run: F,
}

impl<S, F> Action<S, F> {
    /// Binds a function to the state.
    pub(crate) fn new(state: &Arc<S>, run: F) -> Self {
        Self {
            state: state.clone(),
            run,
        }
    }
}

#[async_trait]
impl<S, F, R> Handler for Action<S, F>
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Call) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Reply>> + Send + 'static,
{
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let reply = match Call::read(req, ctrl).await {
            Ok(call) => (self.run)(self.state.clone(), call)
                .await
                .unwrap_or_else(|early| early),
            Err(early) => early,
        };
        reply.send(res, ctrl.conn()).await;
    }
}
