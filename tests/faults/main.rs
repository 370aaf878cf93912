//! Real processes under faults: routers are killed, frozen and parted, the log goes down, and afterwards the log alone,
//! the endpoints and the callers are asked what happened.

#![expect(
    clippy::disallowed_methods,
    reason = "a test has sockets, timers, tasks and processes of its own"
)]
mod brittle;
mod broken_answers;
mod broken_framing;
mod broken_heads;
mod bytes_without_end;
mod caller;
#[path = "../standins/client.rs"]
mod client;
mod cluster;
mod crash_site;
mod crashing_parts;
mod crashing_requests;
mod descriptors;
mod dying_endpoints;
mod early_answers;
mod endless_answers;
mod fresh;
mod frozen;
mod killed;
mod left_streams;
mod limited;
mod load;
mod network;
mod odd_entries;
mod operators;
mod out_of_step;
mod outage;
mod parted;
mod paused;
mod pausing;
mod platform;
mod plays;
mod poison;
mod process;
mod received;
mod repeats;
mod slow_readers;
mod stopped;
mod store;
mod stream_soak;
mod twice;
mod unfinished_answers;
mod verify;
mod versions;
mod without_endpoints;

use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::sleep;

/// How many clusters run at once: each has about a dozen processes.
static CLUSTERS: Semaphore = Semaphore::const_new(4);

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
