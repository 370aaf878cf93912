//! Detects requests that crash endpoints, reports them to the fleet, and keeps them from being run again.

use std::time::Instant;

use tracing::warn;

use crate::decide::Isolation;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::ledger::Batch;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::router::core::Core;
use crate::router::core::Ticket;

impl Core {
    /// Returns whether a request is known to crash endpoints, to this router or to the fleet.
    pub(crate) fn is_poison(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let here = self.quarantine.isolation(request.fingerprint) == Isolation::Refused;
        here || self.ledger.quarantined(request.fingerprint)
    }

    /// Records that an endpoint crashed, and reports the suspected requests to the other routers through the ledger.
    pub(crate) fn record_crash(&mut self, now: Instant, endpoint: &VmId) {
        for request in self.quarantine.record_crash(now, endpoint) {
            warn!(event = "crash", %endpoint, %request);
            let record = Record::Crash {
                request,
                endpoint: endpoint.clone(),
            };
            self.appender.push(record, Ticket::Other);
        }
    }

    /// Learns of crashes that other routers reported.
    pub(crate) fn learn_crashes(&mut self, now: Instant, batch: &Batch, verdicts: &[Verdict]) {
        if batch.router == self.me {
            return;
        }
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            if let (Record::Crash { request, endpoint }, Verdict::Accepted) = (record, verdict) {
                self.quarantine.add_suspect(now, *request, endpoint);
            }
        }
    }
}
