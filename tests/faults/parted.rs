//! Networks that come apart.

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

/// Longer than silence, outage, append, heartbeat call and read of the log, each of which is at most 3 s here.
const LONG: Duration = Duration::from_secs(7);

const LIMIT: Duration = Duration::from_secs(20);

/// A switch between failure domains fails: three routers no longer hear each other, and one of them has lost the log and
/// the VM list as well. Teams go on spending at all three, and a donor's top-up reaches the side that has the log.
/// Callers see some refusals and broken streams; no team spends more than it has, and afterwards all is as before.
#[tokio::test]
async fn routers_parted_in_three_spend_no_more_than_was_prepaid() -> Result<()> {
    LocalSet::new()
        .run_until(parted("three", &[&[0], &[1], &[2]], 3))
        .await
}

/// The same, where two of the routers still hear each other.
#[tokio::test]
async fn routers_parted_in_two_spend_no_more_than_was_prepaid() -> Result<()> {
    LocalSet::new()
        .run_until(parted("two", &[&[0, 1], &[2]], 4))
        .await
}

async fn parted(name: &'static str, groups: &[&[usize]], seed: u64) -> Result<()> {
    let cluster = Cluster::start(Plan::new(name, 3), seed).await?;
    assert!(cluster.top_up(0, "loans", "first", 1_200).await?);
    assert!(cluster.top_up(0, "smoke", "first", 30_000).await?);
    let loads = [
        Load::start(&cluster, "loans", 6, seed),
        Load::start(&cluster, "smoke", 6, seed + 100),
    ];
    sleep(Duration::from_secs(1)).await;
    cluster.part(groups, &json!({"half_open": true})).await?;
    cluster.cut_log(2, &json!({"half_open": true})).await?;
    cluster
        .network
        .fault("r2-vms", &json!({"half_open": true}))
        .await?;
    sleep(LONG / 2).await;
    assert!(cluster.top_up(0, "loans", "second", 600).await?);
    sleep(LONG / 2).await;
    cluster.part(groups, &json!({})).await?;
    cluster.cut_log(2, &json!({})).await?;
    cluster.network.fault("r2-vms", &json!({})).await?;
    sleep(Duration::from_secs(2)).await;
    // Its answer may have been lost; given again, it does not count again.
    assert!(!cluster.top_up(2, "loans", "second", 600).await?);
    for load in loads {
        load.end().await?;
    }
    let reading = verify(&cluster).await?;
    let loans = reading.team("loans");
    println!("loans={loans:?}");
    assert_eq!(loans.prepaid.0, 1_800);
    assert!(loans.spent.0 > 1_200, "the top-up stood idle: {loans:?}");
    for router in &cluster.routers {
        let ask = Ask::chat("smoke", &format!("after-{}", router.node.address), 5);
        let routers = [router.node.address];
        let last = cluster.journal.deliver(&routers, &ask, 1, LIMIT).await;
        assert!(last.whole, "{last:?}");
    }
    cluster.idle(LIMIT).await?;
    verify(&cluster).await?;
    Ok(())
}
