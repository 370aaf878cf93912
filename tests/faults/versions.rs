//! Streams that go on, while endpoints of two versions of their software serve one service.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use indexmap::IndexSet;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint_version;
use crate::platform::read_head;
use crate::platform::request_with;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;
use crate::wait_for;

pub(crate) const SERVICE: &str = "streams";
pub(crate) const ROUTERS: usize = 3;
/// How many endpoints run each version.
const ENDPOINTS: usize = 3;
const STREAMS: usize = 40;
/// How many events a stream has.
pub(crate) const EVENTS: usize = 6;
/// After which event streams break off.
pub(crate) const BREAK: usize = 2;
/// How long all routers are down, and the pause between the attempts of their callers afterwards.
const DOWN: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(300);
const TAKE_UPS: usize = 3;
/// The time within which a stream that began is recorded.
const RECORD_TIME: Duration = Duration::from_millis(1000);
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// How a stream is interrupted, and taken up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    /// Its endpoint breaks off, and its router goes on within the answer.
    Endpoint,
    /// Its caller leaves, and comes back at a router so much further on.
    Caller { steps: usize, pause: Duration },
    /// The same, twice.
    CallerTwice,
    /// Its router is killed.
    Router,
}

/// Sends the events of a stream, each of which names the endpoint's version.
async fn serve(mut stream: TcpStream, version: &'static str) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let Some(name) = header(&head, "request-id") else {
            let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(healthy).await?;
            continue;
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await?;
        let last = header(&head, "last-event-id").and_then(|last| last.parse().ok());
        let breaks = last.is_none() && head.contains("/breaks-");
        for event in last.unwrap_or(0) + 1..=EVENTS {
            let event = format!("id: {event}\ndata: {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            sleep(EVENT_INTERVAL).await;
            if breaks && event.starts_with(&format!("id: {BREAK}\n")) {
                stream.set_zero_linger()?;
                return Ok(());
            }
        }
        stream.write_all(b"0\r\n\r\n").await?;
    }
}

/// What a caller has of a stream.
#[derive(Default)]
pub(crate) struct Stream {
    pub(crate) number: usize,
    pub(crate) events: usize,
    pub(crate) versions: IndexSet<String>,
    /// The statuses of its answers.
    pub(crate) statuses: Vec<String>,
    /// How long it waited for the first bytes of the last one.
    pub(crate) waited: Duration,
}

impl Stream {
    /// Sends an attempt, and reads its answer until it ends or the stream has so many events.
    pub(crate) async fn read(
        &mut self,
        front: SocketAddr,
        path: &str,
        attempt: &str,
        origin: Option<&str>,
        most: usize,
    ) -> Result<()> {
        let headers = origin.map_or_else(String::new, |origin| {
            format!("last-event-id: {}\r\nresumes: {origin}\r\n", self.events)
        });
        let mut stream = TcpStream::connect(front).await?;
        let request = request_with(path, attempt, &headers);
        let start = Instant::now();
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_buf(&mut answer).await?;
        self.waited = start.elapsed();
        while !self.has_read(&String::from_utf8_lossy(&answer), most) {
            if stream.read_buf(&mut answer).await? == 0 {
                break;
            }
        }
        let answer = String::from_utf8_lossy(&answer);
        let status = answer.split(' ').nth(1).unwrap_or("none");
        self.statuses.push(status.to_owned());
        // What follows the last whole event does not count.
        let whole = answer.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let versions = whole.lines().filter_map(|line| line.strip_prefix("data: "));
        self.versions.extend(versions.map(str::to_owned));
        self.events += answer.matches("\n\n").count();
        Ok(())
    }

    fn has_read(&self, answer: &str, most: usize) -> bool {
        self.events + answer.matches("\n\n").count() >= most
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.events == EVENTS
    }
}

pub(crate) struct Site {
    pub(crate) routers: Vec<Router>,
    store: Store,
    /// The entrance of each router to the store.
    pub(crate) entrances: Vec<(Store, SocketAddr)>,
    first_vm: usize,
}

