//! Follows a topic: reads the newest record of each key, and then the records that are appended.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;
use tracing::info;
use tracing::warn;

use crate::clock::Clock;
use crate::edge::clock::SystemClock;
use crate::platform::record::Keyed;
use crate::platform::store::ReadError;
use crate::platform::store::Store;

#[cfg(test)]
mod tests;

/// The pause after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// The interval at which repeated failures are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The page size, in KiB, for a topic of which only the newest records are needed.
const NEWEST_PAGE_KB: u32 = 64;

/// A topic, and how it is followed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Topic {
    pub(crate) name: &'static str,
    /// The pause between two reads. Records that are appended meanwhile are read together.
    pub(crate) interval: Duration,
    /// How long the store may hold a read open until there is a record.
    pub(crate) hold: Duration,
    pub(crate) mode: ReadMode,
}

/// Which records are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadMode {
    /// All records.
    All,
    /// The newest of each key, as soon as possible. Over a slow link, reading all records that were appended while the
    /// store was unreachable would take seconds, during which the newest one is not known.
    Newest,
}

/// Records that were read from a topic.
#[derive(Debug)]
pub(crate) enum Update {
    /// The newest records of all keys. Keys that are missing no longer exist.
    All(Vec<(String, Vec<u8>)>),
    /// Records that were appended since the last read; none if the read was held open in vain. A record without a value
    /// deletes its key.
    Appended(Vec<Keyed>),
}

impl Update {
    /// Returns the newest value of a key, `None` if it is gone; no answer if the update says nothing of the key.
    pub(crate) fn newest(&self, key: &str) -> Option<Option<&[u8]>> {
        match self {
            Self::All(rows) => {
                let row = rows.iter().find(|(name, _)| name == key);
                Some(row.map(|(_, value)| value.as_slice()))
            }
            Self::Appended(records) => {
                let record = records.iter().rfind(|record| record.key == key);
                record.map(|record| record.value.as_deref())
            }
        }
    }
}

/// The result of one read.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) update: Update,
    /// The offset of the next record.
    pub(crate) next: u64,
    /// A time at which the topic had no further records, if it had none. It is not later than the store's answer, which
    /// may have taken seconds to arrive.
    pub(crate) current: Option<Instant>,
}

/// Follows a topic without end, and delivers what is read.
pub(crate) async fn follow<F>(store: Store, topic: Topic, mut deliver: F)
where
    F: FnMut(Batch) + Send,
{
    let mut log = ReadLog::new(topic.name);
    let mut position = Position::Unknown;
    loop {
        let read = match position {
            Position::Unknown => read_all(&store, topic, &mut deliver).await,
            Position::At { from, hold } => {
                read_appended(&store, topic, from, hold, &mut deliver).await
            }
        };
        log.record(&read);
        match read {
            Ok(next) => {
                position = next;
                if position != Position::Unknown {
                    sleep(topic.interval).await;
                }
            }
            Err(ReadError::Gone { .. }) => position = Position::Unknown,
            Err(error) => {
                let unreadable = matches!(error, ReadError::Malformed(_));
                if unreadable || topic.mode == ReadMode::Newest {
                    position = Position::Unknown;
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Where the next read starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// At an offset; the read is held open for up to `hold`.
    At { from: u64, hold: Duration },
    /// Unknown, so that the newest records of all keys are read.
    Unknown,
}

async fn read_all<F>(store: &Store, topic: Topic, deliver: &mut F) -> Result<Position, ReadError>
where
    F: FnMut(Batch),
{
    let sent = SystemClock.now();
    let table = store.newest(topic.name).await?;
    let rows = table.rows.into_iter().map(|row| (row.key, row.value));
    deliver(Batch {
        update: Update::All(rows.collect()),
        next: table.end,
        current: Some(sent),
    });
    Ok(Position::At {
        from: table.end,
        hold: topic.hold,
    })
}

async fn read_appended<F>(
    store: &Store,
    topic: Topic,
    from: u64,
    hold: Duration,
    deliver: &mut F,
) -> Result<Position, ReadError>
where
    F: FnMut(Batch),
{
    let newest = topic.mode == ReadMode::Newest;
    let sent = SystemClock.now();
    let size = newest.then_some(NEWEST_PAGE_KB);
    let page = store.read(topic.name, from, hold, size).await?;
    // At an offset beyond the end, nothing would ever come.
    if page.end < from {
        let end = page.end;
        return Err(ReadError::Malformed(format!(
            "it ends at {end}, before {from}"
        )));
    }
    let next = from.saturating_add(page.records.len() as u64);
    let behind = next < page.end;
    if newest && behind {
        return Ok(Position::Unknown);
    }
    // A read without records was held open for the whole time. When a read with records was answered is not known.
    let empty = page.records.is_empty();
    let answered = match empty {
        true => SystemClock.now().min(sent + hold),
        false => sent,
    };
    let records = page.keyed(topic.name).into_iter();
    deliver(Batch {
        update: Update::Appended(records.map(|(_, record)| record).collect()),
        next,
        current: (!behind).then_some(answered),
    });
    // The records may have been on their way for seconds, so the next read checks at once whether there are newer ones.
    let hold = match newest && !empty {
        true => Duration::ZERO,
        false => topic.hold,
    };
    Ok(Position::At { from: next, hold })
}

/// Logs when a topic becomes unreachable or reachable.
struct ReadLog {
    topic: &'static str,
    /// Since when it is unreachable.
    since: Option<Instant>,
    logged: Option<Instant>,
}

impl ReadLog {
    fn new(topic: &'static str) -> Self {
        Self {
            topic,
            since: None,
            logged: None,
        }
    }

    fn record<T>(&mut self, read: &Result<T, ReadError>) {
        let now = SystemClock.now();
        let topic = self.topic;
        match read {
            Ok(_) => {
                if let Some(since) = self.since.take() {
                    let for_ms = (now - since).as_millis();
                    info!(event = "store-reachable", topic, for_ms);
                }
                self.logged = None;
            }
            Err(error) => {
                self.since.get_or_insert(now);
                if self.logged.is_none_or(|at| now >= at + LOG_INTERVAL) {
                    self.logged = Some(now);
                    warn!(event = "store-unreachable", topic, %error);
                }
            }
        }
    }
}
