//! A request that crashes each engine that runs it.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::caller::Ask;
use crate::caller::Work;
use crate::cluster::Cluster;
use crate::cluster::Plan;
use crate::load::Load;
use crate::verify::verify;

const LIMIT: Duration = Duration::from_secs(20);

/// How many engines one such request may take down, however often and wherever it is sent.
const MOST: usize = 3;

/// An applicant's file has something in it that crashes every engine that reads it, and the yard's program sends it again
/// and again, to one router after another. The first engines fall; then it is refused everywhere, and all other callers'
/// answers go on.
#[tokio::test]
async fn a_poison_request_costs_a_few_engines_and_no_more() -> Result<()> {
    LocalSet::new().run_until(poison()).await
}

async fn poison() -> Result<()> {
    let plan = Plan {
        engines: 5,
        ..Plan::new("poison", 3)
    };
    let cluster = Cluster::start(plan, 13).await?;
    cluster.fund("loans", 60_000).await?;
    for engine in &cluster.engines {
        engine
            .fault(&json!({"crash_on": "crash-me", "down_ms": 1500}))
            .await?;
    }
    let load = Load::start(&cluster, "loans", 6, 13);
    sleep(Duration::from_secs(1)).await;
    let routers: Vec<_> = cluster.routers.iter().map(|r| r.node.address).collect();
    for number in 0..8 {
        // The key is new each time: a caller that gave up asks afresh.
        let ask = Ask {
            work: Work::Chat {
                prompt: "a crash-me file".to_owned(),
                limit: 20,
            },
            ..Ask::chat("loans", &format!("poison-{number}"), 20)
        };
        let limit = Duration::from_millis(500);
        let last = cluster.journal.deliver(&routers, &ask, 1, limit).await;
        assert!(!last.whole, "{last:?}");
        println!(
            "poison={number} attempts={} kind={} ran={}",
            last.attempt,
            last.kind(),
            last.ran()
        );
        sleep(Duration::from_millis(700)).await;
    }
    let last = load.end().await?;
    let whole = last.iter().filter(|t| t.whole).count();
    for entry in last.iter().filter(|t| !t.whole) {
        println!("failed={entry:?}");
    }
    println!(
        "measure=poison crashes={} delivered={whole} of={}",
        crashes(&cluster).await?,
        last.len()
    );
    for router in &routers {
        let ask = Ask::chat("loans", &format!("poison-after-{router}"), 5);
        let last = cluster.journal.deliver(&[*router], &ask, 1, LIMIT).await;
        assert!(last.whole, "{last:?}");
    }
    assert_eq!(whole, last.len(), "others' requests failed");
    assert!(crashes(&cluster).await? <= MOST);
    verify(&cluster).await?;
    Ok(())
}

/// Counts the runs of the poison request that crashed their engine.
async fn crashes(cluster: &Cluster) -> Result<usize> {
    let mut count = 0;
    for engine in &cluster.engines {
        let runs = engine.http.get("/v1/runs").await?.json;
        let crashed = |run: &&serde_json::Value| {
            let key = run["key"].as_str().unwrap_or("");
            run["state"] == "crashed" && key.starts_with("loans/poison-")
        };
        count += runs
            .as_array()
            .map_or(0, |runs| runs.iter().filter(crashed).count());
    }
    Ok(count)
}
