//! Token events that one router relays a second, with the router's one core full.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use futures::future::join_all;
use jasmineridge::HttpClient;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::time::sleep;

use crate::probe::open;
use crate::probe::verdict;
use crate::start;
use crate::usage;

const AIM: f64 = 150_000.0;
const WARM: Duration = Duration::from_secs(3);
const LASTS: Duration = Duration::from_secs(8);

/// Threads that read answers: one alone would be full before the router is.
const READERS: usize = 3;

/// Tokens of an answer: long enough that requests hardly count.
const ANSWER: u64 = 4000;

pub(crate) async fn run() -> Result<()> {
    one("a token a write", "--token-ms 1", 300).await?;
    one("up to 32 tokens a write", "--token-ms 0", 48).await
}

async fn one(name: &str, options: &str, streams: usize) -> Result<()> {
    println!("\n== events: {streams} streams, {name}");
    let options = format!("{options} --prefill-us 0 --slots 4096");
    let engines = json!([{"count": 5, "options": options}]);
    let fleet = start("events", json!({"routers": 1, "engines": engines})).await?;
    let router = &fleet.routers[0];
    let events = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..READERS)
        .map(|_| {
            let (to, events, stop) = (router.address, events.clone(), stop.clone());
            thread::spawn(move || read(to, streams / READERS, &events, &stop))
        })
        .collect();
    sleep(WARM).await;
    let pid = router.process.id();
    let (count, cpu, begun) = (
        events.load(Ordering::Relaxed),
        usage::cpu(pid)?,
        Instant::now(),
    );
    sleep(LASTS).await;
    let lasted = begun.elapsed().as_secs_f64();
    let relayed = (events.load(Ordering::Relaxed) - count) as f64;
    let used = (usage::cpu(pid)? - cpu).as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    for reader in readers {
        reader.join().expect("no reader panics")?;
    }
    println!(
        "router's processor time            {:12.1} % of a core",
        used / lasted * 100.0
    );
    println!(
        "events a second                    {:12.0}",
        relayed / lasted
    );
    let rate = relayed / used;
    verdict(
        "events a second of one core",
        rate,
        "events/s",
        AIM,
        rate >= AIM,
    );
    Ok(())
}

/// Keeps so many streams open until it is told to stop.
fn read(to: SocketAddr, streams: usize, events: &AtomicU64, stop: &AtomicBool) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let http = HttpClient::new(None);
        let all = join_all((0..streams).map(|_| one_by_one(&http, to, events, stop))).await;
        all.into_iter().collect()
    })
}

async fn one_by_one(
    http: &HttpClient,
    to: SocketAddr,
    events: &AtomicU64,
    stop: &AtomicBool,
) -> Result<()> {
    while !stop.load(Ordering::Relaxed) {
        let mut stream = open(http, to, ANSWER).await?;
        stream.count(events).await?;
    }
    Ok(())
}
