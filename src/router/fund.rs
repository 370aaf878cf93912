//! Reserving the cost of requests from budgets that the ledger keeps, and drawing and returning budget for it.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use tracing::info;

use crate::decide::BudgetView;
use crate::decide::Demand;
use crate::decide::HoldingAction;
use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::ledger::Batch;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Reservation;
use crate::router::request::State;
use crate::tokens::Tokens;

/// How long a request waits for other routers to return idle budget when nothing is left to draw: three commits (the
/// draw that fell short, their returns, the next draw) of 25 ms and the latency of the log, doubled.
const SHORTAGE_WAIT: Duration = Duration::from_millis(400);

/// The retry delay for a caller whose team's budget is spent: top-ups are made by people.
const SPENT_RETRY: Duration = Duration::from_secs(30);

/// The retry delay while other routers still hold some of the budget: they return it as their requests end.
const HELD_RETRY: Duration = Duration::from_secs(2);

/// How often holdings are adjusted to the policy: demand is averaged over half a minute.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The window over which a team's demand at one router is averaged.
const OWN_WINDOW: Duration = Duration::from_secs(30);

/// The window over which a team's demand in the fleet is averaged; it is longer because requests that reach this router
/// by chance are rarer.
const FLEET_WINDOW: Duration = Duration::from_secs(300);

/// Teams with less demand than this, in tokens a second, are no longer tracked: one request an hour.
const MIN_DEMAND_RATE: f64 = 0.01;

impl Core {
    /// Reserves what a request may cost, or queues it until budget is available.
    pub(crate) fn fund(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.state = State::Funding { short_since: None };
        if request.relay.is_some() {
            return self.fund_relay(now, id);
        }
        let team = request.team.clone();
        let reserve = request.reserve;
        let unspent = self
            .ledger
            .team(&team)
            .map_or(Tokens::ZERO, |t| t.unspent());
        if reserve > unspent {
            return self.refuse_spent(now, id, true);
        }
        self.record_demand(now, &team, reserve);
        let budget = self.ledger_budgets.entry(team.clone()).or_default();
        budget.waiting.push_back(id);
        self.fund_team(now, &team);
    }

    /// Reserves for all waiting requests.
    pub(crate) fn fund_all(&mut self, now: Instant) {
        let teams: Vec<_> = self
            .ledger_budgets
            .iter()
            .filter(|(_, budget)| !budget.waiting.is_empty())
            .map(|(team, _)| team.clone())
            .collect();
        for team in teams {
            self.fund_team(now, &team);
        }
    }

    /// Reserves for the requests that wait for a team's budget, and draws for the rest.
    fn fund_team(&mut self, now: Instant, team: &TeamId) {
        let free = self.ledger.holding(self.me, team).free;
        let Some(budget) = self.ledger_budgets.get_mut(team) else {
            return;
        };
        let mut funded = Vec::new();
        for id in std::mem::take(&mut budget.waiting) {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            if !matches!(request.state, State::Funding { .. }) {
                continue;
            }
            // A small request may overtake a large one: the large one is refused if it cannot be covered, not the small
            // one.
            if budget.available(free) >= request.reserve {
                budget.debit(request.reserve);
                request.reservation = Reservation::Funded;
                funded.push(id);
            } else {
                budget.waiting.push_back(id);
            }
        }
        for id in funded {
            self.enqueue(now, id);
        }
        self.draw_for_waiting(now, team);
    }

    /// Draws for the waiting requests; those that the undrawn budget cannot cover wait for the holdings of other
    /// routers.
    ///
    /// If all of them were drawn for at once, a draw for more than is left would not be made at all, and a request that
    /// the undrawn budget covers would wait until its deadline behind one that it does not cover.
    fn draw_for_waiting(&mut self, now: Instant, team: &TeamId) {
        let Some(budget) = self.ledger_budgets.get(team) else {
            return;
        };
        let free = self.ledger.holding(self.me, team).free;
        let state = self.ledger.team(team);
        let undrawn = state.map_or(Tokens::ZERO, |t| t.undrawn());
        let reach = undrawn.saturating_add(budget.available(free));
        let mut wanted = Tokens::ZERO;
        let mut missing = Tokens::ZERO;
        let mut short = Vec::new();
        for id in &budget.waiting {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            if wanted.saturating_add(request.reserve) <= reach {
                wanted += request.reserve;
            } else {
                missing = missing.saturating_add(request.reserve);
                short.push(*id);
            }
        }
        let idle = budget.available(free);
        if wanted > Tokens::ZERO {
            self.adjust_holding(now, team, wanted);
        } else if undrawn > Tokens::ZERO {
            // Budget that cannot cover a request here is returned, so that it can cover one at another router.
            self.adjust_holding(now, team, missing);
        }
        if short.is_empty() {
            return;
        }
        if undrawn == Tokens::ZERO || idle == Tokens::ZERO {
            self.signal_shortage(team, wanted.saturating_add(missing));
        }
        self.handle_short(now, team, &short);
    }

