//! Answers whether the router is ready, and which addresses callers may use.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::edge::desk::Desk;
use crate::edge::relay::Reply;
use crate::edge::relay::plain;
use crate::ids::DomainId;
use crate::router::AdminRequest;

const JSON: &str = "application/json";

/// The maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Answers whether the router accepts requests and is not about to stop.
pub(crate) async fn ready(desk: Arc<Desk>, request: Request<Incoming>) -> Reply {
    if request.uri().path() != "/api/ready" {
        return plain(StatusCode::NOT_FOUND, JSON, Bytes::new());
    }
    let serving = desk.is_serving() && !desk.is_leaving();
    let status = match serving {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, JSON, Bytes::from_static(b"{}"))
}

/// Answers with the addresses that a caller may use for `keep`.
pub(crate) async fn resolve(desk: Arc<Desk>, keep: Duration, request: Request<Incoming>) -> Reply {
    let uri = request.uri();
    if uri.path() != "/api/resolve" {
        return plain(StatusCode::NOT_FOUND, JSON, Bytes::new());
    }
    let query = uri.query().unwrap_or_default();
    let zone = query.split('&').find_map(|pair| pair.strip_prefix("zone="));
    let domain = zone.and_then(|zone| zone.parse().ok());
    let domain: DomainId = match domain {
        Some(domain) => domain,
        None => return plain(StatusCode::BAD_REQUEST, JSON, Bytes::new()),
    };
    let answer = desk.ask(AdminRequest::Directory(domain)).await;
    let Some((200, mut body)) = answer else {
        return plain(StatusCode::SERVICE_UNAVAILABLE, JSON, Bytes::new());
    };
    let Some(addresses) = body["addresses"]
        .as_array_mut()
        .filter(|list| !list.is_empty())
    else {
        return plain(StatusCode::SERVICE_UNAVAILABLE, JSON, Bytes::new());
    };
    addresses.truncate(MAX_ADDRESSES);
    let answer = json!({"addresses": addresses, "ttlS": keep.as_secs_f64()});
    plain(StatusCode::OK, JSON, Bytes::from(answer.to_string()))
}
