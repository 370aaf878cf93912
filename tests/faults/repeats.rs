//! Routers of a platform with a metadata store, whose endpoints turn most requests away. Requests are counted where callers
//! send them, and retries where endpoints read them, while routers are killed, routers and endpoints are paused and links
//! stall.

use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use indexmap::IndexSet;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::pausing::DOWN;
use crate::pausing::Plan;
use crate::pausing::STALL;
use crate::pausing::Site;
use crate::platform::Router;

const ROUTERS: usize = 4;
const ENDPOINTS: usize = 24;
/// The interval of the requests.
const INTERVAL: Duration = Duration::from_millis(5);
/// Endpoints serve one of so many requests, and turn the others away.
const SERVED_EVERY: usize = 2;

const RATIO: f64 = 0.2;
const SPARE: f64 = 10.0;
const WINDOW: Duration = Duration::from_secs(2);
/// How far apart faults begin.
const FAULT_INTERVAL: Duration = Duration::from_secs(6);

/// How many endpoints are paused, and for how long.
const PAUSES: [(usize, Duration); 4] = [
    (ENDPOINTS / 2, Duration::from_millis(1500)),
    (ENDPOINTS, Duration::from_secs(3)),
    (ENDPOINTS / 2, Duration::from_secs(3)),
    (ENDPOINTS / 3, Duration::from_secs(4)),
];

/// How many endpoints are paused while all routers are killed one after another, and for how long.
const KILL_PAUSES: [(usize, Duration); 3] = [
    (ENDPOINTS / 2, Duration::from_secs(3)),
    (ENDPOINTS / 2, Duration::from_secs(3)),
    (ENDPOINTS / 2, Duration::from_secs(2)),
];

/// How many endpoints are paused, and for how long, beyond the time for which the platform would list them.
const LONG_PAUSES: [(usize, Duration); 2] = [
    (ENDPOINTS / 2, Duration::from_secs(12)),
    (ENDPOINTS / 2, Duration::from_secs(13)),
];

