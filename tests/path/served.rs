//! What callers are served: an address, completions, calls, and retries.

use anyhow::Context;
use anyhow::Result;
use jasmineridge::expected_answer;
use serde_json::json;

use crate::PATIENCE;
use crate::client::Events;
use crate::ledger::at_rest;
use crate::site::Ask;
use crate::site::OTHER_KEY;
use crate::site::PRICE;
use crate::site::Plan;
use crate::site::Site;
use crate::site::change;
use crate::wait_for;

/// How often a billed completion is run again, as `MAX_RERUNS` says.
const RERUNS: usize = 3;

#[tokio::test]
async fn an_address_comes_with_how_long_to_keep_it() -> Result<()> {
    let plan = Plan {
        routers: 2,
        ..Plan::new("address")
    };
    let site = Site::start(plan).await?;
    let advice = site.routers[0].http.get("/v1/address").await?;
    assert_eq!(advice.status, 200);
    let known: Vec<_> = site.routers.iter().map(|r| r.address.to_string()).collect();
    let address = advice.json["address"].as_str().context("an address")?;
    assert!(known.iter().any(|k| k == address), "{advice:?}");
    let alternates = advice.json["alternates"].as_array().context("alternates")?;
    assert_eq!(alternates.len(), 1, "{advice:?}");
    assert_ne!(alternates[0], address);
    let keep = advice.json["keep_ms"].as_u64().context("keep_ms")?;
    assert!((1..=30_000).contains(&keep), "{advice:?}");
    Ok(())
}

#[tokio::test]
async fn a_streamed_completion_comes_whole_and_is_billed_once() -> Result<()> {
    let site = Site::start(Plan::new("streamed")).await?;
    let ask = Ask::stream("s1", "who may borrow", 20).attempt(1);
    let answer = site.routers[0].open(&ask).await?;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["content-type"], "text/event-stream");
    assert!(answer.headers().contains_key("jasmineridge-request"));
    let events = Events::read(&mut answer.into_body(), u64::MAX).await;
    assert!(events.whole, "{events:?}");
    assert_eq!(
        events.text.trim(),
        expected_answer("who may borrow", 20).trim()
    );
    let used = events.usage["total_tokens"].as_u64().context("the usage")?;
    let reading = at_rest(&site).await?;
    assert_eq!(reading.bill("s1"), Some(used));
    reading.assert_billed(&["s1"]);
    Ok(())
}

#[tokio::test]
async fn a_plain_completion_comes_whole_and_is_billed_once() -> Result<()> {
    let site = Site::start(Plan::new("plain")).await?;
    let reply = site.routers[0]
        .ask(&Ask::plain("p1", "who may borrow", 20))
        .await?;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let body = reply.json();
    let text = body["choices"][0]["message"]["content"]
        .as_str()
        .context("the text")?;
    assert_eq!(text.trim(), expected_answer("who may borrow", 20).trim());
    let reading = at_rest(&site).await?;
    assert_eq!(reading.bill("p1"), body["usage"]["total_tokens"].as_u64());
    reading.assert_billed(&["p1"]);
    Ok(())
}

#[tokio::test]
async fn the_account_and_its_labels_pick_the_paying_team() -> Result<()> {
    let site = Site::start(Plan::new("labels")).await?;
    let ask = Ask::plain("l1", "where is the plume", 5)
        .with("authorization", &format!("Bearer {OTHER_KEY}"))
        .with("jasmineridge-labels", "plane=1");
    let reply = site.routers[0].ask(&ask).await?;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let reading = at_rest(&site).await?;
    assert!(reading.spent("smoke") > 0);
    assert_eq!(reading.spent("loans"), 0);
    Ok(())
}

