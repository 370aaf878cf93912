//! The whole path in separate processes: from a caller's address question to a billed answer, and what callers of every
//! kind of bad request see.

#![expect(
    clippy::disallowed_methods,
    reason = "a test has sockets, timers, tasks and processes of its own"
)]

#[path = "../standins/client.rs"]
mod client;
mod gone;
mod ledger;
mod logs;
mod once;
#[path = "../faults/process.rs"]
mod process;
mod program;
mod refused;
mod reply;
mod retries;
mod served;
mod site;
mod slow;
mod stopped;
mod suspects;

use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::sleep;

/// How many sites run at once: each has half a dozen processes.
static SITES: Semaphore = Semaphore::const_new(4);

/// How long something may take that is expected to come, on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something holds, for at most so long.
async fn wait_for<F>(what: &str, limit: Duration, mut holds: F) -> Result<Duration>
where
    F: AsyncFnMut() -> Result<bool>,
{
    let start = Instant::now();
    while !holds().await.unwrap_or(false) {
        if start.elapsed() > limit {
            bail!("{what} does not hold after {limit:?}");
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(start.elapsed())
}
