//! Budget that moves between routers while the log is unreachable: loans, and transfers from routers that stop.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::ids::Incarnation;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::BudgetTransfer;
use crate::router::event::LoanRequest;
use crate::router::event::ReplyId;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::grant_review::StopPhase;
use crate::router::heartbeat::TeamBudget;
use crate::router::loans::LoanNeed;
use crate::tokens::Tokens;

/// How long a request waits for the log before loans are requested, if enough of the budget is undrawn.
const LOAN_DELAY: Duration = Duration::from_millis(60);

/// How much demand a loan covers beyond the waiting requests, so that not every request needs a loan of its own: a loan
/// request costs a millisecond, and borrowed budget cannot be returned.
const LOAN_COVER: Duration = Duration::from_secs(2);

/// How much of its own demand a router keeps covered when it lends or returns budget.
pub(super) const OWN_COVER: Duration = Duration::from_secs(1);

impl GrantBudgets {
    /// Requests loans from other routers for what the log cannot provide now.
    pub(crate) fn borrow(&mut self, now: Instant, me: Incarnation) -> Vec<Effect> {
        let mut effects = self.borrow_ahead(now, me);
        for team in self.waiting_teams() {
            let log_may_help =
                self.failures == 0 && self.max_reservable(&team) > self.available(now, &team);
            if self.is_owned_elsewhere(now, &team) {
                effects.extend(self.borrow_from_owners(now, me, &team));
                continue;
            }
            let left = self.max_left(&team);
            let budget = &mut self.budgets[&team];
            let needed = budget.own_wanted();
            if needed == Tokens::ZERO {
                continue;
            }
            let waiting_since = budget.waiting.front().map_or(now, |waiting| waiting.since);
            // If the log answers at all, it grants undrawn budget within some milliseconds.
            if log_may_help && now < waiting_since + LOAN_DELAY {
                continue;
            }
            let ahead = Tokens((budget.own_rate(now) * LOAN_COVER.as_secs_f64()) as u64);
            let need = LoanNeed {
                amount: needed.saturating_add(ahead).min(left),
                total_demand: budget.asked,
                priority: budget.most_urgent(),
            };
            let lenders = self.peer_budgets.lenders(&team);
            effects.extend(
                budget
                    .loans
                    .request_from_peer(now, me, &team, need, lenders),
            );
        }
        effects
    }

    /// Retries loan requests that brought no answer.
    pub(crate) fn retry_loans(&mut self, now: Instant) -> Vec<Effect> {
        let ownership = &self.ownership;
        let is_responsive = |peer: &Peer| !ownership.is_unresponsive(now, &peer.vm);
        let budgets = self.budgets.values_mut();
        budgets
            .filter_map(|budget| budget.loans.retry(now, is_responsive))
            .collect()
    }

    /// Transfers idle budget to other routers if it cannot be returned to the log.
    ///
    /// Otherwise a planned stop during an outage of the log would take ten seconds' worth of each team's budget out of
    /// use.
    pub(crate) fn transfer_idle(&mut self, now: Instant, me: Incarnation) -> Vec<Effect> {
        if self.stop_phase != StopPhase::Releasing {
            return Vec::new();
        }
        // Borrowed budget cannot be returned to the log.
        let log_failing = self.failures > 0;
        let teams = self.budgets.keys();
        let teams = teams.filter(|team| log_failing || !self.ownership.owners(team).is_empty());
        let teams: Vec<_> = teams.cloned().collect();
        let mut effects = Vec::new();
        for team in teams {
            let idle = self.available(now, &team);
            if idle > Tokens::ZERO {
                let loans = &mut self.budgets[&team].loans;
                let recipients = self.peer_budgets.recipients(&team);
                effects.extend(loans.transfer(me, &team, idle, &recipients));
            }
        }
        effects
    }

    /// Adds what another router transferred.
    pub(crate) fn receive_transfer(&mut self, transfer: &BudgetTransfer) {
        info!(event = "given", from = %transfer.giver, team = %transfer.team, amount = %transfer.amount);
        let prepaid = self.prepaid(&transfer.team);
        if transfer.amount > prepaid {
            warn!(event = "transfer-too-large", from = %transfer.giver, amount = %transfer.amount, %prepaid);
            return;
        }
        if let Some(budget) = self.budgets.get_mut(&transfer.team) {
            budget.loans.receive(transfer);
        }
    }

    /// Notes that another router confirmed a transfer, or that its outcome is unknown.
    pub(crate) fn finish_transfer(&mut self, transfer: &BudgetTransfer, taken: bool) {
        info!(event = "handed-over", team = %transfer.team, amount = %transfer.amount, taken);
        if let Some(budget) = self.budgets.get_mut(&transfer.team) {
            budget.loans.finish_transfer();
        }
    }

    /// Answers another router's loan request. Returns `None` if the answer waits for more budget from the log. A
    /// repeated request gets the same answer.
    pub(crate) fn lend(
        &mut self,
        now: Instant,
        id: ReplyId,
        request: &LoanRequest,
    ) -> Option<Tokens> {
        let prepaid = self.prepaid(&request.team);
        let request = &LoanRequest {
            amount: request.amount.min(prepaid),
            ..request.clone()
        };
        match self.ownership.owns_for_all(&request.team) {
            true => self.lend_owned(now, id, request),
            false => Some(self.lend_idle(now, request)),
        }
    }

    /// Lends idle budget of a team whose budget every router keeps for itself.
    fn lend_idle(&mut self, now: Instant, request: &LoanRequest) -> Tokens {
        let free = self.available(now, &request.team);
        let Some(budget) = self.budgets.get_mut(&request.team) else {
            return Tokens::ZERO;
        };
        let kept = Tokens((budget.rate(now) * OWN_COVER.as_secs_f64()) as u64);
        let spare = free.saturating_sub(kept).max(Tokens(free.0 / 2));
        let spare = match budget.waiting.is_empty() {
            true => spare,
            false => Tokens::ZERO,
        };
        budget.loans.lend(request, spare)
    }

    /// Records the answer of another router to a loan request, or that none came.
    pub(crate) fn record_loan_answer(
        &mut self,
        now: Instant,
        request: &LoanRequest,
        amount: Option<Tokens>,
    ) {
        info!(
            event = "borrowed", number = request.number, team = %request.team, asked = %request.amount,
            amount = ?amount.map(|a| a.0)
        );
        let prepaid = self.prepaid(&request.team);
        if amount.is_some_and(|lent| lent > prepaid) {
            warn!(event = "loan-too-large", number = request.number, team = %request.team, %prepaid);
        }
        let amount = amount.map(|lent| if lent > prepaid { Tokens::ZERO } else { lent });
        if let Some(budget) = self.budgets.get_mut(&request.team) {
            let lender = budget.loans.record_answer(now, request, amount);
            if let Some(peer) = lender.filter(|_| amount.is_none()) {
                self.ownership.mark_unresponsive(now, &peer);
            }
        }
    }

    /// Returns what this router reports of its budgets to other routers: idle tokens and demand.
    pub(crate) fn budget_report(&self, now: Instant) -> Vec<TeamBudget> {
        let owned = self.budgets.iter();
        let owned = owned.filter(|(team, _)| self.ownership.owners(team).is_empty());
        let budgets = owned.map(|(team, budget)| TeamBudget {
            team: team.clone(),
            free: self.held(team),
            demand: budget.rate(now) as u64,
        });
        budgets
            .filter(|budget| budget.free > Tokens::ZERO || budget.demand > 0)
            .collect()
    }
}
