//! Refusals, and the proof that a refused request was not run.

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
use crate::router::request::Stake;
use crate::router::request::State;

/// How it can be known that a request was not run.
enum Proof {
    /// It is known.
    Known,
    /// The ledger can settle it.
    Record,
    /// It can't be.
    None,
}

impl Core {
    /// Refuses a request that was not admitted.
    ///
    /// Without an account there is no key to look up; only the caller's own word that it never tried before proves that
    /// it was not run. That word is old where the request lay in a socket while the process was stopped: its caller may
    /// have gone on to another router, which ran it.
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

    /// Refuses a request, saying that it was not run if that can be proved.
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
                let record = match request.stake {
                    Stake::Held => Record::Release {
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

    /// Changes a refusal of a request without a key that may have run: its status must not promise that it did not.
    fn keep_promises(&self, id: RequestId, problem: Problem) -> Problem {
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
        let elsewhere = self
            .active
            .get(&request.key)
            .is_some_and(|other| *other != id);
        // A caller that does not count its tries may have one on its way that no router has read, and that will look like a
        // new one. The breadth-first check of the fold finds that run after a refusal, in ten steps.
        if request.attempt == Attempt(0) {
            return Proof::None;
        }
        // A claim on its way may still be accepted, though this router will not act on it; another attempt's router
        // may have acted on that attempt's.
        let claiming = request.stake == Stake::Pushed && request.attempt != Attempt(1);
        if request.dispatched || elsewhere || claiming {
            return Proof::None;
        }
        let known = self.ledger.key(&request.key);
        let ran = known.is_some_and(|key| key.bill.is_some() || key.orphaned);
        if ran {
            return Proof::None;
        }
        if request.stake == Stake::Held {
            return match self.in_outage(now) {
                true => Proof::None,
                false => Proof::Record,
            };
        }
        if known.is_some_and(|key| key.claim.is_some()) {
            return Proof::None;
        }
        // What came before a pause may have been tried elsewhere during it, as above.
        if request.attempt == Attempt(1) && !self.is_stale(request.arrived) {
            return Proof::Known;
        }
        // A router that is cut off from the log may run what its peers alone know to be claimed; where one keeper is
        // enough for that, it need not be this router.
        let lone = self.tuning.lean == ConsistencyMode::Available
            || self.members.keeps_claim(&request.key);
        if lone {
            return Proof::None;
        }
        match !self.in_outage(now) && self.serving() && self.proofs.take(now) {
            true => Proof::Record,
            false => Proof::None,
        }
    }

    /// Takes the verdict of the record that was to prove a refusal.
    pub(crate) fn proof_verdict(&mut self, now: Instant, id: RequestId, verdict: &Verdict) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stake = Stake::None;
        let State::Proving { problem } = &mut request.state else {
            self.finish(now, id);
            return;
        };
        let mut problem = problem.as_ref().clone();
        let unrun = self
            .ledger
            .key(&request.key)
            .is_some_and(|key| key.is_unrun());
        problem.ran = match *verdict == Verdict::Accepted && unrun {
            true => Ran::No,
            false => Ran::Unknown,
        };
        self.send_refusal(now, id, problem);
    }

    /// Sends a refusal whose proof will not come.
    pub(crate) fn give_up_proof(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self.requests.get(&id)
            && let State::Proving { problem } = &request.state
        {
            let problem = problem.as_ref().clone();
            self.send_refusal(now, id, problem);
        }
    }

    /// Sends a refusal as it stands; what the ledger still has of the request is brought to its end behind it.
    pub(crate) fn send_refusal(&mut self, now: Instant, id: RequestId, problem: Problem) {
        let problem = self.keep_promises(id, problem);
        info!(event = "refused", request = %id, kind = %problem.kind, ran = %problem.ran);
        self.effects.push(Effect::Refuse(id, Box::new(problem)));
        self.abandon(now, id);
    }
}
