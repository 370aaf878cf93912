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

mod call;
mod error;
#[cfg(test)]
mod tests;

pub(crate) use call::Patience;
pub use error::HttpError;
pub use error::Overdue;
pub use error::Reached;

/// How long a connection may take: between two VMs of one site it takes milliseconds, and a call that could not be sent
/// may go elsewhere.
const CONNECT: Duration = Duration::from_secs(1);

/// The longest answer that is read, in bytes; one batch of a stream's records is well below it.
const MAX_ANSWER: usize = 64 << 20;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

type Connections = Client<HttpConnector, Full<Bytes>>;

/// A client that keeps connections open for the next call.
///
/// A cut of the network leaves all of them dead without a word. Tried one after another, each would cost the next call
/// its whole time limit, and the caller would be parted for seconds longer than the network was. So a call over an idle connection
/// that is not answered, or one that gets no connection, takes all idle connections with it, and the next one opens a new
/// one. A call over a new connection that is not answered tells nothing of the others.
#[derive(Clone, Debug)]
pub struct HttpClient {
    connections: Arc<Mutex<Connections>>,
    /// How many idle connections are kept.
    idle: usize,
    bearer: Option<String>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(None)
    }
}

impl HttpClient {
    /// Makes a client that sends a bearer key, if one is given, with each call.
    pub fn new(bearer: Option<String>) -> Self {
        Self::keeping(usize::MAX, bearer)
    }

    /// Makes a client that opens a connection for each call.
    pub(crate) fn without_reuse() -> Self {
        Self::keeping(0, None)
    }

    fn keeping(idle: usize, bearer: Option<String>) -> Self {
        Self {
            connections: Arc::new(Mutex::new(connections(idle))),
            idle,
            bearer,
        }
    }

    /// Lets go of all idle connections if one of them brought no answer; calls in progress keep theirs.
    fn leave_dead<T>(&self, connect: Option<Duration>, answer: &Result<T, HttpError>) {
        let unknown = answer.as_ref().is_err_and(HttpError::is_unknown);
        if connect.is_some() || !unknown {
            return;
        }
        let mut kept = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *kept = connections(self.idle);
    }

    /// Gets a resource.
    ///
    /// # Errors
    ///
    /// When no whole answer came within the limit.
    pub async fn get(&self, url: &str, limit: Duration) -> Result<Answer, HttpError> {
        let request = self.request("GET", url).body(Full::default())?;
        self.whole(request, limit).await
    }

    /// Posts a body.
    ///
    /// # Errors
    ///
    /// When no whole answer came within the limit.
    pub async fn post(&self, url: &str, body: Bytes, limit: Duration) -> Result<Answer, HttpError> {
        let request = self
            .request("POST", url)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        self.whole(request, limit).await
    }

    /// Begins a request.
    pub fn request(&self, method: &str, url: &str) -> hyper::http::request::Builder {
        let request = Request::builder().method(method).uri(url);
        match &self.bearer {
            Some(key) => request.header(AUTHORIZATION, format!("Bearer {key}")),
            None => request,
        }
    }

    /// Sends a request and returns its answer when the head is there; the body is still to be read.
    ///
    /// # Errors
    ///
    /// When no head came within the limit.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let call = Call::begin(Patience::Whole(limit));
        let Outcome { connect, answer } = self.head(request, &call).await;
        self.leave_dead(connect, &answer);
        answer
    }

    /// Sends a request and reads all of its answer.
    ///
    /// # Errors
    ///
    /// When no whole answer came within the limit.
    pub(crate) async fn whole(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, HttpError> {
        self.exchange(request, Patience::Whole(limit)).await.answer
    }

    /// Sends a request and reads all of its answer, as patiently as is said.
    pub(crate) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        patience: Patience,
    ) -> Outcome<Answer> {
        let call = Call::begin(patience);
        let Outcome { connect, answer } = self.head(request, &call).await;
        let answer = match answer {
            Ok(head) => self.body(head, &call).await,
            Err(error) => Err(error),
        };
        self.leave_dead(connect, &answer);
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
        // An idle connection is taken at once, and a new one never is there at once.
        if let Poll::Ready(answer) = futures::poll!(answer.as_mut()) {
            return Outcome::of(answer.map_err(failure));
        }
        let idle = connection.connection_metadata().is_some();
        let begun = Instant::now();
        let connected = async {
            connection.wait_for_connection_metadata().await;
        };
        tokio::select! {
            biased;
            answer = &mut answer => return Outcome::of(answer.map_err(failure)),
            () = connected => {}
            () = sleep_until(call.deadline(Step::Connect)) => {
                return Outcome::of(Err(call.overdue(Step::Connect, Reached::Nothing)));
            }
        }
        let connect = (!idle).then(|| begun.elapsed());
        let answer = match timeout_at(call.deadline(Step::Head), answer).await {
            Ok(answer) => answer.map_err(failure),
            Err(_) => Err(call.overdue(Step::Head, Reached::Connection)),
        };
        Outcome { connect, answer }
    }

    /// Reads the body of an answer.
    async fn body(&self, head: Response<Incoming>, call: &Call) -> Result<Answer, HttpError> {
        let status = head.status();
        let mut frames = Limited::new(head.into_body(), MAX_ANSWER);
        let mut body = BytesMut::new();
        loop {
            let Ok(frame) = timeout_at(call.deadline(Step::Body), frames.frame()).await else {
                return Err(call.overdue(Step::Body, Reached::Body(body.len())));
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

/// What came of a call.
#[derive(Debug)]
pub(crate) struct Outcome<T> {
    /// How long its connection took to open, if it did not take an idle one.
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

fn failure(error: hyper_util::client::legacy::Error) -> HttpError {
    match error.is_connect() {
        true => HttpError::Connect(cause(&error)),
        false => HttpError::Lost(cause(&error)),
    }
}

fn connections(idle: usize) -> Connections {
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle)
        .build(connector())
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT));
    connector
}

/// Returns the innermost cause, which alone tells what happened.
fn cause(error: &dyn std::error::Error) -> String {
    let mut inner = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
