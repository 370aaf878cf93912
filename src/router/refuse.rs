//! Refusals, and proofs that a refused request was not run.

use std::time::Instant;

use tracing::info;

use crate::decide::ConsistencyMode;
use crate::ids::Attempt;
use crate::ids::RequestId;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::event::Arrival;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Reservation;
use crate::router::request::State;

/// How it can be established that a request was not run.
enum Proof {
    /// It is known already.
    Known,
    /// A record in the ledger can prove it.
    Record,
    /// It can't be proved.
    None,
}

impl Core {
    /// Refuses a request that was not admitted.
    ///
    /// Without an account there is no key to look up, so only the attempt number 1 proves that it was not run. The
    /// number is out of date if the request lay in a socket buffer while the process was stopped: the caller may have
    /// gone on to another router, which ran it.
    pub(crate) fn refuse_arrival(&mut self, now: Instant, arrival: &Arrival, problem: Problem) {
        let ran = match arrival.attempt {
            Attempt(1) if !self.is_stale(now) => Ran::No,
            _ => Ran::Unknown,
        };
        let problem = Problem { ran, ..problem };
        info!(event = "refused", request = %arrival.id, kind = %problem.kind, ran = %problem.ran);
        self.effects
            .push(Effect::Refuse(arrival.id, Box::new(problem)));
    }

    /// Refuses a request that was never sent to an endpoint.
    pub(crate) fn refuse(&mut self, now: Instant, id: RequestId, kind: ProblemKind, detail: &str) {
        self.refuse_with(now, id, Problem::new(kind, Ran::Unknown, detail));
    }

    /// Refuses a request, and states that it was not run if that can be proved.
    pub(crate) fn refuse_with(&mut self, now: Instant, id: RequestId, problem: Problem) {
        self.withdraw(now, id);
        match self.proof(now, id) {
            Proof::Known => self.send_refusal(
                now,
                id,
                Problem {
                    ran: Ran::No,
                    ..problem
                },
            ),
            Proof::None => self.send_refusal(now, id, problem),
            Proof::Record => {
                let request = &mut self.requests[&id];
                let record = match request.reservation {
                    Reservation::Claimed => Record::Release {
                        key: request.key.clone(),
                    },
                    _ => Record::Refuse {
                        key: request.key.clone(),
                        attempt: request.attempt,
                    },
                };
                request.state = State::Proving {
                    problem: Box::new(problem),
                };
                self.appender.push(record, Ticket::Refuse(id));
            }
        }
    }

    /// Replaces the kind of a refusal whose status would promise that a request was not run, if the request has no key
    /// and may have run.
    fn correct_status(&self, id: RequestId, problem: Problem) -> Problem {
        let keyless = self
            .requests
            .get(&id)
            .is_some_and(|request| request.relay.is_some());
        if keyless
            && problem.ran != Ran::No
            && matches!(problem.kind.status(), 408 | 421 | 429 | 503)
        {
            return Problem {
                kind: ProblemKind::EndpointFailed,
                ..problem
            };
        }
        problem
    }

    fn proof(&mut self, now: Instant, id: RequestId) -> Proof {
        let Some(request) = self.requests.get(&id) else {
            return Proof::None;
        };
        if let Some(terms) = &request.relay {
            return match terms.runs {
                0 => Proof::Known,
                _ => Proof::None,
            };
        }
        let other_active = self
            .request_by_key
            .get(&request.key)
            .is_some_and(|other| *other != id);
        // A caller that does not count its attempts may have sent one that no router has read yet, and that will look
        // like a new request. The breadth-first check of the ledger finds such a run after a refusal, in ten steps.
        if request.attempt == Attempt(0) {
            return Proof::None;
        }
        // A pending claim may still be accepted, although this router will not act on it. The router of another attempt
        // may have acted on that attempt's claim.
        let claim_pending =
            request.reservation == Reservation::Pending && request.attempt != Attempt(1);
        if request.dispatched || other_active || claim_pending {
            return Proof::None;
        }
        let known = self.ledger.key(&request.key);
        let ran = known.is_some_and(|key| key.bill.is_some() || key.orphaned);
        if ran {
            return Proof::None;
        }
        if request.reservation == Reservation::Claimed {
            return match self.in_outage(now) {
                true => Proof::None,
                false => Proof::Record,
            };
        }
        if known.is_some_and(|key| key.claim.is_some()) {
            return Proof::None;
        }
        // A request from before a pause of the process may have been run elsewhere meanwhile; see `refuse_arrival`.
        if request.attempt == Attempt(1) && !self.is_stale(request.arrived_at) {
            return Proof::Known;
        }
        // A router that is cut off from the log may run a request whose claim only its peers know. Where a copy at one
        // peer is enough for that, this router need not be that peer.
        let unlogged_claim = self.tuning.lean == ConsistencyMode::Available
            || self.members.keeps_claim(&request.key);
        if unlogged_claim {
            return Proof::None;
        }
        match !self.in_outage(now) && self.is_serving() && self.refuse_limiter.try_acquire(now) {
            true => Proof::Record,
            false => Proof::None,
        }
    }

    /// Applies the verdict on the record that was to prove a refusal.
    pub(crate) fn apply_proof_verdict(&mut self, now: Instant, id: RequestId, verdict: &Verdict) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.reservation = Reservation::None;
        let State::Proving { problem } = &mut request.state else {
            self.finish(now, id);
            return;
        };
        let mut problem = problem.as_ref().clone();
        let not_run = self
            .ledger
            .key(&request.key)
            .is_some_and(|key| key.never_ran());
        problem.ran = match *verdict == Verdict::Accepted && not_run {
            true => Ran::No,
            false => Ran::Unknown,
        };
        self.send_refusal(now, id, problem);
    }

    /// Sends a refusal whose proof can no longer be obtained.
    pub(crate) fn abandon_proof(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self.requests.get(&id)
            && let State::Proving { problem } = &request.state
        {
            let problem = problem.as_ref().clone();
            self.send_refusal(now, id, problem);
        }
    }

    /// Sends a refusal as it is. The request's records in the ledger are settled afterwards.
    pub(crate) fn send_refusal(&mut self, now: Instant, id: RequestId, problem: Problem) {
        let problem = self.correct_status(id, problem);
        info!(event = "refused", request = %id, kind = %problem.kind, ran = %problem.ran);
        self.effects.push(Effect::Refuse(id, Box::new(problem)));
        self.abandon(now, id);
    }
}
