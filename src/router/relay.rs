//! Relayed requests, which are forwarded unchanged. Without a key from the caller, each is a single attempt and ends
//! with its connection.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use tracing::info;

use crate::config::PathRoute;
use crate::config::RepeatPolicy;
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
use crate::router::crashes::suspects;
use crate::router::effect::Effect;
use crate::router::effect::RelayRun;
use crate::router::event::Arrival;
use crate::router::event::Relay;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::RelayTerms;
use crate::router::request::Request;
use crate::router::request::Reservation;
use crate::router::request::State;
use crate::router::run::ENDPOINT_FAILED;
use crate::router::run::FAILURE_RETRY;
use crate::router::run_end::RunEnd;
use crate::router::streams::StreamVersion;
use crate::tokens::Tokens;

/// How many times a request's latency objective its endpoint may stay silent. Few answers that come at all take longer
/// than twice the objective, and even three times leaves time to try another endpoint before the caller gives up.
const SILENCE_FACTOR: f64 = 2.5;

/// The retry delay for a caller whose forwarded request met a router with an older configuration.
const CONFIG_RETRY: Duration = Duration::from_millis(200);

/// Account and team name of requests that need no bearer key. No budget is kept for it.
const PUBLIC_NAME: &str = "public";

impl Core {
    /// Admits or refuses a request that is to be relayed.
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
        if relay.forwarded.is_some_and(|theirs| theirs > table.version) {
            let detail = "the router that forwarded the request has a newer configuration";
            let problem = Problem::new(ProblemKind::ConfigBehind, Ran::No, detail);
            return Err(Box::new(problem.with_retry(CONFIG_RETRY)));
        }
        let Some(route) = table.route(&relay.host, &relay.path) else {
            let detail = format!("no route for {}{}", relay.host, relay.path);
            return Err(self.deny(now, ProblemKind::NoRoute, &detail));
        };
        let payer = table.payer_by_key(&arrival.bearer.0);
        if payer.is_none() && !route.public && table.payers().next().is_some() {
            let detail = "the bearer key is none that is in force";
            return Err(self.deny(now, ProblemKind::Unauthorized, detail));
        }
        let payer = payer.filter(|_| !route.public);
        let account = payer.map(|payer| payer.account.clone());
        let team = payer.map_or_else(public_team, |payer| payer.team.clone());
        let pool = self.pick_pool(route);
        let stride = table.pool(&pool).map_or(1, |pool| pool.stride);
        let wait = arrival
            .timeout
            .unwrap_or(self.tuning.default_timeout)
            .min(route.timeout);
        if !self.accepts_until(now, now + wait) {
            return Err(self.not_serving());
        }
        let owner = account.clone().unwrap_or_else(public_account);
        let fingerprint = arrival.fingerprint.of_account(&owner);
        Ok(Request {
            key: RequestKey {
                account: owner,
                key: unique_key(arrival.id),
            },
            attempt: arrival.attempt,
            fingerprint,
            seen: self.last_applied(),
            team,
            pool,
            bearer: Bearer::Team,
            idempotent: route.repeat != RepeatPolicy::Never,
            reserve: relay.input.saturating_add(relay.output),
            limit: relay.output,
            // A router's own callers go before those of others.
            priority: payer
                .map_or(route.priority, |payer| payer.priority.max(route.priority))
                .saturating_add(u8::from(relay.forwarded.is_some())),
            work: arrival.work.clone(),
            arrived_at: now,
            claimed_at: None,
            deadline: now + wait,
            state: State::Funding { short_since: None },
            failed_endpoints: Vec::new(),
            wasted: Tokens::ZERO,
            retry: None,
            reserved_retry: None,
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
                retry_refused: false,
                attempt: relay.attempt.clone(),
                resumption: relay.resumption.clone(),
                stream: StreamVersion::Any,
                suspects: suspects(fingerprint, relay),
                forwarded: relay.forwarded.is_some(),
                arrived: false,
                silent_at: None,
            }),
        })
    }

    /// Returns whether a new request is accepted that may last until a deadline.
    ///
    /// Callers keep an address for seconds after the router has started to drain, and are served that long. Later
    /// requests that may outlast the grace period would be cut off at its end, while another router can serve them
    /// completely.
    fn accepts_until(&self, now: Instant, deadline: Instant) -> bool {
        match (self.phase, self.tuning.accounting) {
            (Phase::Serving, _) => true,
            (Phase::Draining { since, .. }, Accounting::Grants(tuning)) => {
                now < since + tuning.min_drain || deadline < since + self.tuning.drain_timeout
            }
            _ => false,
        }
    }

    /// Picks one of a route's pools at random, by weight.
    fn pick_pool(&mut self, route: &PathRoute) -> PoolId {
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

    /// Handles the end of a relayed request's run.
    pub(crate) fn handle_relay_end(&mut self, now: Instant, id: RequestId, end: RunEnd) {
        let request = &mut self.requests[&id];
        let limit = request.limit;
        let repeat = match &mut request.relay {
            Some(terms) => {
                terms.record_run(&end, limit);
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
            RunEnd::NotRun { .. } | RunEnd::NoConnection => {
                let retry = match end {
                    RunEnd::NotRun { retry } => retry,
                    _ => None,
                };
                let pool = self.requests[&id].pool.clone();
                if self.is_cut(&pool) && self.forward_unsent(now, id) {
                    return;
                }
                if self.retry_relay(now, id) || self.forward_unsent(now, id) {
                    return;
                }
                let detail = "no endpoint took the request";
                let problem = Problem::new(ProblemKind::NoEndpoint, Ran::Unknown, detail);
                self.refuse_with(now, id, problem.with_retry(retry.unwrap_or(FAILURE_RETRY)));
            }
            RunEnd::Failed { answer_begun, .. } => {
                let retryable = match repeat {
                    RepeatPolicy::Never => false,
                    RepeatPolicy::Whole => !answer_begun,
                    RepeatPolicy::Resume => true,
                };
                if retryable && self.retry_relay(now, id) {
                    return;
                }
                let kind = ProblemKind::EndpointFailed;
                let problem = Problem::new(kind, Ran::Unknown, ENDPOINT_FAILED);
                self.effects.push(Effect::Abort(id, Box::new(problem)));
                self.finish(now, id);
            }
        }
    }

    /// Sends a request to another endpoint, if its route's attempts and the retry budget allow it.
    fn retry_relay(&mut self, now: Instant, id: RequestId) -> bool {
        let exhausted = self.requests[&id]
            .relay
            .as_ref()
            .is_some_and(|terms| terms.runs >= terms.attempts);
        !exhausted && now < self.requests[&id].deadline && self.retry_elsewhere(now, id)
    }

    /// Gives up on endpoints that stay silent about requests that another endpoint may run, as far as retries are left.
    pub(crate) fn leave_silent_endpoints(&mut self, now: Instant) {
        self.record_silence(now);
        let silent = self
            .requests
            .iter()
            .filter(|(_, r)| r.should_switch_endpoint(now));
        let silent: Vec<_> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            let pool = self.requests[&id].pool.clone();
            let retry = self.retry_budget(now, &pool).try_retry(now);
            let available = retry.is_some();
            let request = &mut self.requests[&id];
            request.reserved_retry = retry;
            let Some(terms) = request.relay.as_mut() else {
                continue;
            };
            terms.timed_out |= available;
            let refused_before = std::mem::replace(&mut terms.retry_refused, !available);
            if !available {
                if !refused_before {
                    self.log_refused_retry(id, pool);
                }
                continue;
            }
            if let State::Running { endpoint, .. } = &request.state {
                info!(event = "silent", request = %id, %endpoint);
            }
            self.effects.push(Effect::Abandon(id));
        }
    }

    /// Ends a request whose deadline passes while it runs.
    pub(crate) fn stop_relay(&mut self, id: RequestId) {
        let detail = "the request took longer than its route or its caller allows";
        let problem = Problem::new(ProblemKind::Deadline, Ran::Unknown, detail);
        self.break_off(id, "deadline", problem);
    }

    /// Breaks off the answer to a request that runs, once. The end of the run still reports what it used.
    pub(crate) fn break_off(&mut self, id: RequestId, event: &str, problem: Problem) {
        let terms = self.requests[&id].relay.as_mut();
        let Some(terms) = terms.filter(|terms| !terms.stopped) else {
            return;
        };
        terms.stopped = true;
        info!(event, request = %id);
        self.effects.push(Effect::Abort(id, Box::new(problem)));
    }
}

