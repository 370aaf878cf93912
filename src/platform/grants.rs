//! Reads and writes grants in the store.

use std::sync::Arc;

use tracing::warn;

use crate::decide::RoundId;
use crate::edge::desk::Desk;
use crate::edge::driver::GrantLog;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::escrow::Proposal;
use crate::escrow::RecordError;
use crate::ids::Offset;
use crate::platform::lists::Lists;
use crate::platform::record::Keyed;
use crate::platform::start::Listing;
use crate::platform::store::Append;
use crate::platform::store::ReadError;
use crate::platform::store::Store;
use crate::platform::streams;
use crate::router::Event;
use crate::router::GrantEvent;
use crate::router::StreamLogCall;

/// The topic of the grants.
const TOPIC: &str = "keyed.grants";

/// Reads and writes grants.
pub(crate) struct Grants {
    pub(crate) store: Store,
    pub(crate) desk: Arc<Desk>,
    /// This router's entry, which is removed when the router leaves.
    pub(crate) listing: Listing,
    pub(crate) lists: Lists,
}

impl GrantLog for Grants {
    fn propose(&self, proposal: Proposal) {
        let store = self.store.clone();
        let desk = self.desk.clone();
        tokio::spawn(async move {
            let event = propose(&store, &proposal).await;
            desk.tell(Event::Grants(event));
        });
    }

    fn read(&self, from: Option<Offset>) {
        let store = self.store.clone();
        let desk = self.desk.clone();
        tokio::spawn(async move {
            let event = match from {
                Some(from) => read(&store, from).await,
                None => newest(&store).await,
            };
            let event = event.unwrap_or_else(|error| match error {
                ReadError::Gone { .. } => GrantEvent::Gone,
                error => {
                    warn!(event = "grants-unread", %error);
                    GrantEvent::ReadFailed
                }
            });
            desk.tell(Event::Grants(event));
        });
    }

    fn call_streams(&self, call: StreamLogCall) {
        let store = self.store.clone();
        let desk = self.desk.clone();
        tokio::spawn(async move {
            let event = streams::call(&store, call).await;
            desk.tell(Event::StreamLog(event));
        });
    }

    fn refresh_lists(&self, round: RoundId) {
        let store = self.store.clone();
        let desk = self.desk.clone();
        let lists = self.lists.clone();
        tokio::spawn(async move {
            let read = lists.refresh(&store).await;
            let read = read.inspect_err(|error| warn!(event = "lists-unread", %error));
            desk.tell(Event::ListsRefreshed(round, read.is_ok()));
        });
    }

    fn leave(&self) {
        self.listing.leave();
    }
}

async fn propose(store: &Store, proposal: &Proposal) -> GrantEvent {
    let records: Vec<_> = proposal
        .records
        .iter()
        .map(|(key, row)| Keyed {
            key: key.to_string(),
            value: Some(row.encode()),
        })
        .collect();
    let at = proposal.at;
    match store.append(TOPIC, &records, Some(at.0)).await {
        Append::Landed => GrantEvent::Landed(at),
        Append::Moved => GrantEvent::Moved,
        Append::Refused => GrantEvent::Refused(at),
        Append::Lost => GrantEvent::Lost(at),
    }
}

pub(super) async fn read(store: &Store, from: Offset) -> Result<GrantEvent, ReadError> {
    let (records, next) = store.read_on(TOPIC, from.0).await?;
    let rows = records.into_iter().filter_map(|(offset, record)| {
        let value = record.value.unwrap_or_default();
        row(offset, &record.key, &value)
    });
    Ok(GrantEvent::Read {
        rows: rows.collect(),
        end: Offset(next),
    })
}

async fn newest(store: &Store) -> Result<GrantEvent, ReadError> {
    let table = store.newest(TOPIC).await?;
    let rows = table.rows.iter();
    Ok(GrantEvent::Read {
        rows: rows
            .filter_map(|r| row(r.offset, &r.key, &r.value))
            .collect(),
        end: Offset(table.end),
    })
}

/// Decodes one grant. One that can't be decoded indicates a fault of the router itself, since nobody else writes here.
fn row(offset: u64, key: &str, value: &[u8]) -> Option<(Offset, GrantKey, GrantRow)> {
    let read = || -> Result<_, RecordError> { Ok((key.parse()?, GrantRow::decode(value)?)) };
    match read() {
        Ok((key, row)) => Some((Offset(offset), key, row)),
        Err(error) => {
            warn!(event = "grant-unreadable", offset, %error);
            None
        }
    }
}
