//! Each scenario of `scenarios/` end to end: its fleet as real processes, its faults at their times, and callers that the
//! load program drives. What must never happen is asserted; how well callers were served is printed, since it depends on
//! the machine.

#![expect(
    clippy::disallowed_methods,
    reason = "a test has files, timers and processes of its own"
)]

#[path = "../fleet/mod.rs"]
mod fleet;
mod table;

use std::fs;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use jasmineridge::Scenario;
use serde_json::Value;
use tokio::sync::Semaphore;

use fleet::Fleet;
use fleet::Process;

/// How many fleets run at once: each has up to two dozen processes.
static FLEETS: Semaphore = Semaphore::const_new(3);

/// Runs a scenario and checks what must hold in any.
async fn run(name: &str) -> Result<()> {
    let _permit = FLEETS.acquire().await?;
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("scenarios").join(format!("{name}.json"));
    let text = fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    let scenario = Scenario::parse(&text)?;
    println!("scenario={name} seed={}", scenario.seed);
    let mut fleet = Fleet::start(&scenario).await?;
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(&scenario.name);
    let arguments = fleet.arguments();
    let load = Process::load(&dir, &path, &arguments);
    let (report, faults) = tokio::join!(load, fleet.bring_faults());
    faults?;
    let report = report?;
    println!("{}", table::table(&report));
    check(&report);
    Ok(())
}

/// Checks the figures that must be nought in each run, whatever goes wrong in it.
fn check(report: &Value) {
    assert_eq!(report["wrong_answers"], 0, "{report:#}");
    let found = &report["found"];
    assert_eq!(found["unread"], serde_json::json!([]));
    for figure in [
        "overspend_billed",
        "overspend_used",
        "billed_twice",
        "billed_never",
        "ran_twice",
        "ran_refused",
    ] {
        assert_eq!(found[figure], 0, "{figure}: {found:#}");
    }
}

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(
            #[tokio::test]
            async fn $name() -> Result<()> {
                run(stringify!($name)).await
            }
        )*
    };
}

scenarios!(
    healthy,
    burst,
    hot_caller,
    hot_key,
    slow_endpoint,
    long_among_short,
    overload,
    router_death,
    budget_healthy,
    budget_parted,
    budget_parted_available,
    log_outage,
);
