//! Routers of a platform with a metadata store, whose endpoints turn most requests away. Requests are counted where callers
//! send them, and retries where endpoints read them, while routers and endpoints are paused and links stall.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use indexmap::IndexSet;
use jasmineridge::HttpClient;
use jasmineridge::Proxy;
use jasmineridge::start_proxy;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
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
use crate::platform::start_endpoint;
use crate::store::Store;
use crate::wait_for;

const SERVICE: &str = "records";
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

/// Holds back what is sent to endpoints.
const STALL: &str = r#"{"drop_to": true}"#;

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
}

/// Answers the requests on a connection, none of which has a body. Nothing is read while the endpoint is paused.
async fn serve(
    mut stream: TcpStream,
    seen: Shared,
    number: usize,
    mut paused: watch::Receiver<usize>,
) -> Result<()> {
    loop {
        stream.peek(&mut [0]).await?;
        paused.wait_for(|paused| number >= *paused).await?;
        let head = read_head(&mut stream).await?;
        let id = header(&head, "request-id");
        // A check of whether the endpoint is healthy has no name.
        let answer = match id {
            None => "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned(),
            Some(id) => {
                let mut seen = lock(&seen);
                if !seen.arrived.insert(id.to_owned()) {
                    seen.retries.push(Instant::now());
                }
                let served = (seen.arrived.len() + seen.retries.len()).is_multiple_of(SERVED_EVERY);
                let head = match served {
                    true => "200 OK\r\nresponse-seal: 1",
                    false => "503 Service Unavailable\r\nnot-executed: 1",
                };
                format!("HTTP/1.1 {head}\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n")
            }
        };
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Returns the name of a router's link to an endpoint.
fn link_name(router: usize, endpoint: usize) -> String {
    format!("{router}-{endpoint}")
}

struct Site {
    routers: Vec<Router>,
    seen: Shared,
    http: HttpClient,
    /// How many endpoints are paused.
    paused: watch::Sender<usize>,
    /// The control address of the proxy that has all links to endpoints.
    links: SocketAddr,
}

impl Site {
    /// Starts the routers on VMs from a number on, which no other test uses.
    async fn start(first_vm: usize) -> Result<Self> {
        let seen = Shared::default();
        let (store, _) = Store::start().await?;
        let proxy = Proxy::new();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let paused = watch::Sender::new(0);
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let (shared, paused) = (seen.clone(), paused.subscribe());
            let serve = move |stream| serve(stream, shared.clone(), number, paused.clone());
            endpoints.push(start_endpoint(serve).await?);
        }
        put_config(&store, &[route(SERVICE, "idempotent")]);
        let settings = json!({
            "retry_ratio": RATIO,
            "retry_spare": SPARE,
            "retry_window_ms": WINDOW.as_millis() as u64,
        });
        let mut routers = Vec::new();
        for router in 0..ROUTERS {
            let (view, at) = store.start_view(&router.to_string()).await?;
            for (number, endpoint) in endpoints.iter().enumerate() {
                let link = proxy.link(&link_name(router, number), any_port, *endpoint)?;
                put_endpoint(&view, &format!("i-{number}"), SERVICE, link);
            }
            routers.push(Router::start(first_vm + router, at, &settings)?);
        }
        let site = Self {
            routers,
            seen,
            http: HttpClient::default(),
            paused,
            links: start_proxy(any_port, proxy)?.address,
        };
        wait_for("all routers are listed", LIMIT, async || {
            Ok(store.count("keyed.routers") == ROUTERS)
        })
        .await?;
        for router in &site.routers {
            router.wait_serving(SERVICE).await?;
        }
        lock(&site.seen).requests.clear();
        Ok(site)
    }

    /// Sends requests to the routers in turn, without waiting for answers.
    async fn send_requests(&self, length: Duration) {
        let mut ticks = interval(INTERVAL);
        let begin = Instant::now();
        let mut number = 0;
        while begin.elapsed() < length {
            ticks.tick().await;
            let front = self.routers[number % ROUTERS].front;
            let name = format!("r{number}");
            lock(&self.seen).requests.push(Instant::now());
            let path = format!("{SERVICE}/{name}");
            tokio::spawn(async move { ask(front, &path, &name).await });
            number += 1;
        }
    }

    /// Sends requests while so many faults begin one after another, and checks the retries of the whole time.
    async fn play<F>(&self, faults: usize, disturb: F) -> Result<()>
    where
        F: Future<Output = Result<()>>,
    {
        let length = faults as u32 * FAULT_INTERVAL + WINDOW;
        let ((), done) = tokio::join!(self.send_requests(length), disturb);
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

    async fn pause_routers(&self, length: Duration) -> Result<()> {
        for router in &self.routers {
            router.process.signal("STOP")?;
        }
        sleep(length).await;
        for router in &self.routers {
            router.process.signal("CONT")?;
        }
        Ok(())
    }

    async fn pause_endpoints(&self, count: usize, length: Duration) {
        self.paused.send_replace(count);
        sleep(length).await;
        self.paused.send_replace(0);
    }

    /// Disturbs all links of some routers to endpoints.
    async fn disturb_links(
        &self,
        routers: Range<usize>,
        faults: &'static str,
        length: Duration,
    ) -> Result<()> {
        for (faults, then) in [(faults, length), ("{}", Duration::ZERO)] {
            let links = routers
                .clone()
                .flat_map(|router| (0..ENDPOINTS).map(move |endpoint| link_name(router, endpoint)));
            for link in links {
                let url = format!("http://{}/v1/links/{link}/faults", self.links);
                self.http
                    .post(&url, Bytes::from_static(faults.as_bytes()), LIMIT)
                    .await?;
            }
            sleep(then).await;
        }
        Ok(())
    }
}

/// Guards against retries beyond the limit of a service that come about only between real processes: requests that wait
/// in the sockets of paused routers, and retries that links hold back.
#[tokio::test]
async fn retries_keep_to_the_limit_when_processes_pause_and_links_stall() -> Result<()> {
    let site = Site::start(0).await?;
    let pauses = [3000, 1000].map(Duration::from_millis);
    let stalls = [1500, 800].map(Duration::from_millis);
    let faults = async {
        for (pause, stall) in pauses.into_iter().zip(stalls) {
            sleep(FAULT_INTERVAL - pause).await;
            site.pause_routers(pause).await?;
            sleep(FAULT_INTERVAL - stall).await;
            site.disturb_links(0..ROUTERS, STALL, stall).await?;
        }
        Ok(())
    };
    site.play(4, faults).await
}

/// Guards against retries beyond the limit of a service whose endpoints are paused, and read afterwards what routers gave
/// up meanwhile.
#[tokio::test]
async fn retries_keep_to_the_limit_when_endpoints_pause() -> Result<()> {
    let site = Site::start(20).await?;
    let faults = async {
        for (count, length) in PAUSES {
            sleep(FAULT_INTERVAL - length).await;
            site.pause_endpoints(count, length).await;
        }
        Ok(())
    };
    site.play(PAUSES.len(), faults).await
}

/// Guards against retries that nobody counts because some routers lose their links to the endpoints, and others carry out
/// the requests that these forward.
#[tokio::test]
async fn retries_keep_to_the_limit_when_requests_are_forwarded() -> Result<()> {
    let site = Site::start(40).await?;
    let faults = async {
        for (routers, faults) in CUTS {
            sleep(FAULT_INTERVAL - CUT).await;
            site.disturb_links(routers, faults, CUT).await?;
        }
        Ok(())
    };
    site.play(CUTS.len(), faults).await?;
    let mut logs = site.routers.iter().map(Router::logged);
    let forwarded = logs.any(|log| log.is_ok_and(|log| log.contains("event=forwarded")));
    assert!(forwarded, "routers forward requests");
    Ok(())
}
