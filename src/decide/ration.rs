//! Who is paid from a budget that may run out before there is more.
//!
//! Answers two patterns: a cut from the log that outlasts what the routers hold, and a team whose budget is nearly used
//! up. Paid in the order in which they come, all its requests run dry together, the most urgent among them, although
//! these may need but a tenth of its tokens. Here a request is paid only if what is left behind it still covers what is
//! expected of more urgent ones for as long as it must last. As long as enough is left for all, nothing is refused: the
//! least urgent go first, early, and are told so at once.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::demand::Demand;
use crate::tokens::Tokens;

/// What is left of a budget, and how long it must last.
#[derive(Clone, Copy, Debug)]
pub struct Remainder {
    /// What can still be spent, here and at other routers in reach.
    pub left: Tokens,
    /// How fast it is asked for, by requests of all priorities, in tokens a second.
    pub demand: f64,
    /// How long until there may be more.
    pub lasts: Duration,
}

/// How fast a budget is asked for, by priority.
#[derive(Clone, Debug)]
pub struct PriorityDemand {
    window: Duration,
    /// By priority, 0 being the first.
    demand: IndexMap<u8, Demand>,
}

impl PriorityDemand {
    /// Makes one that averages over a time and has seen nothing yet.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            demand: IndexMap::new(),
        }
    }

    /// Counts a request that is expected to use so much.
    pub fn record(&mut self, now: Instant, priority: u8, amount: Tokens) {
        let new = Demand::new(now, self.window);
        let demand = self.demand.entry(priority).or_insert(new);
        demand.add(now, amount);
    }

    /// Returns how fast the budget is asked for in all, in tokens a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.demand.values().map(|demand| demand.rate(now)).sum()
    }

    /// Returns whether a request may be paid without taking what more urgent ones will need.
    pub fn admits(&self, now: Instant, budget: &Remainder, priority: u8, amount: Tokens) -> bool {
        let reserved =
            budget.demand * self.higher_priority_share(now, priority) * budget.lasts.as_secs_f64();
        budget.left.saturating_sub(amount).0 as f64 >= reserved
    }

    /// Returns how fast requests that are more urgent than a priority ask for the budget, in tokens a second.
    pub fn higher_priority_rate(&self, now: Instant, priority: u8) -> f64 {
        let above = self.demand.iter().filter(|(of, _)| **of < priority);
        above.map(|(_, demand)| demand.rate(now)).sum()
    }

    /// Returns the part of the demand, of 1, that is more urgent than a priority.
    fn higher_priority_share(&self, now: Instant, priority: u8) -> f64 {
        match self.rate(now) {
            rate if rate > 0.0 => self.higher_priority_rate(now, priority) / rate,
            _ => 0.0,
        }
    }
}
