//! Routers of a platform with a metadata store, and endpoints that fail if they have to reject too many requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;
use crate::wait_for;

const SERVICE: &str = "maps";
const ENDPOINTS: usize = 6;
/// How many requests an endpoint takes at once. Its entry in the VM list says more.
const ROOM: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// How many requests a brittle endpoint can reject in a second.
const TOLERANCE: usize = 4;
/// How long after their first announcement endpoints fail.
const GRACE: Duration = Duration::from_secs(3);
const DOWNTIME: Duration = Duration::from_secs(2);
/// How often endpoints may fail in one brittle period.
const ALLOWED: f64 = 2.0 + 0.1 * ENDPOINTS as f64;

const SOUND_PERIOD: Duration = Duration::from_secs(4);
const BRITTLE_PERIOD: Duration = Duration::from_secs(9);
/// The share that brittle endpoints must serve of what sound ones serve.
const MIN_SERVED: f64 = 0.9;

/// How often a load is played in which brittle endpoints serve too little on a machine that is late.
const MAX_PLAYS: usize = 3;

/// What endpoints share.
struct Shared {
    /// Since when they announce that they are brittle.
    brittle: Mutex<Option<Instant>>,
    failures: Mutex<usize>,
}

/// An endpoint with room for some requests.
struct Endpoint {
    shared: Arc<Shared>,
    state: Mutex<State>,
    /// The number of failures, which end all connections.
    life: watch::Sender<usize>,
}

