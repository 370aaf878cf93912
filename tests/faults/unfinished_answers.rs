//! Endpoints that begin an answer and send no more of it, and callers that read none of theirs.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Result;
use anyhow::ensure;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::request;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;
use crate::wait_for;

const SERVICE: &str = "service";
/// The VM of the first router, and the following ones; no other test uses them.
const VM: usize = 245;
/// The time limit of the route, and how much later its caller has an answer at the latest.
const TIMEOUT: Duration = Duration::from_millis(2000);
const MARGIN: Duration = Duration::from_millis(500);
/// How long an endpoint pauses between two bytes of an answer that trickles.
const TRICKLE: Duration = Duration::from_millis(200);

/// How an endpoint answers the first run that it is told to fail.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// With a failure of which half the body comes.
    HalfFailure,
    /// With a failure whose body comes a byte at a time.
    Trickle,
    /// With the head of a stream, and no event.
    NoEvent,
    /// With events as fast as they are read.
    Flood,
}

#[derive(Default)]
struct Shared {
    armed: AtomicBool,
    /// Faulty answers that still hold their connections.
    held: AtomicUsize,
}

async fn serve(mut stream: TcpStream, fault: Fault, shared: Arc<Shared>) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let name = header(&head, "request-id").unwrap_or("none");
        let head = |status: &str, kind: &str| {
            format!(
                "HTTP/1.1 {status}\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: {kind}\r\n"
            )
        };
        if name.starts_with("fail") && shared.armed.swap(false, Ordering::Relaxed) {
            shared.held.fetch_add(1, Ordering::Relaxed);
            let failing = fail(&mut stream, fault, head).await;
            shared.held.fetch_sub(1, Ordering::Relaxed);
            return failing;
        }
        let event = "id: 1\ndata: whole\n\n";
        let head = head("200 OK", "text/event-stream");
        let answer = format!("{head}content-length: {}\r\n\r\n{event}", event.len());
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Sends the faulty answer, and returns once the other side has closed the connection.
async fn fail<F>(stream: &mut TcpStream, fault: Fault, head: F) -> Result<()>
where
    F: Fn(&str, &str) -> String,
{
    let failure = head("500 Internal Server Error", "text/plain") + "content-length: 800\r\n\r\n";
    let events = head("200 OK", "text/event-stream") + "\r\n";
    let (begin, piece) = match fault {
        Fault::HalfFailure => (failure + &"x".repeat(400), String::new()),
        Fault::Trickle => (failure, "x".to_owned()),
        Fault::NoEvent => (events, String::new()),
        Fault::Flood => (events, "data: x\n\n".repeat(1000)),
    };
    stream.write_all(begin.as_bytes()).await?;
    let (mut reader, mut writer) = stream.split();
    let mut byte = [0];
    let sending = async {
        while !piece.is_empty() {
            if writer.write_all(piece.as_bytes()).await.is_err() {
                return;
            }
            if let Fault::Trickle = fault {
                sleep(TRICKLE).await;
            }
        }
        std::future::pending().await
    };
    tokio::select! {
        _ = reader.read(&mut byte) => {}
        () = sending => {}
    }
    Ok(())
}

struct Site {
    router: Router,
    shared: Arc<Shared>,
    _store: Store,
}

