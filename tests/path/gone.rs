//! Callers that hang up.

use anyhow::Context;
use anyhow::Result;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::PATIENCE;
use crate::client::Events;
use crate::ledger::at_rest;
use crate::site::Ask;
use crate::site::KEY;
use crate::site::PRICE;
use crate::site::Plan;
use crate::site::Site;
use crate::wait_for;

/// An applicant closes the page in the middle of a long answer. Nobody reads the rest, so the engine is told to stop, and
/// the team pays for what was generated until then: more than nothing, and less than the whole answer.
#[tokio::test]
async fn a_caller_that_hangs_up_mid_stream_pays_for_what_was_used() -> Result<()> {
    let plan = Plan {
        engine: "engine --token-ms 10",
        ..Plan::new("mid-stream")
    };
    let site = Site::start(plan).await?;
    let answer = site.routers[0]
        .open(&Ask::stream("g1", "who may borrow", 1500))
        .await?;
    let mut body = answer.into_body();
    let events = Events::read(&mut body, 20).await;
    assert!(events.tokens >= 20, "{events:?}");
    drop(body);
    wait_for("the engine's run is cancelled", PATIENCE, async || {
        Ok(site
            .runs("g1")
            .await?
            .iter()
            .all(|run| run["state"] == "cancelled"))
    })
    .await?;
    let runs = site.runs("g1").await?;
    assert_eq!(runs.len(), 1);
    let used = runs[0]["generated"].as_u64().context("generated")?
        + runs[0]["prompt_tokens"].as_u64().context("prompt_tokens")?;
    assert!((20..1500).contains(&used), "{runs:?}");
    wait_for("it is billed", PATIENCE, async || {
        Ok(at_rest(&site).await?.bill("g1").is_some())
    })
    .await?;
    let reading = at_rest(&site).await?;
    assert_eq!(reading.bill("g1"), Some(used));
    reading.assert_billed(&["g1"]);
    Ok(())
}

/// A caller gives up before the first token, while the engine works through its prompt. The engine is told to stop, and
/// no more is billed than was reserved.
#[tokio::test]
async fn a_caller_that_hangs_up_before_the_answer_frees_its_engine() -> Result<()> {
    let plan = Plan {
        engine: "engine --token-ms 3000",
        ..Plan::new("before")
    };
    let site = Site::start(plan).await?;
    let ask = Ask::stream("g2", "who may borrow", 50);
    let open = site.routers[0].open(&ask);
    tokio::select! {
        answer = open => panic!("{answer:?}"),
        run = wait_for("the engine has it", PATIENCE, async || Ok(!site.runs("g2").await?.is_empty())) => run?,
    };
    wait_for("the engine's run is cancelled", PATIENCE, async || {
        Ok(site
            .runs("g2")
            .await?
            .iter()
            .all(|run| run["state"] == "cancelled"))
    })
    .await?;
    let reading = at_rest(&site).await?;
    let bill = reading.bill("g2").context("a bill")?;
    assert!(bill <= 3, "its prompt has three tokens: {bill}");
    reading.assert_billed(&["g2"]);
    wait_for("no request is left", PATIENCE, async || {
        Ok(site.routers[0].status().await?["requests"] == 0)
    })
    .await?;
    Ok(())
}

/// A phone loses its connection while a disbursement is on its way to the service. The call goes on without its caller,
/// so that its outcome is known, and the retry gets the receipt of the one recording.
#[tokio::test]
async fn a_call_whose_caller_hung_up_is_recorded_and_its_outcome_kept() -> Result<()> {
    let plan = Plan {
        routers: 2,
        ..Plan::new("outcome")
    };
    let site = Site::start(plan).await?;
    site.service
        .fault("/_faults", &json!({"delay_ms": 500}))
        .await?;
    let ask = Ask::call("g3");
    let open = site.routers[0].open(&ask);
    tokio::select! {
        answer = open => panic!("{answer:?}"),
        wait = wait_for("it was sent", PATIENCE, async || {
            Ok(site.routers[0].logged()?.contains("event=dispatch"))
        }) => wait?,
    };
    wait_for("the call takes effect", PATIENCE, async || {
        Ok(site.calls("g3").await? == 1)
    })
    .await?;
    let reading = at_rest(&site).await?;
    assert_eq!(reading.bill("g3"), Some(PRICE));
    for router in &site.routers {
        let again = router.ask(&ask.clone().attempt(2)).await?;
        assert_eq!(again.status, 201, "{}", again.text());
        assert_eq!(again.json(), json!({"recorded": 1}));
    }
    assert_eq!(site.calls("g3").await?, 1);
    at_rest(&site).await?.assert_billed(&["g3"]);
    Ok(())
}

/// A caller sends a call on a new connection and hangs up at once, as one does whose process dies. The claim takes a
/// commit, which is longer than the end of the connection takes to arrive, so the router sees it in time and the call
/// never reaches the service; its retry is free to run.
#[tokio::test]
async fn a_call_whose_caller_hung_up_at_once_is_not_run() -> Result<()> {
    let site = Site::start(Plan::new("at-once")).await?;
    // The commit is held back, so that the machine's load does not decide which comes first.
    site.log
        .fault("/v1/faults", &json!({"append_delay_ms": 300}))
        .await?;
    let body = "{\"loan\":17}";
    for number in 0..10 {
        let mut stream = TcpStream::connect(site.routers[0].address).await?;
        let text = format!(
            "POST /v1/services/records/v1/loans HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
             idempotency-key: once-{number}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).await?;
        drop(stream);
    }
    wait_for("no request is left", PATIENCE, async || {
        Ok(site.routers[0].status().await?["requests"] == 0)
    })
    .await?;
    site.log.fault("/v1/faults", &json!({})).await?;
    let reading = at_rest(&site).await?;
    assert_eq!(reading.spent("loans"), 0);
    for number in 0..10 {
        let key = format!("once-{number}");
        assert_eq!(site.calls(&key).await?, 0, "{key}");
        let mut retry = Ask::call(&key).attempt(2);
        retry.body = body.as_bytes().to_vec();
        let reply = site.routers[0].ask(&retry).await?;
        assert_eq!(reply.status, 201, "{key}: {}", reply.text());
        assert_eq!(site.calls(&key).await?, 1, "{key}");
    }
    Ok(())
}

/// Callers hang up at every moment between the request's arrival and its answer. Whatever the moment, each key's call
/// takes effect at most once, its claim does not stay, and the retry is answered.
#[tokio::test]
async fn a_call_whose_caller_hung_up_at_any_moment_is_settled() -> Result<()> {
    let site = Site::start(Plan::new("any-moment")).await?;
    let ask = |number: u64| Ask::call(&format!("any-{number}"));
    for number in 0..40 {
        let after = std::time::Duration::from_millis(number);
        // Its answer, if it came in time, is not wanted.
        let _ = tokio::time::timeout(after, site.routers[0].ask(&ask(number))).await;
    }
    for number in 0..40 {
        let reply = site.routers[0].ask(&ask(number).attempt(2)).await?;
        assert_eq!(reply.status, 201, "{number}: {}", reply.text());
        let key = format!("any-{number}");
        assert_eq!(site.calls(&key).await?, 1, "{key}");
    }
    let reading = at_rest(&site).await?;
    assert_eq!(reading.spent("loans"), 40 * PRICE);
    assert_eq!(site.routers[0].status().await?["requests"], 0);
    Ok(())
}
