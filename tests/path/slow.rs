//! Callers that send slowly.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::PATIENCE;
use crate::ledger::at_rest;
use crate::site::Ask;
use crate::site::KEY;
use crate::site::Plan;
use crate::site::Site;

/// How long the site's routers wait for a head or a body.
const LIMIT: Duration = Duration::from_millis(600);

fn plan(name: &'static str) -> Plan {
    Plan {
        settings: json!({"limits": {"header_ms": 600, "body_ms": 600}}),
        ..Plan::new(name)
    }
}

/// Reads all that a router says until it closes the connection.
async fn rest(stream: &mut TcpStream) -> Result<String> {
    let mut text = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut text)).await??;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// A caller opens a connection and sends its head a byte at a time, or never ends it. Each such connection would hold
/// memory and a place for as long as it likes; the router closes it, and others are served meanwhile.
#[tokio::test]
async fn a_head_that_does_not_come_is_not_waited_for() -> Result<()> {
    let site = Site::start(plan("slow-head")).await?;
    let mut stream = TcpStream::connect(site.routers[0].address).await?;
    stream
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n")
        .await?;
    let begun = Instant::now();
    let meanwhile = site.routers[0].ask(&Ask::plain("w1", "hello", 3)).await?;
    assert_eq!(meanwhile.status, 200, "{}", meanwhile.text());
    let text = rest(&mut stream).await?;
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 408"),
        "{text}"
    );
    assert!(begun.elapsed() >= LIMIT / 2, "{:?}", begun.elapsed());
    Ok(())
}

/// A caller announces a body and sends a byte now and then. It is told that the body did not come in time, and nothing of
/// it ran.
#[tokio::test]
async fn a_body_that_does_not_come_is_refused() -> Result<()> {
    let site = Site::start(plan("slow-body")).await?;
    let mut stream = TcpStream::connect(site.routers[0].address).await?;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: slow\r\njasmineridge-attempt: 1\r\ncontent-length: 500\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let (mut reader, mut writer) = stream.into_split();
    let drip = tokio::spawn(async move {
        for _ in 0..500 {
            if writer.write_all(b" ").await.is_err() {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    let mut text = String::new();
    let mut bytes = [0; 4096];
    while !text.contains("\r\n\r\n{") || !text.contains('}') {
        let count = timeout(PATIENCE, reader.read(&mut bytes)).await??;
        if count == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    drip.abort();
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    assert!(
        text.contains("urn:jasmineridge:problem:malformed"),
        "{text}"
    );
    assert!(text.contains("\"ran\":\"no\""), "{text}");
    assert!(text.contains("did not come in time"), "{text}");
    assert!(!at_rest(&site).await?.knows("slow"));
    Ok(())
}
