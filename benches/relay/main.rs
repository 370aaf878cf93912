//! What a router costs: time to the first token, token events a second, memory a stream, and the group commit's wait.
//!
//! Each part starts a fleet of real processes on this machine, and asks its engines directly as well where the two are to
//! be compared. `cargo bench --bench relay -- latency` runs one part.

#![expect(
    clippy::disallowed_methods,
    reason = "a bench has clocks, threads and processes of its own"
)]

mod commit;
mod events;
#[expect(dead_code, reason = "the scenarios use more of it than the benches")]
#[path = "../../tests/fleet/mod.rs"]
mod fleet;
mod latency;
mod memory;
mod probe;
mod usage;

use anyhow::Result;
use jasmineridge::Scenario;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Builder;

use fleet::Fleet;

fn main() -> Result<()> {
    let wanted: Vec<_> = std::env::args().skip(1).collect();
    let named: Vec<_> = wanted.iter().filter(|arg| !arg.starts_with('-')).collect();
    let runs = |name: &str| named.is_empty() || named.iter().any(|arg| *arg == name);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        if runs("latency") {
            latency::run().await?;
        }
        if runs("events") {
            events::run().await?;
        }
        if runs("memory") {
            memory::run().await?;
        }
        if runs("commit") {
            commit::run().await?;
        }
        Ok(())
    })
}

/// Starts a fleet for one account whose limits and budget no bench reaches.
async fn start(name: &str, fleet: Value) -> Result<Fleet> {
    let mut spec = json!({
        "budgets": {"loans": 1_000_000_000_000_u64},
        "limits": {"loans": {"rate": 1_000_000, "burst": 1_000_000, "concurrency": 100_000}},
        "concurrency": 4096,
        "settings": {"limits": {"connections": 8192, "queue": 4096}},
    });
    for (field, value) in fleet.as_object().into_iter().flatten() {
        spec[field] = value.clone();
    }
    let scenario = json!({
        "name": format!("bench-{name}"), "seed": 1, "fleet": spec,
        "accounts": [{"name": "loans", "key": "loans", "team": "loans", "phases": []}],
    });
    Fleet::start(&Scenario::parse(&scenario.to_string())?).await
}