impl Site {
    /// Starts routers on VMs from a number on, which no other test uses.
    pub(crate) async fn start(first_vm: usize) -> Result<Self> {
        let (store, _) = Store::start().await?;
        let mut entrances = Vec::new();
        for _ in 0..ROUTERS {
            entrances.push(store.start_entrance().await?);
        }
        let mut resumable = route(SERVICE, "streaming");
        resumable["resumable"] = json!(true);
        put_config(&store, &[resumable]);
        let site = Self {
            routers: Self::start_routers(first_vm, &entrances)?,
            store,
            entrances,
            first_vm,
        };
        site.start_version("v1").await?;
        wait_for("all routers are listed", LIMIT, async || {
            Ok(site.store.count("keyed.routers") == ROUTERS)
        })
        .await?;
        for router in &site.routers {
            router.wait_serving(SERVICE).await?;
        }
        Ok(site)
    }

    fn start_routers(first_vm: usize, entrances: &[(Store, SocketAddr)]) -> Result<Vec<Router>> {
        let settings = json!({"retry_ratio": 0.2, "retry_spare": 100.0, "retry_window_ms": 2000});
        let routers = entrances.iter().enumerate();
        routers
            .map(|(n, (_, at))| Router::start(first_vm + n, *at, &settings))
            .collect()
    }

    /// Kills all routers at once.
    async fn kill_routers(&mut self) -> Result<()> {
        for router in &self.routers {
            router.process.signal("KILL")?;
        }
        self.routers.clear();
        sleep(DOWN).await;
        Ok(())
    }

    /// Starts all routers anew under their VMs, and waits until each serves.
    async fn restart_routers(&mut self) -> Result<()> {
        self.routers = Self::start_routers(self.first_vm, &self.entrances)?;
        for router in &self.routers {
            router.wait_serving(SERVICE).await?;
        }
        Ok(())
    }

    fn stop_version(&self, version: &str) {
        for number in 0..ENDPOINTS {
            let name = format!("{version}-{number}");
            self.store.remove("keyed.servers", &name);
        }
    }

    /// Has callers take up their streams, who come back a few times if they are refused.
    async fn take_up(&self, how: &str, streams: &mut [Stream]) -> Result<()> {
        for round in 0..TAKE_UPS {
            for stream in streams.iter_mut().filter(|stream| !stream.is_whole()) {
                let n = stream.number;
                let front = self.routers[(n + 1) % ROUTERS].front;
                let (path, first) = (format!("{SERVICE}/{n}"), format!("Router-{n}"));
                let next = format!("{how}-{round}-{n}");
                let origin = Some(first.as_str());
                stream.read(front, &path, &next, origin, EVENTS).await?;
            }
            sleep(PAUSE).await;
        }
        let whole = streams.iter().filter(|s| s.is_whole()).count();
        let mixed = streams.iter().filter(|s| s.versions.len() > 1).count();
        println!("{how}: {whole} of {STREAMS} went on, {mixed} of two versions");
        assert_eq!(mixed, 0, "{how}: streams of two versions");
        Ok(())
    }

    /// Starts endpoints that run a version.
    pub(crate) async fn start_version(&self, version: &'static str) -> Result<()> {
        for number in 0..ENDPOINTS {
            let endpoint = start_endpoint(move |stream| serve(stream, version)).await?;
            let name = format!("{version}-{number}");
            put_endpoint_version(&self.store, &name, SERVICE, endpoint, version);
        }
        Ok(())
    }

    /// Starts the second version, and waits until all routers use it.
    pub(crate) async fn start_second_version(&self) -> Result<()> {
        self.start_version("v2").await?;
        for router in &self.routers {
            wait_for("the router uses the second version", LIMIT, async || {
                let mut stream = Stream::default();
                let path = format!("{SERVICE}/probe");
                stream.read(router.front, &path, "probe", None, 1).await?;
                Ok(stream.versions.contains("v2"))
            })
            .await?;
        }
        Ok(())
    }

