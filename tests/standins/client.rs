//! A small HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::timeout;

/// How long a call may take that is expected to end.
const PATIENCE: Duration = Duration::from_secs(20);

/// Calls one server; each call has a connection of its own.
pub(crate) struct Client {
    pub(crate) address: SocketAddr,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let pool = Pool::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { address, pool }
    }

    /// Sends a request and returns the answer with its body unread.
    pub(crate) async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body)))?;
        Ok(timeout(PATIENCE, self.pool.request(request)).await??)
    }

    /// Sends a request and returns the status and the JSON that answer it.
    pub(crate) async fn send(&self, method: Method, path: &str, body: &[u8]) -> Result<Answer> {
        let response = self.open(method, path, &[], body).await?;
        let status = response.status().as_u16();
        let body = timeout(PATIENCE, response.into_body().collect()).await??;
        let json = serde_json::from_slice(&body.to_bytes())?;
        Ok(Answer { status, json })
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Answer> {
        self.send(Method::GET, path, b"").await
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Answer> {
        self.send(Method::POST, path, body.to_string().as_bytes())
            .await
    }
}

/// What answered a call.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) json: Value,
}

/// What came of a stream of events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    /// The answer's text, as far as it came.
    pub(crate) text: String,
    /// How many tokens came.
    pub(crate) tokens: u64,
    /// The reason for the end, where it came.
    pub(crate) finish: Option<String>,
    /// The usage, where it came.
    pub(crate) usage: Value,
    /// Whether the end marker came.
    pub(crate) whole: bool,
    /// The beginning of an event whose end has not come yet.
    rest: String,
}

impl Events {
    /// Reads until the end, the connection's end, or so many tokens.
    pub(crate) async fn read(body: &mut Incoming, most: u64) -> Self {
        let mut events = Self::default();
        events.go_on(body, most).await;
        events
    }

    /// Reads on, with the same ends.
    pub(crate) async fn go_on(&mut self, body: &mut Incoming, most: u64) {
        while self.tokens < most {
            let Ok(Some(Ok(frame))) = timeout(PATIENCE, body.frame()).await else {
                break;
            };
            let data = frame.into_data().unwrap_or_default();
            self.rest.push_str(&String::from_utf8_lossy(&data));
            while let Some((event, after)) = self.rest.split_once("\n\n") {
                let event = event.to_owned();
                self.rest = after.to_owned();
                self.take(&event);
            }
        }
    }

    fn take(&mut self, event: &str) {
        let data = event.strip_prefix("data: ").expect("an event has data");
        if data == "[DONE]" {
            self.whole = true;
            return;
        }
        let chunk: Value = serde_json::from_str(data).expect("a chunk is JSON");
        let choice = &chunk["choices"][0];
        if let Some(content) = choice["delta"]["content"].as_str() {
            self.text.push_str(content);
            self.tokens += 1;
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish = Some(reason.to_owned());
            self.usage = chunk["usage"].clone();
        }
    }
}