impl Site {
    async fn start(vm: usize, endpoints: u32, kind: &str, fault: Fault) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let (store, at) = Store::start().await?;
        let mut route: Value = route(SERVICE, kind);
        route["timeoutMs"] = json!(TIMEOUT.as_millis() as u64);
        // Without another endpoint there is nothing to leave the first one for.
        route["maxAttempts"] = json!(endpoints);
        route["resumable"] = json!(kind == "streaming");
        put_config(&store, &[route]);
        for number in 0..endpoints {
            let shared = shared.clone();
            let endpoint = start_endpoint(move |stream| serve(stream, fault, shared.clone()));
            put_endpoint(
                &store,
                &format!("endpoint-{number}"),
                SERVICE,
                endpoint.await?,
            );
        }
        let settings = json!({"retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 2000});
        let router = Router::start(vm, at, &settings)?;
        router.wait_serving(SERVICE).await?;
        router.wait_for_retries(SERVICE, 1.0).await?;
        Ok(Self {
            router,
            shared,
            _store: store,
        })
    }

    fn arm(&self) {
        self.shared.armed.store(true, Ordering::Relaxed);
    }

    fn held(&self) -> usize {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// Sends a request whose first run fails, and returns its answer and how long it took.
    async fn ask(&self, name: &str) -> Result<(String, Duration)> {
        self.arm();
        let start = Instant::now();
        let answer = ask(self.router.front, &format!("{SERVICE}/x"), name).await;
        println!(
            "measure=unfinished-answer name={name} took={:?} answer={answer:?}",
            start.elapsed()
        );
        Ok((answer?, start.elapsed()))
    }

    /// Checks that no endpoint is still busy with a faulty answer a moment from now.
    async fn check_released(&self) -> Result<()> {
        wait_for("the endpoint is released", MARGIN, async || {
            Ok(self.held() == 0)
        })
        .await?;
        Ok(())
    }
}

/// Guards against a failure whose body has no end, for which its request is held past the time limit of its route.
#[tokio::test]
async fn a_failure_without_an_end_is_given_up_at_the_time_limit() -> Result<()> {
    for (vm, fault) in [(VM, Fault::HalfFailure), (VM + 1, Fault::Trickle)] {
        let site = Site::start(vm, 1, "idempotent", fault).await?;
        let (answer, took) = site.ask("fail-alone").await?;
        ensure!(answer.starts_with("HTTP/1.1 504"), "{fault:?}: {answer}");
        ensure!(took < TIMEOUT + MARGIN, "{fault:?}: {took:?}");
        site.check_released().await?;
    }
    Ok(())
}

/// Guards against a failure whose body has no end, for which no other endpoint is tried.
#[tokio::test]
async fn a_failure_without_an_end_is_retried() -> Result<()> {
    for (vm, fault) in [(VM + 2, Fault::HalfFailure), (VM + 3, Fault::Trickle)] {
        let site = Site::start(vm, 2, "idempotent", fault).await?;
        let (answer, took) = site.ask("fail-once").await?;
        ensure!(answer.contains("whole"), "{fault:?}: {answer}");
        ensure!(took < TIMEOUT, "{fault:?}: {took:?}");
        site.check_released().await?;
    }
    Ok(())
}

/// Guards against a stream that has no event, and a retry that was reserved for it and is never used.
#[tokio::test]
async fn a_stream_without_an_event_begins_at_another_endpoint() -> Result<()> {
    let site = Site::start(VM + 4, 2, "streaming", Fault::NoEvent).await?;
    let (answer, took) = site.ask("fail-stream").await?;
    ensure!(answer.contains("whole"), "{answer}");
    ensure!(took < TIMEOUT, "{took:?}");
    site.check_released().await
}

/// Guards against a caller that reads nothing, and holds an endpoint past the time limit of its route.
#[tokio::test]
async fn a_caller_that_reads_nothing_releases_its_endpoint_at_the_time_limit() -> Result<()> {
    let site = Site::start(VM + 5, 1, "streaming", Fault::Flood).await?;
    site.arm();
    let mut caller = TcpStream::connect(site.router.front).await?;
    let request = request(&format!("{SERVICE}/x"), "fail-unread");
    caller.write_all(request.as_bytes()).await?;
    sleep(TIMEOUT / 2).await;
    ensure!(site.held() == 1, "the endpoint has no request");
    sleep(TIMEOUT / 2).await;
    site.check_released().await?;
    // What it reads now does not look like a whole answer.
    let mut rest = Vec::new();
    let _ = caller.read_to_end(&mut rest).await;
    ensure!(!rest.ends_with(b"\r\n0\r\n\r\n"), "the stream looks whole");
    Ok(())
}
