//! Requests that are passed on as they came: without a key of the caller's, each is one attempt and ends with its
//! connection.

use std::time::Instant;

use rand::RngExt;
use tracing::info;

use crate::config::PathRoute;
use crate::config::Repeat;
use crate::config::RouteTable;
use crate::ids::AccountId;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::ids::TeamId;
use crate::ledger::Bearer;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::core::Phase;
use crate::router::effect::Effect;
use crate::router::effect::RelayRun;
use crate::router::event::Arrival;
use crate::router::event::Relay;
use crate::router::event::RunEnd;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::RelayTerms;
use crate::router::request::Request;
use crate::router::request::Reservation;
use crate::router::request::State;
use crate::router::run::FAILED_RETRY;
use crate::tokens::Tokens;

/// How many times its objective an endpoint may be silent about a request. Few answers that come at all take longer than
/// twice theirs, and with three times there is still time for another endpoint within the caller's patience.
const SILENT: f64 = 2.5;

/// Names the account and the team of requests that need no bearer key; no budget is kept for it.
const PUBLIC: &str = "public";

impl Core {
    /// Decides on a request that is to be passed on as it came.
    pub(crate) fn admit_relay(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        relay: &Relay,
    ) -> Result<Request, Box<Problem>> {
        let Some(table) = self
            .route_table
            .clone()
            .filter(|_| self.phase != Phase::CatchingUp)
        else {
            return Err(self.not_serving());
        };
        let Some(route) = table.route(&relay.host, &relay.path) else {
            let detail = format!("no route for {}{}", relay.host, relay.path);
            return Err(self.deny(now, ProblemKind::NoRoute, &detail));
        };
        let payer = table.payer(&arrival.bearer.0);
        if payer.is_none() && !route.public && table.payers().next().is_some() {
            let detail = "the bearer key is none that is in force";
            return Err(self.deny(now, ProblemKind::Unauthorized, detail));
        }
        let payer = payer.filter(|_| !route.public);
        let account = payer.map(|payer| payer.account.clone());
        let team = payer.map_or_else(public_team, |payer| payer.team.clone());
        let pool = self.draw_pool(route);
        let stride = table.pool(&pool).map_or(1, |pool| pool.stride);
        let wait = arrival
            .timeout
            .unwrap_or(self.tuning.default_timeout)
            .min(route.timeout);
        if !self.takes_until(now, now + wait) {
            return Err(self.not_serving());
        }
        let owner = account.clone().unwrap_or_else(public_account);
        Ok(Request {
            key: RequestKey {
                account: owner,
                key: own_key(arrival.id),
            },
            attempt: arrival.attempt,
            fingerprint: arrival.fingerprint,
            seen: self.last_applied(),
            team,
            pool,
            bearer: Bearer::Team,
            idempotent: route.repeat != Repeat::Never,
            reserve: relay.input.saturating_add(relay.output),
            limit: relay.output,
            priority: payer.map_or(route.priority, |payer| payer.priority.max(route.priority)),
            work: arrival.work.clone(),
            arrived_at: now,
            claimed_at: None,
            deadline: now + wait,
            state: State::Funding { short_since: None },
            failed_endpoints: Vec::new(),
            wasted: Tokens::ZERO,
            dispatched: false,
            reservation: Reservation::None,
            entered: false,
            relay: Some(RelayTerms {
                account,
                repeat: route.repeat,
                priority: route.priority,
                attempts: route.attempts,
                runs: 0,
                input: relay.input,
                used: Tokens::ZERO,
                stride,
                objective: route.objective,
                prompt: relay.prompt,
                expected_prefill: None,
                stopped: false,
                timed_out: false,
            }),
        })
    }

    /// Returns whether a new request is taken that may last until a deadline.
    ///
    /// Callers keep an address for seconds after the router began to leave, and are served that long. What comes later and
    /// may outlast the grace time would be cut off by its end, while at another router it is served whole.
    fn takes_until(&self, now: Instant, deadline: Instant) -> bool {
        match (self.phase, self.tuning.accounting) {
            (Phase::Serving, _) => true,
            (Phase::Draining { since, .. }, Accounting::Grants(tuning)) => {
                now < since + tuning.min_drain || deadline < since + self.tuning.drain_timeout
            }
            _ => false,
        }
    }

    /// Draws one of a route's pools by weight.
    fn draw_pool(&mut self, route: &PathRoute) -> PoolId {
        let total: u32 = route.split.iter().map(|(_, weight)| weight).sum();
        let mut at = self.rng.random_range(0..total.max(1));
        for (pool, weight) in &route.split {
            if at < *weight {
                return pool.clone();
            }
            at -= weight;
        }
        route.split[0].0.clone()
    }