#[tokio::test]
async fn a_call_that_may_be_repeated_is_answered_each_time() -> Result<()> {
    let site = Site::start(Plan::new("read")).await?;
    for _ in 0..2 {
        let reply = site.routers[0].ask(&Ask::read("r1")).await?;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(site.calls("r1").await?, 2);
    let reading = at_rest(&site).await?;
    assert_eq!(reading.bill("r1"), Some(PRICE));
    reading.assert_billed(&["r1"]);
    Ok(())
}

/// A caller's connection breaks right after its call was recorded, so it sends the call again under the same key. A
/// second recording would pay a loan out twice; it gets the first one's receipt instead.
#[tokio::test]
async fn the_answer_of_a_call_that_may_not_be_repeated_is_given_again() -> Result<()> {
    let plan = Plan {
        routers: 2,
        ..Plan::new("receipt")
    };
    let site = Site::start(plan).await?;
    let first = site.routers[0].ask(&Ask::call("c1").attempt(1)).await?;
    assert_eq!(first.status, 201, "{}", first.text());
    assert_eq!(first.json(), json!({"recorded": 1}));
    at_rest(&site).await?;
    for router in &site.routers {
        let again = router.ask(&Ask::call("c1").attempt(2)).await?;
        assert_eq!(again.status, 201, "{}", again.text());
        assert_eq!(again.body, first.body);
    }
    assert_eq!(site.calls("c1").await?, 1);
    let reading = at_rest(&site).await?;
    assert_eq!(reading.bill("c1"), Some(PRICE));
    reading.assert_billed(&["c1"]);
    Ok(())
}

/// A caller had its whole answer, but lost it before it could read it, and asks again under the same key. It gets the
/// whole answer each time, up to a bound, and its team pays for one.
#[tokio::test]
async fn a_billed_completion_is_answered_whole_again_and_not_billed_again() -> Result<()> {
    let site = Site::start(Plan::new("rerun")).await?;
    let ask = Ask::plain("b1", "who may borrow", 12);
    let first = site.routers[0].ask(&ask).await?;
    assert_eq!(first.status, 200, "{}", first.text());
    for number in 0..RERUNS {
        let again = site.routers[0].ask(&ask).await?;
        assert_eq!(again.status, 200, "rerun {number}: {}", again.text());
        let answer = "/choices/0/message/content";
        assert_eq!(again.json().pointer(answer), first.json().pointer(answer));
    }
    let over = site.routers[0].ask(&ask).await?;
    over.assert_problem(409, "finished", "yes");
    assert_eq!(site.runs("b1").await?.len(), 1 + RERUNS);
    let reading = at_rest(&site).await?;
    assert_eq!(
        reading.bill("b1"),
        first.json()["usage"]["total_tokens"].as_u64()
    );
    reading.assert_billed(&["b1"]);
    Ok(())
}

#[tokio::test]
async fn a_request_beyond_the_budget_is_refused_as_not_run() -> Result<()> {
    let site = Site::start(Plan::new("spent")).await?;
    let put = json!({"format": 1, "by": "test", "changes": [
        change("team", "poor", 0, json!({"bearer": "team"})),
        change("rule", "poor", 0, json!({
            "order": 1, "when": {"account": ["yard"], "desk": ["poor"]}, "team": "poor", "pool": "engines",
        })),
    ]});
    site.publish(&put).await?;
    let ask =
        |key: &str| Ask::plain(key, "who may borrow", 50).with("jasmineridge-labels", "desk=poor");
    let mut tries = 0;
    wait_for("the new rule is in force", PATIENCE, async || {
        tries += 1;
        let ask = ask(&format!("try-{tries}")).attempt(1);
        Ok(site.routers[0].ask(&ask).await?.status == 402)
    })
    .await?;
    // The first word is the caller's; what a second attempt is told has to be proved by a record.
    for attempt in [1, 2] {
        let reply = site.routers[0].ask(&ask("x1").attempt(attempt)).await?;
        reply.assert_problem(402, "budget-spent", "no");
        assert!(!reply.header("retry-after").is_empty());
    }
    assert!(site.runs("x1").await?.is_empty());
    let reading = at_rest(&site).await?;
    assert!(reading.knows("x1") && reading.bill("x1").is_none());
    assert_eq!(reading.spent("poor"), 0);
    Ok(())
}
