//! Reads what the store has of the servers and the configuration beyond what was read before.

use std::sync::Arc;
use std::sync::Mutex;

use thiserror::Error;

use crate::clock::Clock;
use crate::edge::clock::SystemClock;
use crate::edge::desk::Desk;
use crate::edge::desk::lock;
use crate::platform::follow::Update;
use crate::platform::operator::apply_configs;
use crate::platform::record::Keyed;
use crate::platform::registry::Registry;
use crate::platform::start::OPERATOR;
use crate::platform::start::SERVERS;
use crate::platform::store::ReadError;
use crate::platform::store::Store;
use crate::router::Event;

/// Why the lists could not be read.
#[derive(Debug, Error)]
pub(crate) enum RefreshError {
    /// The list was not read before, so that it is not known where to go on.
    #[error("the list {0} was not read yet")]
    Unknown(&'static str),
    /// The store did not answer.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The configuration can't be decoded.
    #[error("the configuration can't be read")]
    Config,
}

/// The offset up to which a topic was decoded and passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cursor(Arc<Mutex<Option<u64>>>);

impl Cursor {
    /// Records that all before an offset was decoded and passed on.
    pub(crate) fn advance(&self, next: u64) {
        *lock(&self.0) = Some(next);
    }

    fn get(&self) -> Option<u64> {
        *lock(&self.0)
    }
}

/// The lists that the router follows.
#[derive(Clone)]
pub(crate) struct Lists {
    pub(crate) desk: Arc<Desk>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) servers: Cursor,
    pub(crate) operator: Cursor,
}

impl Lists {
    /// Passes to the core all that the store has now. The followers of the lists read the same records again: until the next
    /// read, an older record may bring back an endpoint that is gone.
    ///
    /// # Errors
    ///
    /// When a list can't be read to its end.
    pub(crate) async fn refresh(&self, store: &Store) -> Result<(), RefreshError> {
        let sent = SystemClock.now();
        let servers = read(store, SERVERS, &self.servers);
        let operator = read(store, OPERATOR, &self.operator);
        let (servers, operator) = tokio::try_join!(servers, operator)?;
        if apply_configs(&self.desk, &operator) == Some(false) {
            return Err(RefreshError::Config);
        }
        self.desk.tell(Event::TableConfirmed(sent));
        if !servers.is_empty() {
            self.registry
                .servers(SystemClock.now(), Update::Appended(servers));
        }
        Ok(())
    }
}

async fn read(
    store: &Store,
    topic: &'static str,
    cursor: &Cursor,
) -> Result<Vec<Keyed>, RefreshError> {
    let from = cursor.get().ok_or(RefreshError::Unknown(topic))?;
    let (records, _) = store.read_on(topic, from).await?;
    let records = records.into_iter().map(|(_, record)| record);
    Ok(records.collect())
}
