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
use thiserror::Error;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

#[cfg(test)]
mod tests;

/// How long a connection may take: between two VMs of one site it takes milliseconds, and a call that could not be sent
/// may go elsewhere.
const CONNECT: Duration = Duration::from_secs(1);

/// The longest answer that is read, in bytes; one batch of a stream's records is well below it.
const MAX_ANSWER: usize = 64 << 20;

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The URL or a header cannot be written in a request.
    #[error("no valid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// No connection could be had, so that nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The request may have taken effect, but its answer was lost.
    #[error("the answer was lost: {0}")]
    Lost(String),
    /// As [`HttpError::Lost`]: no answer came in time.
    #[error("no answer within {0}")]
    Timeout(Overdue),
}

/// A call whose time was over, and how far it had got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{limit:?}: {reached}")]
pub struct Overdue {
    /// How long the step that it was at may take.
    pub limit: Duration,
    /// The last step that was done.
    pub reached: Reached,
}

/// How far a call got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Reached {
    /// It had no connection yet.
    #[error("not connected")]
    Nothing,
    /// It had a connection, and nothing came over it.
    #[error("connected")]
    Connection,
    /// The answer's head was there, and so many bytes of its body.
    #[error("{0} bytes came")]
    Body(usize),
}

impl HttpError {
    /// Returns whether the request may have taken effect.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Timeout(_))
    }
}

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
/// that is not answered takes all idle connections with it, and the next one opens a new one. A call over a new connection
/// that is not answered tells nothing of the others.
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

/// How long a call may take.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Patience {
    /// So long in all.
    Whole(Duration),
    /// So long for each step. A long answer over a slow link comes to its end so, where a limit for the whole would throw
    /// away what has come, and the next try would begin from nothing.
    Steps {
        /// Until there is a connection.
        connect: Duration,
        /// From then to the answer's head.
        head: Duration,
        /// From one piece of the body to the next.
        pause: Duration,
    },
}

/// A step of a call.
#[derive(Clone, Copy, Debug)]
enum Step {
    Connect,
    Head,
    Body,
}

/// A call in progress.
#[derive(Debug)]
struct Call {
    begun: Instant,
    patience: Patience,
}

impl Call {
    fn begin(patience: Patience) -> Self {
        Self {
            begun: Instant::now(),
            patience,
        }
    }

    /// Returns until when a step may last that begins now.
    fn deadline(&self, step: Step) -> Instant {
        match self.patience {
            Patience::Whole(limit) => self.begun + limit,
            Patience::Steps { .. } => Instant::now() + self.limit(step),
        }
    }

    fn limit(&self, step: Step) -> Duration {
        match (self.patience, step) {
            (Patience::Whole(limit), _) => limit,
            (Patience::Steps { connect, .. }, Step::Connect) => connect,
            (Patience::Steps { head, .. }, Step::Head) => head,
            (Patience::Steps { pause, .. }, Step::Body) => pause,
        }
    }

    fn overdue(&self, step: Step, reached: Reached) -> HttpError {
        let limit = self.limit(step);
        HttpError::Timeout(Overdue { limit, reached })
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