impl Request {
    /// Returns whether its endpoint has been silent for so long that another one is likely to answer sooner.
    fn should_switch_endpoint(&self, now: Instant) -> bool {
        let Some(terms) = &self.relay else {
            return false;
        };
        let retryable = terms.repeat != RepeatPolicy::Never && terms.runs + 1 < terms.attempts;
        retryable && !terms.timed_out && !terms.stopped && self.has_silent_endpoint(now)
    }

    /// Returns whether it is running and its endpoint has been silent for much longer than an answer should take.
    pub(crate) fn has_silent_endpoint(&self, now: Instant) -> bool {
        let limit = self
            .relay
            .as_ref()
            .map(|terms| terms.objective.mul_f64(SILENCE_FACTOR));
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

    /// Returns the additional data for a run, if the request is relayed.
    pub(crate) fn relay_run(&self) -> Option<RelayRun> {
        self.relay.as_ref().map(|terms| RelayRun {
            account: terms.account.clone(),
            deadline: self.deadline,
            stride: terms.stride,
            resumable: terms.repeat == RepeatPolicy::Resume,
        })
    }
}

impl RelayTerms {
    /// Counts the run if it may have taken place, and the tokens that it delivered; `limit` is the most that an answer
    /// may have.
    ///
    /// The prompt counts once, however many runs read it, and only if one of them produced something. If teams were
    /// charged for the prompts of failed runs, they would be refused although they never used their budget: with
    /// failing endpoints and callers that disconnect early, such prompts made up a thirtieth of all tokens counted.
    fn record_run(&mut self, end: &RunEnd, limit: Tokens) {
        self.arrived |= !matches!(end, RunEnd::NoConnection | RunEnd::Unsent);
        let delivered = match end {
            RunEnd::NotRun { .. } | RunEnd::NoConnection | RunEnd::Unsent => return,
            RunEnd::Completed { usage } => Some(usage.answer),
            RunEnd::Failed {
                usage,
                answer_begun,
                ..
            } => usage
                .map(|usage| usage.answer)
                .or(answer_begun.then_some(Tokens::ZERO)),
            RunEnd::CallerGone { usage } => usage.map(|usage| usage.answer),
            // Such an answer does not report its number of tokens.
            RunEnd::Answered { status, .. } => is_success(*status).then_some(limit),
        };
        self.runs += 1;
        let Some(answer) = delivered else {
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
    PUBLIC_NAME.parse().expect("it is a name")
}

fn public_team() -> TeamId {
    PUBLIC_NAME.parse().expect("it is a name")
}

/// Returns a key that no other request has: a request without a caller's key is not a retry of any other.
fn unique_key(id: RequestId) -> crate::ids::IdempotencyKey {
    id.to_string().parse().expect("a number is a name")
}

/// Returns a table's pools as the specifications that are used for pools of configuration documents.
pub(crate) fn table_pools(
    table: &RouteTable,
) -> impl Iterator<Item = (PoolId, crate::config::PoolSpec)> {
    table.pools().map(|pool| (pool.name.clone(), pool.spec()))
}
