//! The configuration: operators who race, and how soon a change is in force.

use std::fs;
use std::process::Command;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use serde_json::Value;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::Plan;
use crate::verify::verify;
use crate::wait_for;

const LIMIT: Duration = Duration::from_secs(20);

/// How many races are run.
const ROUNDS: usize = 6;

/// How often a change is measured.
const CHANGES: usize = 20;

/// By when an accepted change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(12);

/// A change of a team's labels, based on a version of the document.
fn change(mark: &str, base: u64) -> Value {
    let body = json!({"team": {"labels": {"mark": mark}, "bearer": "team"}});
    let change = json!({"kind": "team", "name": "loans", "base": base, "body": body});
    json!({"format": 1, "by": mark, "changes": [change]})
}

/// Returns the version and the mark of the team's document at a router.
async fn document(cluster: &Cluster, at: usize) -> Result<(u64, String)> {
    let config = cluster.routers[at]
        .node
        .http
        .get("/v1/admin/config")
        .await?;
    let documents = config.json["documents"].as_array().context("documents")?;
    let mut teams = documents.iter().filter(|d| d["kind"] == "team");
    let team = teams.find(|d| d["name"] == "loans").context("the team")?;
    let mark = team["body"]["team"]["labels"]["mark"].as_str();
    let version = team["version"].as_u64().context("a version")?;
    Ok((version, mark.unwrap_or("").to_owned()))
}

/// Two operators read the same document, each changes it and publishes at the same moment, over a log that loses every
/// third answer. One is told that it is in force and the other that another change came first; no router ever shows the
/// loser's, nor goes back to an earlier one.
#[tokio::test]
async fn of_two_racing_operators_one_wins_everywhere() -> Result<()> {
    LocalSet::new().run_until(race()).await
}

async fn race() -> Result<()> {
    let cluster = Cluster::start(Plan::new("race", 3), 11).await?;
    let log = format!("http://{}", cluster.log.address);
    cluster
        .log
        .fault(&json!({"lose_answer": 0.3, "seed": 11}))
        .await?;
    for round in 0..ROUNDS {
        let (base, _) = document(&cluster, 0).await?;
        let mut operators = Vec::new();
        for name in ["anna", "binh"] {
            let mark = format!("{name}-{round}");
            let path = cluster.dir.join(format!("{mark}.json"));
            fs::write(&path, change(&mark, base).to_string())?;
            let mut put = Command::new(env!("CARGO_BIN_EXE_jasmineridge"));
            put.args(["--log", &log, "config", "put"]).arg(&path);
            let operator = tokio::task::spawn_blocking(move || put.output());
            operators.push((mark, operator));
        }
        let mut won = Vec::new();
        for (mark, operator) in operators {
            let output = operator.await??;
            match output.status.code() {
                Some(0) => won.push(mark),
                code => assert_eq!(code, Some(3), "{mark}: {output:?}"),
            }
        }
        assert_eq!(won.len(), 1, "{won:?}");
        for at in 0..cluster.routers.len() {
            wait_for("the change is in force", LIMIT, async || {
                // A loser's record takes a place in the log, and so a version, too.
                let (version, mark) = document(&cluster, at).await?;
                Ok(version > base && mark == won[0])
            })
            .await?;
        }
    }
    cluster.log.fault(&json!({})).await?;
    verify(&cluster).await?;
    Ok(())
}

/// An operator changes a selector, and seven routers must act on it; one of them has lost the log and hears of the change
/// from its peers alone.
#[tokio::test]
async fn a_change_is_in_force_on_seven_routers_in_time() -> Result<()> {
    LocalSet::new().run_until(in_force()).await
}

async fn in_force() -> Result<()> {
    let cluster = Cluster::start(Plan::new("seven", 7), 12).await?;
    measure(&cluster, "healthy").await?;
    cluster.cut_log(6, &json!({"half_open": true})).await?;
    measure(&cluster, "one-cut-off").await?;
    cluster.cut_log(6, &json!({})).await?;
    verify(&cluster).await?;
    Ok(())
}

/// Publishes changes and prints how long each took at the last router to have it.
async fn measure(cluster: &Cluster, state: &str) -> Result<()> {
    let mut all = Vec::new();
    for round in 0..CHANGES {
        let (base, _) = document(cluster, 0).await?;
        let mark = format!("{state}-{round}");
        let begun = Instant::now();
        cluster.publish(&change(&mark, base)).await?;
        let seen = (0..cluster.routers.len()).map(async |at| {
            let what = "the change is in force";
            wait_for(what, IN_FORCE, async || {
                Ok(document(cluster, at).await?.1 == mark)
            })
            .await
        });
        futures::future::try_join_all(seen).await?;
        all.push(begun.elapsed().as_millis());
        sleep(Duration::from_millis(50)).await;
    }
    all.sort_unstable();
    let (p50, max) = (all[all.len() / 2], all[all.len() - 1]);
    println!(
        "measure=config-in-force state={state} routers=7 changes={CHANGES} p50_ms={p50} max_ms={max}"
    );
    Ok(())
}
