//! Following a topic: the newest record of each key, and then each record as it comes.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;
use tracing::info;
use tracing::warn;

use crate::clock::Clock;
use crate::edge::clock::SystemClock;
use crate::platform::record::Keyed;
use crate::platform::record::Page;
use crate::platform::store::ReadError;
use crate::platform::store::Store;

#[cfg(test)]
mod tests;

/// How long to rest after a read that failed.
const FAILED: Duration = Duration::from_millis(150);

/// How often a read that fails again is logged.
const TELL: Duration = Duration::from_secs(1);

/// How many KiB one read of a topic brings of which only the newest records count.
const NEWEST_KB: u32 = 64;

/// Which topic is followed, and how.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Topic {
    pub(crate) name: &'static str,
    /// The time between two reads, in which records gather to be read together.
    pub(crate) rest: Duration,
    /// How long the store may hold a read open.
    pub(crate) hold: Duration,
    pub(crate) wanted: Wanted,
}

/// Which records are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wanted {
    /// Each of them.
    Each,
    /// The newest of each key, as soon as there is one. Over a slow link those that came while the store was out of reach
    /// take seconds, in which the newest one is not known.
    Newest,
}

/// What a topic brings.
#[derive(Debug)]
pub(crate) enum News {
    /// All keys that it has, and nothing else.
    All(Vec<(String, Vec<u8>)>),
    /// Records that came since, or none while the read was held open; without a value the key is dropped.
    Some(Vec<Keyed>),
}

/// What one read brought.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) news: News,
    /// The offset that follows.
    pub(crate) next: u64,
    /// When there was nothing beyond that, if so: a moment that had come when the store answered. The answer itself may have
    /// been on its way for seconds.
    pub(crate) current: Option<Instant>,
}

/// Follows a topic for ever, and tells what it brings.
pub(crate) async fn follow<F>(store: Store, topic: Topic, mut tell: F)
where
    F: FnMut(Batch) + Send,
{
    let mut log = ReadLog::new(topic.name);
    let mut place = Place::Unknown;
    loop {
        let read = match place {
            Place::Unknown => begin(&store, topic, &mut tell).await,
            Place::At { from, hold } => go_on(&store, topic, from, hold, &mut tell).await,
        };
        log.note(&read);
        match read {
            Ok(next) => {
                place = next;
                if place != Place::Unknown {
                    sleep(topic.rest).await;
                }
            }
            Err(ReadError::Gone) => place = Place::Unknown,
            Err(_) => {
                if topic.wanted == Wanted::Newest {
                    place = Place::Unknown;
                }
                sleep(FAILED).await;
            }
        }
    }
}

/// Where to read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// From an offset on, held open for so long.
    At { from: u64, hold: Duration },
    /// All keys.
    Unknown,
}

async fn begin<F>(store: &Store, topic: Topic, tell: &mut F) -> Result<Place, ReadError>
where
    F: FnMut(Batch),
{
    let sent = SystemClock.now();
    let table = store.newest(topic.name).await?;
    let rows = table.rows.into_iter().map(|row| (row.key, row.value));
    tell(Batch {
        news: News::All(rows.collect()),
        next: table.end,
        current: Some(sent),
    });
    Ok(Place::At {
        from: table.end,
        hold: topic.hold,
    })
}

async fn go_on<F>(
    store: &Store,
    topic: Topic,
    from: u64,
    hold: Duration,
    tell: &mut F,
) -> Result<Place, ReadError>
where
    F: FnMut(Batch),
{
    let newest = topic.wanted == Wanted::Newest;
    let sent = SystemClock.now();
    let size = newest.then_some(NEWEST_KB);
    let page = store.read(topic.name, from, hold, size).await?;
    let next = from + page.records.len() as u64;
    let behind = next < page.end;
    if newest && behind {
        return Ok(Place::Unknown);
    }
    // A read that brings nothing was held open to its end; when one that brings something was answered is not known.
    let empty = page.records.is_empty();
    let answered = match empty {
        true => SystemClock.now().min(sent + hold),
        false => sent,
    };
    tell(Batch {
        news: News::Some(records(topic.name, &page)),
        next,
        current: (!behind).then_some(answered),
    });
    // What came may be seconds old, so whether it is the newest is asked at once.
    let hold = match newest && !empty {
        true => Duration::ZERO,
        false => topic.hold,
    };
    Ok(Place::At { from: next, hold })
}

fn records(topic: &str, page: &Page) -> Vec<Keyed> {
    let mut records = Vec::new();
    for record in &page.records {
        match Keyed::decode(record) {
            Ok(record) => records.push(record),
            Err(error) => warn!(event = "record-unreadable", topic, %error),
        }
    }
    records
}

/// Logs whether a topic can be read.
struct ReadLog {
    topic: &'static str,
    /// Since when it cannot.
    since: Option<Instant>,
    told: Option<Instant>,
}

impl ReadLog {
    fn new(topic: &'static str) -> Self {
        Self {
            topic,
            since: None,
            told: None,
        }
    }

    fn note<T>(&mut self, read: &Result<T, ReadError>) {
        let now = SystemClock.now();
        let topic = self.topic;
        match read {
            Ok(_) => {
                if let Some(since) = self.since.take() {
                    let for_ms = (now - since).as_millis();
                    info!(event = "store-reachable", topic, for_ms);
                }
                self.told = None;
            }
            Err(error) => {
                self.since.get_or_insert(now);
                if self.told.is_none_or(|at| now >= at + TELL) {
                    self.told = Some(now);
                    warn!(event = "store-unreachable", topic, %error);
                }
            }
        }
    }
}