    /// Has a stream begin, be interrupted and go on.
    async fn run_stream(fronts: Vec<SocketAddr>, n: usize, how: Interruption) -> Result<Stream> {
        let mut stream = Stream {
            number: n,
            ..Stream::default()
        };
        let first = format!("{how:?}-{n}").replace(' ', "");
        let front = |steps: usize| fronts[(n + steps) % fronts.len()];
        if how == Interruption::Endpoint {
            let path = format!("{SERVICE}/breaks-{n}");
            stream.read(front(0), &path, &first, None, EVENTS).await?;
            return Ok(stream);
        }
        let path = format!("{SERVICE}/{n}");
        stream.read(front(0), &path, &first, None, BREAK).await?;
        match how {
            Interruption::Endpoint | Interruption::Router => {}
            Interruption::Caller { steps, pause } => {
                sleep(pause).await;
                let second = format!("{first}-second");
                let origin = Some(first.as_str());
                stream
                    .read(front(steps), &path, &second, origin, EVENTS)
                    .await?;
            }
            Interruption::CallerTwice => {
                for (steps, most) in [(1, 2 * BREAK), (2, EVENTS)] {
                    let next = format!("{first}-{steps}");
                    let origin = Some(first.as_str());
                    stream
                        .read(front(steps), &path, &next, origin, most)
                        .await?;
                }
            }
        }
        Ok(stream)
    }

    async fn run_streams(&self, how: Interruption) -> Result<Vec<Stream>> {
        let fronts: Vec<_> = self.routers.iter().map(|router| router.front).collect();
        let mut streams = JoinSet::new();
        for n in 0..STREAMS {
            streams.spawn(Self::run_stream(fronts.clone(), n, how));
        }
        let Ok(streams) = timeout(LIMIT, streams.join_all()).await else {
            bail!("streams do not end");
        };
        streams.into_iter().collect()
    }

    fn check(how: &str, streams: &[Stream]) {
        let mixed = streams.iter().filter(|s| s.versions.len() > 1).count();
        let whole = streams.iter().filter(|s| s.is_whole()).count();
        let versions: IndexSet<_> = streams.iter().flat_map(|s| &s.versions).collect();
        println!("{how}: {whole} of {STREAMS} went on, {mixed} of two versions");
        assert_eq!(versions.len(), 2, "both versions serve");
        assert_eq!(mixed, 0, "{how}: streams of two versions");
        assert!(whole > 0, "{how}: none went on");
    }

    /// Checks as well that as many streams went on as the share of them that callers may expect to.
    fn check_taken_up(how: &str, streams: &[Stream]) {
        Self::check(how, streams);
        let whole = streams.iter().filter(|s| s.is_whole()).count();
        assert!(whole * 2 >= STREAMS, "{how}: {whole} went on");
    }
}

/// Guards against a stream that goes on at an endpoint of another version, at any router and after any interruption.
#[tokio::test]
async fn streams_go_on_at_the_version_that_began_them() -> Result<()> {
    let site = Site::start(170).await?;
    site.start_second_version().await?;
    let after = |steps, pause| Interruption::Caller { steps, pause };
    let interruptions = [
        Interruption::Endpoint,
        after(0, Duration::ZERO),
        after(1, Duration::ZERO),
        after(1, Duration::from_secs(3)),
        Interruption::CallerTwice,
    ];
    for how in interruptions {
        let streams = site.run_streams(how).await?;
        let name = format!("{how:?}");
        match how {
            // Retries are limited, and endpoints that fail so often get no requests for a while.
            Interruption::Endpoint => Site::check(&name, &streams),
            _ => Site::check_taken_up(&name, &streams),
        }
    }
    Ok(())
}

/// Guards against a version that only the router knew that has been killed since.
#[tokio::test]
async fn streams_go_on_after_their_router_was_killed() -> Result<()> {
    let mut site = Site::start(175).await?;
    site.start_second_version().await?;
    let mut streams = site.run_streams(Interruption::Router).await?;
    let killed = site.routers.remove(0);
    killed.process.signal("KILL")?;
    for stream in &mut streams {
        let n = stream.number;
        let front = site.routers[n % 2].front;
        let (path, first) = (format!("{SERVICE}/{n}"), format!("Router-{n}"));
        let next = format!("next-{n}");
        stream
            .read(front, &path, &next, Some(&first), EVENTS)
            .await?;
    }
    Site::check_taken_up("after a kill", &streams);
    Ok(())
}

