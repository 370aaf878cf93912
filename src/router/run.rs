//! Dispatches claimed requests to endpoints, and bills what their runs used.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::ledger::Bearer;
use crate::ledger::Outcome;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::effect::Run;
use crate::router::event::Usage;
use crate::router::event::Work;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::AnswerEnd;
use crate::router::request::Reservation;
use crate::router::request::State;
use crate::router::run_end::RunEnd;
use crate::tokens::Tokens;

/// When a caller whose endpoint failed may retry: the time it takes to eject a failing endpoint.
pub(crate) const FAILURE_RETRY: Duration = Duration::from_secs(1);

/// The detail of the problem that ends an answer whose endpoint failed.
pub(crate) const ENDPOINT_FAILED: &str = "the endpoint failed before the answer was whole";

/// How many endpoints one request may be sent to. A request that crashes its endpoints takes down at most this many.
const MAX_RUNS: usize = 3;

impl Core {
    /// Sends a request to its endpoint.
    pub(crate) fn dispatch(&mut self, now: Instant, id: RequestId, endpoint: VmId) {
        let address = self.endpoint_address(&self.requests[&id].pool, &endpoint);
        // The endpoint may have announced that since it was chosen, while the claim was on its way.
        let address = address.filter(|_| !self.announcements.turns_away(now, &endpoint));
        let Some(address) = address else {
            self.announcements.record_unsent(now, &endpoint, id);
            self.free_endpoint(now, id);
            self.retry_or_refuse(now, id, None);
            return;
        };
        let birth = self.endpoint_birth(&endpoint).flatten();
        let limited = self.announcements.limit(&endpoint).is_some()
            || self.is_slot_limited(&self.requests[&id].pool, &endpoint);
        let version = self.listed_version(&endpoint).flatten();
        let shown = version.as_ref().map(tracing::field::display);
        info!(event = "dispatch", request = %id, %endpoint, version = shown);
        let request = &mut self.requests[&id];
        request.dispatched = true;
        request.state = State::Running {
            endpoint: endpoint.clone(),
            birth,
            version,
            since: now,
            first_token: None,
        };
        let run = Run {
            endpoint: endpoint.clone(),
            address,
            key: request.key.clone(),
            team: request.team.clone(),
            limit: request.limit.0,
            priority: request.priority,
            claim_wait: request.claimed_at.map_or(Duration::ZERO, |at| now - at),
            idempotent: request.idempotent,
            limited,
            check: self.quarantine.is_suspect(request.fingerprint),
            relay: request.relay_run(),
        };
        self.effects.push(Effect::Run(id, Box::new(run)));
    }

    /// Records the arrival of the first token, or of the head of an answer.
    pub(crate) fn record_first_token(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && let State::Running {
                first_token,
                since,
                endpoint,
                ..
            } = &mut request.state
        {
            if first_token.is_none() {
                info!(event = "first", request = %id, %endpoint, took_ms = (now - *since).as_millis());
            }
            first_token.get_or_insert(now);
            self.record_prompt_read(now, id);
        }
        self.record_stream_begin(now, id);
        self.record_answer_head(now, id);
        self.record_read(now, id);
        self.settle_retry(now, id);
    }

