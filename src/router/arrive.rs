//! Admission of requests: identifies the account, selects the team that pays and the pool, and looks up the key.

use std::time::Instant;

use indexmap::map::Entry;
use tracing::info;

use crate::config::PoolKind;
use crate::config::Route;
use crate::decide::AccountLimit;
use crate::decide::Refusal;
use crate::ids::AccountId;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::labels::Labels;
use crate::ledger::Bearer;
use crate::ledger::KeyState;
use crate::ledger::MAX_RERUNS;
use crate::ledger::Outcome;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::effect::Replay;
use crate::router::event::Arrival;
use crate::router::event::Work;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Request;
use crate::router::request::Reservation;
use crate::router::request::State;
use crate::tokens::Tokens;

/// What to do with a request, by the state of its key in the ledger and among this router's requests in progress.
pub(crate) enum Disposition {
    /// Nothing prevents it from running.
    Run,
    /// Another attempt is in progress.
    Wait,
    /// It ran, and its answer is stored.
    Replay(Replay),
    /// It can't run.
    Refuse(ProblemKind, Ran, &'static str),
}

impl Core {
    /// Handles a caller's request.
    pub(crate) fn handle_arrival(&mut self, now: Instant, arrival: Arrival) {
        let id = arrival.id;
        match self.admit(now, &arrival) {
            Ok(request) => {
                let request = match self.forward_arrival(now, id, request) {
                    Ok(Some(request)) => request,
                    Ok(None) => return,
                    Err(problem) => return self.refuse_arrival(now, &arrival, *problem),
                };
                // When its caller sent a forwarded request is not known, so it pays for no retries.
                if !request.is_forwarded() {
                    let earliest = self.idle_at.unwrap_or(now);
                    self.retry_budget(now, &request.pool)
                        .record_request(now, earliest);
                }
                info!(
                    event = "request", request = %id, key = %request.key, attempt = %request.attempt,
                    team = %request.team, pool = %request.pool, reserve = %request.reserve, fingerprint = %request.fingerprint,
                );
                self.requests.insert(id, request);
                if self.bind_resumed_stream(now, id) {
                    self.check_limits(now, id);
                }
            }
            Err(problem) => self.refuse_arrival(now, &arrival, *problem),
        }
    }

    /// Admits or rejects a request by its bearer key, its labels and the configuration.
    fn admit(&mut self, now: Instant, arrival: &Arrival) -> Result<Request, Box<Problem>> {
        if let Work::Relay(relay) = &arrival.work {
            return self.admit_relay(now, arrival, relay);
        }
        if !self.is_serving() || self.is_stale(now) {
            return Err(self.not_serving());
        }
        let Some((account, spec)) = self.config.account_by_key(&arrival.bearer.0) else {
            let detail = "the bearer key is none that is in force";
            return Err(new_problem(ProblemKind::Unauthorized, detail));
        };
        let labels = labels(&account, &spec.labels, arrival);
        let Some(route) = self.config.route(&labels) else {
            let detail = format!("no rule matches the labels {labels}");
            return Err(new_problem(ProblemKind::NoRoute, &detail));
        };
        self.build_request(now, account, route, arrival)
    }

    /// Checks an admitted request against quarantine and its account's limit.
    pub(crate) fn check_limits(&mut self, now: Instant, id: RequestId) {
        let request = &self.requests[&id];
        if let Some(left) = self.quarantine_left(now, request) {
            return self.refuse_crashing(now, id, left);
        }
        if self.is_poison(now, id) {
            let detail = "endpoints failed over this request again and again";
            self.refuse(now, id, ProblemKind::Quarantined, detail);
            return;
        }
        if request.relay.is_some() {
            return self.fund(now, id);
        }
        match self.enter_account(now, &request.account().clone()) {
            Ok(()) => {
                self.requests[&id].entered = true;
                self.proceed(now, id);
            }
            Err(refusal) => {
                let detail = refusal.to_string();
                let problem = Problem::new(ProblemKind::RateLimited, Ran::Unknown, &detail);
                self.refuse_with(now, id, problem.with_retry(refusal.retry_after()));
            }
        }
    }

    fn enter_account(&mut self, now: Instant, account: &AccountId) -> Result<(), Refusal> {
        let limits = self.config.account(account).map(|spec| spec.limits.clone());
        self.account_limits
            .entry(account.clone())
            .or_insert_with(|| AccountLimit::new(now, &limits.unwrap_or_default()))
            .try_acquire(now)
    }

