//! Endpoints whose answers have no end.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use anyhow::Result;
use anyhow::ensure;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;

const SERVICE: &str = "streams";
/// The VM of the router, which no other test uses.
const VM: usize = 240;
/// How much an endpoint sends at most, so that a router that takes it all stays within its memory.
const MOST: usize = 128 << 20;
/// How much an endpoint may get rid of: a mebibyte that the router takes for an event, and what the sockets of both sides
/// may hold, up to 32 and 4 MiB on large machines.
const ALLOWED: usize = (1 + 32 + 4) << 20;

/// What endpoints do, and did.
#[derive(Default)]
struct Shared {
    /// Whether the next run sends without end.
    endless: AtomicBool,
    sent: AtomicUsize,
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>, piece: &'static str) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let name = header(&head, "request-id").unwrap_or("none");
        let begin = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: text/event-stream\r\n"
        );
        if shared.endless.swap(false, Ordering::Relaxed) {
            stream.write_all(format!("{begin}\r\n").as_bytes()).await?;
            let bytes = piece.repeat((16 << 10) / piece.len());
            while shared.sent.load(Ordering::Relaxed) < MOST {
                stream.write_all(bytes.as_bytes()).await?;
                shared.sent.fetch_add(bytes.len(), Ordering::Relaxed);
            }
            // The connection stays open, as if there were more to come.
            std::future::pending::<()>().await;
        }
        let event = "id: 1\ndata: x\n\n";
        let answer = format!("{begin}content-length: {}\r\n\r\n{event}", event.len());
        stream.write_all(answer.as_bytes()).await?;
    }
}

async fn check(vm: usize, piece: &'static str) -> Result<()> {
    let shared = Arc::new(Shared::default());
    let (store, at) = Store::start().await?;
    let mut resumable = route(SERVICE, "streaming");
    resumable["resumable"] = json!(true);
    put_config(&store, &[resumable]);
    for number in 0..2 {
        let shared = shared.clone();
        let endpoint = start_endpoint(move |stream| serve(stream, shared.clone(), piece)).await?;
        put_endpoint(&store, &format!("endpoint-{number}"), SERVICE, endpoint);
    }
    let settings = json!({"retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 2000});
    let router = Router::start(vm, at, &settings)?;
    router.wait_serving(SERVICE).await?;
    router.wait_for_retries(SERVICE, 1.0).await?;
    shared.endless.store(true, Ordering::Relaxed);
    let path = format!("{SERVICE}/x");
    let answer = ask(router.front, &path, "endless").await;
    let sent = shared.sent.load(Ordering::Relaxed);
    let whole = answer.is_ok_and(|answer| answer.ends_with("data: x\n\n\r\n0\r\n\r\n"));
    println!("measure=endless-answer piece={piece:?} sent={sent} whole={whole}");
    ensure!(sent <= ALLOWED, "the router took {sent} bytes");
    ensure!(whole, "the stream did not go on at the other endpoint");
    Ok(())
}

/// Guards against a router that keeps all that an endpoint sends because no event ends.
#[tokio::test]
async fn a_stream_whose_event_has_no_end_goes_on_elsewhere() -> Result<()> {
    check(VM, "x").await?;
    check(VM + 1, "data: x\n").await
}

/// Guards against a caller that waits until its deadline while an endpoint sends nothing but comments.
#[tokio::test]
async fn a_stream_of_comments_without_end_goes_on_elsewhere() -> Result<()> {
    check(VM + 2, ": x\n").await?;
    check(VM + 3, "\n").await
}