    /// Handles the end of a run.
    pub(crate) fn handle_run_end(&mut self, now: Instant, id: RequestId, end: RunEnd) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !matches!(request.state, State::Running { .. }) {
            return;
        }
        let price = request.reserve;
        let relay = request.relay.is_some();
        info!(event = "run-ended", request = %id, end = end.name());
        self.record_run_read(now, id, &end);
        self.record_limited_read(now, id, &end);
        self.record_run_result(now, id, &end);
        self.settle_retry(now, id);
        if relay {
            self.handle_relay_end(now, id, end);
            return;
        }
        match end {
            RunEnd::Completed { usage } => {
                self.bill(id, usage.total(), Outcome::Whole, AnswerEnd::Withheld);
            }
            RunEnd::Answered { status, body } => {
                let outcome = Outcome::Answered { status, body };
                self.bill(id, price, outcome, AnswerEnd::Withheld);
            }
            RunEnd::NotRun { retry } => self.retry_or_refuse(now, id, retry),
            RunEnd::NoConnection => self.retry_or_refuse(now, id, None),
            RunEnd::Failed {
                usage,
                answer_begun,
                ..
            } => self.handle_broken_run(now, id, usage, answer_begun),
            RunEnd::CallerGone { usage } => self.bill_disconnected(id, usage),
            RunEnd::Unsent => self.handle_unsent_run(now, id),
        }
    }

    /// Bills a request. Once the bill is durable, the caller gets what `answer_end` says.
    fn bill(&mut self, id: RequestId, used: Tokens, outcome: Outcome, answer_end: AnswerEnd) {
        let request = &mut self.requests[&id];
        // A bill never exceeds the reservation, so the operator bears the remainder.
        let amount = used
            .saturating_add(request.charged_waste())
            .min(request.reserve);
        let credit = request.reserve - amount;
        request.state = State::Billing { answer_end };
        let team = request.team.clone();
        let record = Record::Bill {
            key: request.key.clone(),
            amount,
            outcome,
        };
        self.ledger_budgets
            .entry(team.clone())
            .or_default()
            .credit(credit);
        let ticket = Ticket::Bill {
            request: id,
            team,
            credit,
        };
        self.appender.push(record, ticket);
    }

    /// Handles the ledger's verdict on a bill.
    pub(crate) fn bill_verdict(&mut self, now: Instant, id: RequestId, verdict: &Verdict) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.reservation = Reservation::None;
        let State::Billing { answer_end } = &request.state else {
            self.finish(now, id);
            return;
        };
        match (verdict, answer_end) {
            (Verdict::Accepted, AnswerEnd::Withheld) => {
                info!(event = "billed", request = %id);
                self.effects.push(Effect::FinishAnswer(id));
            }
            (Verdict::Accepted, AnswerEnd::Released | AnswerEnd::None) => {}
            (_, AnswerEnd::Withheld) => {
                warn!(event = "bill-void", request = %id, ?verdict);
                let detail = "the bill did not take effect; send it again to have it whole";
                self.abort_answer(id, detail);
            }
            (_, AnswerEnd::Released | AnswerEnd::None) => {
                warn!(event = "bill-void", request = %id, ?verdict);
            }
        }
        self.finish(now, id);
    }

    /// Retries a request on another endpoint after its endpoint did not run it, or refuses the request.
    fn retry_or_refuse(&mut self, now: Instant, id: RequestId, retry: Option<Duration>) {
        let request = &mut self.requests[&id];
        request.dispatched = request.wasted > Tokens::ZERO;
        if self.retry_elsewhere(now, id) {
            return;
        }
        if self.requests[&id].wasted > Tokens::ZERO {
            self.fail_unanswered(now, id);
            return;
        }
        let detail = "no endpoint took the request";
        let problem = Problem::new(ProblemKind::NoEndpoint, Ran::Unknown, detail);
        let problem = problem.with_retry(retry.unwrap_or(FAILURE_RETRY));
        self.refuse_with(now, id, problem);
    }

    /// Sends a request to another endpoint, if one is available and the retry budget allows it.
    ///
    /// When many endpoints fail, each retry adds load where there is the least capacity for it. Without the budget,
    /// retries would keep the remaining endpoints overloaded.
    pub(crate) fn retry_elsewhere(&mut self, now: Instant, id: RequestId) -> bool {
        let attempts = self.requests[&id].failed_endpoints.len();
        if attempts >= MAX_RUNS || self.is_poison(now, id) {
            return false;
        }
        let pool = self.requests[&id].pool.clone();
        let reserved = self.requests[&id].reserved_retry.is_some();
        if !reserved && !self.retry_budget(now, &pool).has_retry(now) {
            self.log_refused_retry(id, pool);
            return false;
        }
        let Some(endpoint) = self.pick_endpoint(now, id) else {
            return false;
        };
        let reserved = self.requests[&id].reserved_retry.take();
        let retry = reserved.or_else(|| self.retry_budget(now, &pool).try_retry(now));
        self.requests[&id].retry = retry;
        info!(event = "retry", request = %id, %endpoint, %pool);
        self.effects.push(Effect::CountRetry { pool, sent: true });
        self.dispatch(now, id, endpoint);
        true
    }

    /// Logs and counts a retry that its pool's budget did not allow.
    pub(crate) fn log_refused_retry(&mut self, id: RequestId, pool: PoolId) {
        info!(event = "retry-refused", request = %id, %pool);
        self.effects.push(Effect::CountRetry { pool, sent: false });
    }

    /// Handles a run whose endpoint failed after it had received the request.
    fn handle_broken_run(
        &mut self,
        now: Instant,
        id: RequestId,
        usage: Option<Usage>,
        answer_begun: bool,
    ) {
        let request = &mut self.requests[&id];
        let used = usage.map_or(request.reserve, Usage::total);
        if !request.idempotent {
            let charged = match request.bearer {
                Bearer::Team => request.reserve,
                Bearer::House => Tokens::ZERO,
            };
            let detail = "the service had the call when its connection broke; ask the service whether it took effect";
            self.refuse_running(id, ProblemKind::OutcomeUnknown, detail);
            self.bill(id, charged, Outcome::Unknown, AnswerEnd::None);
            return;
        }
        if !answer_begun {
            request.wasted = request.wasted.saturating_add(used).min(request.reserve);
            if self.retry_elsewhere(now, id) {
                return;
            }
            self.fail_unanswered(now, id);
            return;
        }
        self.fail(id, used);
    }

    /// Ends a request of whose answer nothing reached the caller, because its runs failed.
    fn fail_unanswered(&mut self, now: Instant, id: RequestId) {
        self.abort_answer(id, ENDPOINT_FAILED);
        self.settle_unanswered(now, id);
    }

    /// Settles the claim of a request of whose answer nothing reached the caller.
    ///
    /// A request that was billed before may run a few more times, each of which may give its caller another answer. A run
    /// that gave none and costs the team nothing does not count as one of them: its claim is released. Otherwise a caller
    /// that meets only failing endpoints would be told that its request is finished.
    fn settle_unanswered(&mut self, now: Instant, id: RequestId) {
        let request = &self.requests[&id];
        let key = self.ledger.key(&request.key);
        let billed = key.is_some_and(|key| key.bill.is_some());
        if billed && request.charged_waste() == Tokens::ZERO {
            self.abandon(now, id);
        } else {
            self.bill(id, Tokens::ZERO, Outcome::Cut, AnswerEnd::None);
        }
    }

    /// Ends a request whose run failed and is not retried, and bills what it used.
    fn fail(&mut self, id: RequestId, used: Tokens) {
        self.abort_answer(id, ENDPOINT_FAILED);
        self.bill(id, used, Outcome::Cut, AnswerEnd::None);
    }

    fn abort_answer(&mut self, id: RequestId, detail: &str) {
        let problem = Problem::new(ProblemKind::EndpointFailed, Ran::Unknown, detail);
        let problem = problem.with_retry(FAILURE_RETRY);
        self.effects.push(Effect::Abort(id, Box::new(problem)));
    }

    fn refuse_running(&mut self, id: RequestId, kind: ProblemKind, detail: &str) {
        let problem = Problem::new(kind, Ran::Unknown, detail);
        self.effects.push(Effect::Abort(id, Box::new(problem)));
    }

    /// Ends a request whose caller had already disconnected when it was dispatched.
    ///
    /// There will be no answer. If its claim stayed open, every retry would be told that the request is in progress.
    fn handle_unsent_run(&mut self, now: Instant, id: RequestId) {
        let request = &mut self.requests[&id];
        request.dispatched = request.wasted > Tokens::ZERO;
        match request.dispatched {
            true => self.settle_unanswered(now, id),
            false => self.abandon(now, id),
        }
    }

    /// Bills what was generated for a caller before it disconnected.
    fn bill_disconnected(&mut self, id: RequestId, usage: Option<Usage>) {
        let request = &self.requests[&id];
        let (used, outcome) = match (&request.work, request.idempotent) {
            (Work::Completion { .. }, _) => {
                let used = usage.map_or(request.reserve, Usage::total);
                (used, Outcome::Cut)
            }
            // The call continues at the service and costs its full price.
            (Work::Call { .. } | Work::Relay(_), _) => (request.reserve, Outcome::Cut),
        };
        self.bill(id, used, outcome, AnswerEnd::None);
    }

    /// Ends a request that can no longer be billed.
    pub(crate) fn abort_unbillable(&mut self, now: Instant, id: RequestId) {
        let released = matches!(
            self.requests[&id].state,
            State::Billing {
                answer_end: AnswerEnd::Released | AnswerEnd::None
            }
        );
        if !released {
            let detail =
                "this router was taken for dead by the others, so the answer could not be billed";
            self.abort_answer(id, detail);
        }
        self.free_endpoint(now, id);
        self.finish(now, id);
    }

    /// Handles a caller that disconnects before its answer begins.
    pub(crate) fn handle_disconnect(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match &request.state {
            // A call continues without its caller, and a retry is answered with its outcome. For a completion, the
            // end of its run follows: `CallerGone`, or `Unsent` if nobody sent it.
            State::Running { .. } => {}
            State::Billing { .. } => {
                self.requests[&id].state = State::Billing {
                    answer_end: AnswerEnd::None,
                };
            }
            _ => {
                info!(event = "hung-up", request = %id);
                self.withdraw(now, id);
                self.abandon(now, id);
            }
        }
    }

    /// Removes a request from whatever it waits for.
    pub(crate) fn withdraw(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.state {
            State::Queued => self.cancel_queued(now, id),
            State::Funding { .. } if request.relay.is_some() => {
                let team = request.team.clone();
                self.grant_budgets.remove_waiting(&team, id);
            }
            State::Claiming { .. } => self.free_endpoint(now, id),
            _ => {}
        }
    }

    /// Drops a request whose caller needs nothing more, once the ledger holds no claim of it.
    pub(crate) fn abandon(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.state = State::Abandoned;
        match request.reservation {
            Reservation::None | Reservation::Funded | Reservation::Granted(_) => {
                self.finish(now, id);
            }
            Reservation::Pending => {}
            Reservation::Claimed => self.release_claim(id),
        }
    }

    /// Removes a request and releases what is held for it.
    pub(crate) fn finish(&mut self, now: Instant, id: RequestId) {
        self.settle_retry(now, id);
        self.unread.finish(id);
        let Some(mut request) = self.requests.swap_remove(&id) else {
            return;
        };
        if let Some(retry) = request.reserved_retry.take() {
            self.retry_budget(now, &request.pool).settle(now, retry);
        }
        let took = now.saturating_duration_since(request.arrived_at);
        info!(event = "finished", request = %id, took_ms = took.as_millis());
        match request.reservation {
            Reservation::Granted(reserved) => {
                let team = &request.team;
                let used = request.relay.map_or(Tokens::ZERO, |terms| terms.used);
                info!(event = "settled", request = %id, %team, reserved = %reserved.amount(), %used);
                self.grant_budgets.settle(team, reserved, used);
            }
            Reservation::Funded => {
                if let Some(budget) = self.ledger_budgets.get_mut(&request.team) {
                    budget.end_debit(request.reserve);
                }
            }
            Reservation::None | Reservation::Pending | Reservation::Claimed => {}
        }
        if self.request_by_key.get(&request.key) == Some(&id) {
            self.request_by_key.swap_remove(&request.key);
        }
        if request.entered {
            self.leave_account(&request.key.account);
        }
        self.recheck_contended(now);
    }
}
