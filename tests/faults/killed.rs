//! A router's death with streams open.

use std::time::Duration;

use anyhow::Result;
use tokio::task::LocalSet;
use tokio::time::Instant;

use crate::caller::Ask;
use crate::cluster::Cluster;
use crate::cluster::Plan;
use crate::verify::Reading;
use crate::verify::verify;
use crate::wait_for;

/// What a dead router's teams must have back by.
const BACK: Duration = Duration::from_secs(15);

/// How long a caller keeps on trying.
const PATIENCE: Duration = Duration::from_secs(30);

/// An entry VM loses its power while callers read their answers from it. Each of them sees its stream break off in the
/// middle, asks another router under the same key, and has its whole answer from there. It is billed once, and what the
/// dead router held goes back to the team.
#[tokio::test]
async fn a_killed_router_leaves_each_request_billed_once() -> Result<()> {
    LocalSet::new().run_until(killed()).await
}

async fn killed() -> Result<()> {
    let mut cluster = Cluster::start(Plan::new("killed", 3), 1).await?;
    assert!(cluster.top_up(0, "loans", "first", 20_000).await?);
    let routers: Vec<_> = cluster.routers.iter().map(|r| r.node.address).collect();
    let mut callers = Vec::new();
    for number in 0..8 {
        let ask = Ask::chat("loans", &format!("killed-{number}"), 120);
        let journal = cluster.journal.clone();
        let routers = routers.clone();
        callers.push(tokio::task::spawn_local(async move {
            journal.deliver(&routers, &ask, 1, PATIENCE).await
        }));
    }
    let journal = cluster.journal.clone();
    wait_for("all streams are open", PATIENCE, async || {
        Ok((0..8).all(|n| journal.tokens(&format!("killed-{n}")) > 10))
    })
    .await?;
    let dead = cluster.routers[0].incarnation().await?;
    let died = Instant::now();
    cluster.routers[0].node.process.signal("KILL")?;
    cluster.unlist("router-0").await?;
    let mut reading = Reading::default();
    reading.go_on(&cluster).await?;
    let stranded = reading.held_by(dead);
    wait_for("the dead router's holdings are back", BACK, async || {
        reading.go_on(&cluster).await?;
        Ok(!reading.ledger.is_open(dead) && reading.held_by(dead) == 0)
    })
    .await?;
    println!(
        "measure=stranded tokens={stranded} back_ms={}",
        died.elapsed().as_millis()
    );
    for caller in callers {
        let last = caller.await?;
        assert!(last.whole, "{last:?}");
        assert!(last.attempt > 1, "{last:?}");
    }
    verify(&cluster).await?;
    let took = cluster.restart(0).await?;
    println!("measure=restart serving_ms={}", took.as_millis());
    let again = Ask::chat("loans", "after", 5);
    let last = cluster
        .journal
        .ask(cluster.routers[0].node.address, &again, 1)
        .await;
    assert!(last.whole, "{last:?}");
    verify(&cluster).await?;
    Ok(())
}
