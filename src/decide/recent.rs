//! The recent usage of each client account.

use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::AccountId;

/// The time constant of the decay of usage, in seconds: the time of a few answers.
const DECAY_TIME_S: f64 = 10.0;

/// An account's recent share of the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// At most half of an equal share.
    Light,
    /// More than half of an equal share.
    Heavy,
}

/// The recent usage of each client account, decaying exponentially.
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
