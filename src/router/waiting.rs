//! What waits for budget, and what comes of it: requests here, and other routers' questions for loans.

use std::time::Duration;
use std::time::Instant;

use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::router::grant_budget::GrantBudget;
use crate::router::grant_budget::Waiter;
use crate::router::grant_budget::Waiting;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::grant_budgets::MAX_STALENESS;
use crate::router::grant_budgets::urgent_reserve;
use crate::tokens::Tokens;

/// How long a request waits for a grant: a read and a write at a log that takes a hundred milliseconds each.
const WAIT: Duration = Duration::from_millis(400);

/// How long another router's question for a loan waits: after a fifth of a second its sender has given up, and asks the next
/// owner.
const LOAN_WAIT: Duration = Duration::from_millis(150);

/// Why a request that waited for its budget can't have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unfunded {
    /// What is left of the budget does not cover it.
    Spent,
    /// Other routers hold what is left.
    Held,
    /// What is left is kept for more urgent requests.
    Kept,
    /// The log can't be asked, and this router holds too little.
    Away,
}

impl GrantBudgets {
    /// Has a request wait for a grant.
    pub(crate) fn wait(&mut self, team: &TeamId, waiting: Waiting) {
        if let Some(allowance) = self.budgets.get_mut(team) {
            allowance.waiting.push_back(waiting);
        }
    }

    /// Reserves for those that wait and can be covered now, and returns them and what they get. A small one may pass a large
    /// one: the large one is refused if it can't be had, not the small one.
    pub(crate) fn funded(&mut self, now: Instant) -> Vec<(Waiter, Tokens)> {
        let mut funded = Vec::new();
        for team in self.waiting_teams() {
            let available = self.available(now, &team);
            let mut taken = Tokens::ZERO;
            let away = self.unreachable_since.is_some();
            let mut given = Vec::new();
            let allowance = &mut self.budgets[&team];
            let GrantBudget {
                waiting,
                ration,
                loans,
                reserved,
                ..
            } = allowance;
            waiting.retain(|waiting| {
                let kept = urgent_reserve(away, now, ration, waiting.priority);
                let needed = taken.saturating_add(waiting.amount).saturating_add(kept);
                if needed > available {
                    return true;
                }
                taken += waiting.amount;
                let amount = match &waiting.who {
                    Waiter::Request(_) => {
                        *reserved += waiting.amount;
                        waiting.amount
                    }
                    Waiter::Loan(_, ask) => loans.lend(ask, waiting.amount),
                };
                given.push(amount);
                funded.push((waiting.who.clone(), amount));
                false
            });
            given
                .into_iter()
                .for_each(|amount| allowance.record_given(now, amount));
        }
        funded
    }

    /// Returns what those that wait for a team's budget lack: what they may cost together, and what must stay open for more
    /// urgent ones, beyond what can be reserved now.
    pub(super) fn missing(&self, now: Instant, team: &TeamId) -> Tokens {
        let away = self.unreachable_since.is_some();
        let allowance = &self.budgets[team];
        let waiting = allowance.waiting.iter();
        let kept = waiting.map(|one| urgent_reserve(away, now, &allowance.ration, one.priority));
        let kept = kept.max().unwrap_or_default();
        let wanted = allowance.own_wanted().saturating_add(kept);
        wanted.saturating_sub(self.available(now, team))
    }

    /// Returns the requests that can't have their budget, or not in time, and why.
    pub(crate) fn unfunded(&mut self, now: Instant) -> Vec<(Waiter, Unfunded)> {
        let mut unfunded = Vec::new();
        for team in self.waiting_teams() {
            let left = self.max_left(&team);
            let reach = self.max_reservable(&team);
            let held = self.held(&team);
            let fresh = self.fresh_at;
            let borrows = self.budgets[&team].loans.may_bring(now);
            let away = self.failures > 0 || self.book.end().is_none();
            self.budgets[&team].waiting.retain(|waiting| {
                let asked = fresh.is_some_and(|at| at + MAX_STALENESS >= waiting.since);
                let loan = matches!(waiting.who, Waiter::Loan(..));
                if loan && now >= waiting.since + LOAN_WAIT {
                    unfunded.push((waiting.who.clone(), Unfunded::Held));
                    return false;
                }
                if borrows {
                    return true;
                }
                let why = match waiting.amount {
                    amount if asked && amount > left => Unfunded::Spent,
                    amount if asked && amount > reach => Unfunded::Held,
                    // What is held for it may be used within a moment.
                    amount if amount <= held && now < waiting.since + WAIT => return true,
                    _ if away => Unfunded::Away,
                    _ if now >= waiting.since + WAIT => Unfunded::Held,
                    _ => return true,
                };
                unfunded.push((waiting.who.clone(), why));
                false
            });
        }
        unfunded
    }

    /// Takes a request out of those that wait.
    pub(crate) fn forget(&mut self, team: &TeamId, request: RequestId) {
        if let Some(allowance) = self.budgets.get_mut(team) {
            let is_it = |who: &Waiter| matches!(who, Waiter::Request(id) if *id == request);
            allowance.waiting.retain(|waiting| !is_it(&waiting.who));
        }
    }

    /// Returns the teams for whose budget requests wait.
    pub(super) fn waiting_teams(&self) -> Vec<TeamId> {
        let waiting = self.budgets.iter().filter(|(_, p)| !p.waiting.is_empty());
        waiting.map(|(team, _)| team.clone()).collect()
    }
}
