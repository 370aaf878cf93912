//! Reads and writes in the store what is to outlive a kill of all routers: what began streams, the versions of pools, and
//! crashes of endpoints.

use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::warn;

use crate::ids::Offset;
use crate::platform::record::Keyed;
use crate::platform::store::Append;
use crate::platform::store::Newest;
use crate::platform::store::ReadError;
use crate::platform::store::Store;
use crate::router::StreamLogCall;
use crate::router::StreamLogEvent;
use crate::router::StreamRecord;

/// The topic of streams, whose old records the store deletes.
const STREAMS: &str = "streams";

/// The topic of versions, of which the store retains the newest record of each pool.
const VERSIONS: &str = "keyed.versions";

/// The topic of crashes, and the key of its only record.
const CRASHES: &str = "keyed.crashes";
const ALL: &str = "all";

/// Makes a call, and returns what came of it.
pub(crate) async fn call(store: &Store, call: StreamLogCall) -> StreamLogEvent {
    match call {
        StreamLogCall::Append(records) => {
            let records: Vec<_> = records.iter().map(|r| keyed("", r)).collect();
            StreamLogEvent::Appended(append(store, STREAMS, &records, None).await)
        }
        StreamLogCall::WriteVersions(record) => {
            let records = [keyed(record.pool.as_str(), &record)];
            let written = append(store, VERSIONS, &records, None).await;
            StreamLogEvent::VersionsWritten(record, written)
        }
        StreamLogCall::WriteCrashes(record, Offset(end)) => {
            let written = append(store, CRASHES, &[keyed(ALL, &record)], Some(end)).await;
            StreamLogEvent::CrashesWritten(written.then(|| Offset(end.saturating_add(1))))
        }
        StreamLogCall::ReadCrashes => {
            let table = store.newest(CRASHES).await;
            let table = answered(CRASHES, table);
            StreamLogEvent::CrashesRead(table.map(|table| {
                let row = table.rows.iter().find(|row| row.key == ALL);
                let record = row.and_then(|row| decode(CRASHES, &row.value));
                (record, Offset(table.end))
            }))
        }
        StreamLogCall::Read(from) => {
            let read = read(store, from.map_or(0, |from| from.0)).await;
            StreamLogEvent::Read(answered(STREAMS, read))
        }
        StreamLogCall::ReadVersions => {
            let table = store.newest(VERSIONS).await;
            let table = answered(VERSIONS, table).map(|table| table.rows);
            let records = |rows: Vec<_>| {
                let rows = rows.into_iter();
                rows.filter_map(|row: Newest| decode(VERSIONS, &row.value))
            };
            StreamLogEvent::VersionsRead(table.map(|rows| records(rows).collect()))
        }
    }
}

async fn append(store: &Store, topic: &str, records: &[Keyed], at: Option<u64>) -> bool {
    let append = store.append(topic, records, at).await;
    if append != Append::Landed {
        warn!(event = "streams-unwritten", topic, ?append);
    }
    append == Append::Landed
}

/// Reads all streams from an offset on that are retained.
async fn read(store: &Store, from: u64) -> Result<(Vec<StreamRecord>, Offset), ReadError> {
    let mut from = from;
    let (records, next) = loop {
        match store.read_on(STREAMS, from).await {
            Err(ReadError::Gone { first: Some(first) }) if first > from => from = first,
            read => break read?,
        }
    };
    let values = records.into_iter();
    let values = values.map(|(_, record)| record.value.unwrap_or_default());
    let records = values.filter_map(|value| decode(STREAMS, &value));
    Ok((records.collect(), Offset(next)))
}

fn answered<T>(topic: &str, read: Result<T, ReadError>) -> Option<T> {
    let read = read.inspect_err(|error| warn!(event = "streams-unread", topic, %error));
    read.ok()
}

fn keyed<T>(key: &str, record: &T) -> Keyed
where
    T: Serialize,
{
    Keyed {
        key: key.to_owned(),
        value: Some(postcard::to_stdvec(record).expect("names and numbers can be encoded")),
    }
}

/// Decodes a record. One that can't be decoded is of another version of the router.
fn decode<T>(topic: &str, value: &[u8]) -> Option<T>
where
    T: DeserializeOwned,
{
    let read = postcard::from_bytes(value);
    let read = read.inspect_err(|error| warn!(event = "record-unreadable", topic, %error));
    read.ok()
}
