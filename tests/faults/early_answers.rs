//! Endpoints that answer a long upload before they have read it and then reset the connection, and answers whose status is
//! none.

use std::time::Duration;

use anyhow::Result;
use futures::future::join_all;
use indexmap::IndexMap;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::DEADLINE_MS;
use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::kept_request;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::received::Received;
use crate::store::Store;

/// The kinds of routes; there is a service for each.
const KINDS: [&str; 4] = ["idempotent", "non_idempotent", "streaming", "resumable"];
/// The VM of the router, which no other test uses.
const VM: usize = 120;
/// How much of an upload an endpoint reads before it answers.
const READ: usize = 16 << 10;
const ENDPOINTS: usize = 4;

/// How an endpoint ends an answer that has no length, while its request is still being sent.
const ENDS: [&str; 4] = ["reset-0", "reset-20", "reset-200", "unread"];
const UPLOADS: [usize; 2] = [100_000, 3_900_000];
const BODIES: [usize; 3] = [15, 3_000, 60_000];

/// Returns events of so many bytes in all, or somewhat more.
fn events(bytes: usize) -> String {
    let mut text = String::new();
    for number in 1.. {
        if text.len() >= bytes {
            break;
        }
        text += &format!("id: {number}\ndata: {}\n\n", "x".repeat(bytes.min(1000)));
    }
    text
}

/// Returns one of the parts of a name, which underscores separate.
fn part(name: &str, index: usize) -> &str {
    name.split('_').nth(index).unwrap_or_default()
}

/// Answers requests as their names say: the end, the length of the body, the version and whether the head comes in pieces.
async fn serve(mut stream: TcpStream) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let Some(name) = header(&head, "request-id") else {
            let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(healthy).await?;
            continue;
        };
        let kind = match head.contains("idempotent/") {
            true => "text/plain",
            false => "text/event-stream",
        };
        let common = format!("response-seal: 1\r\nrequest-id: {name}\r\ncontent-type: {kind}\r\n");
        if let Some(status) = name.strip_prefix("status_") {
            let answer = format!("HTTP/1.1 {status} X\r\n{common}content-length: 2\r\n\r\nok");
            return Ok(stream.write_all(answer.as_bytes()).await?);
        }
        if matches!(name, "sound" | "ready") {
            let answer = format!("HTTP/1.1 200 OK\r\n{common}content-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        let mut some = vec![0; READ];
        stream.read_exact(&mut some).await?;
        return end_early(stream, name, &common).await;
    }
}

async fn end_early(mut stream: TcpStream, name: &str, common: &str) -> Result<()> {
    let bytes: usize = part(name, 1).parse()?;
    let head = format!("{} 200 OK\r\n{common}\r\n", part(name, 2));
    if part(name, 3) == "pieces" {
        for piece in head.as_bytes().chunks(20) {
            stream.write_all(piece).await?;
            sleep(Duration::from_millis(2)).await;
        }
    } else {
        stream.write_all(head.as_bytes()).await?;
    }
    stream.write_all(events(bytes).as_bytes()).await?;
    // Without a wait the kernel resets the connection, since it is closed with unread bytes.
    if let Some(ms) = part(name, 0).strip_prefix("reset-") {
        sleep(Duration::from_millis(ms.parse()?)).await;
        stream.set_zero_linger()?;
    }
    Ok(())
}

/// Sends an upload and returns what comes before the connection is closed.
async fn upload(front: std::net::SocketAddr, path: &str, name: &str, bytes: usize) -> String {
    let chunked = part(name, 4) == "chunked";
    let framing = match chunked {
        true => "transfer-encoding: chunked\r\n".to_owned(),
        false => format!("content-length: {bytes}\r\n"),
    };
    let expects = match part(name, 3) {
        "pieces" => "expect: 100-continue\r\n",
        _ => "",
    };
    let head = kept_request(
        path,
        name,
        &format!("connection: close\r\n{framing}{expects}"),
    );
    let head = head.replacen("GET", "POST", 1);
    let body = "x".repeat(bytes);
    let body = match chunked {
        true => format!("{bytes:x}\r\n{body}\r\n0\r\n\r\n"),
        false => body,
    };
    let mut answer = Vec::new();
    let exchange = async {
        let mut stream = TcpStream::connect(front).await?;
        let (mut from, mut to) = stream.split();
        let send = async { to.write_all((head + &body).as_bytes()).await };
        let (sent, read) = tokio::join!(send, from.read_to_end(&mut answer));
        sent.and(read)
    };
    let ended = timeout(Duration::from_millis(DEADLINE_MS * 2), exchange).await;
    drop(ended);
    String::from_utf8_lossy(&answer).replace("HTTP/1.1 100 Continue\r\n\r\n", "")
}

