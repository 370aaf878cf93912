//! A router whose budgets are kept by grants: how it starts and stops serving, and the requests that wait for budget.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use serde_json::json;
use tracing::info;
use tracing::warn;

use crate::config::RouteTable;
use crate::decide;
use crate::ids::DomainId;
use crate::ids::RequestId;
use crate::router::core::Core;
use crate::router::core::Phase;
use crate::router::effect::Effect;
use crate::router::event::BudgetTransfer;
use crate::router::event::GrantEvent;
use crate::router::event::LoanRequest;
use crate::router::event::ReplyId;
use crate::router::grant_budget::Funded;
use crate::router::grant_budget::Waiter;
use crate::router::grant_budget::Waiting;
use crate::router::grant_budgets::ReserveOutcome;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Reservation;
use crate::router::waiting::Unfunded;
use crate::tokens::Tokens;

/// The retry delay for a caller whose budget is held by other routers: they return idle budget at their next review.
const HELD_RETRY: Duration = Duration::from_millis(1000);

/// The retry delay for a caller whose budget, as far as any reachable router knows, is held by routers that died: what
/// they cannot have used is returned when they start again, within some seconds, or never.
const LOST_RETRY: Duration = Duration::from_secs(10);

/// How far retry delays are spread after an outage of the log: the callers were refused over several seconds, and
/// without the spread they would reach the endpoints all at once.
const RETRY_SPREAD: f64 = 0.25;

impl Core {
    /// Applies a configuration, if it is newer than the one in force.
    pub(crate) fn apply_table(&mut self, now: Instant, table: Arc<RouteTable>) {
        let old = self.route_table.as_ref().map(|table| table.version);
        if old.is_some_and(|old| old >= table.version) {
            return;
        }
        info!(
            event = "config-in-force",
            version = %table.version,
            old = old.map(|old| old.0),
            routes = table.route_count()
        );
        self.table_watch.applied(table.version);
        self.effects.push(Effect::OfferTable(table.clone()));
        self.grant_budgets.update_prepaid(now, &table);
        self.streams.routes.replace(now, table.clone());
        self.route_table = Some(table);
        self.rebuild_pools(now);
        self.serve_with_grants();
    }

    /// Handles an event of the log that keeps grants.
    pub(crate) fn handle_grant_event(&mut self, now: Instant, event: GrantEvent) {
        self.grant_budgets.handle_event(now, event);
        self.serve_with_grants();
    }

    /// Starts serving once the configuration, the endpoints and the grants are known, and the log was asked for crashes.
    pub(crate) fn serve_with_grants(&mut self) {
        let ready = self.route_table.is_some()
            && self.grant_budgets.is_loaded()
            && self.crash_log.was_asked()
            && !self.members.vm_index.list().vms.is_empty();
        if self.phase == Phase::CatchingUp && ready {
            self.phase = Phase::Serving;
            info!(event = "serving", vm = %self.tuning.vm, incarnation = %self.me);
        }
    }

    /// Reserves what a request may cost, or queues it until a grant covers it.
    pub(crate) fn fund_relay(&mut self, now: Instant, id: RequestId) {
        let request = &mut self.requests[&id];
        let team = request.team.clone();
        let amount = request.reserve;
        let priority = request.relay.as_ref().map_or(0, |terms| terms.priority);
        match self.grant_budgets.reserve(now, &team, priority, amount) {
            ReserveOutcome::Done(reserved) => {
                request.reservation = Reservation::Granted(reserved);
                self.enqueue(now, id);
            }
            ReserveOutcome::Short => {
                let waiting = Waiting {
                    who: Waiter::Request(id),
                    amount,
                    priority,
                    since: now,
                };
                self.grant_budgets.push_waiting(&team, waiting);
            }
            ReserveOutcome::Kept => self.refuse_unfunded(now, id, Unfunded::Kept),
            ReserveOutcome::Unaffordable => self.refuse_unfunded(now, id, Unfunded::Spent),
        }
    }

    /// Forwards the requests whose budget is reserved now, refuses those that cannot have it, and asks the log and
    /// other routers for more.
    pub(crate) fn step_budgets(&mut self, now: Instant) {
        for funded in self.grant_budgets.fund_waiting(now) {
            match funded {
                Funded::Request(id, reserved) => {
                    self.requests[&id].reservation = Reservation::Granted(reserved);
                    self.enqueue(now, id);
                }
                Funded::Loan(ids, amount) => self.answer_loans(ids, amount),
            }
        }
        for (who, why) in self.grant_budgets.take_unfunded(now) {
            match who {
                Waiter::Request(id) => self.refuse_unfunded(now, id, why),
                Waiter::Loan(ids, request) => {
                    let amount = self.grant_budgets.lend_open(now, &request);
                    self.answer_loans(ids, amount);
                }
            }
        }
        if self.grant_budgets.is_refresh_due(now) {
            let reports = self.members.budget_reports(now);
            self.grant_budgets.update_peer_budgets(now, &reports);
        }
        if !self.grant_budgets.is_due(now) {
            return;
        }
        let call = self.grant_budgets.step(now);
        self.effects.extend(call);
        let loans = self.grant_budgets.borrow(now, self.me);
        self.effects.extend(loans);
        let again = self.grant_budgets.retry_loans(now);
        self.effects.extend(again);
        let rests = self.grant_budgets.return_unused(now, self.me);
        self.effects.extend(rests);
        let transfers = self.grant_budgets.transfer_idle(now, self.me);
        self.effects.extend(transfers);
    }

