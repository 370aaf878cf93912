//! Routers of a platform with a metadata store, and requests that crash each endpoint that begins to run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use anyhow::ensure;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::store::Store;
use crate::wait_for;

const SERVICE: &str = "records";
/// The last segment of the path of a request that crashes endpoints.
const POISON: &str = "poison";

/// How many crashes a request may cause, and how many of its attempts may reach endpoints later than [`NOTICE`] after
/// the last of them.
const MAX_CRASHES: usize = 3;
const MAX_LATE: usize = 3;
/// How long the routers have to tell each other of a request that crashes endpoints.
const NOTICE: Duration = Duration::from_secs(2);

const SERVICE_TIME: Duration = Duration::from_millis(10);
/// How long an endpoint is down after a crash.
const DOWNTIME: Duration = Duration::from_millis(1300);
const SOUND_INTERVAL: Duration = Duration::from_millis(12);
/// For how long sound requests are sent alone, and then beside the others.
const SOUND_PERIOD: Duration = Duration::from_secs(2);
const POISON_PERIOD: Duration = Duration::from_secs(10);
/// The share of sound requests that must be served again in the last part of the play.
const MIN_SERVED: f64 = 0.97;
const LAST_PART: Duration = Duration::from_secs(3);

/// What endpoints saw of the requests that crash them.
#[derive(Default)]
struct Seen {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
}

type Shared = Arc<Mutex<Seen>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs an endpoint that is back under the same name after each crash.
async fn run_endpoint(mut listener: TcpListener, seen: Shared) -> Result<()> {
    let address = listener.local_addr()?;
    loop {
        // Dropping the set ends all connections.
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    connections.spawn(serve(stream, seen.clone()));
                }
                Some(Ok(Ok(Served::Crashed))) = connections.join_next() => break,
            }
        }
        drop(listener);
        drop(connections);
        sleep(DOWNTIME).await;
        listener = TcpListener::bind(address).await?;
    }
}

/// How the service of a connection ended.
enum Served {
    Crashed,
}

