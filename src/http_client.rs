//! A client for short HTTP calls with a time limit.

use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::TokioExecutor;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::http_client::call::Call;
use crate::http_client::call::Step;
use crate::http_client::connector::Connector;
use crate::paced_stream::MAX_READ;

mod call;
mod connector;
mod error;
mod head;
#[cfg(test)]
mod tests;

pub(crate) use call::TimeLimit;
pub use error::HttpError;
pub use error::Overdue;
pub use error::Reached;
pub(crate) use head::is_readable;

/// The time limit for a connection. Between two VMs of one site it takes milliseconds, and a call that could not be sent
/// may be sent elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest answer that is read, in bytes. A batch of a stream's records is far shorter.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

type Connections = Client<Connector, Full<Bytes>>;

/// A client that keeps connections open for later calls.
///
/// A network partition leaves all idle connections dead without a notice. If they were tried one after another, each
/// would cost a call its whole time limit, and the caller would stay disconnected for seconds after the partition. A call
/// that is not answered over an idle connection, or that gets no connection, therefore discards all idle connections. A
/// call that is not answered over a new connection says nothing about the others.
#[derive(Clone, Debug)]
pub struct HttpClient {
    connections: Arc<Mutex<Connections>>,
    /// The maximum number of idle connections to each host.
    max_idle: usize,
    bearer: Option<String>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(None)
    }
}

impl HttpClient {
    /// Creates a client that sends a bearer key, if one is given, with each call.
    pub fn new(bearer: Option<String>) -> Self {
        Self::with_max_idle(usize::MAX, bearer)
    }

    /// Creates a client that opens a new connection for each call.
    pub(crate) fn without_reuse() -> Self {
        Self::with_max_idle(0, None)
    }

    fn with_max_idle(max_idle: usize, bearer: Option<String>) -> Self {
        Self {
            connections: Arc::new(Mutex::new(connections(max_idle))),
            max_idle,
            bearer,
        }
    }

    /// Discards all idle connections if a call over one of them was not answered. Calls in progress keep theirs.
    fn discard_dead<T>(&self, connect: Option<Duration>, answer: &Result<T, HttpError>) {
        let unknown = answer.as_ref().is_err_and(HttpError::is_unknown);
        if connect.is_some() || !unknown {
            return;
        }
        let mut current = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = connections(self.max_idle);
    }

    /// Gets a resource.
    ///
    /// # Errors
    ///
    /// When the answer was not complete within the limit.
    pub async fn get(&self, url: &str, limit: Duration) -> Result<Answer, HttpError> {
        let request = self.request("GET", url).body(Full::default())?;
        self.fetch(request, limit).await
    }

    /// Posts a body.
    ///
    /// # Errors
    ///
    /// When the answer was not complete within the limit.
    pub async fn post(&self, url: &str, body: Bytes, limit: Duration) -> Result<Answer, HttpError> {
        let request = self
            .request("POST", url)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        self.fetch(request, limit).await
    }

    /// Starts to build a request.
    pub fn request(&self, method: &str, url: &str) -> hyper::http::request::Builder {
        let request = Request::builder().method(method).uri(url);
        match &self.bearer {
            Some(key) => request.header(AUTHORIZATION, format!("Bearer {key}")),
            None => request,
        }
    }

    /// Sends a request and returns its answer once the head is received; the body is still to be read.
    ///
    /// # Errors
    ///
    /// When the head was not received within the limit.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let call = Call::start(TimeLimit::Total(limit));
        let Outcome { connect, answer } = self.head(request, &call).await;
        self.discard_dead(connect, &answer);
        answer
    }

    /// Sends a request and reads its complete answer.
    ///
    /// # Errors
    ///
    /// When the answer was not complete within the limit.
    pub(crate) async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, HttpError> {
        self.exchange(request, TimeLimit::Total(limit)).await.answer
    }

    /// Sends a request and reads its complete answer within the given time limits.
    pub(crate) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        limit: TimeLimit,
    ) -> Outcome<Answer> {
        let call = Call::start(limit);
        let Outcome { connect, answer } = self.head(request, &call).await;
        let answer = match answer {
            Ok(head) => self.body(head, &call).await,
            Err(error) => Err(error),
        };
        self.discard_dead(connect, &answer);
        Outcome { connect, answer }
    }

    /// Sends a request and waits for the head of its answer.
    async fn head(
        &self,
        mut request: Request<Full<Bytes>>,
        call: &Call,
    ) -> Outcome<Response<Incoming>> {
        let mut connection = capture_connection(&mut request);
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut answer = pin!(connections.request(request));
        // An idle connection is available immediately, a new one never is.
        if let Poll::Ready(answer) = futures::poll!(answer.as_mut()) {
            return Outcome::of(checked(answer));
        }
        let idle = connection.connection_metadata().is_some();
        let started = Instant::now();
        let connected = async {
            connection.wait_for_connection_metadata().await;
        };
        tokio::select! {
            biased;
            answer = &mut answer => return Outcome::of(checked(answer)),
            () = connected => {}
            () = sleep_until(call.deadline(Step::Connect)) => {
                return Outcome::of(Err(call.timeout_error(Step::Connect, Reached::Nothing)));
            }
        }
        let connect = (!idle).then(|| started.elapsed());
        let answer = match timeout_at(call.deadline(Step::Head), answer).await {
            Ok(answer) => checked(answer),
            Err(_) => Err(call.timeout_error(Step::Head, Reached::Connection)),
        };
        Outcome { connect, answer }
    }

    /// Reads the body of an answer.
    async fn body(&self, head: Response<Incoming>, call: &Call) -> Result<Answer, HttpError> {
        let status = head.status();
        let mut frames = Limited::new(head.into_body(), MAX_ANSWER_BYTES);
        let mut body = BytesMut::new();
        loop {
            let Ok(frame) = timeout_at(call.deadline(Step::Body), frames.frame()).await else {
                return Err(call.timeout_error(Step::Body, Reached::Body(body.len())));
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        body.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(HttpError::Lost(error.to_string())),
                None => break,
            }
        }
        Ok(Answer {
            status,
            body: body.freeze(),
        })
    }
}

/// The result of a call.
#[derive(Debug)]
pub(crate) struct Outcome<T> {
    /// How long the connection took to open, unless an idle one was used.
    pub(crate) connect: Option<Duration>,
    pub(crate) answer: Result<T, HttpError>,
}

impl<T> Outcome<T> {
    fn of(answer: Result<T, HttpError>) -> Self {
        Self {
            connect: None,
            answer,
        }
    }
}

/// Returns the head of an answer if it can be read.
fn checked(
    answer: Result<Response<Incoming>, hyper_util::client::legacy::Error>,
) -> Result<Response<Incoming>, HttpError> {
    match answer {
        Ok(answer) if is_readable(&answer) => Ok(answer),
        Ok(_) => Err(HttpError::Lost("the answer can't be read".to_owned())),
        Err(error) => Err(failure(error)),
    }
}

fn failure(error: hyper_util::client::legacy::Error) -> HttpError {
    match error.is_connect() {
        true => HttpError::Connect(cause(&error)),
        false => HttpError::Lost(cause(&error)),
    }
}

fn connections(idle: usize) -> Connections {
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle)
        .http1_max_buf_size(MAX_READ)
        .build(connector())
}

fn connector() -> Connector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Connector::new(connector)
}

/// Returns the innermost cause; the outer ones add nothing.
fn cause(error: &dyn std::error::Error) -> String {
    let mut inner = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