/// The routers that lose their links, and how.
const CUTS: [(Range<usize>, &str); 4] = [
    (0..2, r#"{"half_open": true}"#),
    (1..3, r#"{"drop_from": true}"#),
    (2..4, r#"{"cut": true}"#),
    (0..2, STALL),
];
const CUT: Duration = Duration::from_secs(3);

/// When requests were sent, and when endpoints read those that they had read before.
#[derive(Default)]
struct Seen {
    requests: Vec<Instant>,
    arrived: IndexSet<String>,
    retries: Vec<Instant>,
}

type Shared = Arc<Mutex<Seen>>;

fn lock(seen: &Shared) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Seen {
    /// Returns the window with the most retries beyond those that are allowed: the retries, and how many are allowed.
    ///
    /// The requests are counted in the window, in the one before and in the one half a window before, whichever has most.
    fn worst(&mut self) -> (usize, f64) {
        self.retries.sort_unstable();
        let count = |times: &[Instant], from: Instant| {
            times.partition_point(|at| *at < from + WINDOW) - times.partition_point(|at| *at < from)
        };
        let windows = self.retries.iter().map(|from| {
            let before = [Duration::ZERO, WINDOW / 2, WINDOW];
            let requests = before.map(|earlier| count(&self.requests, *from - earlier));
            let most = requests.into_iter().max().unwrap_or(0);
            (count(&self.retries, *from), RATIO * most as f64 + SPARE)
        });
        let excess = |(retries, allowed): &(usize, f64)| *retries as f64 - allowed;
        windows
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))
            .unwrap_or_default()
    }

    /// Records that an endpoint read a request, and returns the status line and the headers of its answer.
    fn answer(&mut self, id: &str) -> String {
        if !self.arrived.insert(id.to_owned()) {
            self.retries.push(Instant::now());
        }
        let served = (self.arrived.len() + self.retries.len()).is_multiple_of(SERVED_EVERY);
        let head = match served {
            true => "200 OK\r\nresponse-seal: 1",
            false => "503 Service Unavailable\r\nnot-executed: 1",
        };
        head.to_owned()
    }
}

/// A site whose retries are counted.
struct Counted {
    site: Site,
    seen: Shared,
}

impl Counted {
    /// Starts the routers on VMs from a number on, which no other test uses.
    async fn start(first_vm: usize) -> Result<Self> {
        let seen = Shared::default();
        let plan = Plan {
            first_vm,
            routers: ROUTERS,
            endpoints: ENDPOINTS,
            interval: INTERVAL,
            settings: json!({
                "retry_ratio": RATIO,
                "retry_spare": SPARE,
                "retry_window_ms": WINDOW.as_millis() as u64,
            }),
        };
        let shared = seen.clone();
        let site = Site::start(plan, move |_, id| lock(&shared).answer(id)).await?;
        Ok(Self { site, seen })
    }

    /// Sends requests while so many faults begin one after another, and checks the retries of the whole time.
    async fn play<F>(&self, faults: usize, disturb: F) -> Result<()>
    where
        F: Future<Output = Result<()>>,
    {
        self.play_for(faults as u32 * FAULT_INTERVAL, disturb).await
    }

    /// Sends requests while the site is disturbed for a time, and for a window after it, and checks the retries.
    async fn play_for<F>(&self, length: Duration, disturb: F) -> Result<()>
    where
        F: Future<Output = Result<()>>,
    {
        let record = || lock(&self.seen).requests.push(Instant::now());
        let requests = self.site.send_requests(length + WINDOW, record);
        let ((), done) = tokio::join!(requests, disturb);
        done?;
        self.check_retries();
        Ok(())
    }

    /// Checks that endpoints read no more retries in any window than are allowed.
    fn check_retries(&self) {
        let mut seen = lock(&self.seen);
        let (retries, allowed) = seen.worst();
        println!(
            "{} requests, {} retries, at most {retries} in a window, of {allowed} allowed",
            seen.requests.len(),
            seen.retries.len()
        );
        assert!(!seen.retries.is_empty(), "the endpoints are in trouble");
        assert!(retries as f64 <= allowed, "{retries} of {allowed}");
    }
}

/// Guards against retries beyond the limit of a service that come about only between real processes: requests that wait
/// in the sockets of paused routers, and retries that links hold back.
#[tokio::test]
async fn retries_keep_to_the_limit_when_processes_pause_and_links_stall() -> Result<()> {
    let counted = Counted::start(0).await?;
    let pauses = [3000, 1000].map(Duration::from_millis);
    let stalls = [1500, 800].map(Duration::from_millis);
    let site = &counted.site;
    let faults = async {
        for (pause, stall) in pauses.into_iter().zip(stalls) {
            sleep(FAULT_INTERVAL - pause).await;
            site.pause_routers(pause).await?;
            sleep(FAULT_INTERVAL - stall).await;
            site.disturb_links(0..ROUTERS, STALL, stall).await?;
        }
        Ok(())
    };
    counted.play(4, faults).await
}

/// Guards against retries beyond the limit of a service whose endpoints are paused, and read afterwards what routers gave
/// up meanwhile.
#[tokio::test]
async fn retries_keep_to_the_limit_when_endpoints_pause() -> Result<()> {
    let counted = Counted::start(20).await?;
    let site = &counted.site;
    let faults = async {
        for (count, length) in PAUSES {
            sleep(FAULT_INTERVAL - length).await;
            site.pause_endpoints(count, length).await;
        }
        Ok(())
    };
    counted.play(PAUSES.len(), faults).await
}

/// Guards against retries that nobody counts because some routers lose their links to the endpoints, and others carry out
/// the requests that these forward.
#[tokio::test]
async fn retries_keep_to_the_limit_when_requests_are_forwarded() -> Result<()> {
    let counted = Counted::start(40).await?;
    let site = &counted.site;
    let faults = async {
        for (routers, faults) in CUTS {
            sleep(FAULT_INTERVAL - CUT).await;
            site.disturb_links(routers, faults, CUT).await?;
        }
        Ok(())
    };
    counted.play(CUTS.len(), faults).await?;
    let mut logs = counted.site.routers.iter().map(Router::logged);
    let forwarded = logs.any(|log| log.is_ok_and(|log| log.contains("event=forwarded")));
    assert!(forwarded, "routers forward requests");
    Ok(())
}

/// Guards against retries that nobody counts because the routers that sent them were killed: paused endpoints read them
/// beside the retries of the next lives.
#[tokio::test]
async fn retries_keep_to_the_limit_when_routers_are_killed_while_endpoints_pause() -> Result<()> {
    let counted = Counted::start(60).await?;
    let site = &counted.site;
    let mut lives = Vec::new();
    let faults = async {
        for (count, length) in KILL_PAUSES {
            sleep(FAULT_INTERVAL - length).await;
            let kills = async {
                let interval = length / (ROUTERS as u32 + 1);
                for router in 0..ROUTERS {
                    sleep(interval.saturating_sub(DOWN)).await;
                    lives.push(site.restart(router).await?);
                }
                anyhow::Ok(())
            };
            let ((), killed) = tokio::join!(site.pause_endpoints(count, length), kills);
            killed?;
        }
        Ok(())
    };
    counted.play(KILL_PAUSES.len(), faults).await
}

/// Guards against retries that a router takes to have arrived although its endpoints were paused for longer than it waits
/// for a sign of them.
#[tokio::test]
async fn retries_keep_to_the_limit_when_endpoints_pause_for_long() -> Result<()> {
    let counted = Counted::start(70).await?;
    let site = &counted.site;
    let faults = async {
        for (count, length) in LONG_PAUSES {
            sleep(FAULT_INTERVAL).await;
            site.pause_endpoints(count, length).await;
        }
        Ok(())
    };
    let pauses: Duration = LONG_PAUSES.iter().map(|(_, length)| *length).sum();
    let quiet = FAULT_INTERVAL * LONG_PAUSES.len() as u32;
    counted.play_for(quiet + pauses, faults).await
}

/// Guards against requests that arrive twice, counted by nobody, because a router that carried them out for another one was
/// killed.
#[tokio::test]
async fn retries_keep_to_the_limit_when_routers_that_others_forward_to_are_killed() -> Result<()> {
    let counted = Counted::start(34).await?;
    let site = &counted.site;
    let mut lives = Vec::new();
    let faults = async {
        for (routers, faults) in CUTS {
            sleep(FAULT_INTERVAL - CUT).await;
            let others = (0..ROUTERS).filter(|router| !routers.contains(router));
            let others: Vec<_> = others.collect();
            let kills = async {
                for router in others {
                    sleep(CUT / 2 - DOWN).await;
                    lives.push(site.restart(router).await?);
                }
                anyhow::Ok(())
            };
            let (cut, killed) = tokio::join!(site.disturb_links(routers, faults, CUT), kills);
            cut.and(killed)?;
        }
        Ok(())
    };
    counted.play(CUTS.len(), faults).await
}
