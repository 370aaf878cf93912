//! Waiting for budget: requests at this router, and loan requests from other routers.

use std::time::Duration;
use std::time::Instant;

use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::router::grant_budget::Funded;
use crate::router::grant_budget::Waiter;
use crate::router::grant_budget::Waiting;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::grant_budgets::MAX_STALENESS;
use crate::router::grant_budgets::urgent_reserve;
use crate::tokens::Tokens;

/// How long a request waits for a grant. Covers a read and a write of a log that takes a hundred milliseconds for each.
const GRANT_WAIT: Duration = Duration::from_millis(400);

/// How long a loan request from another router waits. After a fifth of a second the sender gives up and asks the next
/// owner.
const LOAN_WAIT: Duration = Duration::from_millis(150);

/// Why a request that waits for budget can't get it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unfunded {
    /// The rest of the budget does not cover it.
    Spent,
    /// Other routers hold the rest.
    Held,
    /// The rest is kept for requests of higher priority.
    Kept,
    /// The log does not answer, and this router holds too little.
    Away,
}

impl GrantBudgets {
    /// Has a request or a loan request wait for budget.
    pub(crate) fn push_waiting(&mut self, team: &TeamId, waiting: Waiting) {
        if let Some(budget) = self.budgets.get_mut(team) {
            budget.waiting.push_back(waiting);
        }
    }

    /// Reserves budget for the waiting requests that can be covered now, and returns them with their amounts. A small
    /// request may overtake a large one: if the budget does not suffice, the large one is refused, not the small one.
    pub(crate) fn fund_waiting(&mut self, now: Instant) -> Vec<Funded> {
        let mut funded = Vec::new();
        let away = self.unreachable_since.is_some();
        for team in self.waiting_teams() {
            let mut available = self.available(now, &team);
            let budget = &mut self.budgets[&team];
            let mut waiting = std::mem::take(&mut budget.waiting);
            waiting.retain(|entry| {
                let kept = urgent_reserve(away, now, &budget.ration, entry.priority);
                let given = budget.fund(now, entry, available.saturating_sub(kept));
                if given.is_some() {
                    available = available.saturating_sub(entry.amount);
                }
                let keep = given.is_none();
                funded.extend(given);
                keep
            });
            budget.waiting = waiting;
        }
        funded
    }

    /// Returns how much budget the waiting requests of a team lack: their maximum cost, plus what must stay available
    /// for requests of higher priority, less what can be reserved now.
    pub(super) fn shortfall(&self, now: Instant, team: &TeamId) -> Tokens {
        let away = self.unreachable_since.is_some();
        let budget = &self.budgets[team];
        let waiting = budget.waiting.iter();
        let kept =
            waiting.map(|waiting| urgent_reserve(away, now, &budget.ration, waiting.priority));
        let kept = kept.max().unwrap_or_default();
        let wanted = budget.own_wanted().saturating_add(kept);
        let missing = wanted.saturating_sub(self.available(now, team));
        missing.saturating_add(self.overdraft(team))
    }

    /// Returns how much more than this router holds of a team's budget is in use here.
    pub(super) fn overdraft(&self, team: &TeamId) -> Tokens {
        let granted = self.grant_state.granted(team);
        let budget = self.budgets.get(team);
        budget.map_or(Tokens::ZERO, |budget| budget.overdraft(granted))
    }

    /// Removes the waiting requests that can't get their budget, or not in time, and returns them with the reason.
    pub(crate) fn take_unfunded(&mut self, now: Instant) -> Vec<(Waiter, Unfunded)> {
        let mut unfunded = Vec::new();
        for team in self.waiting_teams() {
            let left = self.max_left(&team);
            let reach = self.max_reservable(&team);
            let held = self.held(&team);
            let fresh = self.fresh_at;
            let may_borrow = self.budgets[&team].loans.can_borrow(now);
            let away = self.failures > 0 || self.grant_state.end().is_none();
            self.budgets[&team].waiting.retain(|waiting| {
                let book_fresh = fresh.is_some_and(|at| at + MAX_STALENESS >= waiting.since);
                let is_loan = matches!(waiting.who, Waiter::Loan(..));
                if is_loan && now >= waiting.since + LOAN_WAIT {
                    unfunded.push((waiting.who.clone(), Unfunded::Held));
                    return false;
                }
                if may_borrow {
                    return true;
                }
                let reason = match waiting.amount {
                    amount if book_fresh && amount > left => Unfunded::Spent,
                    amount if book_fresh && amount > reach => Unfunded::Held,
                    // Budget that is held here but not usable yet may become usable within moments.
                    amount if amount <= held && now < waiting.since + GRANT_WAIT => return true,
                    _ if away => Unfunded::Away,
                    _ if now >= waiting.since + GRANT_WAIT => Unfunded::Held,
                    _ => return true,
                };
                unfunded.push((waiting.who.clone(), reason));
                false
            });
        }
        unfunded
    }

    /// Removes a request from those that wait.
    pub(crate) fn remove_waiting(&mut self, team: &TeamId, request: RequestId) {
        if let Some(budget) = self.budgets.get_mut(team) {
            let is_match = |who: &Waiter| matches!(who, Waiter::Request(id) if *id == request);
            budget.waiting.retain(|waiting| !is_match(&waiting.who));
        }
    }

    /// Returns the teams with requests that wait for their budget.
    pub(super) fn waiting_teams(&self) -> Vec<TeamId> {
        let waiting = self.budgets.iter().filter(|(_, p)| !p.waiting.is_empty());
        waiting.map(|(team, _)| team.clone()).collect()
    }
}
