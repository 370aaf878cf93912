//! Requests that ran where an endpoint crashed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use anyhow::Result;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::PATIENCE;
use crate::site::Ask;
use crate::site::Plan;
use crate::site::Site;
use crate::wait_for;

/// How long the engine is down after its crash, longer than the test takes.
const DOWN_MS: u64 = 60_000;

/// Starts an endpoint that drops every connection, and counts the completions that it is sent.
async fn start_broken_endpoint() -> Result<(SocketAddr, Arc<AtomicUsize>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 4];
            let read = stream.read_exact(&mut head).await;
            if read.is_ok() && head == *b"POST" {
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    Ok((address, sent))
}

/// Guards against a request that is refused for a day because it was sent to an endpoint that was down already, after it
/// had run on one that crashed.
#[tokio::test]
async fn a_suspect_is_not_sent_to_an_endpoint_that_takes_no_connection() -> Result<()> {
    let site = Site::start(Plan::new("suspects")).await?;
    let faults = json!({"crash_on": "crash-me", "down_ms": DOWN_MS});
    site.engine.fault("/v1/faults", &faults).await?;
    let router = &site.routers[0];
    let ask = Ask::plain("suspect", "a crash-me file", 5);
    let first = router.ask(&ask.clone().attempt(1)).await?;
    first.assert_problem(502, "endpoint-failed", "unknown");
    let (address, sent) = start_broken_endpoint().await?;
    let labels = json!({"role": "engine"});
    site.show("engine-1", &address.to_string(), labels).await?;
    wait_for("the router knows both engines", PATIENCE, async || {
        let status = router.status().await?;
        let pools = status["pools"].as_array().into_iter().flatten();
        let mut counts = pools.filter_map(|pool| Some(pool["endpoints"].as_array()?.len()));
        Ok(counts.any(|count| count == 2))
    })
    .await?;
    let second = router.ask(&ask.attempt(2)).await?;
    assert_eq!(sent.load(Ordering::Relaxed), 0);
    second.assert_problem(503, "no-endpoint", "unknown");
    Ok(())
}
