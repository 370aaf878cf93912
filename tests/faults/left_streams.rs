//! Callers of streams who leave, or name events that there never were.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::ask_with;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::request;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::received::Received;
use crate::store::Store;

const SERVICE: &str = "streams";
const ENDPOINTS: usize = 2;
/// How many retries a test may need.
const RETRIES: f64 = 10.0;
/// The time within which an endpoint is left whose caller has left.
const LEAVE_TIME: Duration = Duration::from_millis(500);
/// The latency objective of the route, several times which a silent endpoint is waited for.
const OBJECTIVE_MS: u64 = 1500;

/// What happens at the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// A run that goes on with a stream has begun.
    Resumed,
    /// Its connection was closed.
    Left,
}

async fn start(vm: usize, steps: mpsc::UnboundedSender<Step>) -> Result<(Router, Store)> {
    let (store, at) = Store::start().await?;
    let mut route = route(SERVICE, "streaming");
    route["resumable"] = json!(true);
    route["targetLatencyMs"] = json!(OBJECTIVE_MS);
    put_config(&store, &[route]);
    for number in 0..ENDPOINTS {
        let steps = steps.clone();
        let endpoint = start_endpoint(move |stream| serve(stream, steps.clone())).await?;
        put_endpoint(&store, &format!("streams-{number}"), SERVICE, endpoint);
    }
    let settings = json!({"retry_ratio": 0.2, "retry_spare": 100.0, "retry_window_ms": 2000});
    let router = Router::start(vm, at, &settings)?;
    router.wait_serving(SERVICE).await?;
    router.wait_for_retries(SERVICE, RETRIES).await?;
    Ok((router, store))
}

/// Breaks a stream off after its first event, whatever its caller has; a run that goes on after that one is silent.
async fn serve(mut stream: TcpStream, steps: mpsc::UnboundedSender<Step>) -> Result<()> {
    let head = read_head(&mut stream).await?;
    let Some(name) = header(&head, "request-id") else {
        let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        return Ok(stream.write_all(healthy).await?);
    };
    if header(&head, "last-event-id") == Some("1") {
        steps.send(Step::Resumed)?;
        let _ = stream.read_u8().await;
        return Ok(steps.send(Step::Left)?);
    }
    let body = match head.contains("/ready ") {
        true => "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
        false => "f\r\nid: 1\ndata: a\n\n\r\n",
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\nconnection: close\r\n\r\n{body}"
    );
    Ok(stream.write_all(answer.as_bytes()).await?)
}

/// Guards against an endpoint that goes on with a stream, and works on it after the caller has left.
#[tokio::test]
async fn a_run_that_goes_on_with_a_stream_ends_when_its_caller_leaves() -> Result<()> {
    let (sender, mut steps) = mpsc::unbounded_channel();
    let (router, _store) = start(201, sender).await?;
    let mut caller = TcpStream::connect(router.front).await?;
    let path = format!("{SERVICE}/leaves");
    caller
        .write_all(request(&path, "leaves").as_bytes())
        .await?;
    let step = timeout(LIMIT, steps.recv()).await?;
    assert_eq!(step, Some(Step::Resumed));
    drop(caller);
    let left_at = Instant::now();
    let step = timeout(LIMIT, steps.recv()).await?;
    assert_eq!(step, Some(Step::Left));
    let took = left_at.elapsed();
    assert!(took < LEAVE_TIME, "{took:?}");
    Ok(())
}

/// Guards against callers that name an event that there never was, and have sound endpoints taken for failed by that.
#[tokio::test]
async fn a_caller_that_names_a_later_event_does_no_harm_to_endpoints() -> Result<()> {
    let (sender, _steps) = mpsc::unbounded_channel();
    let (router, _store) = start(138, sender).await?;
    for number in 0..30 {
        let (path, name) = (format!("{SERVICE}/{number}"), format!("later-{number}"));
        let headers = "last-event-id: 18446744073709551615\r\nresumes: first\r\n";
        let answer = ask_with(router.front, &path, &name, headers).await?;
        let answer = Received::read(&answer)?;
        assert!(!answer.complete && answer.body.is_empty(), "{answer:?}");
    }
    let log = router.logged()?;
    let later = log.lines().filter(|line| line.contains("event=retry "));
    assert_eq!(later.count(), 0, "no retry is spent on them");
    router.wait_serving(SERVICE).await
}
