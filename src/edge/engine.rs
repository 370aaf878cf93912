//! Requests to endpoints.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use hyper::http::request::Builder;
use serde::Deserialize;

use crate::edge::desk::Desk;
use crate::http_client::HttpError;
use crate::ids::RequestId;
use crate::router::Run;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::tokens::Tokens;

/// How long an endpoint may take to the head of its answer. A long prompt behind a full batch takes tens of seconds.
const HEAD: Duration = Duration::from_secs(60);

/// How long to wait for an endpoint's word on what a cancelled run used; its bill waits for that.
const CANCEL: Duration = Duration::from_millis(500);

/// Returns the name under which endpoints know a request.
fn endpoint_id(desk: &Desk, id: RequestId) -> String {
    format!("{}-{id}", desk.origin)
}

/// Begins a request to an endpoint.
pub(crate) fn begin(desk: &Desk, id: RequestId, run: &Run, method: &str, path: &str) -> Builder {
    let url = format!("http://{}{path}", run.address);
    desk.http
        .request(method, &url)
        .header("x-request-id", endpoint_id(desk, id))
        .header("x-priority", run.priority.to_string())
        .header("x-team", run.team.as_str())
        .header("idempotency-key", run.key.to_string())
}

/// Makes a completion's request to an endpoint.
pub(crate) fn completion(
    desk: &Desk,
    id: RequestId,
    run: &Run,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    begin(desk, id, run, "POST", "/v1/chat/completions")
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
}

/// Sends a request and returns the answer's head, or how the run ended.
pub(crate) async fn send(
    desk: &Desk,
    request: Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Result<Response<Incoming>, RunEnd> {
    let Ok(request) = request else {
        return Err(RunEnd::NotRun { retry: None });
    };
    match desk.http.send(request, HEAD).await {
        Ok(answer) => Ok(answer),
        Err(HttpError::Connect(_) | HttpError::Request(_)) => Err(RunEnd::NotRun { retry: None }),
        Err(_) => Err(RunEnd::Broken {
            usage: None,
            begun: false,
        }),
    }
}

/// Reads an engine's refusal: one that is busy or has not the model did not run the request.
pub(crate) fn refusal(answer: &Response<Incoming>) -> RunEnd {
    let retry = answer
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .map(Duration::from_secs);
    match answer.status().as_u16() {
        400..=499 | 503 => RunEnd::NotRun { retry },
        _ => RunEnd::Broken {
            usage: Some(Usage::default()),
            begun: false,
        },
    }
}

#[derive(Deserialize)]
struct Cancelled {
    prompt_tokens: u64,
    generated: u64,
}

/// Tells an engine to stop a run, and returns what the run used if the engine says so.
///
/// Dropping the connection alone would stop it too, but then nobody knows what it used, and the team pays for all that
/// was reserved.
pub(crate) async fn cancel(desk: &Desk, id: RequestId, run: &Run) -> Option<Usage> {
    let name = endpoint_id(desk, id);
    let url = format!("http://{}/v1/requests/{name}/cancel", run.address);
    let answer = desk.http.post(&url, Bytes::new(), CANCEL).await.ok()?;
    let cancelled: Cancelled = serde_json::from_slice(&answer.body).ok()?;
    Some(Usage {
        prompt: Tokens(cancelled.prompt_tokens),
        answer: Tokens(cancelled.generated),
    })
}
