//! One key at two attempts at once: one run, whichever routers they reach.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::time::sleep;

use crate::ledger::at_rest;
use crate::reply::Reply;
use crate::site::Ask;
use crate::site::PRICE;
use crate::site::Plan;
use crate::site::Site;

/// What a second attempt may be told while the first is in progress: to come back, never that it was not run.
fn assert_joined(reply: &Reply, status: u16) {
    if reply.status != status {
        reply.assert_problem(409, "in-progress", "unknown");
    }
}

/// A phone changes its network cell while its call is on the way and sends it again, to another router. Were each router
/// to go by what it saw itself, the loan would be recorded twice.
#[tokio::test]
async fn a_call_sent_to_two_routers_at_once_takes_effect_once() -> Result<()> {
    let plan = Plan {
        routers: 2,
        ..Plan::new("twice")
    };
    let site = Site::start(plan).await?;
    site.service
        .fault("/_faults", &json!({"delay_ms": 200}))
        .await?;
    for round in 0..5 {
        let key = format!("t{round}");
        let first = Ask::call(&key).attempt(1);
        let second = Ask::call(&key).attempt(2);
        let (one, two) =
            tokio::try_join!(site.routers[0].ask(&first), site.routers[1].ask(&second))?;
        assert_joined(&one, 201);
        assert_joined(&two, 201);
        assert!(one.status == 201 || two.status == 201, "{one:?} {two:?}");
        if one.status == two.status {
            assert_eq!(one.body, two.body);
        }
        assert_eq!(site.calls(&key).await?, 1);
    }
    let reading = at_rest(&site).await?;
    assert_eq!(reading.spent("loans"), 5 * PRICE);
    Ok(())
}

#[tokio::test]
async fn a_completion_sent_to_two_routers_at_once_is_billed_once() -> Result<()> {
    let plan = Plan {
        routers: 2,
        ..Plan::new("both")
    };
    let site = Site::start(plan).await?;
    let first = Ask::plain("both", "who may borrow", 20).attempt(1);
    let second = first.clone().attempt(2);
    let (one, two) = tokio::try_join!(site.routers[0].ask(&first), site.routers[1].ask(&second))?;
    assert_joined(&one, 200);
    assert_joined(&two, 200);
    assert!(one.status == 200 || two.status == 200, "{one:?} {two:?}");
    at_rest(&site).await?.assert_billed(&["both"]);
    Ok(())
}

/// A caller repeats its call over a second connection to the same router while the first is still being served. It waits
/// for the first one's answer and gets the same.
#[tokio::test]
async fn a_second_attempt_at_the_same_router_gets_the_first_ones_answer() -> Result<()> {
    let site = Site::start(Plan::new("join")).await?;
    site.service
        .fault("/_faults", &json!({"delay_ms": 300}))
        .await?;
    let ask = Ask::call("j1");
    let later = async {
        sleep(Duration::from_millis(150)).await;
        site.routers[0].ask(&ask.clone().attempt(2)).await
    };
    let (one, two) = tokio::try_join!(site.routers[0].ask(&ask), later)?;
    assert_eq!(one.status, 201, "{}", one.text());
    assert_eq!(two.status, 201, "{}", two.text());
    assert_eq!(one.body, two.body);
    assert_eq!(site.calls("j1").await?, 1);
    Ok(())
}

/// A second attempt that will not wait for as long as the first takes is told so, and not that it was not run.
#[tokio::test]
async fn an_impatient_second_attempt_is_told_that_it_is_in_progress() -> Result<()> {
    let site = Site::start(Plan::new("impatient")).await?;
    site.service
        .fault("/_faults", &json!({"delay_ms": 2000}))
        .await?;
    let ask = Ask::call("i1");
    let later = async {
        sleep(Duration::from_millis(300)).await;
        let hasty = ask.clone().with("jasmineridge-deadline-ms", "200");
        site.routers[0].ask(&hasty).await
    };
    let (one, two) = tokio::try_join!(site.routers[0].ask(&ask), later)?;
    assert_eq!(one.status, 201, "{}", one.text());
    two.assert_problem(409, "in-progress", "unknown");
    assert!(!two.header("retry-after").is_empty());
    assert_eq!(site.calls("i1").await?, 1);
    Ok(())
}
