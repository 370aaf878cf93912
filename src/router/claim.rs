//! Claims, which assign a request to this router before anything is sent to an endpoint.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::ids::RequestId;
use crate::ids::VmId;
use crate::ledger::Claim;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::ledger::VoidReason;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Reservation;
use crate::router::request::State;

/// Retry delay for callers of a router that is cut off from the log.
const OUTAGE_RETRY: Duration = Duration::from_secs(2);

impl Core {
    /// Claims a request that has its budget and its endpoint.
    pub(crate) fn claim(&mut self, now: Instant, id: RequestId, endpoint: VmId) {
        let outage = self.in_outage(now);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // A request without a key exists only at this router, so no claim is needed.
        if request.relay.is_some() {
            return self.dispatch(now, id, endpoint);
        }
        let record = Record::Claim(Claim {
            key: request.key.clone(),
            team: request.team.clone(),
            reserved: request.reserve,
            request: request.fingerprint,
            seen: request.seen,
            attempt: request.attempt,
            idempotent: request.idempotent,
            bearer: request.bearer,
        });
        request.claimed_at = Some(now);
        request.reservation = Reservation::Pending;
        request.state = State::Claiming { endpoint };
        self.appender.push(record, Ticket::Claim(id));
        if outage {
            self.refuse_unclaimable(now, id);
        }
    }

    /// Runs a request whose claim the log does not accept, once other routers hold a copy of the claim.
    ///
    /// During a log outage a router serves from its holdings. If the caller retries at another router, that router may
    /// run the request as well, and only one of the two bills it. This is acceptable for an idempotent request, but not
    /// for any other.
    pub(crate) fn run_kept_claim(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let State::Claiming { endpoint } = &request.state
            && request.idempotent
            && self.may_run_unclaimed(now)
        {
            let endpoint = endpoint.clone();
            self.dispatch_claimed(now, id, endpoint);
        }
    }

    /// Sends a claimed request to the endpoint that was chosen for it, or to another one if that endpoint crashed while
    /// the claim was on its way. It was not sent anywhere yet, so this is no retry.
    fn dispatch_claimed(&mut self, now: Instant, id: RequestId, endpoint: VmId) {
        let request = &self.requests[&id];
        let pool = self.pools.get(&request.pool);
        let crashed = pool.is_some_and(|pool| pool.picker.health.has_crashed(now, &endpoint));
        let other = crashed.then(|| self.pick_endpoint(now, id)).flatten();
        if other.is_some() {
            self.free_endpoint(now, id);
        }
        self.dispatch(now, id, other.unwrap_or(endpoint));
    }

    /// Refuses a request whose claim the log does not accept, unless it may run on other routers' copies of the claim.
    pub(crate) fn refuse_unclaimable(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !(request.idempotent && self.may_run_unclaimed(now)) {
            let detail = "the log service can't be reached from here";
            self.refuse_in_outage(now, id, detail);
        }
    }

    /// Refuses a request that can't proceed in a log outage, and names another router.
    pub(crate) fn refuse_in_outage(&mut self, now: Instant, id: RequestId, detail: &str) {
        let instead = self.alternate_address();
        let problem = Problem::new(ProblemKind::LogOutage, Ran::Unknown, detail);
        self.refuse_with(
            now,
            id,
            problem.with_retry(OUTAGE_RETRY).with_instead(instead),
        );
    }

    /// Applies the ledger's verdict on a claim.
    pub(crate) fn apply_claim_verdict(&mut self, now: Instant, id: RequestId, verdict: Verdict) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(budget) = self.ledger_budgets.get_mut(&request.team) {
            budget.end_debit(request.reserve);
        }
        match verdict {
            Verdict::Accepted => {
                request.reservation = Reservation::Claimed;
                self.claim_accepted(now, id);
            }
            Verdict::Granted(_) => {}
            Verdict::Void(void) => {
                request.reservation = Reservation::None;
                self.claim_void(now, id, void);
            }
        }
    }

    fn claim_accepted(&mut self, now: Instant, id: RequestId) {
        let request = &self.requests[&id];
        match &request.state {
            State::Claiming { endpoint } => {
                let endpoint = endpoint.clone();
                self.dispatch_claimed(now, id, endpoint);
            }
            State::Abandoned => self.release_claim(id),
            // It already runs or is being billed: the claim reached the log late, after an outage.
            _ => {}
        }
    }

    /// Releases the claim of a request that was never dispatched.
    pub(crate) fn release_claim(&mut self, id: RequestId) {
        let key = self.requests[&id].key.clone();
        let record = Record::Release { key };
        self.appender.push(record, Ticket::Release(id));
    }

    fn claim_void(&mut self, now: Instant, id: RequestId, void: VoidReason) {
        info!(event = "claim-void", request = %id, cause = ?void);
        let request = &self.requests[&id];
        match &request.state {
            State::Claiming { .. } => self.claim_lost(now, id, void),
            State::Running { .. } => {
                // It was run during a log outage, and another router's claim came first: this run can't be billed.
                warn!(event = "run-unbillable", request = %id);
                self.abort_unbillable(now, id);
            }
            State::Abandoned => self.finish(now, id),
            _ => {}
        }
    }

    fn claim_lost(&mut self, now: Instant, id: RequestId, void: VoidReason) {
        self.free_endpoint(now, id);
        match void {
            VoidReason::Holding => self.fund(now, id),
            VoidReason::Refused => {
                let detail = "an earlier refusal of this request reached the ledger first";
                self.refuse(now, id, ProblemKind::Overloaded, detail);
            }
            VoidReason::Closed | VoidReason::Sequence => {
                let detail = "this router was taken for dead by the others";
                self.refuse(now, id, ProblemKind::NotServing, detail);
            }
            _ => {
                // The ledger has the key now: the request waits for the other attempt, or gets its outcome.
                let key = self.requests[&id].key.clone();
                if self.request_by_key.get(&key) == Some(&id) {
                    self.request_by_key.shift_remove(&key);
                }
                self.proceed(now, id);
            }
        }
    }
}
