//! Requests to endpoints.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Builder;
use serde::Deserialize;
use serde_json::json;
use tracing::warn;

use crate::decide::Announcement;
use crate::edge::desk::Desk;
use crate::edge::retry_after::rest;
use crate::edge::retry_after::retry_after;
use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::ids::RequestId;
use crate::router::Event;
use crate::router::Failure;
use crate::router::Order;
use crate::router::Run;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::tokens::Tokens;

/// How long an endpoint may take to the head of its answer. A long prompt behind a full batch takes tens of seconds.
const HEAD: Duration = Duration::from_secs(60);

/// How long to wait for an endpoint's word on what a cancelled run used; its bill waits for that.
const CANCEL: Duration = Duration::from_millis(500);

/// How long an endpoint may take to an order's answer.
const ORDER: Duration = Duration::from_secs(2);

/// How long an engine may take to resume a stream.
const RESUME: Duration = Duration::from_secs(2);

/// How long an endpoint may take to show that it lives.
const ALIVE: Duration = Duration::from_millis(300);

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
    http: &HttpClient,
    request: Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Result<Response<Incoming>, RunEnd> {
    let Ok(request) = request else {
        return Err(RunEnd::NotRun { retry: None });
    };
    match http.send(request, HEAD).await {
        Ok(answer) => Ok(answer),
        Err(HttpError::Connect(_) | HttpError::Request(_)) => Err(RunEnd::NotRun { retry: None }),
        Err(HttpError::Timeout(_)) => Err(RunEnd::given_up()),
        Err(_) => Err(RunEnd::broken()),
    }
}

/// Notes in the end of a broken run whether its endpoint died.
pub(crate) async fn examined(desk: &Desk, run: &Run, end: RunEnd) -> RunEnd {
    match end {
        RunEnd::Failed {
            usage,
            answer_begun,
            failure,
        } => RunEnd::Failed {
            usage,
            answer_begun,
            failure: match is_dead(desk, &run.address).await {
                true => Failure::Died,
                false => failure,
            },
        },
        end => end,
    }
}

/// Tells the core what an endpoint announces about itself in the head of its answer.
pub(crate) fn announce(desk: &Desk, id: RequestId, answer: &Response<Incoming>) {
    let announcement = Announcement {
        rest: rest(answer.status(), answer.headers()),
        ..Announcement::default()
    };
    if announcement != Announcement::default() {
        desk.tell(Event::EndpointAnnounced(id, announcement));
    }
}

/// Reads an engine's refusal: one that is busy or has not the model did not run the request.
pub(crate) fn refusal(answer: &Response<Incoming>) -> RunEnd {
    let retry = retry_after(answer.headers());
    match answer.status().as_u16() {
        400..=499 | 503 => RunEnd::NotRun { retry },
        _ => RunEnd::Failed {
            usage: Some(Usage::default()),
            answer_begun: false,
            failure: Failure::Answered,
        },
    }
}

/// Asks an engine to go on with a run from a token on; nothing means that the run is over or the engine gone.
pub(crate) async fn resume(
    desk: &Desk,
    id: RequestId,
    run: &Run,
    from: Tokens,
) -> Option<Incoming> {
    let name = endpoint_id(desk, id);
    let url = format!(
        "http://{}/v1/requests/{name}/stream?from_token={from}",
        run.address
    );
    let request = desk.http.request("GET", &url).body(Full::default()).ok()?;
    let answer = desk.http.send(request, RESUME).await.ok()?;
    answer.status().is_success().then(|| answer.into_body())
}

/// Gives an endpoint an order. Whether it was followed shows in the endpoint's next load report.
pub(crate) async fn order(desk: Arc<Desk>, order: Order) {
    let url = format!("http://{}/v1/orders", order.address);
    let body = json!({"fence": order.fence, "want": {"models": order.models, "role": "serve"}});
    let answer = desk
        .http
        .post(&url, Bytes::from(body.to_string()), ORDER)
        .await;
    match answer {
        Ok(answer) if answer.status.is_success() => {}
        Ok(answer) => {
            warn!(event = "order-refused", address = order.address, status = %answer.status)
        }
        Err(error) => warn!(event = "order-lost", address = order.address, %error),
    }
}

/// Ends a run whose endpoint is to be checked first and is down.
pub(crate) async fn check_endpoint(desk: &Desk, run: &Run) -> Result<(), RunEnd> {
    match run.check && is_dead(desk, &run.address).await {
        true => Err(RunEnd::NotRun { retry: None }),
        false => Ok(()),
    }
}

/// Returns whether an endpoint is dead: right after a connection to it broke, no other is to be had.
///
/// A run that breaks off says little: its own connection may have been cut. An endpoint that died over the run takes no
/// new connection either.
pub(crate) async fn is_dead(desk: &Desk, address: &str) -> bool {
    let url = format!("http://{address}/v1/load");
    let answer = desk.http.get(&url, ALIVE).await;
    // No answer in time may be a link that was cut, and the endpoint lives behind it.
    matches!(answer, Err(HttpError::Connect(_) | HttpError::Lost(_)))
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
