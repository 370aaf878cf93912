//! Streams of endpoints whose process dies: the kernel closes their connections in order, as after a whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::received::Received;
use crate::store::Store;
use crate::wait_for;

/// A service whose streams may not be resumed, one whose streams may, and one without streams.
const ONCE: &str = "once";
const RESUMABLE: &str = "resumable";
const RECORDS: &str = "records";

const ENDPOINTS: usize = 3;
/// How many requests run while an endpoint dies.
const REQUESTS: usize = 12;
/// How many events a stream has, and after which a dying endpoint breaks off.
const EVENTS: usize = 6;
const BREAK: usize = 3;
/// How long the requests of an endpoint have reached it before it dies.
const SETTLE: Duration = Duration::from_millis(300);
/// How much later than the connections of a process that dies its listener may be closed.
const LISTENER_LAG: Duration = Duration::from_millis(5);
/// The plain answer, and what a dying endpoint has sent of it.
const RECORD: &str = "a record that is whole";
const PART: &str = "a record";

/// An endpoint whose answers have neither a length nor chunks. While it is to die, it sends a part of each answer only.
struct Endpoint {
    address: SocketAddr,
    /// Whether the process is alive.
    alive: watch::Sender<bool>,
}

impl Endpoint {
    /// Starts one whose listener is closed so much later than its connections when it dies.
    async fn start(dies: bool, listener_lag: Duration) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (alive, mut death) = watch::channel(true);
        tokio::spawn(async move {
            let lives = death.clone();
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(stream, dies, lives.clone()));
                }
            };
            tokio::select! {
                () = accepting => {}
                _ = death.wait_for(|alive| !alive) => {}
            }
            if !listener_lag.is_zero() {
                sleep(listener_lag).await;
            }
        });
        Ok(Self { address, alive })
    }

    /// Closes all connections and the listener in order, as the kernel does for a process that was killed.
    fn die(&self) {
        self.alive.send_replace(false);
    }
}

/// Answers one request, which has no body.
async fn serve(mut stream: TcpStream, dies: bool, mut lives: watch::Receiver<bool>) -> Result<()> {
    let head = tokio::select! {
        head = read_head(&mut stream) => head?,
        _ = lives.wait_for(|alive| !alive) => return Ok(()),
    };
    let Some(name) = header(&head, "request-id") else {
        let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        return Ok(stream.write_all(healthy).await?);
    };
    let records = head.contains(&format!("/{RECORDS}/"));
    let kind = match records {
        true => "text/plain",
        false => "text/event-stream",
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: {kind}\r\n\r\n"
    );
    stream.write_all(answer.as_bytes()).await?;
    let last = header(&head, "last-event-id").map_or(Ok(0), str::parse)?;
    let events = match dies {
        true => BREAK,
        false => EVENTS,
    };
    let body = match (records, dies) {
        (true, true) => PART.to_owned(),
        (true, false) => RECORD.to_owned(),
        (false, _) => events_from(last + 1, events),
    };
    stream.write_all(body.as_bytes()).await?;
    if dies {
        lives.wait_for(|alive| !alive).await?;
    }
    Ok(stream.shutdown().await?)
}

fn events_from(first: usize, last: usize) -> String {
    (first..=last)
        .map(|number| format!("id: {number}\ndata: {number}\n\n"))
        .collect()
}

struct Site {
    router: Router,
    dying: Endpoint,
    /// Those that are listed when it dies.
    sound: Vec<Endpoint>,
    store: Store,
}

