//! The operator's records: the configuration, and the failure domains that are drained.

use std::sync::Arc;

use indexmap::IndexSet;
use tracing::warn;

use crate::edge::desk::Desk;
use crate::ids::DomainId;
use crate::platform::config;
use crate::platform::follow::Batch;
use crate::platform::follow::Update;
use crate::platform::record::Keyed;
use crate::router::DrainedDomains;
use crate::router::Event;

/// The prefix of the keys that name a drained failure domain.
const DRAINED_PREFIX: &str = "evacuate/";

/// Translates the operator's records, and tells the core of each change.
pub(crate) struct Operator {
    desk: Arc<Desk>,
    drained: IndexSet<DomainId>,
    /// Whether the newest configuration could not be decoded.
    unreadable: bool,
}

impl Operator {
    /// Creates a translator that has read nothing yet.
    pub(crate) fn new(desk: Arc<Desk>) -> Self {
        Self {
            desk,
            drained: IndexSet::new(),
            unreadable: false,
        }
    }

    /// Applies the result of a read, and returns whether the newest configuration could be decoded.
    pub(crate) fn apply(&mut self, batch: Batch) -> bool {
        let records = match batch.update {
            Update::All(rows) => {
                self.drained.clear();
                let rows = rows.into_iter();
                rows.map(|(key, value)| Keyed {
                    key,
                    value: Some(value),
                })
                .collect()
            }
            Update::Appended(records) => records,
        };
        for record in &records {
            self.apply_drained(record);
        }
        // Drained domains come first, because the router starts to serve with the first configuration.
        self.desk.tell(Event::DrainedDomains(DrainedDomains {
            as_of: batch.next,
            domains: self.drained.clone(),
        }));
        if let Some(readable) = apply_configs(&self.desk, &records) {
            self.unreadable = !readable;
        }
        let readable = !self.unreadable;
        if let Some(at) = batch.current.filter(|_| readable) {
            self.desk.tell(Event::TableConfirmed(at));
        }
        readable
    }

    /// Records that a failure domain is drained, or no longer is.
    fn apply_drained(&mut self, record: &Keyed) {
        let Some(name) = record.key.strip_prefix(DRAINED_PREFIX) else {
            return;
        };
        let domain: DomainId = match name.parse() {
            Ok(domain) => domain,
            Err(error) => return warn!(event = "domain-unreadable", key = record.key, %error),
        };
        match record.value {
            Some(_) => drop(self.drained.insert(domain)),
            None => drop(self.drained.shift_remove(&domain)),
        }
    }
}

/// Passes each configuration to the core, and returns whether the last one could be decoded, if there is one. Each counts, since
/// a route may have led elsewhere for a moment. After one that can't be decoded the one before stays in force.
pub(super) fn apply_configs(desk: &Desk, records: &[Keyed]) -> Option<bool> {
    let configs = records.iter().filter(|record| record.key == config::KEY);
    let mut readable = None;
    for text in configs.filter_map(|record| record.value.as_ref()) {
        let table = config::decode(text);
        readable = Some(table.is_ok());
        match table {
            Ok(table) => desk.tell(Event::Table(Arc::new(table))),
            Err(error) => warn!(event = "config-unreadable", %error),
        }
    }
    readable
}
