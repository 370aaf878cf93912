//! Time to the first token through a router, against the engines asked directly in the same seconds.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;

use crate::probe::Times;
use crate::probe::offer;
use crate::probe::verdict;
use crate::start;
use crate::usage;

const RATE: u32 = 300;
const WARM: Duration = Duration::from_secs(3);
const LASTS: Duration = Duration::from_secs(20);

pub(crate) async fn run() -> Result<()> {
    println!(
        "\n== latency: {RATE} requests/s through one router, {RATE}/s to its engines directly"
    );
    let engines = json!([{"count": 3, "options": "--token-ms 0 --prefill-us 0 --slots 4096"}]);
    let fleet = start("latency", json!({"routers": 1, "engines": engines})).await?;
    let router = [fleet.routers[0].address];
    let direct: Vec<_> = fleet.engines.iter().map(|engine| engine.address).collect();
    offer(&router, RATE, WARM).await?;
    let pid = fleet.routers[0].process.id();
    let before = usage::cpu(pid)?;
    let (through, direct) =
        tokio::try_join!(offer(&router, RATE, LASTS), offer(&direct, RATE, LASTS))?;
    let used = usage::cpu(pid)? - before;
    let first = Times::of(through.iter().map(|s| s.first))?;
    let claim = Times::of(through.iter().map(|s| s.claim))?;
    let relay = Times::of(through.iter().map(|s| s.first.saturating_sub(s.claim)))?;
    let direct = Times::of(direct.iter().map(|s| s.first))?;
    direct.row("first token, engine directly");
    first.row("first token, through the router");
    claim.row("of that, the claim's wait");
    relay.row("of that, all else");
    for (name, quantile, aim) in [("p50", 0.5, 1.0), ("p99", 0.99, 5.0)] {
        let added = first.at(quantile) - direct.at(quantile);
        println!("added in all, {name:<20} {added:12.3} ms");
        let share = relay.at(quantile) - direct.at(quantile);
        verdict(
            &format!("relay's share, {name}"),
            share,
            "ms",
            aim,
            share < aim,
        );
    }
    let share = used.as_secs_f64() / LASTS.as_secs_f64() * 100.0;
    println!("router's processor time            {share:12.1} % of a core");
    Ok(())
}