    /// Draws although nothing is left: the other routers see the draw fall short, and return their idle budget.
    fn signal_shortage(&mut self, team: &TeamId, wanted: Tokens) {
        let holding = self.ledger.holding(self.me, team);
        let own = holding.free + holding.claimed;
        let held = self.ledger.team(team).map_or(Tokens::ZERO, |t| t.held());
        let Some(budget) = self.ledger_budgets.get_mut(team) else {
            return;
        };
        if budget.drawing || held <= own {
            return;
        }
        budget.drawing = true;
        let record = Record::Draw {
            team: team.clone(),
            want: wanted,
        };
        self.appender.push(record, Ticket::Draw(team.clone()));
    }

    /// Records since when requests have had nothing left to draw, and refuses those that waited too long or that no
    /// router can cover.
    fn handle_short(&mut self, now: Instant, team: &TeamId, short: &[RequestId]) {
        let unspent = self.ledger.team(team).map_or(Tokens::ZERO, |t| t.unspent());
        for id in short.iter().copied() {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let unaffordable = request.reserve > unspent;
            let State::Funding { short_since } = &mut request.state else {
                continue;
            };
            let since = *short_since.get_or_insert(now);
            if unaffordable || now >= since + SHORTAGE_WAIT {
                self.refuse_spent(now, id, unaffordable);
            }
        }
    }

    fn refuse_spent(&mut self, now: Instant, id: RequestId, unaffordable: bool) {
        let request = &self.requests[&id];
        let detail = format!(
            "the team {} has not {} tokens left for it",
            request.team, request.reserve
        );
        let retry = if unaffordable {
            SPENT_RETRY
        } else {
            HELD_RETRY
        };
        let problem = Problem::new(ProblemKind::BudgetSpent, Ran::Unknown, &detail);
        self.refuse_with(now, id, problem.with_retry(retry));
    }

    /// Draws or returns budget as the policy decides.
    pub(crate) fn adjust_holding(&mut self, now: Instant, team: &TeamId, wanted: Tokens) {
        let holding = self.ledger.holding(self.me, team);
        let Some(state) = self.ledger.team(team) else {
            return;
        };
        let undrawn = state.undrawn();
        let routers = self.ledger.routers().filter(|(_, r)| !r.closed).count();
        let demand = self.demand_rate(now, team);
        let reachable = !self.in_outage(now);
        let budget = self.ledger_budgets.entry(team.clone()).or_default();
        if budget.drawing {
            return;
        }
        let share = BudgetView {
            free: budget.available(holding.free),
            claimed: holding.claimed,
            undrawn,
            routers,
            demand,
            team_demand: self
                .fleet_demand
                .get(team)
                .map_or(0.0, |fleet| fleet.rate(now)),
            wanted,
            reachable,
        };
        match self.holding_policy.decide(&share) {
            HoldingAction::None => {}
            HoldingAction::Draw(want) => {
                budget.drawing = true;
                let record = Record::Draw {
                    team: team.clone(),
                    want,
                };
                self.appender.push(record, Ticket::Draw(team.clone()));
            }
            HoldingAction::Return(amount) => self.return_budget(team, amount),
        }
    }

    fn return_budget(&mut self, team: &TeamId, amount: Tokens) {
        if amount == Tokens::ZERO {
            return;
        }
        self.ledger_budgets
            .entry(team.clone())
            .or_default()
            .debit(amount);
        let record = Record::Return {
            team: team.clone(),
            amount,
        };
        self.appender
            .push(record, Ticket::Return(team.clone(), amount));
    }

