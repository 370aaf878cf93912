//! The group commit's wait, on a log service that takes 300 appends a second.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;

use crate::probe::Times;
use crate::probe::offer;
use crate::probe::verdict;
use crate::start;

const RATE: u32 = 300;
const WARM: Duration = Duration::from_secs(3);
const LASTS: Duration = Duration::from_secs(15);
const AIM: f64 = 30.0;

pub(crate) async fn run() -> Result<()> {
    for routers in [1, 7] {
        println!("\n== commit: {RATE} requests/s over {routers} routers, a log of 300 appends/s");
        let engines = json!([{"count": 3, "options": "--token-ms 0 --prefill-us 0 --slots 4096"}]);
        let fleet = json!({"routers": routers, "engines": engines, "log": "--rate 300"});
        let fleet = start("commit", fleet).await?;
        let to: Vec<_> = fleet.routers.iter().map(|router| router.address).collect();
        offer(&to, RATE, WARM).await?;
        let samples = offer(&to, RATE, LASTS).await?;
        let claim = Times::of(samples.iter().map(|s| s.claim))?;
        claim.row("claim's wait");
        let p50 = claim.at(0.5);
        verdict("commit, p50", p50, "ms", AIM, p50 < AIM);
    }
    Ok(())
}