async fn start(vm: usize) -> Result<(Router, Store)> {
    let (store, at) = Store::start().await?;
    let routes = KINDS.map(|kind| {
        let mut route = route(
            kind,
            if kind == "resumable" {
                "streaming"
            } else {
                kind
            },
        );
        route["resumable"] = json!(kind == "resumable");
        route["maxAttempts"] = json!(1);
        route
    });
    put_config(&store, &routes);
    for kind in KINDS {
        for number in 0..ENDPOINTS {
            let endpoint = start_endpoint(serve).await?;
            put_endpoint(&store, &format!("{kind}-{number}"), kind, endpoint);
        }
    }
    let settings = json!({"retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 2000});
    let router = Router::start(vm, at, &settings)?;
    router.wait_serving(KINDS[0]).await?;
    Ok((router, store))
}

/// Guards against a part of an answer that is passed on as a whole one, since the connection that it came over was reset while
/// the request was still being sent.
#[tokio::test]
async fn an_early_answer_that_is_reset_is_not_complete() -> Result<()> {
    let (router, _store) = start(VM).await?;
    let mut wrong = Vec::new();
    let mut statuses = IndexMap::<u16, usize>::new();
    for kind in KINDS {
        for bytes in UPLOADS {
            let names = ENDS.iter().flat_map(|end| {
                BODIES.iter().flat_map(move |body| {
                    let forms = [
                        "HTTP/1.1_whole_length",
                        "HTTP/1.1_pieces_chunked",
                        "HTTP/1.0_whole_chunked",
                    ];
                    forms.map(|form| format!("{end}_{body}_{form}"))
                })
            });
            let names: Vec<_> = names.collect();
            let path = format!("{kind}/x");
            let asked = names
                .iter()
                .map(|name| upload(router.front, &path, name, bytes));
            for (name, answer) in names.iter().zip(join_all(asked).await) {
                let received = Received::read_part(&answer)?;
                let status = received.as_ref().map_or(0, |received| received.status);
                *statuses.entry(status).or_default() += 1;
                let looks_whole = |received: &Received| received.complete && received.status < 400;
                if received.as_ref().is_some_and(looks_whole) {
                    wrong.push(format!("{kind} {bytes} {name}"));
                }
            }
        }
    }
    println!(
        "measure=early-answers statuses={statuses:?} wrong={}",
        wrong.len()
    );
    let failed = statuses.keys().all(|status| [0, 200, 502].contains(status));
    assert!(failed, "{statuses:?}");
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

/// Guards against an answer that is passed on though its status is none, over a connection that served before.
#[tokio::test]
async fn an_answer_without_a_status_is_a_failure() -> Result<()> {
    let (router, _store) = start(VM + 1).await?;
    for status in [
        "000", "00", "001", "099", "0200", "600", "999", "-20", "+20", "2",
    ] {
        for _ in 0..ENDPOINTS {
            let sound = ask(router.front, "idempotent/x", "sound").await?;
            assert!(sound.starts_with("HTTP/1.1 200 "), "{sound}");
        }
        for kind in ["idempotent", "non_idempotent"] {
            let name = format!("status_{status}");
            let answer = ask(router.front, &format!("{kind}/x"), &name).await?;
            assert!(answer.starts_with("HTTP/1.1 502 "), "{status}: {answer}");
        }
    }
    Ok(())
}
