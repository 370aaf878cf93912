//! Two faults at once.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::caller::Ask;
use crate::cluster::Cluster;
use crate::cluster::Plan;
use crate::load::Load;
use crate::verify::verify;

const LIMIT: Duration = Duration::from_secs(30);

/// A partition cuts one of four routers off, log and all, and while it lasts another one dies with its streams open and
/// the log loses answers. Later both come back. Callers get what the two that are left can give; nothing is billed or
/// recorded twice, and the budget is not passed.
#[tokio::test]
async fn a_death_inside_a_partition_over_a_log_that_loses_answers() -> Result<()> {
    LocalSet::new().run_until(death_in_partition()).await
}

async fn death_in_partition() -> Result<()> {
    let mut cluster = Cluster::start(Plan::new("twice", 4), 16).await?;
    cluster.fund("loans", 1_500).await?;
    cluster.fund("smoke", 30_000).await?;
    let loads = [
        Load::start(&cluster, "loans", 4, 16),
        Load::start(&cluster, "smoke", 8, 17),
    ];
    sleep(Duration::from_secs(1)).await;
    let groups: [&[usize]; 2] = [&[0, 1, 2], &[3]];
    cluster.part(&groups, &json!({"half_open": true})).await?;
    cluster.cut_log(3, &json!({"half_open": true})).await?;
    cluster
        .log
        .fault(&json!({"lose_answer": 0.25, "seed": 16}))
        .await?;
    sleep(Duration::from_secs(1)).await;
    cluster.routers[0].node.process.signal("KILL")?;
    cluster.unlist("router-0").await?;
    sleep(Duration::from_secs(4)).await;
    cluster.part(&groups, &json!({})).await?;
    cluster.cut_log(3, &json!({})).await?;
    cluster.log.fault(&json!({})).await?;
    sleep(Duration::from_secs(2)).await;
    for load in loads {
        load.end().await?;
    }
    cluster.restart(0).await?;
    for router in &cluster.routers {
        let ask = Ask::chat("smoke", &format!("twice-after-{}", router.node.address), 5);
        let last = cluster
            .journal
            .deliver(&[router.node.address], &ask, 1, LIMIT)
            .await;
        assert!(last.whole, "{last:?}");
    }
    cluster.idle(LIMIT).await?;
    let reading = verify(&cluster).await?;
    println!("loans={:?}", reading.team("loans"));
    Ok(())
}

/// A router freezes while the log is down, past the outage and its own closing, and wakes. The answers that it was about
/// to end have no bill that counts; the calls that it was about to send are another router's by now.
#[tokio::test]
async fn a_freeze_inside_an_outage() -> Result<()> {
    LocalSet::new().run_until(freeze_in_outage()).await
}

async fn freeze_in_outage() -> Result<()> {
    let cluster = Cluster::start(Plan::new("freeze-outage", 3), 18).await?;
    cluster.fund("loans", 20_000).await?;
    let load = Load::start(&cluster, "loans", 9, 18);
    sleep(Duration::from_secs(1)).await;
    cluster.log.fault(&json!({"down": true})).await?;
    sleep(Duration::from_millis(1200)).await;
    cluster.routers[0].node.process.signal("STOP")?;
    cluster.unlist("router-0").await?;
    sleep(Duration::from_millis(800)).await;
    cluster.log.fault(&json!({})).await?;
    sleep(Duration::from_secs(5)).await;
    cluster.routers[0].node.process.signal("CONT")?;
    cluster.relist(0).await?;
    sleep(Duration::from_secs(2)).await;
    load.end().await?;
    cluster.idle(LIMIT).await?;
    verify(&cluster).await?;
    Ok(())
}
