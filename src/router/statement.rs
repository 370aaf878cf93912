//! What a router says of its budgets: in the state dump, and in the log where it refuses a request for lack of one.

use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tracing::info;

use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::router::funds::Funds;
use crate::router::waiting::Unfunded;

impl Funds {
    /// Logs a refusal and what is known of the budget, its grounds.
    pub(crate) fn explain(&self, now: Instant, team: &TeamId, request: RequestId, why: Unfunded) {
        info!(event = "unfunded", %request, ?why, failures = self.failures);
        let Some(allowance) = self.allowances.get(team) else {
            return;
        };
        let rest = self.remainder(now, team);
        info!(
            event = "budget", %request, %team, prepaid = %allowance.prepaid, granted = %self.book.granted(team),
            reserved = %allowance.reserved, spent = %allowance.spent, elsewhere = %self.book.others(team),
            spent_elsewhere = %self.book.others_spent(team),
            undrawn = %self.book.undrawn(team, allowance.prepaid), in_reach = %rest.left,
            demand = rest.demand as u64, lasts_ms = rest.lasts.as_millis() as u64,
            age_ms = self.word_age(now),
        );
    }

    /// Returns the budgets, for the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Value {
        let allowances = self.allowances.iter().map(|(team, allowance)| {
            json!({
                "team": team,
                "prepaid": allowance.prepaid,
                "granted_here": self.book.granted(team),
                "reserved_here": allowance.reserved,
                "spent_here": allowance.spent,
                "lent": allowance.loans.lent(),
                "borrowed": allowance.loans.borrowed(),
                "granted_elsewhere": self.book.others(team),
                "spent_elsewhere_at_least": self.book.others_spent(team),
                "undrawn": self.book.undrawn(team, allowance.prepaid),
                "waiting": allowance.waiting.len(),
            })
        });
        json!({
            "teams": allowances.collect::<Vec<_>>(),
            "log_word_age_ms": self.word_age(now),
            "log_failures": self.failures,
            "pending": self.book.pending().is_some(),
        })
    }

    /// Returns how old the log's last word is, in milliseconds.
    fn word_age(&self, now: Instant) -> Option<u64> {
        let age = now.saturating_duration_since(self.fresh?);
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }
}
