//! A router that stands still past its closing, and wakes.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::caller::Ask;
use crate::cluster::Cluster;
use crate::cluster::Plan;
use crate::verify::Reading;
use crate::verify::verify;
use crate::wait_for;

const LIMIT: Duration = Duration::from_secs(30);

/// A hypervisor stops an entry VM for half a minute and lets it go on as if nothing had happened. Meanwhile the others
/// closed it and gave its tokens back. A caller that held on to its stream sees it break off; were it told that it is
/// whole, nobody would have paid for it. A disbursement that lay in the sleeper's socket is not recorded a second time.
#[tokio::test]
async fn a_frozen_router_that_wakes_bills_and_repeats_nothing() -> Result<()> {
    LocalSet::new().run_until(frozen()).await
}

async fn frozen() -> Result<()> {
    let cluster = Cluster::start(Plan::new("frozen", 3), 2).await?;
    assert!(cluster.top_up(1, "loans", "first", 20_000).await?);
    let sleeper = &cluster.routers[0];
    let address = sleeper.node.address;
    let incarnation = sleeper.incarnation().await?;
    // Its end comes while the router sleeps.
    let stream = Ask::chat("loans", "frozen-stream", 60);
    let journal = cluster.journal.clone();
    let reader = tokio::task::spawn_local(async move { journal.ask(address, &stream, 1).await });
    let tokens = || cluster.journal.tokens("frozen-stream");
    wait_for("the stream is open", LIMIT, async || Ok(tokens() > 10)).await?;
    // The service takes its time, so that the call's answer finds its router asleep.
    let slow = json!({"delay_ms": 400});
    cluster.service.http.post("/_faults", &slow).await?;
    let begun = send(&cluster, address, Ask::call("loans", "frozen-begun"));
    sleep(Duration::from_millis(200)).await;
    sleeper.node.process.signal("STOP")?;
    let lying = send(&cluster, address, Ask::call("loans", "frozen-lying"));
    cluster.unlist("router-0").await?;
    let mut reading = Reading::default();
    wait_for("the sleeper is closed", LIMIT, async || {
        reading.go_on(&cluster).await?;
        Ok(!reading.ledger.is_open(incarnation))
    })
    .await?;
    // The callers of the calls give up and ask another router, while the first tries lie in the sleeper's socket.
    for key in ["frozen-begun", "frozen-lying"] {
        let others = [cluster.routers[1].node.address];
        let last = cluster
            .journal
            .deliver(&others, &Ask::call("loans", key), 2, LIMIT)
            .await;
        println!("key={key} whole={} kind={:?}", last.whole, last.kind());
    }
    // Past the gap from which a router knows that it slept.
    sleep(Duration::from_secs(2)).await;
    sleeper.node.process.signal("CONT")?;
    let whole = reader.await?;
    assert!(!whole.whole, "the stream of a closed router ended as whole");
    let begun = begun.await?;
    let lying = lying.await?;
    println!("begun={} lying={}", begun.kind(), lying.kind());
    let reading = verify(&cluster).await?;
    let key = reading.key("loans", "frozen-stream");
    assert!(key.is_none_or(|key| key.bill.is_none()), "{key:?}");
    // It serves again, as a new incarnation.
    let ask = Ask::chat("loans", "frozen-after", 5);
    let last = cluster.journal.deliver(&[address], &ask, 1, LIMIT).await;
    assert!(last.whole, "{last:?}");
    verify(&cluster).await?;
    Ok(())
}

fn send(
    cluster: &Cluster,
    router: std::net::SocketAddr,
    ask: Ask,
) -> tokio::task::JoinHandle<crate::caller::Try> {
    let journal = cluster.journal.clone();
    tokio::task::spawn_local(async move { journal.ask(router, &ask, 1).await })
}
