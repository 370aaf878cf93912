//! The model engine's faults.

use std::time::Duration;

use anyhow::Result;
use hyper::Method;
use jasmineridge::EngineOptions;
use jasmineridge::expected_answer;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::client::Events;
use crate::engine::CHAT;
use crate::engine::open;
use crate::engine::quick;
use crate::engine::runs_when;
use crate::engine::slow;
use crate::engine::start;

/// One request crashes the engine: it, and all that ran beside it, lose their connections in the middle of their
/// answers, and the engine refuses until it is back.
#[tokio::test]
async fn a_poisonous_request_takes_all_others_with_it() -> Result<()> {
    let engine = start(slow())?;
    let faults = json!({"crash_on": "poison", "down_ms": 300});
    engine.post("/v1/faults", &faults).await?;
    let mut bystander = open(&engine, "bystander", 5, &[]).await?.into_body();
    if let Ok(response) = open(&engine, "poison pill", 5, &[]).await {
        assert!(
            !Events::read(&mut response.into_body(), u64::MAX)
                .await
                .whole
        );
    }
    assert!(!Events::read(&mut bystander, u64::MAX).await.whole);
    let runs = runs_when(&engine, |runs| runs.len() == 2).await?;
    assert_eq!(runs[0]["state"], "crashed");
    assert_eq!(runs[1]["state"], "crashed");
    sleep(Duration::from_millis(400)).await;
    assert_eq!(open(&engine, "back", 1, &[]).await?.status(), 200);
    Ok(())
}

/// The connection to the engine is reset after some tokens, so that the caller has the beginning of its answer and no
/// end marker.
#[tokio::test]
async fn a_stream_is_reset_after_some_tokens() -> Result<()> {
    let engine = start(quick())?;
    let faults = json!({"reset_after_tokens": 7});
    engine.post("/v1/faults", &faults).await?;
    for length in [7, 50] {
        let mut body = open(&engine, "cut", length, &[]).await?.into_body();
        let events = Events::read(&mut body, u64::MAX).await;
        assert_eq!(events.tokens, 7);
        assert!(!events.whole);
    }
    Ok(())
}

/// The engine goes on generating but its streams stand still. A caller waits, and has its whole answer once they move.
#[tokio::test]
async fn frozen_streams_go_on_later() -> Result<()> {
    let engine = start(quick())?;
    let frozen = json!({"freeze_streams": true, "token_ms": 1});
    engine.post("/v1/faults", &frozen).await?;
    let mut body = open(&engine, "still", 10, &[]).await?.into_body();
    runs_when(&engine, |runs| runs[0]["state"] == "done").await?;
    let early = Events::read(&mut body, u64::MAX);
    assert!(timeout(Duration::from_millis(200), early).await.is_err());
    engine.post("/v1/faults", &json!({})).await?;
    let events = Events::read(&mut body, u64::MAX).await;
    assert_eq!(events.text, expected_answer("still", 10));
    assert!(events.whole);
    Ok(())
}

/// The engine answers with errors, is down, or hangs. None of these requests was run.
#[tokio::test]
async fn refused_requests_are_not_run() -> Result<()> {
    let engine = start(EngineOptions::default())?;
    for (faults, status) in [
        (json!({"error_rate": 1.0}), 500),
        (json!({"down": true}), 503),
    ] {
        engine.post("/v1/faults", &faults).await?;
        assert_eq!(open(&engine, "x", 1, &[]).await?.status(), status);
    }
    engine.post("/v1/faults", &json!({"hang": true})).await?;
    let hung = engine.open(Method::POST, CHAT, &[], b"{}");
    assert!(timeout(Duration::from_millis(200), hung).await.is_err());
    assert_eq!(engine.get("/v1/runs").await?.json, json!([]));
    Ok(())
}
