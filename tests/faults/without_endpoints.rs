//! Routers of a platform with a metadata store, one of which loses its links to all endpoints, and nothing else.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use bytes::Bytes;
use http_body_util::Full;
use indexmap::IndexMap;
use jasmineridge::HttpClient;
use jasmineridge::Proxy;
use jasmineridge::start_proxy;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
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
use crate::platform::request;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;
use crate::wait_for;

const ROUTERS: usize = 3;
const ENDPOINTS: usize = 4;

/// A service whose requests may be repeated, one whose may not, and one with streams that may not.
const SERVICES: [(&str, &str); 3] = [
    ("again", "idempotent"),
    ("once", "non_idempotent"),
    ("stream", "streaming"),
];

/// The router that loses its links.
const CUT: usize = 0;

/// The interval of the requests to each router.
const INTERVAL: Duration = Duration::from_millis(25);

/// After which part of a cut requests count, and for how long they are sent.
const SETTLE: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(3);

/// How long it may take on a busy machine until an endpoint knows that a caller left, which is less than the request's time.
const LEAVE: Duration = Duration::from_secs(2);

/// What the names of requests begin with whose answers do not end, and what is counted when an endpoint sees the connection
/// of one end.
const ENDLESS: &str = "stream-endless";
const LEFT: &str = "left";

/// How often each request reached an endpoint.
type Runs = Arc<Mutex<IndexMap<String, usize>>>;

fn lock(runs: &Runs) -> MutexGuard<'_, IndexMap<String, usize>> {
    runs.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How the links of a router fail.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Connections end, and new ones are refused.
    Refused,
    /// Connections hang, also new ones.
    Hanging,
}

struct Site {
    routers: Vec<Router>,
    runs: Runs,
    http: HttpClient,
    /// The control address of the proxy that has all links to endpoints.
    control: SocketAddr,
    /// Where each link of the router that loses them listens, and its endpoint.
    links: Vec<(String, SocketAddr, SocketAddr)>,
}

