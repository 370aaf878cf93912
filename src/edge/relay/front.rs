//! Callers' connections.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tracing::warn;

use crate::edge::relay::connections::Connections;
use crate::paced_stream::MAX_READ;
use crate::paced_stream::PacedStream;
use crate::router::Problem;

/// What goes back to a caller.
pub(crate) type Reply = Response<BoxBody<Bytes, io::Error>>;

/// How long a connection may be idle, or a head may take. Callers use connections again that were idle for up to four
/// fifths of the 15 s that configurations allow; a router that closed sooner would cut requests that cross its close.
const IDLE: Duration = Duration::from_secs(16);

/// The type of the body of a refusal.
const PROBLEM: &str = "application/problem+json";

/// How long to rest when no connection can be accepted, as when all descriptors are in use.
const REST: Duration = Duration::from_millis(20);

/// Accepts connections for ever and answers each of their requests.
pub(crate) async fn accept<S, F>(listener: TcpListener, connections: Arc<Connections>, answer: S)
where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept-failed", %error);
                sleep(REST).await;
                continue;
            }
        };
        let answer = answer.clone();
        let opened = connections.open();
        let connections = connections.clone();
        let unframed = Arc::new(AtomicBool::new(false));
        let is_unframed = unframed.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let is_old = request.version() < Version::HTTP_11;
            is_unframed.store(is_old, Ordering::Relaxed);
            let reply = answer(request);
            let connections = connections.clone();
            async move {
                let mut reply = reply.await;
                if connections.must_close(is_refusal(&reply)) {
                    close_after(&mut reply);
                }
                Ok::<_, Infallible>(reply)
            }
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .max_buf_size(MAX_READ)
            .serve_connection(TokioIo::new(PacedStream::new(stream)), service);
        // A connection's end is its caller's affair; each request's own line says how the request went.
        tokio::spawn(async move {
            let served = tokio::select! {
                served = &mut connection => served,
                () = opened.closing() => {
                    Pin::new(&mut connection).graceful_shutdown();
                    (&mut connection).await
                }
            };
            if served.is_err() && unframed.load(Ordering::Relaxed) {
                // An answer that ends with its connection would look whole.
                let stream = connection.into_parts().io.into_inner().into_inner();
                if let Err(error) = stream.set_zero_linger() {
                    warn!(event = "socket-option", %error);
                }
            }
            drop(opened);
        });
    }
}

/// Makes a reply of a status and a body.
pub(crate) fn plain(status: StatusCode, kind: &'static str, body: Bytes) -> Reply {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

/// Has a caller's connection closed after a reply.
pub(crate) fn close_after(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}

/// Returns whether a reply is a refusal of this router.
fn is_refusal(reply: &Reply) -> bool {
    let kind = reply.headers().get(CONTENT_TYPE);
    kind.is_some_and(|kind| kind == PROBLEM)
}

/// Makes a reply of a refusal.
pub(crate) fn problem(problem: &Problem) -> Reply {
    let status = StatusCode::from_u16(problem.kind.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = Bytes::from(problem.to_json().to_string());
    let mut reply = plain(status, PROBLEM, body);
    if let Some(retry) = problem.retry
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry.as_secs_f64()))
    {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
