//! What operators and the platform do on purpose: planned stops, and VMs that leave.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::caller::Ask;
use crate::caller::millis;
use crate::cluster::Cluster;
use crate::cluster::Plan;
use crate::load::Load;
use crate::verify::verify;
use crate::wait_for;

const LIMIT: Duration = Duration::from_secs(30);

/// From when on a leaving endpoint must get nothing new.
const LEFT: u64 = 3_000;

/// An operator restarts an entry VM in the middle of the day. Those who read an answer from it read it to its end; those
/// who come late are told that nothing ran and where to go; the process ends by itself, with nothing cut off.
#[tokio::test]
async fn a_planned_stop_cuts_no_stream() -> Result<()> {
    LocalSet::new().run_until(stopped()).await
}

async fn stopped() -> Result<()> {
    let mut cluster = Cluster::start(Plan::new("stopped", 3), 9).await?;
    assert!(cluster.top_up(0, "loans", "first", 50_000).await?);
    let load = Load::start(&cluster, "loans", 6, 9);
    let address = cluster.routers[0].node.address;
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let ask = Ask::chat("loans", &format!("stopped-{number}"), 100);
            let journal = cluster.journal.clone();
            tokio::task::spawn_local(async move { journal.ask(address, &ask, 1).await })
        })
        .collect();
    let journal = cluster.journal.clone();
    wait_for("all streams are open", LIMIT, async || {
        Ok((0..6).all(|n| journal.tokens(&format!("stopped-{n}")) > 5))
    })
    .await?;
    cluster.routers[0].node.process.signal("TERM")?;
    sleep(Duration::from_millis(200)).await;
    let late = journal
        .ask(address, &Ask::chat("loans", "stopped-late", 5), 1)
        .await;
    assert_eq!((late.kind(), late.ran()), ("not-serving", "no"), "{late:?}");
    let others = [1, 2].map(|at| cluster.routers[at].node.address.to_string());
    let instead = late.problem["instead"]
        .as_str()
        .context("another address")?;
    assert!(others.contains(&instead.to_owned()), "{instead}");
    let advice = cluster.routers[1].node.http.get("/v1/address").await?.json;
    assert!(
        !advice.to_string().contains(&address.to_string()),
        "{advice}"
    );
    for stream in streams {
        let last = stream.await?;
        assert!(last.whole, "{last:?}");
    }
    let process = &mut cluster.routers[0].node.process;
    wait_for("the process ends", LIMIT, async || {
        Ok(process.ended()?.is_some())
    })
    .await?;
    assert_eq!(process.ended()?.and_then(|s| s.code()), Some(0));
    load.end().await?;
    // No stream was open at the stop that did not end whole.
    let cut = journal.tries();
    let cut = cut.iter().filter(|t| t.status == 200 && !t.whole).count();
    assert_eq!(cut, 0, "streams cut off by a planned stop");
    let reading = verify(&cluster).await?;
    let open = reading.ledger.routers().filter(|(_, r)| !r.closed).count();
    assert_eq!(open, 2, "the stopped router gave back what it held");
    Ok(())
}

/// The platform is about to take an engine's VM away and marks it as leaving. What runs there goes on to its end, and
/// after a few seconds nothing new is sent there.
#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_work() -> Result<()> {
    LocalSet::new().run_until(leaving()).await
}

async fn leaving() -> Result<()> {
    let cluster = Cluster::start(Plan::new("leaving", 3), 10).await?;
    assert!(cluster.top_up(0, "loans", "first", 50_000).await?);
    let load = Load::start(&cluster, "loans", 9, 10);
    sleep(Duration::from_secs(2)).await;
    let before = runs(&cluster).await?;
    ensure!(!before.is_empty(), "it had work");
    let left = millis();
    cluster.leave("engine-0").await?;
    sleep(Duration::from_secs(6)).await;
    let last = load.end().await?;
    assert!(last.iter().all(|t| t.whole), "{last:?}");
    let after = runs(&cluster).await?;
    let latest = after.iter().max().context("runs")?;
    println!(
        "measure=leaving last_new_work_ms={}",
        latest.saturating_sub(left)
    );
    assert!(
        *latest < left + LEFT,
        "work {} ms after it left",
        latest - left
    );
    verify(&cluster).await?;
    Ok(())
}

/// Returns when each run of the first engine began.
async fn runs(cluster: &Cluster) -> Result<Vec<u64>> {
    let runs = cluster.engines[0].http.get("/v1/runs").await?.json;
    let runs = runs.as_array().context("runs")?;
    Ok(runs
        .iter()
        .filter_map(|r| r["started_ms"].as_u64())
        .collect())
}
