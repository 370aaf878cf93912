//! A client for short HTTP calls with a time limit.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
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
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

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
    #[error("no answer within {0:?}")]
    Timeout(Duration),
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
/// its whole time limit, and the caller would be parted for seconds longer than the network was. So a call that is not answered takes
/// all idle connections with it, and the next one opens a new one.
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

    /// Lets go of all idle connections; calls in progress keep theirs.
    fn start_anew(&self) {
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
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let error = match tokio::time::timeout(limit, connections.request(request)).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(e)) if e.is_connect() => HttpError::Connect(cause(&e)),
            Ok(Err(e)) => HttpError::Lost(cause(&e)),
            Err(_) => HttpError::Timeout(limit),
        };
        if error.is_unknown() {
            self.start_anew();
        }
        Err(error)
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
        let read = async {
            let answer = self.send(request, limit).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|e| HttpError::Lost(e.to_string()))?.to_bytes();
            Ok(Answer { status, body })
        };
        match tokio::time::timeout(limit, read).await {
            Ok(answer) => answer,
            Err(_) => {
                self.start_anew();
                Err(HttpError::Timeout(limit))
            }
        }
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
