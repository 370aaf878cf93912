//! Memory of a router with many open streams.

use std::time::Duration;

use anyhow::Result;
use futures::future::try_join_all;
use jasmineridge::HttpClient;
use serde_json::json;
use tokio::time::sleep;

use crate::probe::offer;
use crate::probe::open;
use crate::probe::verdict;
use crate::start;
use crate::usage;

const STREAMS: usize = 2000;

/// Streams that are opened at once: a router full of arrivals is another bench.
const STEP: usize = 50;

const AIM: f64 = 30.0;

pub(crate) async fn run() -> Result<()> {
    println!("\n== memory: {STREAMS} open streams");
    let engines = json!([{"count": 8, "options": "--token-ms 100 --prefill-us 0 --slots 4096"}]);
    let fleet = start("memory", json!({"routers": 1, "engines": engines})).await?;
    let router = &fleet.routers[0];
    offer(&[router.address], 50, Duration::from_secs(2)).await?;
    let pid = router.process.id();
    let before = usage::resident(pid)?;
    let http = HttpClient::new(None);
    let mut streams = Vec::new();
    while streams.len() < STREAMS {
        let opened = (0..STEP).map(|_| async {
            let mut stream = open(&http, router.address, 4000).await?;
            stream.first().await?;
            anyhow::Ok(stream)
        });
        streams.extend(try_join_all(opened).await?);
    }
    // Readers go on, as callers do; a stream that nobody reads would fill buffers that are not the router's to bound.
    let reading = streams
        .into_iter()
        .map(|stream| tokio::spawn(stream.finish()));
    let reading: Vec<_> = reading.collect();
    sleep(Duration::from_secs(5)).await;
    let after = usage::resident(pid)?;
    let open = fleet.status(0).await?["requests"].clone();
    for task in reading {
        task.abort();
    }
    println!("resident before and after          {before} and {after} KiB, {open} requests");
    let each = (after - before) as f64 / STREAMS as f64;
    verdict("memory a stream", each, "KiB", AIM, each <= AIM);
    Ok(())
}
