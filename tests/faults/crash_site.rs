//! Endpoints that crash over some of their requests, and routers before them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use anyhow::ensure;
use serde_json::Value;
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
use crate::platform::ask_with;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::store::Store;
use crate::wait_for;

/// The service of all requests.
pub(crate) const SERVICE: &str = "records";

/// How many harmful requests may reach endpoints later than [`NOTICE`] after there were enough crashes.
const MAX_LATE: usize = 3;
/// How long the routers have to tell each other what crashes endpoints.
pub(crate) const NOTICE: Duration = Duration::from_secs(2);

/// How long an endpoint takes to begin an answer, and from one event to the next.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// How many events a stream has.
const EVENTS: usize = 5;
/// How long an endpoint is down after a crash.
const DOWNTIME: Duration = Duration::from_millis(1300);

/// For how long sound requests are sent alone, and then beside the harmful ones.
const SOUND_PERIOD: Duration = Duration::from_secs(2);
const HARMFUL_PERIOD: Duration = Duration::from_secs(10);
/// The share of sound requests that must be served again in the last part of a play.
const MIN_SERVED: f64 = 0.97;
const LAST_PART: Duration = Duration::from_secs(3);

/// A request of a play.
pub(crate) struct Sent {
    pub(crate) path: String,
    /// More headers, each of which ends its line.
    pub(crate) headers: String,
}

/// One play.
#[derive(Clone, Copy)]
pub(crate) struct Play {
    /// The first VM; no other test uses it and those after it.
    pub(crate) vm: usize,
    pub(crate) routers: usize,
    pub(crate) endpoints: usize,
    /// How often sound and harmful requests are sent.
    pub(crate) sound_interval: Duration,
    pub(crate) harmful_interval: Duration,
    /// How the service's route may be repeated.
    pub(crate) kind: &'static str,
    /// Returns the request with a number; the numbers of sound and harmful ones differ.
    pub(crate) sound: fn(usize) -> Sent,
    pub(crate) harmful: fn(usize) -> Sent,
    /// Returns whether the head of a request crashes the endpoint that begins to run it.
    pub(crate) crashes: fn(&str) -> bool,
    /// How many crashes the harmful requests may cause.
    pub(crate) max_crashes: usize,
}

/// What endpoints saw of the harmful requests.
#[derive(Default)]
struct Seen {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
}

type Shared = Arc<Mutex<Seen>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How the service of a connection ended.
enum Served {
    Crashed,
}

