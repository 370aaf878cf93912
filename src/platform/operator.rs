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
}

impl Operator {
    /// Creates a translator that has read nothing yet.
    pub(crate) fn new(desk: Arc<Desk>) -> Self {
        Self {
            desk,
            drained: IndexSet::new(),
        }
    }

    /// Applies the result of a read, and returns whether its configuration could be decoded.
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
        let readable = apply_config(&self.desk, &records);
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

/// Passes the newest configuration, if there is one, to the core, and returns whether it could be decoded. Otherwise the
/// last one stays in force.
pub(super) fn apply_config(desk: &Desk, records: &[Keyed]) -> bool {
    let newest = records.iter().rfind(|record| record.key == config::KEY);
    let newest = newest.and_then(|record| record.value.as_ref());
    match newest.map(|text| config::decode(text)) {
        Some(Ok(table)) => desk.tell(Event::Table(Arc::new(table))),
        Some(Err(error)) => {
            warn!(event = "config-unreadable", %error);
            return false;
        }
        None => {}
    }
    true
}