#[derive(Default)]
struct State {
    running: usize,
    rejected: Vec<Instant>,
    down_until: Option<Instant>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Endpoint {
    fn is_down(&self) -> bool {
        let until = lock(&self.state).down_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    fn try_acquire(&self) -> bool {
        let mut state = lock(&self.state);
        let room = state.running < ROOM;
        state.running += usize::from(room);
        room
    }

    /// Counts a rejection, which may be one too many.
    fn reject(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.rejected.push(now);
        state
            .rejected
            .retain(|at| now < *at + Duration::from_secs(1));
        let since = *lock(&self.shared.brittle);
        let is_brittle = since.is_some_and(|since| now >= since + GRACE);
        if is_brittle && state.rejected.len() > TOLERANCE {
            state.rejected.clear();
            state.down_until = Some(now + DOWNTIME);
            *lock(&self.shared.failures) += 1;
            self.life.send_modify(|life| *life += 1);
        }
    }

    /// Answers the requests on a connection, none of which has a body, until the endpoint fails.
    async fn serve(self: Arc<Self>, mut stream: TcpStream) -> Result<()> {
        let mut life = self.life.subscribe();
        if self.is_down() {
            stream.set_zero_linger()?;
            return Ok(());
        }
        tokio::select! {
            end = self.answer(&mut stream) => end,
            _ = life.changed() => Ok(()),
        }
    }

    async fn answer(&self, stream: &mut TcpStream) -> Result<()> {
        loop {
            let head = read_head(stream).await?;
            let id = header(&head, "request-id").unwrap_or("none");
            let status = match self.try_acquire() {
                true => {
                    let running = Running(&self.state);
                    sleep(SERVICE_TIME).await;
                    drop(running);
                    "200 OK\r\nresponse-seal: 1"
                }
                false => {
                    self.reject();
                    "503 Service Unavailable\r\nnot-executed: 1"
                }
            };
            let brittle = match *lock(&self.shared.brittle) {
                Some(_) => format!("server-brittle: {TOLERANCE}\r\n"),
                None => String::new(),
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{brittle}content-length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await?;
        }
    }
}

/// A request that an endpoint runs.
struct Running<'a>(&'a Mutex<State>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        lock(self.0).running -= 1;
    }
}

/// The requests that callers send.
#[derive(Clone, Copy)]
struct Load {
    routers: usize,
    /// Requests in a second, as a multiple of what the endpoints can serve.
    factor: f64,
    /// How many requests are sent at once.
    burst: usize,
}

impl Load {
    fn interval(&self) -> Duration {
        let capacity = (ENDPOINTS * ROOM) as f64 / SERVICE_TIME.as_secs_f64();
        Duration::from_secs_f64(self.burst as f64 / (capacity * self.factor))
    }
}

/// What came of the requests of a period.
struct Outcome {
    sent: usize,
    served: usize,
}

impl Outcome {
    fn share(&self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

struct Site {
    load: Load,
    routers: Vec<Router>,
    shared: Arc<Shared>,
}

impl Site {
    /// Starts routers on VMs from a number on, which no other test uses.
    async fn start(first_vm: usize, load: Load) -> Result<Self> {
        let (store, at) = Store::start().await?;
        let shared = Arc::new(Shared {
            brittle: Mutex::new(None),
            failures: Mutex::new(0),
        });
        put_config(&store, &[route(SERVICE, "idempotent")]);
        for number in 0..ENDPOINTS {
            let endpoint = Arc::new(Endpoint {
                shared: shared.clone(),
                state: Mutex::default(),
                life: watch::Sender::new(0),
            });
            let serve = move |stream| endpoint.clone().serve(stream);
            let address: SocketAddr = start_endpoint(serve).await?;
            put_endpoint(&store, &format!("i-{number}"), SERVICE, address);
        }
        let settings = json!({"retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 10_000});
        let routers = (0..load.routers).map(|n| Router::start(first_vm + n, at, &settings));
        let routers = routers.collect::<Result<Vec<_>>>()?;
        wait_for("all routers are listed", LIMIT, async || {
            Ok(store.count("keyed.routers") == load.routers)
        })
        .await?;
        for router in &routers {
            router.wait_serving(SERVICE).await?;
        }
        Ok(Self {
            load,
            routers,
            shared,
        })
    }

    /// Sends requests to the routers in turn for a time, and waits for their answers.
    async fn run(&self, length: Duration) -> Result<Outcome> {
        let mut ticks = interval(self.load.interval());
        let begin = Instant::now();
        let mut answers = JoinSet::new();
        let mut sent = 0;
        while begin.elapsed() < length {
            ticks.tick().await;
            for _ in 0..self.load.burst {
                let front = self.routers[sent % self.load.routers].front;
                let name = format!("r{sent}");
                let path = format!("{SERVICE}/{name}");
                answers.spawn(async move { ask(front, &path, &name).await });
                sent += 1;
            }
        }
        let Ok(answers) = timeout(LIMIT, answers.join_all()).await else {
            bail!("requests are not answered");
        };
        let is_served = |answer: &Result<String>| {
            let answer = answer.as_ref();
            answer.is_ok_and(|answer| answer.contains(" 200 "))
        };
        let served = answers.iter().filter(|answer| is_served(answer)).count();
        Ok(Outcome { sent, served })
    }

    /// Compares a period in which the endpoints are brittle with one in which they are sound.
    async fn compare(&self) -> Result<Comparison> {
        let sound = self.run(SOUND_PERIOD).await?;
        *lock(&self.shared.brittle) = Some(Instant::now());
        let brittle = self.run(BRITTLE_PERIOD).await?;
        let failures = *lock(&self.shared.failures);
        let [sound, brittle] = [sound.share(), brittle.share()];
        println!(
            "served {sound:.3} by sound endpoints, {brittle:.3} by brittle ones; {failures} failures of {ALLOWED} allowed"
        );
        assert!(failures as f64 <= ALLOWED, "{failures} failures");
        Ok(Comparison { sound, brittle })
    }

    /// Returns whether a router found that all that its VM does is late.
    fn is_late(&self) -> Result<bool> {
        for router in &self.routers {
            if router.logged()?.contains("event=vm-late late=true") {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

/// The shares of the requests that endpoints served.
struct Comparison {
    sound: f64,
    brittle: f64,
}

/// Checks that brittle endpoints rarely fail and serve nearly as much as sound ones, with routers on VMs from a number on.
///
/// An endpoint that holds no more requests than it runs is idle while an answer and the next request are on the way. On a
/// machine on which that takes half as long as a run, the two shares can't be compared, and the load is played again.
async fn check(first_vm: usize, load: Load) -> Result<()> {
    for _ in 0..MAX_PLAYS {
        let site = Site::start(first_vm, load).await?;
        let Comparison { sound, brittle } = site.compare().await?;
        if brittle >= sound * MIN_SERVED {
            return Ok(());
        }
        let late = site.is_late()?;
        assert!(late, "served {brittle:.3}, by sound endpoints {sound:.3}");
    }
    bail!("the machine was late in all of {MAX_PLAYS} plays");
}

/// Guards against endpoints that fail under what they reject while routers each fill them without regard to the others.
#[tokio::test]
async fn brittle_endpoints_stay_up_and_serve_under_overload() -> Result<()> {
    let load = Load {
        routers: 3,
        factor: 1.5,
        burst: 1,
    };
    check(50, load).await
}

/// Guards against endpoints that fail when many requests reach many routers at once.
#[tokio::test]
async fn brittle_endpoints_stay_up_and_serve_in_bursts() -> Result<()> {
    let load = Load {
        routers: 7,
        factor: 1.2,
        burst: 60,
    };
    check(130, load).await
}

/// Other loads, to be run by hand.
#[tokio::test]
#[ignore = "takes minutes"]
async fn brittle_endpoints_stay_up_and_serve_under_other_loads() -> Result<()> {
    let loads = [
        (1, 1.5, 1),
        (7, 3.0, 1),
        (7, 1.5, 200),
        (6, 0.6, 1),
        (7, 0.6, 40),
        (20, 1.2, 1),
    ];
    for (routers, factor, burst) in loads {
        println!("{routers} routers, {factor} of the room, bursts of {burst}");
        let load = Load {
            routers,
            factor,
            burst,
        };
        check(140, load).await?;
    }
    Ok(())
}