/// Runs an endpoint that is back under the same name after each crash.
async fn run_endpoint(mut listener: TcpListener, play: Play, seen: Shared) -> Result<()> {
    let address = listener.local_addr()?;
    loop {
        // Dropping the set ends all connections.
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    connections.spawn(serve(stream, play, seen.clone()));
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

async fn serve(mut stream: TcpStream, play: Play, seen: Shared) -> Result<Served> {
    stream.set_zero_linger()?;
    loop {
        let head = read_head(&mut stream).await?;
        let name = header(&head, "request-id").unwrap_or("none");
        let is_harmful = (play.crashes)(&head);
        if is_harmful {
            lock(&seen).arrivals.push(Instant::now());
        }
        sleep(SERVICE_TIME).await;
        let begin = format!("HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\n");
        let streams = play.kind == "streaming";
        let framing = match streams {
            true => "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            false => "content-length: 0\r\n\r\n",
        };
        if is_harmful {
            if streams {
                stream.write_all((begin + framing).as_bytes()).await?;
                sleep(SERVICE_TIME).await;
            }
            lock(&seen).crashes.push(Instant::now());
            return Ok(Served::Crashed);
        }
        stream.write_all((begin + framing).as_bytes()).await?;
        if streams {
            send_events(&mut stream).await?;
        }
    }
}

async fn send_events(stream: &mut TcpStream) -> Result<()> {
    for event in 1..=EVENTS {
        sleep(SERVICE_TIME).await;
        let event = format!("id: {event}\ndata: x\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(())
}

/// What came of a sound request.
struct Sound {
    sent: Instant,
    served: bool,
}

pub(crate) struct Site {
    play: Play,
    routers: Vec<Router>,
    seen: Shared,
    store: Store,
    at: SocketAddr,
}

fn settings() -> Value {
    json!({"retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 2000})
}

impl Site {
    pub(crate) async fn start(play: Play) -> Result<Self> {
        let (store, at) = Store::start().await?;
        let mut route = route(SERVICE, play.kind);
        route["resumable"] = json!(play.kind == "streaming");
        put_config(&store, &[route]);
        let seen = Shared::default();
        for number in 0..play.endpoints {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            put_endpoint(&store, &format!("endpoint-{number}"), SERVICE, address);
            tokio::spawn(run_endpoint(listener, play, seen.clone()));
        }
        let routers = (0..play.routers).map(|n| Router::start(play.vm + n, at, &settings()));
        let site = Self {
            play,
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

    /// Sends sound requests at a steady rate, and the harmful ones at theirs, to one router after the other.
    async fn run(&self) -> Vec<Sound> {
        let Play { sound, harmful, .. } = self.play;
        let fronts: Vec<_> = self.routers.iter().map(|router| router.front).collect();
        let start = Instant::now();
        let mut sound_ticks = interval(self.play.sound_interval);
        let mut harmful_ticks = interval(self.play.harmful_interval);
        let mut callers = JoinSet::new();
        let mut others = JoinSet::new();
        let mut number = 0;
        while start.elapsed() < SOUND_PERIOD + HARMFUL_PERIOD {
            number += 1;
            let front = fronts[number % fronts.len()];
            tokio::select! {
                _ = sound_ticks.tick() => {
                    callers.spawn(send_sound(front, number, sound(number)));
                }
                _ = harmful_ticks.tick() => {
                    if start.elapsed() >= SOUND_PERIOD {
                        others.spawn(send(front, number, harmful(number)));
                    }
                }
            }
        }
        others.join_all().await;
        callers.join_all().await
    }

    /// Returns how many harmful requests reached endpoints.
    pub(crate) fn arrivals(&self) -> usize {
        lock(&self.seen).arrivals.len()
    }

    /// Sends harmful requests to a router that starts now, and returns how many reached endpoints.
    pub(crate) async fn try_new_router(&self, count: usize) -> Result<usize> {
        let router = Router::start(self.play.vm + self.play.routers, self.at, &settings())?;
        router.wait_serving(SERVICE).await?;
        sleep(NOTICE).await;
        let arrivals = self.arrivals();
        for number in 0..count {
            send(router.front, number, (self.play.harmful)(number)).await;
        }
        Ok(self.arrivals() - arrivals)
    }

    /// Plays harmful requests beside sound ones, and checks how often they reach endpoints and what the others are served.
    pub(crate) async fn check(&self) -> Result<()> {
        let start = Instant::now();
        let requests = self.run().await;
        let (arrivals, crashes) = {
            let seen = lock(&self.seen);
            (seen.arrivals.clone(), seen.crashes.clone())
        };
        let last = crashes.get(self.play.max_crashes - 1).copied();
        let is_late = |at: &&Instant| last.is_some_and(|last| **at > last + NOTICE);
        let late = arrivals.iter().filter(is_late).count();
        let before = share(&requests, |sound| sound.sent < start + SOUND_PERIOD);
        let end = start + SOUND_PERIOD + HARMFUL_PERIOD;
        let after = share(&requests, |sound| sound.sent > end - LAST_PART);
        println!(
            "measure=crashes kind={} routers={} endpoints={} arrivals={} crashes={} late={late} before={before:.3} after={after:.3}",
            self.play.kind,
            self.play.routers,
            self.play.endpoints,
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
}

async fn send_sound(front: SocketAddr, number: usize, request: Sent) -> Sound {
    let sent = Instant::now();
    let answer = send(front, number, request).await;
    let is_whole = |answer: &String| {
        let is_stream = answer.contains("text/event-stream");
        answer.contains(" 200 ") && (!is_stream || answer.ends_with("0\r\n\r\n"))
    };
    Sound {
        sent,
        served: answer.as_ref().is_some_and(is_whole),
    }
}

async fn send(front: SocketAddr, number: usize, request: Sent) -> Option<String> {
    let name = format!("attempt-{number}");
    let answer = ask_with(front, &request.path, &name, &request.headers).await;
    answer.ok()
}

fn share(requests: &[Sound], is_counted: impl Fn(&Sound) -> bool) -> f64 {
    let counted: Vec<_> = requests.iter().filter(|sound| is_counted(sound)).collect();
    let served = counted.iter().filter(|sound| sound.served).count();
    served as f64 / counted.len().max(1) as f64
}
