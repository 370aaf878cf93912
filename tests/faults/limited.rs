//! Routers of a platform with a metadata store, whose endpoints announce how many requests a second they take from all
//! routers together, and are paused. Requests are counted where endpoints read them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::pausing::Plan;
use crate::pausing::STALL;
use crate::pausing::Site;

const ENDPOINTS: usize = 4;
/// The interval of the requests.
const INTERVAL: Duration = Duration::from_millis(10);
/// When endpoints begin to announce their limits.
const LIMITED_AT: Duration = Duration::from_secs(2);
/// How long routers have until the limit must hold.
const SETTLE: Duration = Duration::from_secs(3);
/// The window in which the requests to a limited endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long the endpoints go on between two faults.
const CALM: Duration = Duration::from_secs(5);
/// How long all endpoints are paused.
const PAUSES: [Duration; 3] = [
    Duration::from_secs(3),
    Duration::from_secs(7),
    Duration::from_secs(3),
];

/// When each endpoint read requests.
#[derive(Default)]
struct Reads {
    /// When the requests began.
    start: OnceLock<Instant>,
    times: Mutex<[Vec<Instant>; ENDPOINTS]>,
}

impl Reads {
    fn lock(&self) -> MutexGuard<'_, [Vec<Instant>; ENDPOINTS]> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint read a request, and returns the status line and the headers of its answer.
    fn answer(&self, endpoint: usize, rate: f64) -> String {
        let now = Instant::now();
        self.lock()[endpoint].push(now);
        let start = self.start.get();
        let limit = match start.is_some_and(|start| now >= *start + LIMITED_AT) {
            true => format!("\r\nserver-limit: {rate}"),
            false => String::new(),
        };
        format!("200 OK\r\nresponse-seal: 1{limit}")
    }

    /// Returns how many requests endpoints have read since their limits must hold.
    fn since_settled(&self) -> usize {
        let from = *self.start.get_or_init(Instant::now) + LIMITED_AT + SETTLE;
        let all = self.lock();
        let times = all.iter().flatten();
        times.filter(|at| **at >= from).count()
    }

    /// Returns the most requests that each endpoint read in a window since its limit must hold.
    fn most(&self) -> [usize; ENDPOINTS] {
        let from = *self.start.get_or_init(Instant::now) + LIMITED_AT + SETTLE;
        let mut all = self.lock();
        all.each_mut().map(|times| {
            times.sort_unstable();
            let held = &times[times.partition_point(|at| *at < from)..];
            let within = |first: usize| held.partition_point(|at| *at < held[first] + WINDOW);
            let counts = (0..held.len()).map(|first| within(first) - first);
            counts.max().unwrap_or(0)
        })
    }
}

/// Disturbs a site whose endpoints are limited to a rate, and checks that they read no more than they take. Returns the
/// share of it that they read since the limit must hold.
async fn play<F>(first_vm: usize, routers: usize, rate: f64, disturb: F) -> Result<f64>
where
    F: AsyncFn(&Site) -> Result<()>,
{
    let reads = Arc::new(Reads::default());
    let plan = Plan {
        first_vm,
        routers,
        endpoints: ENDPOINTS,
        interval: INTERVAL,
        settings: json!({"retry_ratio": 0.2, "retry_spare": 10.0, "retry_window_ms": 2000}),
    };
    let shared = reads.clone();
    let site = Site::start(plan, move |endpoint, _| shared.answer(endpoint, rate)).await?;
    reads.start.get_or_init(Instant::now);
    let length: Duration = PAUSES.iter().map(|pause| *pause + CALM).sum();
    let faults = async {
        sleep(LIMITED_AT + SETTLE).await;
        disturb(&site).await
    };
    let requests = site.send_requests(LIMITED_AT + SETTLE + length, || {});
    let ((), done) = tokio::join!(requests, faults);
    done?;
    let most = reads.most();
    let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
    let read = reads.since_settled() as f64;
    let share = read / (rate * length.as_secs_f64() * ENDPOINTS as f64);
    println!(
        "{routers} routers, {rate} a second: at most {most:?} of {allowed} in a window, {share:.3} of all"
    );
    assert!(
        most.iter().all(|most| *most as f64 <= allowed),
        "{most:?} of {allowed}"
    );
    Ok(share)
}

async fn pause_endpoints(site: &Site) -> Result<()> {
    for length in PAUSES {
        sleep(CALM).await;
        site.pause_endpoints(ENDPOINTS, length).await;
    }
    Ok(())
}

/// Guards against requests that wait in the sockets of paused endpoints, which read them at once beside as many new ones as
/// they announced to take.
#[tokio::test]
async fn paused_endpoints_read_no_more_than_they_announced_to_take() -> Result<()> {
    play(10, 3, 3.1, pause_endpoints).await.map(drop)
}

/// Guards against the same where more routers have a part of a higher limit.
#[tokio::test]
async fn paused_endpoints_with_a_higher_limit_read_no_more_than_they_announced_to_take()
-> Result<()> {
    play(13, 7, 10.0, pause_endpoints).await.map(drop)
}

/// Guards against requests that links to limited endpoints hold back and deliver at once.
#[tokio::test]
async fn limits_hold_when_links_to_endpoints_stall() -> Result<()> {
    let stall = async |site: &Site| {
        for length in PAUSES {
            sleep(CALM).await;
            site.disturb_links(0..7, STALL, length).await?;
        }
        Ok(())
    };
    play(24, 7, 3.1, stall).await.map(drop)
}

/// Guards against limited endpoints that get less than they announced to take although nothing is in trouble.
#[tokio::test]
async fn limited_endpoints_are_used_on_calm_days() -> Result<()> {
    let share = play(44, 3, 3.1, async |_| Ok(())).await?;
    assert!(share >= 0.8, "{share}");
    Ok(())
}
