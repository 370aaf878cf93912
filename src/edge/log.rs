//! The log service.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use tokio::time::sleep;
use tracing::warn;

use crate::edge::desk::Desk;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::Sequence;
use crate::router::Entry;
use crate::router::Event;
use crate::settings::BaseUrl;

/// The stream of the ledger's partition.
pub(crate) const LEDGER: &str = "ledger-0";

/// The stream of the ledger's checkpoints.
pub(crate) const CHECKPOINT: &str = "checkpoint-0";

/// The stream of the configuration.
pub(crate) const CONFIG: &str = "config";

/// How long the log service may hold a read open when there is nothing new.
const POLL: Duration = Duration::from_millis(1000);

/// How long a read may take: what it may be held open, and what a slow service takes besides.
const READ: Duration = Duration::from_millis(3000);

/// How long to rest after a read that failed.
const REST: Duration = Duration::from_millis(200);

/// The most records in one read.
const MAX_READ: usize = 1000;

#[derive(Deserialize)]
struct Page {
    next: Offset,
    records: Vec<Row>,
}

#[derive(Deserialize)]
struct Landed {
    offset: Offset,
}

#[derive(Deserialize)]
struct Gone {
    first: Offset,
}

#[derive(Deserialize)]
struct Row {
    offset: Offset,
    at: u64,
    data: String,
}

/// What a read brought.
pub(crate) enum Read {
    /// Records, and the offset that follows the stream's last one.
    Page { entries: Vec<Entry>, next: Offset },
    /// The log has let go of what was asked for, and begins here.
    Gone { first: Offset },
    /// Nothing came.
    Failed,
}

/// A connection to the log service.
#[derive(Clone)]
pub(crate) struct Log {
    pub(crate) url: BaseUrl,
    pub(crate) desk: Arc<Desk>,
}

impl Log {
    fn records(&self, stream: &str) -> String {
        format!("{}/v1/streams/{stream}/records", self.url)
    }

    /// Appends a batch and tells the core whether it is known to have landed.
    pub(crate) async fn append(
        self,
        router: Incarnation,
        sequence: Sequence,
        bytes: Vec<u8>,
        limit: Duration,
    ) {
        let begun = Instant::now();
        let landed = self.append_raw(bytes, limit).await;
        self.desk.metrics.append(begun.elapsed());
        self.desk.tell(Event::Appended {
            router,
            sequence,
            landed,
        });
    }

    /// Appends a record to the ledger; false means that nobody knows whether it landed.
    pub(crate) async fn append_raw(&self, bytes: Vec<u8>, limit: Duration) -> bool {
        self.append_to(LEDGER, bytes, limit).await.is_some()
    }

    /// Appends a record to a stream and returns its offset, if the log says so.
    pub(crate) async fn append_to(
        &self,
        stream: &str,
        bytes: Vec<u8>,
        limit: Duration,
    ) -> Option<Offset> {
        let url = self.records(stream);
        let answer = self.desk.http.post(&url, Bytes::from(bytes), limit).await;
        let answer = answer.ok().filter(|answer| answer.status.is_success())?;
        let landed: Landed = serde_json::from_slice(&answer.body).ok()?;
        Some(landed.offset)
    }

    /// Follows a stream for ever; `wrap` makes the event that its records come in.
    ///
    /// Tells on `ready` once all that the stream held at the first read has been passed on.
    pub(crate) async fn follow(
        self,
        stream: &'static str,
        wrap: fn(Vec<Entry>) -> Event,
        ready: tokio::sync::oneshot::Sender<()>,
    ) {
        let mut from = Offset(0);
        let mut ready = Some(ready);
        loop {
            // The first reads only gather what is there; held open, they would delay the start.
            let wait = if ready.is_some() {
                Duration::ZERO
            } else {
                POLL
            };
            match self.read(stream, from, wait).await {
                Read::Page { entries, next } => {
                    let last = entries.last().map(|entry| Offset(entry.offset.0 + 1));
                    from = last.unwrap_or(from).max(from);
                    self.desk.tell(wrap(entries));
                    if from >= next
                        && let Some(ready) = ready.take()
                    {
                        let _ = ready.send(());
                    }
                }
                Read::Gone { first } => {
                    warn!(event = "log-let-go", stream, from = %from, %first);
                    from = self.pass_gap(stream, from, first).await;
                }
                Read::Failed => sleep(REST).await,
            }
        }
    }

    /// Returns where to read on when the log has let go of what was wanted.
    ///
    /// The configuration's stream has its checkpoints in it, so that it is read from where it begins. The ledger's are
    /// in a stream of their own, and reading goes on where the newest ends.
    async fn pass_gap(&self, stream: &str, from: Offset, first: Offset) -> Offset {
        if stream == CONFIG {
            return first;
        }
        self.desk.tell(Event::LedgerTruncated);
        sleep(REST).await;
        from.max(self.desk.ledger_next())
    }

    /// Reads records from an offset on, waiting so long if there are none.
    pub(crate) async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Read {
        let base = self.records(stream);
        let wait = wait.as_millis();
        let url = format!("{base}?from={from}&max={MAX_READ}&wait_ms={wait}");
        let Ok(answer) = self.desk.http.get(&url, READ).await else {
            return Read::Failed;
        };
        match answer.status.as_u16() {
            200 => read_page(&answer.body).unwrap_or(Read::Failed),
            410 => read_gone(&answer.body).unwrap_or(Read::Failed),
            _ => Read::Failed,
        }
    }
}

fn read_gone(body: &[u8]) -> Option<Read> {
    let gone: Gone = serde_json::from_slice(body).ok()?;
    Some(Read::Gone { first: gone.first })
}

fn read_page(body: &[u8]) -> Option<Read> {
    let page: Page = serde_json::from_slice(body).ok()?;
    let entries = page
        .records
        .into_iter()
        .map(read_row)
        .collect::<Option<_>>();
    Some(Read::Page {
        entries: entries?,
        next: page.next,
    })
}

fn read_row(row: Row) -> Option<Entry> {
    Some(Entry {
        offset: row.offset,
        at: row.at,
        data: BASE64_STANDARD.decode(row.data).ok()?,
    })
}
