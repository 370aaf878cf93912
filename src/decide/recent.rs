//! What accounts were served lately.

use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::AccountId;

/// The time over which an account's use counts, in seconds: a few answers.
const DECAY_TIME_S: f64 = 10.0;

/// How much of the endpoints an account had lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Less than half of an equal part.
    Light,
    /// More.
    Heavy,
}

/// What accounts were served lately.
#[derive(Debug, Default)]
pub(super) struct RecentUsage {
    accounts: IndexMap<AccountId, (f64, Option<Instant>)>,
    total: f64,
    updated: Option<Instant>,
}

impl RecentUsage {
    pub(super) fn charge(&mut self, now: Instant, account: &AccountId, cost: f64) {
        let (own, at) = self.accounts.entry(account.clone()).or_default();
        *own = decayed(*own, *at, now) + cost;
        *at = Some(now);
        self.total = decayed(self.total, self.updated, now) + cost;
        self.updated = Some(now);
    }

    pub(super) fn sweep(&mut self, now: Instant) {
        self.accounts
            .retain(|_, (cost, at)| decayed(*cost, *at, now) >= 1.0);
    }

    pub(super) fn usage(&self, now: Instant, account: &AccountId) -> Usage {
        let own = self
            .accounts
            .get(account)
            .map_or(0.0, |(cost, at)| decayed(*cost, *at, now));
        let total = decayed(self.total, self.updated, now);
        match own * 2.0 * self.accounts.len() as f64 <= total {
            true => Usage::Light,
            false => Usage::Heavy,
        }
    }
}

fn decayed(cost: f64, at: Option<Instant>, now: Instant) -> f64 {
    let passed = at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
    cost * (-passed / DECAY_TIME_S).exp()
}