    /// Returns the address of the router that holds the claim on a request's key, if there is one.
    pub(crate) fn claim_holder(&self, id: RequestId) -> Option<&str> {
        let key = self.ledger.key(&self.requests.get(&id)?.key)?;
        let router = key.claim.as_ref()?.router;
        self.ledger.router(router).map(|r| r.address.as_str())
    }

    fn build_request(
        &self,
        now: Instant,
        account: AccountId,
        route: Route,
        arrival: &Arrival,
    ) -> Result<Request, Box<Problem>> {
        let Some(pool) = self.config.pool(&route.pool) else {
            return Err(new_problem(ProblemKind::NoRoute, "the rule's pool is gone"));
        };
        let (reserve, limit, idempotent) = match (&arrival.work, &pool.kind) {
            (
                Work::Completion {
                    model,
                    prompt,
                    limit,
                    ..
                },
                PoolKind::Engine { models, max_tokens },
            ) => {
                if !models.contains(model) {
                    let detail =
                        format!("the pool {} does not serve the model {model}", route.pool);
                    return Err(new_problem(ProblemKind::NoRoute, &detail));
                }
                let limit = limit.unwrap_or(*max_tokens).min(*max_tokens);
                (limit.saturating_add(Tokens(*prompt)), limit, true)
            }
            (
                Work::Call { service, method },
                PoolKind::Service {
                    name,
                    price,
                    repeatable,
                },
            ) => {
                if service != name {
                    let detail = format!("the pool {} does not serve {service}", route.pool);
                    return Err(new_problem(ProblemKind::NoRoute, &detail));
                }
                let idempotent_method =
                    matches!(method.as_str(), "GET" | "HEAD" | "PUT" | "DELETE");
                let repeatable_call = repeatable.get(method).copied().unwrap_or(idempotent_method);
                (*price, Tokens::ZERO, repeatable_call)
            }
            _ => {
                let detail = format!("the pool {} serves another kind of request", route.pool);
                return Err(new_problem(ProblemKind::NoRoute, &detail));
            }
        };
        let Some(key) = &arrival.key else {
            let detail = "the header Idempotency-Key is missing; choose a key for each request";
            return Err(Box::new(Problem::new(
                ProblemKind::Malformed,
                Ran::No,
                detail,
            )));
        };
        let bearer = self
            .config
            .team(&route.team)
            .map_or(Bearer::Team, |team| team.bearer);
        let priority = arrival.priority.unwrap_or(0).max(route.priority).min(9);
        let patience = arrival
            .timeout
            .unwrap_or(self.tuning.default_timeout)
            .min(self.tuning.default_timeout);
        Ok(Request {
            key: RequestKey {
                account,
                key: key.clone(),
            },
            attempt: arrival.attempt,
            fingerprint: arrival.fingerprint,
            seen: self.last_applied(),
            team: route.team,
            pool: route.pool,
            bearer,
            idempotent,
            reserve,
            limit,
            priority,
            work: arrival.work.clone(),
            arrived_at: now,
            claimed_at: None,
            deadline: now + patience,
            state: State::Contended,
            failed_endpoints: Vec::new(),
            wasted: Tokens::ZERO,
            retry: None,
            reserved_retry: None,
            dispatched: false,
            reservation: Reservation::None,
            entered: false,
            relay: None,
        })
    }

    /// Starts an admitted request, has it wait for another attempt, replays its answer or refuses it, by what is known
    /// of its key.
    pub(crate) fn proceed(&mut self, now: Instant, id: RequestId) {
        match self.disposition(id) {
            Disposition::Run => {
                if !self.requests[&id].idempotent && self.in_outage(now) {
                    // Without the log it can't be ruled out that another router runs it as well.
                    let detail = "the log service does not answer, and without it a call that may not be repeated \
                                  cannot be claimed";
                    self.refuse(now, id, ProblemKind::LogOutage, detail);
                    return;
                }
                let key = self.requests[&id].key.clone();
                self.request_by_key.insert(key, id);
                self.fund(now, id);
            }
            Disposition::Wait => {
                self.requests[&id].state = State::Contended;
                self.contended.push(id);
            }
            Disposition::Replay(replay) => {
                self.effects.push(Effect::Replay(id, replay));
                self.finish(now, id);
            }
            Disposition::Refuse(kind, ran, detail) => {
                self.send_refusal(now, id, Problem::new(kind, ran, detail))
            }
        }
    }

    /// Returns what to do with a request, by what is known of its key.
    ///
    /// The state seen here may be out of date; the claim's verdict decides. Checking first avoids appending a claim
    /// that is certain to be void, and lets a retry wait for the attempt before it.
    pub(crate) fn disposition(&self, id: RequestId) -> Disposition {
        let request = &self.requests[&id];
        if let Some(other) = self.request_by_key.get(&request.key)
            && *other != id
        {
            return match self.requests[other].fingerprint == request.fingerprint {
                true => Disposition::Wait,
                false => OTHER_REQUEST,
            };
        }
        match self.ledger.key(&request.key) {
            None => Disposition::Run,
            Some(key) => self.ledger_disposition(request, key),
        }
    }

