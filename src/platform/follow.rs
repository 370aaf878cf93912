//! Following a topic: the newest record of each key, and then each record as it comes.

use std::time::Duration;

use tokio::time::sleep;
use tracing::info;
use tracing::warn;

use crate::platform::record::Keyed;
use crate::platform::store::ReadError;
use crate::platform::store::Store;

/// How long the store may hold a read open. An answer that is lost without a word is noticed after this and the time of a
/// call, so that it bounds how old the router's knowledge may grow unnoticed.
pub(crate) const HOLD: Duration = Duration::from_millis(2000);

/// How long to rest after a read that failed.
const FAILED: Duration = Duration::from_millis(150);

/// What a topic brings.
#[derive(Debug)]
pub(crate) enum News {
    /// All keys that it has, and nothing else.
    All(Vec<(String, Vec<u8>)>),
    /// Records that came since, or none while the read was held open; without a value the key is dropped.
    Some(Vec<Keyed>),
}

/// Follows a topic for ever, and tells what it brings with the offset that follows. `rest` is the time between two reads, in
/// which records gather to be read together.
pub(crate) async fn follow<F>(store: Store, topic: &'static str, rest: Duration, mut tell: F)
where
    F: FnMut(News, u64) + Send,
{
    let mut reached = true;
    let mut from = None;
    loop {
        let read = match from {
            None => begin(&store, topic, &mut tell).await,
            Some(from) => go_on(&store, topic, from, &mut tell).await,
        };
        if read.is_ok() != reached {
            reached = read.is_ok();
            match &read {
                Ok(_) => info!(event = "store-reachable", topic),
                Err(error) => warn!(event = "store-unreachable", topic, %error),
            }
        }
        match read {
            Ok(next) => {
                from = Some(next);
                sleep(rest).await;
            }
            Err(ReadError::Gone) => from = None,
            Err(_) => sleep(FAILED).await,
        }
    }
}

async fn begin<F>(store: &Store, topic: &str, tell: &mut F) -> Result<u64, ReadError>
where
    F: FnMut(News, u64),
{
    let table = store.newest(topic).await?;
    let rows = table.rows.into_iter().map(|row| (row.key, row.value));
    tell(News::All(rows.collect()), table.end);
    Ok(table.end)
}

async fn go_on<F>(store: &Store, topic: &str, from: u64, tell: &mut F) -> Result<u64, ReadError>
where
    F: FnMut(News, u64),
{
    let page = store.read(topic, from, HOLD, None).await?;
    let count = page.records.len() as u64;
    let mut records = Vec::new();
    for record in &page.records {
        match Keyed::decode(record) {
            Ok(record) => records.push(record),
            Err(error) => warn!(event = "record-unreadable", topic, %error),
        }
    }
    let next = from + count;
    tell(News::Some(records), next);
    Ok(next)
}