impl Site {
    async fn start(vm: usize) -> Result<Self> {
        let runs = Runs::default();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (store, _) = Store::start().await?;
        put_config(&store, &SERVICES.map(|(name, kind)| route(name, kind)));
        let proxy = Proxy::new();
        let mut endpoints = Vec::new();
        for (service, _) in SERVICES {
            for number in 0..ENDPOINTS {
                let name = format!("{service}-{number}");
                let shared = runs.clone();
                let endpoint = start_endpoint(move |stream| serve(stream, shared.clone())).await?;
                endpoints.push((name, service, endpoint));
            }
        }
        let settings = json!({"retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 10_000});
        let mut routers = Vec::new();
        let mut links = Vec::new();
        for number in 0..ROUTERS {
            let (view, at) = store.start_view(&number.to_string()).await?;
            for (name, service, endpoint) in &endpoints {
                let link = format!("{number}-{name}");
                let address = proxy.link(&link, any_port, *endpoint)?;
                put_endpoint(&view, name, service, address);
                if number == CUT {
                    links.push((link, address, *endpoint));
                }
            }
            routers.push(Router::start(vm + number, at, &settings)?);
        }
        let site = Self {
            routers,
            runs,
            http: HttpClient::default(),
            control: start_proxy(any_port, proxy)?.address,
            links,
        };
        for router in &site.routers {
            router.wait_serving("again").await?;
            wait_for("all routers are known", LIMIT, async || {
                Ok(router.directory().await?.len() == ROUTERS)
            })
            .await?;
        }
        Ok(site)
    }

    async fn control(&self, method: &str, path: &str, body: String) -> Result<()> {
        let url = format!("http://{}/v1/links{path}", self.control);
        let request = self.http.request(method, &url);
        let request = request.header("content-type", "application/json");
        let answer = self
            .http
            .send(request.body(Full::new(Bytes::from(body)))?, LIMIT)
            .await?;
        ensure!(answer.status().is_success(), "{path}: {}", answer.status());
        Ok(())
    }

    async fn cut(&self, fault: Fault) -> Result<()> {
        for (name, ..) in &self.links {
            match fault {
                Fault::Refused => {
                    self.control("DELETE", &format!("/{name}"), String::new())
                        .await?;
                }
                Fault::Hanging => {
                    let faults = json!({"half_open": true}).to_string();
                    self.control("POST", &format!("/{name}/faults"), faults)
                        .await?;
                }
            }
        }
        Ok(())
    }

    async fn heal(&self, fault: Fault) -> Result<()> {
        for (name, address, endpoint) in &self.links {
            match fault {
                Fault::Refused => {
                    let link = json!({"name": name, "listen": address, "to": endpoint});
                    self.control("POST", "", link.to_string()).await?;
                }
                Fault::Hanging => {
                    self.control("POST", &format!("/{name}/faults"), "{}".to_owned())
                        .await?;
                }
            }
        }
        Ok(())
    }

    /// Sends requests of all kinds to each router; returns how many each one got, and how many were served.
    async fn send_requests(&self, round: &str, length: Duration) -> Result<Vec<(usize, usize)>> {
        let mut ticks = interval(INTERVAL);
        let mut tasks = Vec::new();
        for number in 0..length.as_millis() / INTERVAL.as_millis() {
            ticks.tick().await;
            for (at, router) in self.routers.iter().enumerate() {
                let (service, _) = SERVICES[number as usize % SERVICES.len()];
                let name = format!("{service}-{round}-{at}-{number}");
                let front = router.front;
                tasks.push(tokio::spawn(async move {
                    let answer = ask(front, &format!("{service}/{name}"), &name).await;
                    let whole = answer.is_ok_and(|answer| is_whole(&answer, &name));
                    (at, whole)
                }));
            }
        }
        let mut counts = vec![(0, 0); ROUTERS];
        for task in tasks {
            let (at, whole) = task.await?;
            counts[at].0 += 1;
            counts[at].1 += usize::from(whole);
        }
        println!("{round}: requests and served, by router: {counts:?}");
        Ok(counts)
    }

    /// Begins a stream that does not end at the router that lost its links, and returns its caller.
    async fn begin_endless(&self, why: &str) -> Result<TcpStream> {
        let mut caller = TcpStream::connect(self.routers[CUT].front).await?;
        let name = format!("{ENDLESS}-{why}");
        let path = format!("stream/{name}");
        caller.write_all(request(&path, &name).as_bytes()).await?;
        let mut answer = Vec::new();
        while !String::from_utf8_lossy(&answer).contains("data: ") {
            answer.push(caller.read_u8().await?);
        }
        Ok(caller)
    }

    /// Has a caller of the router that lost its links leave in the middle of a stream, and waits until its endpoint knows.
    async fn leave_stream(&self) -> Result<()> {
        drop(self.begin_endless("left").await?);
        wait_for("the endpoint's run is stopped", LEAVE, async || {
            Ok(lock(&self.runs).contains_key(LEFT))
        })
        .await?;
        Ok(())
    }

    /// Has the routers that carry out a stream freeze in its middle, and waits until its caller knows that it is broken off.
    async fn freeze_others(&self) -> Result<()> {
        let mut caller = self.begin_endless("frozen").await?;
        let others = self.routers.iter().skip(CUT + 1);
        for router in others.clone() {
            router.process.signal("STOP")?;
        }
        let mut rest = Vec::new();
        let ended = timeout(LIMIT, caller.read_to_end(&mut rest)).await;
        for router in others {
            router.process.signal("CONT")?;
        }
        ended.context("it never ends")??;
        ensure!(!String::from_utf8_lossy(&rest).ends_with("0\r\n\r\n"));
        Ok(())
    }

    /// Waits until the directories of all routers name the router that lost its links, or none does.
    async fn wait_listed(&self, listed: bool) -> Result<()> {
        let front = self.routers[CUT].front;
        for router in &self.routers {
            wait_for("the directory follows", LIMIT, async || {
                let addresses = router.directory().await?;
                Ok(!addresses.is_empty() && addresses.contains(&front) == listed)
            })
            .await?;
        }
        Ok(())
    }
}

/// Answers the requests on a connection, none of which has a body.
async fn serve(mut stream: TcpStream, runs: Runs) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let name = header(&head, "request-id").unwrap_or_default();
        *lock(&runs).entry(name.to_owned()).or_default() += 1;
        let kind = match head.contains("/stream/") {
            true => "text/event-stream",
            false => "text/plain",
        };
        let body = format!("id: 1\ndata: {name}\n\n");
        if name.starts_with(ENDLESS) {
            let head = format!(
                "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: {kind}\r\n\r\n{body}"
            );
            stream.write_all(head.as_bytes()).await?;
            // It ends with the connection, in either way.
            let _ = stream.read_u8().await;
            *lock(&runs).entry(LEFT.to_owned()).or_default() += 1;
            return Ok(());
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: {kind}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Returns whether an answer is the endpoint's, and complete.
fn is_whole(answer: &str, name: &str) -> bool {
    let sealed = answer.contains("response-seal: 1\r\n");
    let body = format!("id: 1\ndata: {name}\n\n");
    let ended = answer.ends_with(&body) || answer.ends_with(&format!("{body}\r\n0\r\n\r\n"));
    answer.starts_with("HTTP/1.1 200 ") && sealed && ended
}

async fn play(vm: usize, fault: Fault) -> Result<()> {
    let site = Site::start(vm).await?;
    site.send_requests("before", Duration::from_secs(2)).await?;
    site.cut(fault).await?;
    site.send_requests("begin", SETTLE).await?;
    let counts = site.send_requests("cut", LENGTH).await?;
    let share = |counts: &[(usize, usize)]| {
        let sum = |pick: fn(&(usize, usize)) -> usize| counts.iter().map(pick).sum::<usize>();
        sum(|count| count.1) as f64 / sum(|count| count.0) as f64
    };
    let [at_cut, others] = [share(&counts[..1]), share(&counts[1..])];
    assert!(
        at_cut >= others * 2.0 / 3.0,
        "{at_cut} of the requests at the router without endpoints are served, {others} at the others"
    );
    let requests: usize = counts.iter().map(|count| count.0).sum();
    let failed = counts[CUT].0 - counts[CUT].1;
    assert!(failed <= 10 + requests / 50, "{failed} of {requests}");
    site.leave_stream().await?;
    site.freeze_others().await?;
    site.wait_listed(false).await?;
    site.heal(fault).await?;
    site.wait_listed(true).await?;
    sleep(SETTLE).await;
    let forwarded = site.routers[CUT]
        .logged()?
        .matches("event=forwarded")
        .count();
    let counts = site.send_requests("after", LENGTH).await?;
    assert!(share(&counts[..1]) >= share(&counts[1..]) * 2.0 / 3.0);
    let log = site.routers[CUT].logged()?;
    assert_eq!(
        log.matches("event=forwarded").count(),
        forwarded,
        "it serves by itself"
    );
    let runs = lock(&site.runs);
    let twice: Vec<_> = runs
        .iter()
        .filter(|(name, runs)| !name.starts_with("again-") && name.contains('-') && **runs > 1)
        .collect();
    assert!(twice.is_empty(), "{twice:?}");
    Ok(())
}

/// Guards against a router without endpoints that refuses its callers, though other routers could serve them.
#[tokio::test]
async fn callers_of_a_router_whose_links_refuse_are_served() -> Result<()> {
    play(110, Fault::Refused).await
}

/// Guards against the same where connections to endpoints hang.
#[tokio::test]
async fn callers_of_a_router_whose_links_hang_are_served() -> Result<()> {
    play(120, Fault::Hanging).await
}
