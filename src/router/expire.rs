//! Requests whose deadlines pass, and those that cannot proceed in a log outage.

use std::time::Duration;
use std::time::Instant;

use crate::ids::RequestId;
use crate::router::core::Core;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::State;
use crate::router::run::FAILURE_RETRY;

/// How long a request waits for budget that cannot be drawn in a log outage. Short hiccups of the log are over by then.
const FUNDING_TIMEOUT: Duration = Duration::from_secs(2);

impl Core {
    /// Ends requests that waited past their deadline, and those that cannot proceed in a log outage.
    pub(crate) fn expire_requests(&mut self, now: Instant) {
        let outage = self.in_outage(now);
        let expired: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| now >= r.deadline || (outage && r.state.needs_log()))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.expire_request(now, id);
        }
    }

    fn expire_request(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let overdue = now >= request.deadline;
        let outage = self.in_outage(now);
        match &request.state {
            State::Running { .. } if overdue => self.stop_relay(id),
            State::Contended if overdue => self.refuse_contended(now, id),
            State::Funding { .. } if overdue => {
                let detail = "the wait for the team's budget outlasted the deadline";
                self.refuse(now, id, ProblemKind::BudgetSpent, detail);
            }
            State::Confirming if overdue => {
                let detail = "the lists were not confirmed to be current in time";
                self.refuse(now, id, ProblemKind::NoEndpoint, detail);
            }
            State::Locating { .. } if overdue => {
                let detail = "the routers that were asked about the stream did not answer in time";
                self.refuse(now, id, ProblemKind::NoEndpoint, detail);
            }
            State::Seeking { .. } if overdue => {
                let detail = "the log was not searched for the stream in time";
                self.refuse(now, id, ProblemKind::NoEndpoint, detail);
            }
            State::Queued if overdue => {
                let detail = "the wait for an endpoint outlasted the deadline";
                self.refuse(now, id, ProblemKind::Overloaded, detail);
            }
            State::Funding { .. } if outage && now >= request.arrived_at + FUNDING_TIMEOUT => {
                let detail = "the log service can't be reached, and this router holds too little of the budget";
                self.refuse_in_outage(now, id, detail);
            }
            State::Claiming { .. } if overdue => {
                let detail = "the log service did not take the claim in time";
                self.refuse(now, id, ProblemKind::LogOutage, detail);
            }
            State::Claiming { .. } => self.refuse_unclaimable(now, id),
            State::Proving { .. } => self.abandon_proof(now, id),
            _ => {}
        }
    }

    fn refuse_contended(&mut self, now: Instant, id: RequestId) {
        let at = self.claim_holder(id).map(str::to_owned);
        let detail = "another attempt of the request is in progress";
        let problem = Problem::new(ProblemKind::InProgress, Ran::Unknown, detail);
        self.send_refusal(now, id, problem.with_retry(FAILURE_RETRY).with_instead(at));
    }
}
