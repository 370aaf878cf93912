//! Routers that begin without a log to read from: it has let records go, or is down.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::caller::Ask;
use crate::cluster::Cluster;
use crate::cluster::Plan;
use crate::load::Load;
use crate::outage::marker;
use crate::outage::stream_into_outage;
use crate::verify::Reading;
use crate::verify::verify;
use crate::verify::verify_from;
use crate::wait_for;

const LIMIT: Duration = Duration::from_secs(20);

/// The log keeps its records for a limited time, and an entry VM is replaced after all the old ones are gone. The new
/// router takes the ledger and the configuration over from a peer or a checkpoint, and serves as if it had been there from
/// the start: no team has more or less, and a request that was billed long ago is not billed again.
#[tokio::test]
async fn a_router_starts_though_the_log_has_let_records_go() -> Result<()> {
    LocalSet::new().run_until(let_go()).await
}

async fn let_go() -> Result<()> {
    let mut cluster = Cluster::start(Plan::new("let-go", 3), 14).await?;
    cluster.fund("loans", 20_000).await?;
    let load = Load::start(&cluster, "loans", 6, 14);
    sleep(Duration::from_secs(2)).await;
    cluster.routers[0].node.process.signal("KILL")?;
    cluster.unlist("router-0").await?;
    sleep(Duration::from_secs(2)).await;
    let mut reading = Reading::default();
    reading.go_on(&cluster).await?;
    let stats = cluster.log.http.get("/v1/stats").await?.json;
    // Of the ledger no record is let go that the reader has not read: it could not read on behind the gap.
    let read = reading.ledger.next().0;
    let written = stats["streams"]["config"]["appends"].clone();
    for (stream, next) in [("ledger-0", json!(read)), ("config", written)] {
        let fault = json!({"let_go_before": {"stream": stream, "offset": next}});
        cluster.log.fault(&fault).await?;
    }
    let took = cluster.restart(0).await?;
    println!(
        "measure=restart-after-let-go serving_ms={}",
        took.as_millis()
    );
    sleep(Duration::from_secs(2)).await;
    load.end().await?;
    let ask = Ask::chat("loans", "let-go-after", 5);
    let routers = [cluster.routers[0].node.address];
    let last = cluster.journal.deliver(&routers, &ask, 1, LIMIT).await;
    assert!(last.whole, "{last:?}");
    cluster.idle(LIMIT).await?;
    let reading = verify_from(&cluster, reading).await?;
    for at in 0..3 {
        wait_for("the router knows the team's budget", LIMIT, async || {
            let status = cluster.status(at).await?;
            let teams = status["teams"].as_array().context("teams")?;
            let loans = teams.iter().find(|t| t["team"] == "loans");
            let spent = &loans.context("the team")?["spent"];
            Ok(*spent == reading.team("loans").spent.0)
        })
        .await?;
    }
    Ok(())
}

/// A VM dies in a log outage, with bills that its peers alone keep, and the platform replaces it at once. The new router
/// can't be counted in yet; it says so and where to go. When the log is back, the bills of its predecessor must come
/// before it takes over the VM, or callers had answers for nothing.
#[tokio::test]
async fn a_replaced_router_waits_for_its_predecessors_bills() -> Result<()> {
    LocalSet::new().run_until(replaced()).await
}

async fn replaced() -> Result<()> {
    let mut cluster = Cluster::start(marker("replaced", "peers"), 15).await?;
    cluster.fund("loans", 20_000).await?;
    let streams = stream_into_outage(&cluster, 0).await?;
    for stream in streams {
        let last = stream.await?;
        assert!(last.whole, "{last:?}");
    }
    cluster.routers[0].node.process.signal("KILL")?;
    sleep(Duration::from_millis(100)).await;
    cluster.replace(0).await?;
    sleep(Duration::from_secs(3)).await;
    let ask = Ask::chat("loans", "replaced-early", 5);
    let early = cluster
        .journal
        .ask(cluster.routers[0].node.address, &ask, 1)
        .await;
    assert_eq!(
        (early.kind(), early.ran()),
        ("not-serving", "no"),
        "{early:?}"
    );
    assert!(early.problem["instead"].is_string(), "{early:?}");
    cluster.log.fault(&json!({})).await?;
    let took = cluster.ready(0).await?;
    println!("measure=replaced-in-outage serving_ms={}", took.as_millis());
    let reading = verify(&cluster).await?;
    assert!(
        reading.team("loans").spent.0 >= 360,
        "{:?}",
        reading.team("loans")
    );
    Ok(())
}
