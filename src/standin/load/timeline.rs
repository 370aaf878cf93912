//! A team's budget over time, to judge refusals by.

use crate::ledger::TeamState;
use crate::tokens::Tokens;

/// The budget from one record on.
#[derive(Clone, Copy, Debug)]
struct Point {
    /// The log service's time, in milliseconds since 1970.
    at: u64,
    /// What is not spent, wherever it lies.
    unspent: Tokens,
    /// What open claims reserve of that.
    claimed: Tokens,
}

/// A team's budget over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timeline {
    points: Vec<Point>,
}

impl Timeline {
    /// Notes the budget as a record of that time left it, and what open claims reserve of it.
    pub(crate) fn note(&mut self, at: u64, team: &TeamState, claimed: Tokens) {
        let used = team.spent.saturating_add(team.lost);
        self.points.push(Point {
            at,
            unspent: team.prepaid.saturating_sub(used),
            claimed,
        });
    }

    /// Returns whether the unspent budget covered an amount at every moment between two times.
    pub(crate) fn covered(&self, from: u64, to: u64, amount: Tokens) -> bool {
        self.least(from, to, |point| point.unspent) >= amount
    }

    /// Returns whether what neither was spent nor stood in an open claim covered an amount at every such moment.
    pub(crate) fn free(&self, from: u64, to: u64, amount: Tokens) -> bool {
        self.least(from, to, |point| {
            point.unspent.saturating_sub(point.claimed)
        }) >= amount
    }

    fn least<F>(&self, from: u64, to: u64, of: F) -> Tokens
    where
        F: Fn(&Point) -> Tokens,
    {
        // What stood at `from` is the last point before it.
        let first = self.points.partition_point(|point| point.at <= from);
        let past = self.points.partition_point(|point| point.at <= to);
        let span = &self.points[first.saturating_sub(1)..past];
        span.iter().map(of).min().unwrap_or(Tokens::ZERO)
    }
}
