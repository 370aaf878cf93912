//! Reports of a router's budgets: in the state dump, and in log lines about requests refused for lack of budget.

use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tracing::info;

use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::waiting::Unfunded;

impl GrantBudgets {
    /// Logs that a request was refused for lack of budget, and the state of the budget that led to it.
    pub(crate) fn log_refusal(
        &self,
        now: Instant,
        team: &TeamId,
        request: RequestId,
        why: Unfunded,
    ) {
        info!(event = "unfunded", %request, ?why, failures = self.failures);
        let Some(budget) = self.budgets.get(team) else {
            return;
        };
        let rest = self.remainder(now, team);
        info!(
            event = "budget", %request, %team, prepaid = %budget.prepaid(), granted = %self.grant_state.granted(team),
            reserved = %budget.reserved(), spent = %budget.spent,
            elsewhere = %self.grant_state.granted_to_others(team),
            spent_elsewhere = %self.grant_state.spent_by_others(team),
            undrawn = %self.grant_state.undrawn(team, budget.prepaid()), in_reach = %rest.left,
            demand = rest.demand as u64, lasts_ms = rest.lasts.as_millis() as u64,
            age_ms = self.log_answer_age(now),
        );
    }

    /// Returns the budgets for the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Value {
        let budgets = self.budgets.iter().map(|(team, budget)| {
            json!({
                "team": team,
                "prepaid": budget.is_limited().then(|| budget.prepaid()),
                "granted_here": self.grant_state.granted(team),
                "reserved_here": budget.reserved(),
                "spent_here": budget.spent,
                "lent": budget.loans.lent(),
                "borrowed": budget.loans.borrowed(),
                "granted_elsewhere": self.grant_state.granted_to_others(team),
                "spent_elsewhere_at_least": self.grant_state.spent_by_others(team),
                "undrawn": self.grant_state.undrawn(team, budget.prepaid()),
                "waiting": budget.waiting.len(),
            })
        });
        json!({
            "teams": budgets.collect::<Vec<_>>(),
            "log_word_age_ms": self.log_answer_age(now),
            "log_failures": self.failures,
            "pending": self.grant_state.pending().is_some(),
        })
    }

    /// Returns the time since the log's last answer, in milliseconds.
    fn log_answer_age(&self, now: Instant) -> Option<u64> {
        let age = now.saturating_duration_since(self.fresh_at?);
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }
}
