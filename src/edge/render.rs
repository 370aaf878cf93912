//! Answers that routers give themselves.

use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::header::RETRY_AFTER;
use serde_json::Value;

use crate::ids::RequestId;
use crate::router::Problem;

/// The header that names a request in a router's logs.
const REQUEST_HEADER: &str = "jasmineridge-request";

/// Writes a refusal.
pub(crate) fn problem(res: &mut Response, problem: &Problem) {
    json(res, problem.kind.status(), &problem.to_json());
    let kind = HeaderValue::from_static("application/problem+json");
    res.headers_mut().insert(CONTENT_TYPE, kind);
    if let Some(seconds) = problem.retry_after() {
        res.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
}

/// Writes a JSON answer.
pub(crate) fn json(res: &mut Response, status: u16, body: &Value) {
    let text = body.to_string().into_bytes();
    bytes(res, status, "application/json", text);
}

/// Writes an answer.
pub(crate) fn bytes(res: &mut Response, status: u16, kind: &str, body: Vec<u8>) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    if let Ok(kind) = HeaderValue::from_str(kind) {
        res.headers_mut().insert(CONTENT_TYPE, kind);
    }
    res.body(body);
}

/// Names the request in the answer's head, so that a caller's complaint finds its log lines.
pub(crate) fn name(res: &mut Response, id: RequestId) {
    res.headers_mut().insert(REQUEST_HEADER, id.0.into());
}