    pub(crate) fn handle_draw_verdict(&mut self, now: Instant, team: &TeamId, verdict: &Verdict) {
        let budget = self.ledger_budgets.entry(team.clone()).or_default();
        budget.drawing = false;
        if let Verdict::Granted(amount) = verdict {
            info!(event = "drawn", %team, %amount);
        }
        self.fund_team(now, team);
    }

    /// Returns idle budget when another router's draw fell short.
    ///
    /// Near the end of a budget its last tokens are scattered over the routers, in parts too small for a request.
    /// Without this, a router would refuse a team whose tokens other routers hold.
    pub(crate) fn answer_shortage(&mut self, now: Instant, batch: &Batch, verdicts: &[Verdict]) {
        if batch.router == self.me || !self.is_serving() {
            return;
        }
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            if let (Record::Draw { team, want }, Verdict::Granted(granted)) = (record, verdict)
                && granted < want
            {
                self.release_idle(now, &team.clone());
            }
        }
    }

    fn release_idle(&mut self, now: Instant, team: &TeamId) {
        let free = self.ledger.holding(self.me, team).free;
        let demand = self.demand_rate(now, team);
        let Some(budget) = self.ledger_budgets.get(team) else {
            if free > Tokens::ZERO {
                self.return_budget(team, free);
            }
            return;
        };
        let idle = budget.available(free);
        // What the next second is likely to need stays, so that tokens do not circulate between routers. If a request
        // waits here, nothing stays: what is held is too little for it, and if each router kept its part of what one
        // request needs, all would refuse.
        let kept = match budget.waiting.is_empty() {
            true => Tokens(demand as u64).min(Tokens(idle.0 / 2)),
            false => Tokens::ZERO,
        };
        self.return_budget(team, idle - kept);
    }

    fn record_demand(&mut self, now: Instant, team: &TeamId, amount: Tokens) {
        self.own_demand
            .entry(team.clone())
            .or_insert_with(|| Demand::new(now, OWN_WINDOW))
            .add(now, amount);
    }

    /// Counts the claims of all routers as demand of the fleet.
    pub(crate) fn record_claims(&mut self, now: Instant, batch: &Batch) {
        for record in &batch.records {
            if let Record::Claim(claim) = record {
                self.fleet_demand
                    .entry(claim.team.clone())
                    .or_insert_with(|| Demand::new(now, FLEET_WINDOW))
                    .add(now, claim.reserved);
            }
        }
    }

    /// Returns the demand for a team's budget that is expected here, in tokens a second.
    ///
    /// This is the recent demand here, or this router's share of the fleet's demand if that is more: callers change
    /// routers as they are advised, and a router that was never asked for a team would hold nothing of its budget when
    /// the log goes down.
    fn demand_rate(&self, now: Instant, team: &TeamId) -> f64 {
        let rate = |demand: Option<&Demand>| demand.map_or(0.0, |demand| demand.rate(now));
        let routers = self.ledger.routers().filter(|(_, r)| !r.closed).count();
        let share = rate(self.fleet_demand.get(team)) / routers.max(1) as f64;
        rate(self.own_demand.get(team)).max(share)
    }

    /// Adjusts holdings to the policy, and refuses requests that waited too long for budget.
    pub(crate) fn rebalance_holdings(&mut self, now: Instant) {
        self.fund_all(now);
        let due = self
            .rebalanced_at
            .is_none_or(|at| now >= at + REBALANCE_INTERVAL);
        if !self.is_serving() || !due {
            return;
        }
        self.rebalanced_at = Some(now);
        self.own_demand
            .retain(|_, demand| demand.rate(now) > MIN_DEMAND_RATE);
        self.fleet_demand
            .retain(|_, demand| demand.rate(now) > MIN_DEMAND_RATE);
        let asked = self.fleet_demand.keys().cloned();
        let teams: IndexSet<_> = self.ledger_budgets.keys().cloned().chain(asked).collect();
        for team in teams {
            self.adjust_holding(now, &team, Tokens::ZERO);
        }
        let me = self.me;
        let ledger = &self.ledger;
        self.ledger_budgets.retain(|team, budget| {
            !budget.is_settled() || ledger.holding(me, team).free > Tokens::ZERO
        });
    }
}