    fn ledger_disposition(&self, request: &Request, key: &KeyState) -> Disposition {
        if key
            .request
            .is_some_and(|other| other != request.fingerprint)
        {
            return OTHER_REQUEST;
        }
        if let Some(claim) = &key.claim {
            return match self.ledger.is_open(claim.router) {
                true if claim.router == self.me => Disposition::Run,
                true => Disposition::Wait,
                false => OUTCOME_UNKNOWN,
            };
        }
        let once = key.once || !request.idempotent;
        match &key.bill {
            Some(bill) if once => match &bill.outcome {
                Outcome::Answered {
                    status,
                    body: Some(body),
                } => Disposition::Replay(Replay {
                    status: *status,
                    body: body.clone(),
                }),
                Outcome::Unknown => OUTCOME_UNKNOWN,
                _ => FINISHED,
            },
            Some(_) if key.reruns >= MAX_RERUNS => FINISHED,
            None if once && key.orphaned => OUTCOME_UNKNOWN,
            _ => Disposition::Run,
        }
    }

    /// Checks again the requests that wait for another attempt to end.
    pub(crate) fn recheck_contended(&mut self, now: Instant) {
        for id in std::mem::take(&mut self.contended) {
            let waits = self
                .requests
                .get(&id)
                .is_some_and(|request| matches!(request.state, State::Contended));
            if waits {
                self.proceed(now, id);
            }
        }
    }

    /// Returns the offset of the last ledger record applied.
    pub(crate) fn last_applied(&self) -> crate::ids::Offset {
        crate::ids::Offset(self.ledger.next().0.saturating_sub(1))
    }

    pub(crate) fn not_serving(&mut self) -> Box<Problem> {
        let instead = self.alternate_address();
        let problem = new_problem(
            ProblemKind::NotServing,
            "this router is leaving or has just begun",
        );
        Box::new(problem.with_instead(instead).with_retry(NOT_SERVING_RETRY))
    }

    /// Stops counting a request against its account's limit.
    ///
    /// During a log outage, bills wait for the log although their callers already have their answers. If these requests
    /// still counted as in progress, an account that reaches its concurrency limit would be refused until the log is
    /// back.
    pub(crate) fn leave_limit(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && std::mem::take(&mut request.entered)
        {
            let account = request.account().clone();
            self.leave_account(&account);
        }
    }

    /// Stops counting one request against an account's limit.
    pub(crate) fn leave_account(&mut self, account: &AccountId) {
        if let Entry::Occupied(mut limit) = self.account_limits.entry(account.clone()) {
            limit.get_mut().release();
        }
    }
}

/// Retry delay for callers of a router that does not serve. They may try another one at once; the delay only spreads
/// the retries.
const NOT_SERVING_RETRY: std::time::Duration = std::time::Duration::from_millis(100);

const OTHER_REQUEST: Disposition = Disposition::Refuse(
    ProblemKind::OtherRequest,
    Ran::Unknown,
    "the Idempotency-Key was used with another body or path",
);

const OUTCOME_UNKNOWN: Disposition = Disposition::Refuse(
    ProblemKind::OutcomeUnknown,
    Ran::Unknown,
    "it was sent to the service, and no answer came back; ask the service whether it took effect",
);

const FINISHED: Disposition = Disposition::Refuse(
    ProblemKind::Finished,
    Ran::Yes,
    "it ran and was billed before; ask with a new key to have it run again",
);

/// Collects the labels that rules match on. The account's labels override those that the caller sends.
fn labels(account: &AccountId, attached: &Labels, arrival: &Arrival) -> Labels {
    let mut labels = arrival.labels.clone();
    for (name, value) in &attached.0 {
        labels.set(name, value);
    }
    labels.set("account", account.as_str());
    match &arrival.work {
        Work::Completion { model, .. } => {
            labels.0.shift_remove("service");
            labels.set("model", model.as_str());
        }
        Work::Call { service, .. } => {
            labels.0.shift_remove("model");
            labels.set("service", service);
        }
        Work::Relay(_) => {}
    }
    labels
}

/// Makes a problem that leaves open whether the request ran.
fn new_problem(kind: ProblemKind, detail: &str) -> Box<Problem> {
    Box::new(Problem::new(kind, Ran::Unknown, detail))
}
