//! Planned stops.

use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;

use anyhow::Context;
use anyhow::Result;
use hyper::Method;
use serde_json::json;

use crate::PATIENCE;
use crate::client::Events;
use crate::ledger::at_rest;
use crate::site::Ask;
use crate::site::Plan;
use crate::site::Router;
use crate::site::Site;
use crate::wait_for;

/// Waits until a router's process ended.
async fn ended(router: &mut Router) -> Result<ExitStatus> {
    let mut status = None;
    wait_for("the router ended", PATIENCE, async || {
        status = router.process.ended()?;
        Ok(status.is_some())
    })
    .await?;
    let status = status.context("it ended")?;
    assert_eq!(status.signal(), None, "{status:?}");
    Ok(status)
}

fn two(name: &'static str) -> Plan {
    Plan {
        routers: 2,
        engine: "engine --token-ms 20",
        ..Plan::new(name)
    }
}

/// An operator replaces a VM in the middle of the day. The stream that is open there comes to its end, a caller that
/// still asks there is told to go to the other router, nobody is advised to come, and what the router held is the team's
/// again when it ends with 0.
#[tokio::test]
async fn a_planned_stop_cuts_off_nothing() -> Result<()> {
    let mut site = Site::start(two("drain")).await?;
    let answer = site.routers[0]
        .open(&Ask::stream("d1", "who may borrow", 100))
        .await?;
    let mut body = answer.into_body();
    let mut events = Events::read(&mut body, 5).await;
    site.routers[0].process.signal("TERM")?;
    wait_for("it drains", PATIENCE, async || {
        Ok(site.routers[0].logged()?.contains("event=draining"))
    })
    .await?;
    let late = site.routers[0]
        .ask(&Ask::plain("d2", "late", 3).attempt(1))
        .await?;
    late.assert_problem(503, "not-serving", "no");
    let other = site.routers[1].address.to_string();
    assert_eq!(late.json()["instead"], other.as_str(), "{}", late.text());
    assert!(!late.header("retry-after").is_empty());
    for router in &site.routers {
        wait_for("it is not advised", PATIENCE, async || {
            let advice = router.http.get("/v1/address").await?.json;
            Ok(advice["address"] == other.as_str() && advice["alternates"] == json!([]))
        })
        .await?;
    }
    events.go_on(&mut body, u64::MAX).await;
    assert!(events.whole, "{events:?}");
    assert_eq!(events.tokens, 100);
    assert_eq!(ended(&mut site.routers[0]).await?.code(), Some(0));
    let reading = at_rest(&site).await?;
    reading.assert_billed(&["d1"]);
    let closed = reading.ledger.routers().filter(|(_, state)| state.closed);
    assert_eq!(closed.count(), 1);
    Ok(())
}

/// A second signal ends a stop that takes too long. The stream is cut so that its caller notices, and the log says which
/// request it was.
#[tokio::test]
async fn a_second_signal_ends_it_and_says_what_was_cut() -> Result<()> {
    let mut site = Site::start(two("second")).await?;
    let answer = site.routers[0]
        .open(&Ask::stream("d3", "who may borrow", 1500))
        .await?;
    let mut body = answer.into_body();
    let mut events = Events::read(&mut body, 5).await;
    site.routers[0].process.signal("TERM")?;
    wait_for("it drains", PATIENCE, async || {
        Ok(site.routers[0].logged()?.contains("event=draining"))
    })
    .await?;
    site.routers[0].process.signal("TERM")?;
    assert_eq!(ended(&mut site.routers[0]).await?.code(), Some(3));
    events.go_on(&mut body, u64::MAX).await;
    assert!(!events.whole, "{events:?}");
    let logged = site.routers[0].logged()?;
    let cut = logged.lines().find(|line| line.contains("event=drain-cut"));
    assert!(
        cut.is_some_and(|line| line.contains("key=yard/d3")),
        "{cut:?}"
    );
    Ok(())
}

#[tokio::test]
async fn the_drain_limit_ends_it_and_says_what_was_cut() -> Result<()> {
    let plan = Plan {
        settings: json!({"limits": {"drain_ms": 300}}),
        ..two("limit")
    };
    let mut site = Site::start(plan).await?;
    let answer = site.routers[0]
        .open(&Ask::stream("d4", "who may borrow", 1500))
        .await?;
    let mut body = answer.into_body();
    let mut events = Events::read(&mut body, 5).await;
    site.routers[0].process.signal("INT")?;
    assert_eq!(ended(&mut site.routers[0]).await?.code(), Some(3));
    events.go_on(&mut body, u64::MAX).await;
    assert!(!events.whole, "{events:?}");
    let logged = site.routers[0].logged()?;
    let cuts = logged.matches("event=drain-cut").count();
    assert_eq!(cuts, 1, "each request is named once");
    Ok(())
}

#[tokio::test]
async fn an_operators_order_stops_it_as_a_signal_does() -> Result<()> {
    let mut site = Site::start(two("order")).await?;
    let router = &site.routers[0];
    let answer = router
        .http
        .send(Method::POST, "/v1/admin/drain", b"")
        .await?;
    assert!(answer.status < 300, "{answer:?}");
    assert_eq!(ended(&mut site.routers[0]).await?.code(), Some(0));
    Ok(())
}