impl Site {
    /// Starts a router, and endpoints of a service of which only the one that is to die is listed.
    async fn start(
        vm: usize,
        service: &str,
        resumable: bool,
        listener_lag: Duration,
    ) -> Result<Self> {
        let (store, at) = Store::start().await?;
        let kind = match service {
            RECORDS => "idempotent",
            _ => "streaming",
        };
        let mut route = route(service, kind);
        route["resumable"] = json!(resumable);
        put_config(&store, &[route]);
        let dying = Endpoint::start(true, listener_lag).await?;
        put_endpoint(&store, "dying", service, dying.address);
        let settings = json!({"retry_ratio": 0.2, "retry_spare": 100.0, "retry_window_ms": 2000});
        let router = Router::start(vm, at, &settings)?;
        wait_for("the router lists the endpoint", LIMIT, async || {
            let status = router.status().await?;
            Ok(status.to_string().contains("\"dying\""))
        })
        .await?;
        let retries = REQUESTS as f64;
        router.wait_for_retries(service, retries).await?;
        Ok(Self {
            router,
            dying,
            sound: Vec::new(),
            store,
        })
    }

    /// Has requests begin at the endpoint that then dies while others are there, and returns what their callers get.
    async fn die_during(&mut self, service: &str) -> Result<Vec<Received>> {
        let mut callers = JoinSet::new();
        for n in 0..REQUESTS {
            let front = self.router.front;
            let (path, name) = (format!("{service}/{n}"), format!("{service}-{n}"));
            callers.spawn(async move { ask(front, &path, &name).await });
        }
        sleep(SETTLE).await;
        for number in 0..ENDPOINTS {
            let endpoint = Endpoint::start(false, Duration::ZERO).await?;
            put_endpoint(
                &self.store,
                &format!("sound-{number}"),
                service,
                endpoint.address,
            );
            self.sound.push(endpoint);
        }
        sleep(SETTLE).await;
        self.dying.die();
        let mut received = Vec::new();
        while let Some(answer) = callers.join_next().await {
            let answer = answer??;
            received.push(Received::read(&answer).with_context(|| answer.clone())?);
        }
        if received.is_empty() {
            bail!("no caller");
        }
        Ok(received)
    }
}

fn assert_none_complete(received: &[Received]) {
    let complete = received.iter().filter(|answer| answer.complete).count();
    assert_eq!(
        complete, 0,
        "of {REQUESTS} streams that broke off: {received:#?}"
    );
}

/// Guards against streams that are passed on as complete although their endpoint's process died between two events.
#[tokio::test]
async fn a_stream_whose_endpoint_dies_between_two_events_is_not_complete() -> Result<()> {
    let mut site = Site::start(104, ONCE, false, Duration::ZERO).await?;
    let received = site.die_during(ONCE).await?;
    assert_none_complete(&received);
    assert!(
        received
            .iter()
            .all(|answer| answer.body == events_from(1, BREAK))
    );
    Ok(())
}

/// Guards against streams that are passed on as complete because a dead process's listener is closed after its connections.
#[tokio::test]
async fn a_stream_whose_endpoint_dies_is_not_complete_though_its_listener_is_open() -> Result<()> {
    let mut site = Site::start(221, ONCE, false, LISTENER_LAG).await?;
    let received = site.die_during(ONCE).await?;
    assert_none_complete(&received);
    Ok(())
}

/// Guards against resumable streams that end early, or have events twice, when their endpoint's process dies.
#[tokio::test]
async fn a_resumable_stream_whose_endpoint_dies_between_two_events_goes_on() -> Result<()> {
    let mut site = Site::start(105, RESUMABLE, true, Duration::ZERO).await?;
    let received = site.die_during(RESUMABLE).await?;
    let whole = events_from(1, EVENTS);
    let wrong: Vec<_> = received
        .iter()
        .filter(|answer| answer.complete != (answer.body == whole))
        .collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(
        received.iter().any(|answer| answer.complete),
        "none went on"
    );
    Ok(())
}

/// Guards against parts of plain answers that are passed on as whole when their endpoint's process dies.
#[tokio::test]
async fn a_plain_answer_whose_endpoint_dies_is_not_whole() -> Result<()> {
    let mut site = Site::start(106, RECORDS, false, Duration::ZERO).await?;
    let received = site.die_during(RECORDS).await?;
    let parts = received.iter().filter(|answer| answer.body == PART).count();
    assert_eq!(
        parts, 0,
        "of {REQUESTS} answers that broke off: {received:#?}"
    );
    assert!(received.iter().any(|answer| answer.body == RECORD));
    Ok(())
}
