//! Requests that another router carries out, since this one does not reach their endpoints.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::edge::relay::front;
use crate::edge::relay::front::Reply;
use crate::edge::relay::gather::gather;
use crate::edge::relay::kept::Kept;
use crate::edge::relay::serve::Relays;
use crate::edge::relay::serve::Runner;
use crate::edge::relay::serve::is_stream;
use crate::edge::relay::serve::serve_from;
use crate::edge::relay::upstream::Target;
use crate::edge::relay::upstream::UpstreamError;
use crate::ids::TableVersion;
use crate::router::Forwarding;
use crate::router::Problem;
use crate::router::ProblemKind;
use crate::router::Ran;

/// Tells the version of the route table of the router that forwards a request.
const TABLE: &str = "jasmineridge-table";

/// How long after its deadline a request's answer is waited for: the other router ends it at the deadline by itself.
const MARGIN: Duration = Duration::from_millis(100);

/// The retry delay for a caller whose request no router took.
const RETRY: Duration = Duration::from_millis(500);

/// Has another router carry out a request, and passes on its answer as it comes.
///
/// Once the request is on its way it is sent to no further router, since it may run.
pub(crate) async fn forward(
    relays: Arc<Relays>,
    mut runner: Runner,
    forwarding: Forwarding,
) -> Reply {
    // The core has handed the request over and is told nothing more of it.
    runner.line.over = true;
    let end = (forwarding.deadline + MARGIN).into();
    for hop in &forwarding.hops {
        let Some((target, request)) = prepare(&relays, &runner, hop, &forwarding) else {
            continue;
        };
        let sent = relays.upstream.send(target, request);
        match timeout_at(end, sent).await {
            Ok(Ok((connection, answer))) => {
                let kept = Kept::new(&relays, connection, &answer);
                return pass_on(relays, runner, kept, answer, end).await;
            }
            Ok(Err(UpstreamError::Unsent)) => {
                info!(event = "forward-unsent", request = %runner.line.id, to = hop);
            }
            Ok(Err(UpstreamError::Closed | UpstreamError::TimedOut)) => {
                info!(event = "forward-broken", request = %runner.line.id, to = hop);
                return unknown("the router that carried out the request broke off");
            }
            Err(_) => {
                info!(event = "forward-timeout", request = %runner.line.id, to = hop);
                let detail = "the request took longer than its route or its caller allows";
                let problem = Problem::new(ProblemKind::Deadline, Ran::Unknown, detail);
                return front::problem(&problem);
            }
        }
    }
    let detail = "no endpoint can be reached from here, and no other router took the request";
    let problem = Problem::new(ProblemKind::NoEndpoint, Ran::No, detail);
    front::problem(&problem.with_retry(RETRY))
}

/// Serves a request that another router forwarded.
pub(crate) async fn serve_forwarded(relays: Arc<Relays>, mut request: Request<Incoming>) -> Reply {
    let table = request.headers_mut().remove(TABLE);
    let table = table.and_then(|value| value.to_str().ok()?.parse().ok());
    let Some(table) = table else {
        let detail = "the request does not tell the version of its router's table";
        let problem = Problem::new(ProblemKind::Malformed, Ran::No, detail);
        return front::problem(&problem);
    };
    serve_from(relays, request, Some(TableVersion(table))).await
}

fn prepare(
    relays: &Relays,
    runner: &Runner,
    hop: &str,
    forwarding: &Forwarding,
) -> Option<(Target, Request<Full<Bytes>>)> {
    let address = hop.parse().ok()?;
    let left = forwarding
        .deadline
        .saturating_duration_since(Instant::now().into_std());
    let mut headers = relays.dialect.forward_head(&runner.ask, left);
    headers.insert(TABLE, HeaderValue::from(forwarding.table.0));
    let endpoint = hop.to_owned();
    Some((Target { address, endpoint }, runner.with_headers(headers)))
}

/// Passes on the answer of another router: a stream as it comes, any other answer once it is whole. Neither is waited for
/// longer than until `end`, though the other router may be frozen.
async fn pass_on(
    relays: Arc<Relays>,
    runner: Runner,
    kept: Kept,
    answer: Response<Incoming>,
    end: Instant,
) -> Reply {
    info!(event = "forward-answered", request = %runner.line.id, status = answer.status().as_u16());
    if !is_stream(&answer) {
        let framing = kept.framing;
        let gathered = timeout_at(end, gather(&relays, kept, answer)).await;
        let gathered = gathered.unwrap_or_else(|late| Err(late.into()));
        return gathered.unwrap_or_else(|error| {
            runner.log_broken(framing, &error);
            unknown("the answer of the router that carried out the request broke off")
        });
    }
    let (mut parts, body) = answer.into_parts();
    relays.dialect.strip(&mut parts.headers);
    // The connection goes with the body: if the caller leaves, it is reset, and the other router stops the run.
    let state = Some((relays, kept, body));
    let frames = unfold(state, move |state| async move {
        let (relays, kept, mut body) = state?;
        match timeout_at(end, body.frame()).await {
            Ok(Some(Ok(frame))) => Some((Ok(frame), Some((relays, kept, body)))),
            Ok(Some(Err(error))) => Some((Err(io::Error::other(error)), None)),
            Ok(None) => {
                relays.keep(kept);
                None
            }
            Err(late) => Some((Err(late.into()), None)),
        }
    });
    let body: StreamBody<_> = StreamBody::new(frames);
    Response::from_parts(parts, BodyExt::boxed(body))
}

fn unknown(detail: &str) -> Reply {
    front::problem(&Problem::new(
        ProblemKind::EndpointFailed,
        Ran::Unknown,
        detail,
    ))
}