async fn serve(mut stream: TcpStream, seen: Shared) -> Result<Served> {
    stream.set_zero_linger()?;
    loop {
        let head = read_head(&mut stream).await?;
        let name = header(&head, "request-id").unwrap_or("none");
        let is_poison = head.contains(&format!("/{SERVICE}/{POISON} "));
        if is_poison {
            lock(&seen).arrivals.push(Instant::now());
        }
        sleep(SERVICE_TIME).await;
        if is_poison {
            lock(&seen).crashes.push(Instant::now());
            return Ok(Served::Crashed);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// One play.
#[derive(Clone, Copy)]
struct Play {
    /// The first VM; no other test uses it and those after it.
    vm: usize,
    routers: usize,
    endpoints: usize,
    /// How often the request that crashes endpoints is sent again.
    interval: Duration,
}

struct Site {
    routers: Vec<Router>,
    seen: Shared,
    store: Store,
    at: SocketAddr,
}

/// What came of a sound request.
struct Sound {
    sent: Instant,
    served: bool,
}

fn settings() -> serde_json::Value {
    json!({"retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 2000})
}

impl Site {
    async fn start(play: Play) -> Result<Self> {
        let (store, at) = Store::start().await?;
        put_config(&store, &[route(SERVICE, "idempotent")]);
        let seen = Shared::default();
        for number in 0..play.endpoints {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            put_endpoint(&store, &format!("endpoint-{number}"), SERVICE, address);
            tokio::spawn(run_endpoint(listener, seen.clone()));
        }
        let routers = (0..play.routers).map(|n| Router::start(play.vm + n, at, &settings()));
        let site = Self {
            routers: routers.collect::<Result<_>>()?,
            seen,
            store,
            at,
        };
        wait_for("all routers are listed", LIMIT, async || {
            Ok(site.store.count("keyed.routers") == play.routers)
        })
        .await?;
        for router in &site.routers {
            router.wait_serving(SERVICE).await?;
        }
        Ok(site)
    }

    /// Sends sound requests at a steady rate, and the others at theirs, to one router after the other.
    async fn run(&self, play: Play) -> Vec<Sound> {
        let fronts: Vec<_> = self.routers.iter().map(|router| router.front).collect();
        let start = Instant::now();
        let mut sound = interval(SOUND_INTERVAL);
        let mut poison = interval(play.interval);
        let mut callers = JoinSet::new();
        let mut others = JoinSet::new();
        let mut number = 0;
        while start.elapsed() < SOUND_PERIOD + POISON_PERIOD {
            number += 1;
            let front = fronts[number % fronts.len()];
            tokio::select! {
                _ = sound.tick() => callers.spawn(send_sound(front, number)),
                _ = poison.tick() => {
                    if start.elapsed() >= SOUND_PERIOD {
                        others.spawn(send_poison(front, number));
                    }
                    continue;
                }
            };
        }
        others.join_all().await;
        callers.join_all().await
    }
}

async fn send_sound(front: SocketAddr, number: usize) -> Sound {
    let sent = Instant::now();
    let path = format!("{SERVICE}/{number}");
    let answer = ask(front, &path, &format!("sound-{number}")).await;
    Sound {
        sent,
        served: answer.is_ok_and(|answer| answer.contains(" 200 ")),
    }
}

async fn send_poison(front: SocketAddr, number: usize) -> Option<String> {
    let path = format!("{SERVICE}/{POISON}");
    let answer = ask(front, &path, &format!("poison-{number}")).await;
    let answer = answer.ok()?;
    Some(answer.lines().next()?.to_owned())
}

fn share(requests: &[Sound], is_counted: impl Fn(&Sound) -> bool) -> f64 {
    let counted: Vec<_> = requests.iter().filter(|sound| is_counted(sound)).collect();
    let served = counted.iter().filter(|sound| sound.served).count();
    served as f64 / counted.len().max(1) as f64
}

/// Plays a request that crashes endpoints, and checks how often it reaches them and what others are served.
async fn check(play: Play) -> Result<()> {
    let site = Site::start(play).await?;
    let start = Instant::now();
    let requests = site.run(play).await;
    let (arrivals, crashes) = {
        let seen = lock(&site.seen);
        (seen.arrivals.clone(), seen.crashes.clone())
    };
    let third = crashes.get(MAX_CRASHES - 1).copied();
    let late = arrivals
        .iter()
        .filter(|at| third.is_some_and(|third| **at > third + NOTICE))
        .count();
    let before = share(&requests, |sound| sound.sent < start + SOUND_PERIOD);
    let end = start + SOUND_PERIOD + POISON_PERIOD;
    let after = share(&requests, |sound| sound.sent > end - LAST_PART);
    println!(
        "measure=crashing-requests routers={} endpoints={} arrivals={} crashes={} late={late} before={before:.3} after={after:.3}",
        play.routers,
        play.endpoints,
        arrivals.len(),
        crashes.len()
    );
    ensure!(
        late <= MAX_LATE,
        "{late} arrivals after the fleet had to know"
    );
    ensure!(after >= MIN_SERVED, "{after:.3} of the others are served");
    Ok(())
}

/// Guards against a request that takes down endpoint after endpoint at a router that is alone.
#[tokio::test]
async fn one_router_refuses_a_request_that_crashes_endpoints() -> Result<()> {
    let play = Play {
        vm: 200,
        routers: 1,
        endpoints: 3,
        interval: Duration::from_millis(130),
    };
    check(play).await
}

/// Guards against a request that takes down endpoint after endpoint by coming to another router each time.
#[tokio::test]
async fn all_routers_refuse_a_request_that_crashes_endpoints() -> Result<()> {
    let play = Play {
        vm: 202,
        routers: 3,
        endpoints: 3,
        interval: Duration::from_millis(130),
    };
    check(play).await?;
    let play = Play {
        vm: 206,
        routers: 7,
        endpoints: 12,
        interval: Duration::from_millis(400),
    };
    check(play).await
}

/// Guards against a router that starts later and is not told which requests crash endpoints.
#[tokio::test]
async fn a_router_that_starts_later_refuses_a_request_that_crashed_endpoints() -> Result<()> {
    let play = Play {
        vm: 214,
        routers: 3,
        endpoints: 3,
        interval: Duration::from_millis(130),
    };
    let site = Site::start(play).await?;
    site.run(play).await;
    let router = Router::start(play.vm + play.routers, site.at, &settings())?;
    router.wait_serving(SERVICE).await?;
    sleep(NOTICE).await;
    let arrivals = lock(&site.seen).arrivals.len();
    for number in 0..12 {
        send_poison(router.front, number).await;
    }
    let more = lock(&site.seen).arrivals.len() - arrivals;
    println!("measure=crashing-requests-later arrivals={arrivals} more={more}");
    ensure!(more == 0, "the new router ran {more} of 12");
    Ok(())
}
