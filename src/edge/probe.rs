//! What endpoints say of themselves.

use std::io;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;
use serde::Deserialize;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::decide::CacheEvent;
use crate::edge::clock::SystemClock;
use crate::edge::desk::Desk;
use crate::ids::ModelId;
use crate::ids::VmId;
use crate::prompt::BlockHash;
use crate::router::EndpointLoad;
use crate::router::Event;
use crate::router::Examination;

/// How long an endpoint may take to answer: as long as until the next probe.
const PROBE: Duration = Duration::from_millis(1000);

/// How long a checked connection may take to open, and to be ended by the other side.
const CONNECT: Duration = Duration::from_millis(500);

/// How long a checked connection must last: a path that is reset is so within a round trip.
const SETTLE: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct Load {
    as_of: u64,
    running: u32,
    waiting: u32,
    kv_used: f64,
    models: Vec<ModelId>,
}

#[derive(Deserialize)]
struct Page {
    next: u64,
    events: Vec<Row>,
}

#[derive(Deserialize)]
struct Row {
    seq: u64,
    kind: String,
    block: BlockHash,
}

/// Asks endpoints how they are, and remembers up to which event each was read.
#[derive(Clone)]
pub(crate) struct Prober {
    desk: Arc<Desk>,
    next: Arc<Mutex<IndexMap<VmId, u64>>>,
}

impl Prober {
    pub(crate) fn new(desk: Arc<Desk>) -> Self {
        Self {
            desk,
            next: Arc::default(),
        }
    }

    /// Asks one endpoint for its load and its cache's events.
    pub(crate) async fn probe(self, vm: VmId, address: String) {
        let load = self.get(&format!("http://{address}/v1/load")).await;
        self.desk
            .tell(Event::HealthChecked(vm.clone(), load.is_some()));
        let Some(load) = load.and_then(|body| serde_json::from_slice(&body).ok()) else {
            return;
        };
        self.desk
            .tell(Event::EndpointLoad(vm.clone(), measured(load)));
        self.read_events(vm, &address).await;
    }

    /// Checks whether a connection to an endpoint can be opened, and lasts for a moment.
    pub(crate) async fn connect(self, vm: VmId, address: String) {
        let passed = matches!(timeout(CONNECT, settle(&address)).await, Ok(Ok(())));
        self.desk.tell(Event::ConnectionChecked(vm, passed));
    }

    /// Examines whether an endpoint that closed a connection still listens.
    pub(crate) async fn examine(self, vm: VmId, address: String, asked: Instant) {
        let found = match timeout(CONNECT, settle(&address)).await {
            Ok(Ok(())) => Examination::Accepted,
            Ok(Err(error)) if is_refusal(&error) => Examination::Refused,
            Ok(Err(_)) | Err(_) => Examination::Silent,
        };
        self.desk.tell(Event::EndpointExamined { vm, asked, found });
    }

    async fn read_events(&self, vm: VmId, address: &str) {
        let from = self.next().get(&vm).copied().unwrap_or(0);
        let url = format!("http://{address}/v1/cache/events?from={from}");
        let body = self.get(&url).await;
        let Some(page) = body.and_then(|body| serde_json::from_slice::<Page>(&body).ok()) else {
            return;
        };
        // An engine that is behind what was read of it is another one, which counts from the beginning.
        let next = if page.next < from { 0 } else { page.next };
        self.next().insert(vm.clone(), next);
        if !page.events.is_empty() {
            let events = page.events.into_iter().map(read_row).collect();
            self.desk.tell(Event::CacheEvents(vm, events));
        }
    }

    fn next(&self) -> std::sync::MutexGuard<'_, IndexMap<VmId, u64>> {
        self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn get(&self, url: &str) -> Option<bytes::Bytes> {
        let answer = self.desk.http.get(url, PROBE).await.ok()?;
        answer.status.is_success().then_some(answer.body)
    }
}

/// Opens a connection that lasts for a moment.
async fn settle(address: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let mut byte = [0];
    match timeout(SETTLE, stream.read(&mut byte)).await {
        Ok(Ok(0)) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(read) => read.map(drop),
        Err(_) => Ok(()),
    }
}

/// Returns whether the other VM refused a connection, or ended it at once.
fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset | ErrorKind::UnexpectedEof
    )
}

fn measured(load: Load) -> EndpointLoad {
    let then = UNIX_EPOCH + Duration::from_millis(load.as_of);
    EndpointLoad {
        age: age(SystemClock.wall(), then),
        running: load.running,
        waiting: load.waiting,
        kv_used: load.kv_used,
        models: load.models,
    }
}

/// Returns how long ago something was; clocks of two VMs may differ, and nothing was in the future.
fn age(now: SystemTime, then: SystemTime) -> Duration {
    now.duration_since(then).unwrap_or_default()
}

fn read_row(row: Row) -> CacheEvent {
    let (stored, removed) = match row.kind.as_str() {
        "stored" => (vec![row.block], Vec::new()),
        _ => (Vec::new(), vec![row.block]),
    };
    CacheEvent {
        sequence: row.seq,
        stored,
        removed,
    }
}