/// Guards against streams that began before there was a second version, when nothing had to be known of them.
#[tokio::test]
async fn streams_go_on_that_began_before_a_second_version_was_started() -> Result<()> {
    let site = Site::start(180).await?;
    let mut streams = site.run_streams(Interruption::Router).await?;
    site.start_second_version().await?;
    for stream in &mut streams {
        let n = stream.number;
        let front = site.routers[(n + 1) % ROUTERS].front;
        let (path, first) = (format!("{SERVICE}/{n}"), format!("Router-{n}"));
        let next = format!("next-{n}");
        stream
            .read(front, &path, &next, Some(&first), EVENTS)
            .await?;
    }
    let mixed = streams.iter().filter(|s| s.versions.len() > 1).count();
    let whole = streams.iter().filter(|s| s.is_whole()).count();
    println!("{whole} of {STREAMS} went on, {mixed} of two versions");
    assert_eq!(mixed, 0, "streams of two versions");
    assert!(whole * 2 >= STREAMS, "{whole} went on");
    Ok(())
}

/// Guards against a guess where no router knows the version that began a stream.
#[tokio::test]
async fn a_stream_that_no_router_knows_is_refused() -> Result<()> {
    let site = Site::start(185).await?;
    site.start_second_version().await?;
    let path = format!("{SERVICE}/unknown");
    for origin in [Some("nobody-knows"), Some("")] {
        let mut stream = Stream {
            events: BREAK,
            ..Stream::default()
        };
        let front = site.routers[0].front;
        stream.read(front, &path, "next", origin, EVENTS).await?;
        assert_eq!(stream.statuses, ["503"], "{origin:?}");
    }
    Ok(())
}

/// Returns how many streams a version began, and how many of these went on.
fn begun_by(streams: &[Stream], version: &str) -> (usize, usize) {
    let begun = streams.iter().filter(|s| s.versions[0] == version);
    let begun: Vec<_> = begun.collect();
    let whole = begun.iter().filter(|s| s.is_whole()).count();
    (begun.len(), whole)
}

/// Guards against streams that are all refused, or go on at any version, after all routers were killed.
#[tokio::test]
async fn streams_go_on_after_all_routers_were_killed() -> Result<()> {
    let mut site = Site::start(190).await?;
    site.start_second_version().await?;
    let mut streams = site.run_streams(Interruption::Router).await?;
    sleep(RECORD_TIME).await;
    site.kill_routers().await?;
    site.restart_routers().await?;
    site.take_up("both-serve", &mut streams).await?;
    let versions: IndexSet<_> = streams.iter().flat_map(|s| &s.versions).collect();
    assert_eq!(versions.len(), 2, "both versions serve");
    let whole = streams.iter().filter(|s| s.is_whole()).count();
    assert!(whole * 2 >= STREAMS, "{whole} went on");
    Ok(())
}

/// Guards against routers that remember nothing, and take the only version listed for the one that began each stream.
#[tokio::test]
async fn streams_of_a_version_that_is_gone_go_on_nowhere_after_all_routers_were_killed()
-> Result<()> {
    let mut site = Site::start(193).await?;
    site.start_second_version().await?;
    let mut streams = site.run_streams(Interruption::Router).await?;
    site.stop_version("v1");
    sleep(RECORD_TIME).await;
    site.kill_routers().await?;
    site.restart_routers().await?;
    site.take_up("old-gone", &mut streams).await?;
    let (old, old_whole) = begun_by(&streams, "v1");
    let (new, new_whole) = begun_by(&streams, "v2");
    assert!(old > 0 && new > 0, "both versions begin streams");
    assert_eq!(old_whole, 0);
    assert!(new_whole * 2 >= new, "{new_whole} of {new} went on");
    Ok(())
}

/// Guards against a first release while all routers are down, and against refusals where there is none.
#[tokio::test]
async fn a_version_that_was_replaced_while_all_routers_were_down_is_remembered() -> Result<()> {
    let mut site = Site::start(196).await?;
    let mut streams = site.run_streams(Interruption::Router).await?;
    let mut later = streams.split_off(STREAMS / 2);
    site.kill_routers().await?;
    site.restart_routers().await?;
    site.take_up("one-version", &mut streams).await?;
    assert!(streams.iter().all(Stream::is_whole));
    site.kill_routers().await?;
    site.stop_version("v1");
    site.start_version("v2").await?;
    site.restart_routers().await?;
    site.take_up("all-replaced", &mut later).await?;
    Ok(())
}