    /// Takes the end of a run of a request that is passed on as it came.
    pub(crate) fn relay_ended(&mut self, now: Instant, id: RequestId, end: RunEnd) {
        let request = &mut self.requests[&id];
        let limit = request.limit;
        let repeat = match &mut request.relay {
            Some(terms) => {
                terms.count(&end, limit);
                terms.repeat
            }
            None => return,
        };
        let stopped = request.relay.as_ref().is_some_and(|terms| terms.stopped);
        match end {
            RunEnd::Completed { .. } | RunEnd::Answered { .. } | RunEnd::CallerGone { .. } => {
                self.finish(now, id);
            }
            RunEnd::Unsent => self.finish(now, id),
            _ if stopped => self.finish(now, id),
            RunEnd::NotRun { retry } => {
                if self.relay_elsewhere(now, id) {
                    return;
                }
                let detail = "no endpoint took the request";
                let problem = Problem::new(ProblemKind::NoEndpoint, Ran::Unknown, detail);
                self.refuse_with(now, id, problem.with_retry(retry.unwrap_or(FAILED_RETRY)));
            }
            RunEnd::Failed { answer_begun, .. } => {
                let again = match repeat {
                    Repeat::Never => false,
                    Repeat::Whole => !answer_begun,
                    Repeat::Resume => true,
                };
                if again && self.relay_elsewhere(now, id) {
                    return;
                }
                let detail = "the endpoint failed before the answer was whole";
                let problem = Problem::new(ProblemKind::EndpointFailed, Ran::Unknown, detail);
                self.effects.push(Effect::Abort(id, Box::new(problem)));
                self.finish(now, id);
            }
        }
    }

    /// Sends a request to another endpoint, where its route's attempts and the retry budget allow it.
    fn relay_elsewhere(&mut self, now: Instant, id: RequestId) -> bool {
        let spent = self.requests[&id]
            .relay
            .as_ref()
            .is_some_and(|terms| terms.runs >= terms.attempts);
        !spent && now < self.requests[&id].deadline && self.try_elsewhere(now, id)
    }

    /// Leaves the endpoints that have said nothing about requests that another one may run as well.
    pub(crate) fn leave_silent(&mut self, now: Instant) {
        let silent = self.requests.iter().filter(|(_, r)| r.may_leave(now));
        let silent: Vec<_> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            if !self.retry_budget.has_retry(now) {
                return;
            }
            if let Some(terms) = self.requests[&id].relay.as_mut() {
                terms.timed_out = true;
            }
            info!(event = "silent", request = %id);
            self.effects.push(Effect::Abandon(id));
        }
    }

    /// Ends a request whose time is over while it runs; what it used is still to be told.
    pub(crate) fn stop_relay(&mut self, id: RequestId) {
        let Some(terms) = self.requests[&id]
            .relay
            .as_mut()
            .filter(|terms| !terms.stopped)
        else {
            return;
        };
        terms.stopped = true;
        info!(event = "deadline", request = %id);
        let detail = "the request took longer than its route or its caller allows";
        let problem = Problem::new(ProblemKind::Deadline, Ran::Unknown, detail);
        self.effects.push(Effect::Abort(id, Box::new(problem)));
    }
}

impl Request {
    /// Returns whether its endpoint has said nothing for so long that another one is likely to be sooner.
    fn may_leave(&self, now: Instant) -> bool {
        let Some(terms) = &self.relay else {
            return false;
        };
        let again = terms.repeat != Repeat::Never && terms.runs + 1 < terms.attempts;
        again && !terms.timed_out && !terms.stopped && self.is_silent(now)
    }

    /// Returns whether it runs, and nothing came for much longer than its answer should take.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        let limit = self
            .relay
            .as_ref()
            .map(|terms| terms.objective.mul_f64(SILENT));
        match (&self.state, limit) {
            (
                State::Running {
                    since,
                    first_token: None,
                    ..
                },
                Some(limit),
            ) => now >= *since + limit,
            _ => false,
        }
    }

    /// Returns what a run of it needs, where it is passed on as it came.
    pub(crate) fn relay_run(&self) -> Option<RelayRun> {
        self.relay.as_ref().map(|terms| RelayRun {
            account: terms.account.clone(),
            deadline: self.deadline,
            stride: terms.stride,
            resumable: terms.repeat == Repeat::Resume,
        })
    }
}

impl RelayTerms {
    /// Counts what a run gave its caller, and whether it may have run at all; `limit` is the most that an answer may have.
    ///
    /// The prompt counts once however many runs read it, and only where something came of one of them. Charged for the
    /// prompts of runs that failed, a team would be refused with a budget that it never used: with endpoints that fail
    /// and callers that leave early, a thirtieth of all that was counted was of that kind.
    fn count(&mut self, end: &RunEnd, limit: Tokens) {
        let given = match end {
            RunEnd::NotRun { .. } | RunEnd::Unsent => return,
            RunEnd::Completed { usage } => Some(usage.answer),
            RunEnd::Failed {
                usage,
                answer_begun,
                ..
            } => usage
                .map(|usage| usage.answer)
                .or(answer_begun.then_some(Tokens::ZERO)),
            RunEnd::CallerGone { usage } => usage.map(|usage| usage.answer),
            // Such an answer does not tell how many tokens it has.
            RunEnd::Answered { status, .. } => is_success(*status).then_some(limit),
        };
        self.runs += 1;
        let Some(answer) = given else {
            return;
        };
        if self.used == Tokens::ZERO {
            self.used = self.input;
        }
        self.used = self.used.saturating_add(answer);
    }
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

fn public_account() -> AccountId {
    PUBLIC.parse().expect("it is a name")
}

fn public_team() -> TeamId {
    PUBLIC.parse().expect("it is a name")
}

/// Returns a key that no other request has: a request without a caller's key is none but itself.
fn own_key(id: RequestId) -> crate::ids::IdempotencyKey {
    id.to_string().parse().expect("a number is a name")
}

/// Returns the specification of a table's pool for those parts that know pools of documents.
pub(crate) fn table_pools(
    table: &RouteTable,
) -> impl Iterator<Item = (PoolId, crate::config::PoolSpec)> {
    table.pools().map(|pool| (pool.name.clone(), pool.spec()))
}
