//! Detects requests that crash endpoints, reports them to the fleet, and keeps them from being run again; and keeps other
//! requests away from the endpoints that crashed.

use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::decide::Isolation;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::ledger::Batch;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::router::core::Core;
use crate::router::core::Phase;
use crate::router::core::Ticket;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::State;
use crate::router::run::FAILURE_RETRY;

impl Core {
    /// Returns whether a request is known to crash endpoints, to this router or to the fleet.
    pub(crate) fn is_poison(&self, now: Instant, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let here = self.quarantine.isolation(request.fingerprint) == Isolation::Refused;
        here || self.ledger.quarantined(request.fingerprint)
            || self.quarantine_left(now, request).is_some()
    }

    /// Records that an endpoint crashed, and reports the suspected requests to the other routers through the ledger.
    pub(crate) fn record_crash(&mut self, now: Instant, endpoint: &VmId) {
        self.mark_crashed(now, endpoint);
        for request in self.quarantine.record_crash(now, endpoint) {
            warn!(event = "crash", %endpoint, %request);
            let record = Record::Crash {
                request,
                endpoint: endpoint.clone(),
            };
            self.appender.push(record, Ticket::Other);
        }
    }

    /// Has requests go to other endpoints than one that crashed.
    pub(crate) fn mark_crashed(&mut self, now: Instant, endpoint: &VmId) {
        info!(event = "endpoint-crashed", %endpoint);
        for pool in self.pools.values_mut() {
            pool.picker.health.record_crash(now, endpoint);
        }
    }

    /// Refuses a queued suspect if all endpoints on which this router may run suspects crashed. Those of other routers may
    /// serve.
    pub(crate) fn refuse_unservable_suspect(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let suspect = self.quarantine.is_suspect(request.fingerprint);
        if !suspect || !matches!(request.state, State::Queued) {
            return;
        }
        let routers = self.members.vm_index.serving_vms();
        let pool = self.pools.get(&request.pool);
        let me = &self.tuning.vm;
        if !pool.is_some_and(|pool| pool.picker.suspect_endpoints_crashed(now, me, &routers)) {
            return;
        }
        let detail =
            "it ran where an endpoint crashed, and all endpoints that may run it here are down";
        let instead = self.alternate_address();
        let problem = Problem::new(ProblemKind::NoEndpoint, Ran::Unknown, detail);
        let problem = problem.with_retry(FAILURE_RETRY).with_instead(instead);
        self.refuse_with(now, id, problem);
    }

    /// Learns of crashes that other routers reported.
    pub(crate) fn learn_crashes(&mut self, now: Instant, batch: &Batch, verdicts: &[Verdict]) {
        if batch.router == self.me {
            return;
        }
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            if let (Record::Crash { request, endpoint }, Verdict::Accepted) = (record, verdict) {
                self.quarantine.add_suspect(now, *request, endpoint);
                // While the log is read from its start, crashes may be of any age.
                if self.phase != Phase::CatchingUp {
                    self.mark_crashed(now, endpoint);
                }
            }
        }
    }
}
