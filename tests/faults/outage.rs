//! The log service is down, slow, or does not say what it did.

use std::time::Duration;

use anyhow::Result;
use serde_json::Value;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::caller::Ask;
use crate::cluster::Cluster;
use crate::cluster::Plan;
use crate::load::Load;
use crate::verify::Reading;
use crate::verify::verify;
use crate::wait_for;

const LIMIT: Duration = Duration::from_secs(30);

/// Starts streams at a router and takes the log away in the middle of them.
async fn stream_into_outage(
    cluster: &Cluster,
    at: usize,
) -> Result<Vec<tokio::task::JoinHandle<crate::caller::Try>>> {
    let address = cluster.routers[at].node.address;
    let streams = (0..6).map(|number| {
        let ask = Ask::chat("loans", &format!("outage-{at}-{number}"), 60);
        let journal = cluster.journal.clone();
        tokio::task::spawn_local(async move { journal.ask(address, &ask, 1).await })
    });
    let streams = streams.collect();
    let journal = &cluster.journal;
    wait_for("all streams are open", LIMIT, async || {
        Ok((0..6).all(|n| journal.tokens(&format!("outage-{at}-{n}")) > 5))
    })
    .await?;
    cluster.log.fault(&json!({"down": true})).await?;
    Ok(streams)
}

fn marker(name: &'static str, marker: &str) -> Plan {
    Plan {
        ledger: json!({"end_marker": marker}),
        ..Plan::new(name, 3)
    }
}

/// The platform's store goes down while officers read answers. Where the operators chose to hold end markers, the last
/// byte of each answer comes when the store is back and has the bill; nobody's answer is cut off.
#[tokio::test]
async fn held_answers_end_when_the_log_is_back() -> Result<()> {
    LocalSet::new().run_until(held()).await
}

async fn held() -> Result<()> {
    let cluster = Cluster::start(marker("held", "hold"), 5).await?;
    assert!(cluster.top_up(0, "loans", "first", 20_000).await?);
    let streams = stream_into_outage(&cluster, 0).await?;
    sleep(Duration::from_secs(4)).await;
    assert!(
        streams.iter().all(|s| !s.is_finished()),
        "an answer ended without its bill"
    );
    // A call that may not be repeated can't be claimed; its caller is told that it was not run.
    let ask = Ask::call("loans", "held-call");
    let refused = cluster
        .journal
        .ask(cluster.routers[0].node.address, &ask, 1)
        .await;
    assert_eq!(
        (refused.kind(), refused.ran()),
        ("log-outage", "no"),
        "{refused:?}"
    );
    cluster.log.fault(&json!({})).await?;
    for stream in streams {
        let last = stream.await?;
        assert!(last.whole, "{last:?}");
    }
    verify(&cluster).await?;
    Ok(())
}

/// The same, where other failure domains' word is enough: answers end during the outage. Then the router that gave them
/// dies, before the store is back. Its bills are known to its peers alone, and they bring them to the log.
#[tokio::test]
async fn bills_outlive_their_router_in_an_outage() -> Result<()> {
    LocalSet::new().run_until(kept()).await
}

async fn kept() -> Result<()> {
    let cluster = Cluster::start(marker("kept", "peers"), 6).await?;
    assert!(cluster.top_up(0, "loans", "first", 20_000).await?);
    let streams = stream_into_outage(&cluster, 0).await?;
    let begun = Instant::now();
    for stream in streams {
        let last = stream.await?;
        assert!(last.whole, "{last:?}");
    }
    println!(
        "measure=outage answers_ended_ms={}",
        begun.elapsed().as_millis()
    );
    cluster.routers[0].node.process.signal("KILL")?;
    cluster.unlist("router-0").await?;
    sleep(Duration::from_secs(4)).await;
    cluster.log.fault(&json!({})).await?;
    let reading = verify(&cluster).await?;
    assert!(
        reading.team("loans").spent.0 >= 360,
        "{:?}",
        reading.team("loans")
    );
    Ok(())
}

/// The store answers slowly for a while, then loses every third answer after the append took effect, then turns away
/// every third append. Callers notice little but time; no request is billed twice, and no call is recorded twice.
#[tokio::test]
async fn a_log_that_is_slow_or_silent_doubles_nothing() -> Result<()> {
    LocalSet::new().run_until(unreliable()).await
}

async fn unreliable() -> Result<()> {
    let cluster = Cluster::start(Plan::new("unreliable", 3), 7).await?;
    assert!(cluster.top_up(0, "loans", "first", 50_000).await?);
    let load = Load::start(&cluster, "loans", 8, 7);
    let faults = [
        json!({"append_delay_ms": 300, "read_delay_ms": 200}),
        json!({"lose_answer": 0.3, "seed": 7}),
        json!({"fail_before": 0.3, "lose_answer": 0.2, "seed": 8}),
        json!({"hang": true}),
        json!({"append_delay_ms": 700}),
    ];
    for fault in faults {
        sleep(Duration::from_millis(500)).await;
        cluster.log.fault(&fault).await?;
        sleep(Duration::from_secs(2)).await;
        cluster
            .log
            .fault(&Value::Object(Default::default()))
            .await?;
    }
    sleep(Duration::from_secs(1)).await;
    let last = load.end().await?;
    let whole = last.iter().filter(|t| t.whole).count();
    assert!(whole * 2 > last.len(), "{whole} of {}", last.len());
    cluster.idle(LIMIT).await?;
    let reading = verify(&cluster).await?;
    let loans = reading.team("loans");
    println!("loans={loans:?}");
    Ok(())
}

/// A router that is cut off the log leaves its bills with the one peer that it still hears, and ends its answers on that
/// peer's word. The third router hears nothing of it, takes it for dead and closes it in the log. Were the kept bills to
/// come later than that, callers would have whole answers that nobody paid for.
#[tokio::test]
async fn a_router_that_one_peer_hears_has_its_bills_counted() -> Result<()> {
    LocalSet::new().run_until(half_heard()).await
}

async fn half_heard() -> Result<()> {
    let cluster = Cluster::start(marker("half-heard", "peers"), 8).await?;
    assert!(cluster.top_up(0, "loans", "first", 20_000).await?);
    let load = Load::start(&cluster, "loans", 6, 8);
    sleep(Duration::from_secs(1)).await;
    let cut = json!({"half_open": true});
    for link in ["r1-r2", "r2-r1", "r2-log"] {
        cluster.network.fault(link, &cut).await?;
    }
    sleep(Duration::from_secs(6)).await;
    for link in ["r1-r2", "r2-r1", "r2-log"] {
        cluster.network.fault(link, &json!({})).await?;
    }
    sleep(Duration::from_secs(1)).await;
    load.end().await?;
    cluster.idle(LIMIT).await?;
    let mut reading = Reading::default();
    reading.go_on(&cluster).await?;
    verify(&cluster).await?;
    Ok(())
}
