//! Claims: taking a request for this router before anything is sent to an endpoint.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::ids::RequestId;
use crate::ids::VmId;
use crate::ledger::Claim;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::ledger::Void;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Stake;
use crate::router::request::State;

/// When a caller may come back to a router that is cut off from the log.
pub(crate) const OUTAGE_RETRY: Duration = Duration::from_secs(2);

impl Core {
    /// Claims a request that has its budget and its endpoint.
    pub(crate) fn claim(&mut self, now: Instant, id: RequestId, endpoint: VmId) {
        let outage = self.in_outage(now);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // No other router has a request without a key, so that there is nobody to claim it from.
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
        request.claimed = Some(now);
        request.stake = Stake::Pushed;
        request.state = State::Claiming { endpoint };
        self.appender.push(record, Ticket::Claim(id));
        if outage {
            self.expire_unclaimed(now, id);
        }
    }

    /// Runs a request whose claim the log does not take, once others keep the claim.
    ///
    /// In a log outage a router serves from its holdings. The request may be run by another router as well, should its
    /// caller go there, and is then billed by one of them alone; for a request that may be repeated that is harm
    /// enough to bear, for another it is not.
    pub(crate) fn claim_kept(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let State::Claiming { endpoint } = &request.state
            && request.idempotent
            && self.may_run_unclaimed(now)
        {
            let endpoint = endpoint.clone();
            self.dispatch(now, id, endpoint);
        }
    }

    /// Refuses a request whose claim the log does not take and others can't keep.
    pub(crate) fn expire_unclaimed(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !(request.idempotent && self.may_run_unclaimed(now)) {
            let detail = "the log service can't be reached from here";
            let instead = self.other_address();
            let problem = Problem::new(ProblemKind::LogOutage, Ran::Unknown, detail);
            self.refuse_with(now, id, problem.retry_in(OUTAGE_RETRY).go_to(instead));
        }
    }

    /// Takes the fold's word on a claim.
    pub(crate) fn claim_verdict(&mut self, now: Instant, id: RequestId, verdict: Verdict) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(purse) = self.purses.get_mut(&request.team) {
            purse.settle(request.reserve);
        }
        match verdict {
            Verdict::Accepted => {
                request.stake = Stake::Held;
                self.claimed(now, id);
            }
            Verdict::Granted(_) => {}
            Verdict::Void(void) => {
                request.stake = Stake::None;
                self.claim_void(now, id, void);
            }
        }
    }

    fn claimed(&mut self, now: Instant, id: RequestId) {
        let request = &self.requests[&id];
        match &request.state {
            State::Claiming { endpoint } => {
                let endpoint = endpoint.clone();
                self.dispatch(now, id, endpoint);
            }
            State::Abandoned => self.release_claim(id),
            // It runs already, or its bill follows: the claim came late, after a log outage.
            _ => {}
        }
    }

    /// Gives up a claim whose request was never dispatched.
    pub(crate) fn release_claim(&mut self, id: RequestId) {
        let key = self.requests[&id].key.clone();
        let record = Record::Release { key };
        self.appender.push(record, Ticket::Release(id));
    }

    fn claim_void(&mut self, now: Instant, id: RequestId, void: Void) {
        info!(event = "claim-void", request = %id, cause = ?void);
        let request = &self.requests[&id];
        match &request.state {
            State::Claiming { .. } => self.claim_lost(now, id, void),
            State::Running { .. } => {
                // Run beside its claim in a log outage, and another router had it first: this run can't be billed.
                warn!(event = "run-unbillable", request = %id);
                self.abort_unbillable(now, id);
            }
            State::Abandoned => self.finish(now, id),
            _ => {}
        }
    }

    fn claim_lost(&mut self, now: Instant, id: RequestId, void: Void) {
        self.free_endpoint(now, id);
        match void {
            Void::Holding => self.fund(now, id),
            Void::Refused => {
                let detail = "an earlier refusal of this request reached the ledger first";
                self.refuse(now, id, ProblemKind::Overloaded, detail);
            }
            Void::Closed | Void::Sequence => {
                let detail = "this router was taken for dead by the others";
                self.refuse(now, id, ProblemKind::NotServing, detail);
            }
            _ => {
                // The ledger knows the key now: it waits for the other attempt, or is told what became of it.
                let key = self.requests[&id].key.clone();
                if self.active.get(&key) == Some(&id) {
                    self.active.shift_remove(&key);
                }
                self.go_in(now, id);
            }
        }
    }
}