    /// Accepts budget that a stopping router hands over.
    pub(crate) fn accept_transfer(&mut self, id: ReplyId, transfer: &BudgetTransfer) {
        let status = if self.is_serving() { 200 } else { 503 };
        if self.is_serving() {
            self.grant_budgets.receive_transfer(transfer);
        }
        self.effects.push(Effect::Answer(id, status, json!(null)));
    }

    /// Handles another router's request for a loan.
    pub(crate) fn handle_loan_request(&mut self, now: Instant, id: ReplyId, request: &LoanRequest) {
        if let Some(amount) = self.grant_budgets.lend(now, id, request) {
            self.answer_loans(vec![id], amount);
        }
    }

    /// Gives one answer to all loan requests under one number: it is unknown which of them the sender still waits for.
    fn answer_loans(&mut self, ids: Vec<ReplyId>, amount: Tokens) {
        let answers = ids.into_iter();
        let answers = answers.map(|id| Effect::Answer(id, 200, json!(amount)));
        self.effects.extend(answers);
    }

    fn refuse_unfunded(&mut self, now: Instant, id: RequestId, why: Unfunded) {
        // A newer configuration may have raised the budget.
        let why = match why {
            Unfunded::Spent if self.may_be_behind(now) => Unfunded::Held,
            why => why,
        };
        let request = &self.requests[&id];
        let (team, amount) = (&request.team, request.reserve);
        self.grant_budgets.log_refusal(now, team, id, why);
        let usual = match self.grant_budgets.is_in_reach(team, amount) && why != Unfunded::Kept {
            true => HELD_RETRY,
            false => LOST_RETRY,
        };
        let retry = self.grant_budgets.outage_left(now).unwrap_or(usual);
        let retry = retry.mul_f64(1.0 + self.rng.random_range(0.0..RETRY_SPREAD));
        let problem = match why {
            Unfunded::Spent => {
                let detail = format!("the team {team} has not {amount} tokens left for it");
                Problem::new(ProblemKind::BudgetSpent, Ran::No, &detail)
            }
            Unfunded::Held => {
                let detail = format!("other routers hold what is left of the budget of {team}");
                Problem::new(ProblemKind::BudgetHeld, Ran::No, &detail).with_retry(retry)
            }
            Unfunded::Kept => {
                let detail = format!(
                    "what is left of the budget of {team} is kept for more urgent requests"
                );
                Problem::new(ProblemKind::BudgetHeld, Ran::No, &detail).with_retry(retry)
            }
            Unfunded::Away => {
                let detail =
                    "the log can't be reached, and this router holds too little of the budget";
                Problem::new(ProblemKind::LogOutage, Ran::No, detail).with_retry(retry)
            }
        };
        self.refuse_with(now, id, problem);
    }

    /// Returns the addresses that a caller in a failure domain may use: those of live routers that are not stopping.
    pub(crate) fn directory(&mut self, now: Instant, domain: &DomainId) -> Vec<String> {
        let mut peers = self.members.advisable_peers(now);
        peers.retain(|peer| !peer.leaving && self.members.peer_failure(now, &peer.vm).is_none());
        let lists_own = self.retain_connected(now, &mut peers);
        let members = &self.members;
        let mut addresses: Vec<_> = peers
            .into_iter()
            .map(|peer| {
                (
                    members.vm_index.capacity(&peer.vm),
                    (peer.domain, peer.address),
                )
            })
            .collect();
        if self.is_serving() && lists_own {
            let own = (self.tuning.domain.clone(), self.tuning.address.clone());
            addresses.push((members.vm_index.capacity(&self.tuning.vm), own));
        }
        addresses.sort_by_key(|(_, (at, _))| at != domain);
        let drawn = decide::draw_by_capacity(addresses, &mut self.rng);
        drawn.into_iter().map(|(_, address)| address).collect()
    }

    /// Continues a planned stop, in this order: callers no longer keep the address, what no request in progress needs
    /// has been returned, no request is in progress any more, and callers have their answers. An answer that a slow
    /// caller still reads, or that another router gives, is no request in progress here.
    pub(crate) fn continue_drain(&mut self, now: Instant, linger: Duration) {
        let Phase::Draining { since, closing } = self.phase else {
            return;
        };
        if now >= since + self.tuning.drain_timeout {
            let cut = !self.requests.is_empty();
            if cut {
                warn!(event = "drain-limit", requests = self.requests.len());
            }
            info!(event = "connections-left", count = self.connections);
            self.effects.push(Effect::Exit { cut });
            return;
        }
        if now < since + linger {
            return;
        }
        if !closing {
            self.phase = Phase::Draining {
                since,
                closing: true,
            };
            self.grant_budgets.release_idle();
        } else if self.requests.is_empty() && self.grant_budgets.has_released_all() {
            self.effects.push(match self.connections {
                0 => Effect::Exit { cut: false },
                _ => Effect::CloseConnections,
            });
        }
    }
}
