//! Endpoints in trouble, counted by what arrives at their sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use futures::future::join_all;
use hyper::Method;
use indexmap::IndexMap;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::PATIENCE;
use crate::site::Ask;
use crate::site::Plan;
use crate::site::Site;
use crate::site::change;
use crate::wait_for;

const ENDPOINTS: usize = 3;
const REQUESTS: usize = 600;
/// Requests that are in progress at a time.
const TOGETHER: usize = 30;

/// The retries that all routers may send: for each request, and more in each window.
const RATIO: f64 = 0.1;
const SPARE: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(10);

/// How often each request arrived at the endpoints.
type Arrivals = Arc<Mutex<IndexMap<String, usize>>>;

/// How an endpoint answers a request.
enum Answer {
    Serve,
    TurnAway,
    /// It closes the connection on which it got the request.
    HangUp,
}

impl Answer {
    /// Picks an answer for the next request: of five, two are turned away and one is broken off.
    fn of(count: usize) -> Self {
        match count % 5 {
            0 | 2 => Self::TurnAway,
            3 => Self::HangUp,
            _ => Self::Serve,
        }
    }
}

async fn start_endpoint(arrivals: Arrivals) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, arrivals.clone()));
        }
    });
    Ok(address)
}

/// Answers the requests on a connection, none of which has a body.
async fn serve(mut stream: TcpStream, arrivals: Arrivals) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        head.clear();
        let answer = match record(&arrivals, &text) {
            Answer::Serve => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            Answer::TurnAway => "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
            Answer::HangUp => return,
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Counts an arrival and decides its answer. A probe of whether the endpoint lives has no key, and is no arrival.
fn record(arrivals: &Arrivals, head: &str) -> Answer {
    let name = "idempotency-key: ";
    let Some(key) = head.lines().find_map(|line| line.strip_prefix(name)) else {
        return Answer::Serve;
    };
    let mut all = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
    let before = all.values().sum();
    *all.entry(key.to_owned()).or_default() += 1;
    Answer::of(before)
}

/// Returns a request that no other one is like, so that none counts as one that crashes endpoints.
fn ask(key: &str) -> Ask {
    Ask {
        method: Method::GET,
        path: format!("/v1/services/tiles/{key}"),
        body: Vec::new(),
        ..Ask::read(key)
    }
}

/// Adds a pool of endpoints that turn requests away or hang up.
async fn add_pool(site: &Site, arrivals: &Arrivals) -> Result<()> {
    for number in 0..ENDPOINTS {
        let address = start_endpoint(arrivals.clone()).await?;
        let labels = json!({"role": "tiles"});
        site.show(&format!("tiles-{number}"), &address.to_string(), labels)
            .await?;
    }
    let kind = json!({"service": {"name": "tiles", "price": 1}});
    let rule = json!({"order": 40, "when": {"account": ["yard"], "service": ["tiles"]}, "team": "loans", "pool": "tiles"});
    let changes = [
        change(
            "pool",
            "tiles",
            0,
            json!({"kind": kind, "select": {"role": ["tiles"]}}),
        ),
        change("rule", "loans-tiles", 0, rule),
    ];
    site.publish(&json!({"format": 1, "by": "test", "changes": changes}))
        .await?;
    for router in &site.routers {
        wait_for("the router has the pool", PATIENCE, async || {
            let status = router.status().await?;
            let mut pools = status["pools"].as_array().into_iter().flatten();
            let full = |pool: &serde_json::Value| {
                pool["pool"] == "tiles"
                    && pool["endpoints"]
                        .as_array()
                        .is_some_and(|e| e.len() == ENDPOINTS)
            };
            Ok(pools.any(full))
        })
        .await?;
    }
    Ok(())
}

/// Guards against sends that no retry budget counts, such as those of a client library that repeats a request by itself,
/// and against more retries than the routers together may send.
#[tokio::test]
async fn endpoints_receive_no_more_than_was_dispatched_and_allowed() -> Result<()> {
    let plan = Plan {
        routers: 2,
        ..Plan::new("retries")
    };
    let site = Site::start(plan).await?;
    let arrivals = Arrivals::default();
    add_pool(&site, &arrivals).await?;
    let begun = Instant::now();
    let keys: Vec<_> = (0..REQUESTS).map(|n| format!("t{n}")).collect();
    for (round, keys) in keys.chunks(TOGETHER).enumerate() {
        let router = &site.routers[round % 2];
        let asks = keys.iter().map(|key| ask(key));
        join_all(asks.map(async |ask| router.ask(&ask).await)).await;
    }
    let counts = arrivals
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let arrived: usize = counts.values().sum();
    let repeats = arrived - counts.len();
    let mut dispatched = 0;
    let mut retries = 0;
    for router in &site.routers {
        let logged = router.logged()?;
        let to_pool = |line: &&str| line.contains("endpoint=tiles-");
        let lines = || logged.lines().filter(to_pool);
        dispatched += lines()
            .filter(|line| line.contains("event=dispatch"))
            .count();
        retries += lines().filter(|line| line.contains("event=retry ")).count();
    }
    println!(
        "{arrived} arrivals, {dispatched} dispatched, {repeats} repeats, {retries} logged retries"
    );
    assert!(arrived <= dispatched, "{arrived} of {dispatched}");
    assert!(repeats <= retries, "{repeats} of {retries}");
    assert!(repeats > 0, "the endpoints are in trouble");
    let windows = (begun.elapsed().as_secs_f64() / WINDOW.as_secs_f64()).ceil();
    assert!(repeats as f64 <= RATIO * REQUESTS as f64 + SPARE * windows);
    Ok(())
}
