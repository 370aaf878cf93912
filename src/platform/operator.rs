//! What the operator writes: the configuration, and which failure domains are drained.

use std::sync::Arc;

use indexmap::IndexSet;
use tracing::warn;

use crate::edge::desk::Desk;
use crate::ids::DomainId;
use crate::platform::config;
use crate::platform::follow::Batch;
use crate::platform::follow::News;
use crate::platform::record::Keyed;
use crate::router::DrainedDomains;
use crate::router::Event;

/// How the keys begin whose rest names a failure domain that is to get nothing new.
const DRAINED: &str = "evacuate/";

/// Translates the operator's records, and tells the core of each change.
pub(crate) struct Operator {
    desk: Arc<Desk>,
    drained: IndexSet<DomainId>,
}

impl Operator {
    /// Makes one that has read nothing.
    pub(crate) fn new(desk: Arc<Desk>) -> Self {
        Self {
            desk,
            drained: IndexSet::new(),
        }
    }

    /// Takes in what a read brought.
    pub(crate) fn take(&mut self, batch: Batch) {
        let records = match batch.news {
            News::All(rows) => {
                self.drained.clear();
                let rows = rows.into_iter();
                rows.map(|(key, value)| Keyed {
                    key,
                    value: Some(value),
                })
                .collect()
            }
            News::Some(records) => records,
        };
        for record in &records {
            self.take_drained(record);
        }
        // Before the configuration: the first one brings the router into service.
        self.desk.tell(Event::DrainedDomains(DrainedDomains {
            as_of: batch.next,
            domains: self.drained.clone(),
        }));
        let readable = self.take_config(&records);
        if let Some(at) = batch.current.filter(|_| readable) {
            self.desk.tell(Event::TableConfirmed(at));
        }
    }

    /// Notes that a failure domain is drained, or that it is no longer.
    fn take_drained(&mut self, record: &Keyed) {
        let Some(name) = record.key.strip_prefix(DRAINED) else {
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

    /// Tells the core of the newest configuration, if there is one, and returns whether it could be read; one that can't be
    /// read leaves the last one in force.
    fn take_config(&self, records: &[Keyed]) -> bool {
        let newest = records.iter().rfind(|record| record.key == config::KEY);
        let newest = newest.and_then(|record| record.value.as_ref());
        match newest.map(|text| config::decode(text)) {
            Some(Ok(table)) => self.desk.tell(Event::Table(Arc::new(table))),
            Some(Err(error)) => {
                warn!(event = "config-unreadable", %error);
                return false;
            }
            None => {}
        }
        true
    }
}
