//! Admission by priority to a budget that may run out before it is refilled.
//!
//! Guards against two load patterns: a log outage that outlasts what the routers hold, and a team whose budget is
//! nearly used up. If requests are paid in order of arrival, all of them run out of budget together, including the most
//! urgent, although these may need only a tenth of the tokens. Here a request is admitted only if the tokens left after
//! it still cover the expected demand of higher priorities for as long as they must last. While enough is left for all,
//! nothing is refused. When it is not, the lowest priorities are refused first: early, and without waiting.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::demand::Demand;
use crate::tokens::Tokens;

/// Tokens left of a budget, and how long they must last.
#[derive(Clone, Copy, Debug)]
pub struct Remainder {
    /// Tokens that can still be spent, here and at other reachable routers.
    pub left: Tokens,
    /// Demand of all priorities, in tokens per second.
    pub demand: f64,
    /// Time until there may be more.
    pub lasts: Duration,
}

/// Demand on a budget by priority.
#[derive(Clone, Debug)]
pub struct PriorityDemand {
    window: Duration,
    /// Keyed by priority; 0 is the highest.
    demand: IndexMap<u8, Demand>,
}

impl PriorityDemand {
    /// Creates an empty counter that averages over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            demand: IndexMap::new(),
        }
    }

    /// Records a request that is expected to use `amount` tokens.
    pub fn record(&mut self, now: Instant, priority: u8, amount: Tokens) {
        let new = Demand::new(now, self.window);
        let demand = self.demand.entry(priority).or_insert(new);
        demand.add(now, amount);
    }

    /// Returns the total demand, in tokens per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.demand.values().map(|demand| demand.rate(now)).sum()
    }

    /// Returns whether a request may be paid without spending tokens that higher priorities are expected to need.
    pub fn admits(&self, now: Instant, budget: &Remainder, priority: u8, amount: Tokens) -> bool {
        let reserved =
            budget.demand * self.higher_priority_share(now, priority) * budget.lasts.as_secs_f64();
        budget.left.saturating_sub(amount).0 as f64 >= reserved
    }

    /// Returns the demand of priorities higher than `priority`, in tokens per second.
    pub fn higher_priority_rate(&self, now: Instant, priority: u8) -> f64 {
        let above = self.demand.iter().filter(|(of, _)| **of < priority);
        above.map(|(_, demand)| demand.rate(now)).sum()
    }

    /// Returns the fraction of the demand, from 0 to 1, with a higher priority than `priority`.
    fn higher_priority_share(&self, now: Instant, priority: u8) -> f64 {
        match self.rate(now) {
            rate if rate > 0.0 => self.higher_priority_rate(now, priority) / rate,
            _ => 0.0,
        }
    }
}
