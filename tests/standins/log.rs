//! The log service.

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use futures::future::join;
use futures::future::join_all;
use hyper::Method;
use jasmineridge::LogOptions;
use jasmineridge::start_log;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::any_port;
use crate::client::Client;

const RECORDS: &str = "/v1/streams/ledger-0/records";

fn start(options: LogOptions) -> Result<Client> {
    let log = start_log(any_port(), options)?;
    Ok(Client::new(log.address))
}

async fn append(log: &Client, data: &[u8]) -> Result<u64> {
    let answer = log.send(Method::POST, RECORDS, data).await?;
    assert_eq!(answer.status, 200, "{answer:?}");
    Ok(answer.json["offset"].as_u64().expect("an offset"))
}

#[tokio::test]
async fn appended_records_are_read_back_in_order() -> Result<()> {
    let log = start(LogOptions::default())?;
    for (offset, data) in [b"a".as_slice(), b"\xff\x00", b""].into_iter().enumerate() {
        assert_eq!(append(&log, data).await?, offset as u64);
    }
    let page = log.get(&format!("{RECORDS}?from=1&max=1")).await?.json;
    assert_eq!((&page["first"], &page["next"]), (&json!(0), &json!(3)));
    let records = page["records"].as_array().expect("records");
    assert_eq!(records.len(), 1);
    assert_eq!(records[0]["offset"], 1);
    assert_eq!(records[0]["data"], "/wA=");
    let other = log.get("/v1/streams/other/records?from=0").await?.json;
    assert_eq!(other["next"], 0);
    let counts = log.get("/v1/stats").await?.json["streams"]["ledger-0"].clone();
    assert_eq!(
        counts,
        json!({"appends": 3, "reads": 1, "bytes_in": 3, "bytes_out": 2})
    );
    Ok(())
}

#[tokio::test]
async fn a_long_poll_ends_by_an_append_or_by_its_time() -> Result<()> {
    let log = start(LogOptions::default())?;
    let empty = log.get(&format!("{RECORDS}?from=0&wait_ms=50")).await?.json;
    assert_eq!(empty["records"], json!([]));
    let path = format!("{RECORDS}?from=0&wait_ms=15000");
    let poll = log.get(&path);
    let later = async {
        sleep(Duration::from_millis(50)).await;
        append(&log, b"x").await
    };
    let began = Instant::now();
    let (page, offset) = join(poll, later).await;
    assert_eq!(offset?, 0);
    assert_eq!(page?.json["records"][0]["data"], "eA==");
    assert!(began.elapsed() < Duration::from_secs(10));
    Ok(())
}

/// A reader that was away for longer than the log keeps records asks for one that is gone. It is told where the stream
/// now begins, instead of being handed later records as if nothing were missing.
#[tokio::test]
async fn records_that_are_gone_are_said_to_be_gone() -> Result<()> {
    let log = start(LogOptions {
        keep_records: Some(2),
        ..LogOptions::default()
    })?;
    for data in [b"a", b"b", b"c"] {
        append(&log, data).await?;
    }
    let gone = log.get(&format!("{RECORDS}?from=0")).await?;
    assert_eq!(
        (gone.status, gone.json),
        (410, json!({"first": 1, "next": 3}))
    );
    let order = json!({"let_go_before": {"stream": "ledger-0", "offset": 99}});
    log.post("/v1/faults", &order).await?;
    let gone = log.get(&format!("{RECORDS}?from=2")).await?;
    assert_eq!(
        (gone.status, gone.json),
        (410, json!({"first": 3, "next": 3}))
    );
    assert_eq!(append(&log, b"d").await?, 3);
    Ok(())
}

#[tokio::test]
async fn records_are_kept_for_a_limited_time() -> Result<()> {
    let log = start(LogOptions {
        keep_ms: Some(100),
        ..LogOptions::default()
    })?;
    append(&log, b"a").await?;
    sleep(Duration::from_millis(150)).await;
    assert_eq!(log.get(&format!("{RECORDS}?from=0")).await?.status, 410);
    Ok(())
}

/// The log's answer is lost after the append took effect, or the append is refused before it does. A writer sees an
/// error both times, and only reading the stream tells which it was.
#[tokio::test]
async fn an_append_may_fail_with_or_without_effect() -> Result<()> {
    let log = start(LogOptions::default())?;
    let lose = json!({"lose_answer": 1.0, "seed": 7});
    log.post("/v1/faults", &lose).await?;
    assert_eq!(log.get("/v1/faults").await?.json["lose_answer"], 1.0);
    assert!(log.send(Method::POST, RECORDS, b"kept").await.is_err());
    log.post("/v1/faults", &json!({"fail_before": 1.0})).await?;
    let refused = log.send(Method::POST, RECORDS, b"not kept").await?;
    assert_eq!(refused.status, 503);
    log.post("/v1/faults", &json!({})).await?;
    let page = log.get(&format!("{RECORDS}?from=0")).await?.json;
    assert_eq!(page["next"], 1);
    assert_eq!(append(&log, b"next").await?, 1);
    Ok(())
}

/// The log service is down, and then it hangs: a caller is refused at once, and then never answered. Unknown faults are
/// refused, so that a misspelt one is not taken for one in force.
#[tokio::test]
async fn an_outage_refuses_or_never_answers() -> Result<()> {
    let log = start(LogOptions::default())?;
    log.post("/v1/faults", &json!({"down": true})).await?;
    assert_eq!(log.get(&format!("{RECORDS}?from=0")).await?.status, 503);
    assert_eq!(log.send(Method::POST, RECORDS, b"x").await?.status, 503);
    log.post("/v1/faults", &json!({"hang": true})).await?;
    let hung = log.send(Method::POST, RECORDS, b"x");
    assert!(timeout(Duration::from_millis(200), hung).await.is_err());
    let unknown = log.post("/v1/faults", &json!({"dwon": true})).await?;
    assert_eq!(unknown.status, 400);
    log.post(
        "/v1/faults",
        &json!({"append_delay_ms": 120, "read_delay_ms": 120}),
    )
    .await?;
    let began = Instant::now();
    assert_eq!(append(&log, b"x").await?, 0);
    log.get(&format!("{RECORDS}?from=0")).await?;
    assert!(began.elapsed() >= Duration::from_millis(240));
    Ok(())
}

/// More writers come than the log takes. They wait for their turns, and whoever would have to wait for more than two
/// seconds is refused at once and told when to come again.
#[tokio::test]
async fn too_many_appends_wait_and_then_are_refused() -> Result<()> {
    let log = start(LogOptions {
        rate: 1,
        ..LogOptions::default()
    })?;
    let calls = (0..6).map(|_| log.open(Method::POST, RECORDS, &[], b"x"));
    let answers = join_all(calls).await;
    let mut refused = 0;
    for answer in answers {
        let answer = answer?;
        if answer.status() == 503 {
            refused += 1;
            assert_eq!(answer.headers()["retry-after"], "1");
        }
    }
    // The first goes at once, the others a second after one another; a slow machine may let one more in.
    assert!((2..=3).contains(&refused), "{refused} were refused");
    assert_eq!(log.get("/v1/stats").await?.json["refused"], refused);
    Ok(())
}
