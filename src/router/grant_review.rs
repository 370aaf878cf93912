//! Reviews: what each grant of this router should be, and what it promises.

use std::time::Duration;
use std::time::Instant;

use crate::decide;
use crate::decide::Action;
use crate::decide::OWNERS;
use crate::decide::Opening;
use crate::decide::Share;
use crate::decide::TEAM_OWNERS;
use crate::escrow::Change;
use crate::escrow::GrantRow;
use crate::escrow::Pace;
use crate::ids::TeamId;
use crate::router::allowance::Allowance;
use crate::router::funds::COVER;
use crate::router::funds::Funds;
use crate::tokens::Tokens;

/// A promise is written anew at a review where the rate that it should allow has changed by more than this part.
const MIN_RATE_CHANGE: f64 = 0.25;

/// For how long a promise may have opened before it is written anew, though nothing was used.
const MAX_OPENING_TIME: Duration = Duration::from_millis(500);

/// How much demand a router that is told to stop still holds: what its last callers ask for until they are told of others.
const WIND_DOWN_COVER: Duration = Duration::from_secs(2);

/// How often grants are brought to what the policy wants and promises are written anew, though no request waits. What a
/// router may use between two promises is stranded where it dies; a call costs as much as a hundredth of a request's worth.
const REVIEW_INTERVAL: Duration = Duration::from_millis(300);

/// How often all routers together do so at most: each of a larger fleet does so less often. All write to one partition, each
/// on the condition that no other did meanwhile, and who fails reads and writes again.
const FLEET_REVIEW_INTERVAL: Duration = Duration::from_millis(33);

/// Whether a router goes on, as far as its budgets are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// It does.
    Running,
    /// It was told to stop: callers still come, fewer and fewer, and what they don't need goes back.
    WindingDown,
    /// All that no request in progress needs goes back.
    Releasing,
}

impl Funds {
    /// Begins to give back what callers that still come won't need.
    pub(crate) fn wind_down(&mut self) {
        self.stay = StopPhase::WindingDown;
        self.reviewed = None;
    }

    /// Begins to give back what no request in progress needs.
    pub(crate) fn release_idle(&mut self) {
        self.stay = StopPhase::Releasing;
        self.reviewed = None;
    }

    /// Returns whether all that is not in use was given back.
    pub(crate) fn has_released_all(&self) -> bool {
        let teams = self.allowances.keys();
        let mut idle = teams.map(|team| self.held(team).min(self.book.granted(team)));
        let transferring = self.allowances.values().any(|a| a.loans.has_unconfirmed());
        let settled = self.book.pending().is_none() || self.failures > 0;
        settled && !transferring && idle.all(|idle| idle == Tokens::ZERO)
    }

    /// Returns whether grants are to be looked over.
    pub(super) fn is_review_due(&self, now: Instant) -> bool {
        let writers = u32::try_from(self.writer_count()).unwrap_or(u32::MAX);
        let interval = FLEET_REVIEW_INTERVAL
            .saturating_mul(writers)
            .max(REVIEW_INTERVAL);
        self.reviewed.is_none_or(|at| now >= at + interval)
    }

    /// Returns whether the log has no writes to spare for rests. Where few routers write it has, and who waits elsewhere has
    /// them sooner.
    fn limits_log_writes(&self) -> bool {
        !self.ownership.is_owned_by_all()
    }

    /// Returns whether others may wait for what lies idle here of a team's budget.
    fn is_needed_elsewhere(&self, team: &TeamId) -> bool {
        !self.limits_log_writes() && self.others.demand(team) > 0.0
    }

    /// Returns how many routers write grants.
    fn writer_count(&self) -> usize {
        match self.ownership.is_owned_by_all() {
            true => self.others.peer_count() + 1,
            false => OWNERS,
        }
    }

    /// Returns how many routers share a team's budget.
    fn sharer_count(&self, team: &TeamId) -> usize {
        match self.ownership.owns_for_all(team) {
            true => TEAM_OWNERS,
            false => self.others.peer_count() + 1,
        }
    }

    /// Returns the grants that the policy wants changed, and those whose promise is to be written anew: all that changed at a
    /// review, and those that keep a request waiting.
    pub(super) fn grant_changes(&self, now: Instant, due: bool) -> Vec<Change> {
        if !self.ownership.knows_routers() {
            return Vec::new();
        }
        let made = self.clock.at(now);
        let changes = self.allowances.iter().filter_map(|(team, allowance)| {
            let old = self.book.granted(team);
            let granted = self.target_grant(now, team, allowance);
            // Were rests given back at each call for another team's request, the one partition would take little else.
            let is_surplus = granted < old && allowance.waiting.is_empty();
            if is_surplus && !due && !self.is_needed_elsewhere(team) {
                return None;
            }
            let opening = self.opening(now, team, allowance, granted);
            let pace = Pace {
                made: made.own,
                used: allowance.in_use(),
                room: allowance.wanted().saturating_add(opening.room),
                rate: opening.rate,
                fleet: made.fleet,
            };
            let renewed = match due {
                true => self.is_outdated(now, team, allowance, &pace),
                false => allowance.wanted() > self.available(now, team),
            };
            let row = GrantRow {
                granted,
                spent: self.reported_spent(allowance),
                pace: Some(pace),
            };
            let covered = allowance.wanted() <= self.held(team);
            let change = granted != old || renewed && (due || covered);
            change.then(|| Change {
                team: team.clone(),
                row,
            })
        });
        changes.collect()
    }

    /// Returns how much of a grant others are told is spent. What an owner lends is spent by routers that write nothing
    /// themselves; where all keep, who borrows says so itself.
    fn reported_spent(&self, allowance: &Allowance) -> Tokens {
        match self.ownership.is_owned_by_all() {
            true => allowance.spent,
            false => allowance.gone(),
        }
    }

    /// Returns what a grant should be.
    fn target_grant(&self, now: Instant, team: &TeamId, allowance: &Allowance) -> Tokens {
        let granted = self.book.granted(team);
        let free = self.held(team);
        if self.is_owned_elsewhere(now, team) {
            return granted - free.min(granted);
        }
        if self.stay != StopPhase::Running && allowance.waiting.is_empty() {
            let kept = self.kept_on_stop(now, allowance);
            return granted - free.saturating_sub(kept).min(granted);
        }
        let share = Share {
            free,
            claimed: allowance.reserved,
            undrawn: self.book.undrawn(team, allowance.prepaid),
            routers: self.sharer_count(team),
            demand: allowance.rate(now),
            team: allowance.rate(now) + self.others.demand(team),
            wanted: allowance.wanted(),
            reachable: true,
        };
        match self.policy.decide(&share) {
            Action::Draw(amount) if !allowance.is_trifle(amount) => granted + amount,
            Action::Return(_) if allowance.waiting.is_empty() && self.limits_log_writes() => {
                granted - self.amount_to_return(allowance, share).min(granted)
            }
            Action::Return(amount) if !allowance.is_trifle(amount) => {
                granted - amount.min(free).min(granted)
            }
            Action::Draw(_) | Action::Return(_) | Action::None => granted,
        }
    }

    /// Returns all that the policy gives back, step after step, of a budget for which nobody waits here: one write for
    /// all steps that are not followed by a draw.
    fn amount_to_return(&self, allowance: &Allowance, mut share: Share) -> Tokens {
        let mut returned = Tokens::ZERO;
        while let Action::Return(amount) = self.policy.decide(&share) {
            let amount = amount.min(share.free);
            if allowance.is_trifle(amount) {
                break;
            }
            let next = Share {
                free: share.free - amount,
                undrawn: share.undrawn.saturating_add(amount),
                ..share
            };
            if let Action::Draw(_) = self.policy.decide(&next) {
                break;
            }
            returned += amount;
            share = next;
        }
        returned
    }

    /// Returns what a router that stops holds on to, beyond what is in use.
    fn kept_on_stop(&self, now: Instant, allowance: &Allowance) -> Tokens {
        match self.stay {
            StopPhase::WindingDown => {
                Tokens((allowance.rate(now) * WIND_DOWN_COVER.as_secs_f64()) as u64)
            }
            StopPhase::Running | StopPhase::Releasing => Tokens::ZERO,
        }
    }

    /// Returns how fast a grant is to open.
    fn opening(
        &self,
        now: Instant,
        team: &TeamId,
        allowance: &Allowance,
        granted: Tokens,
    ) -> Opening {
        let drawn = granted.saturating_sub(self.book.granted(team));
        let held = self.held(team).saturating_add(drawn);
        let flow = allowance.flow_rate(now).min(allowance.rate(now));
        decide::opening(flow, held, COVER)
    }

    /// Returns whether the promise that stands is no longer what it should be.
    ///
    /// One of a budget that nobody asks for opens all the same. Never written anew, it would strand all that had opened since
    /// if the router died.
    fn is_outdated(&self, now: Instant, team: &TeamId, allowance: &Allowance, new: &Pace) -> bool {
        let row = self.book.row(team);
        let Some(old) = row.pace else {
            return row.granted > Tokens::ZERO;
        };
        let rate = old.rate.0.abs_diff(new.rate.0) as f64;
        let rate_changed = rate > old.rate.0 as f64 * MIN_RATE_CHANGE;
        let open = self.book.open(team, &self.clock.own(now));
        let opened = open.saturating_sub(new.used.saturating_add(new.room));
        let stale = opened > new.rate.over(MAX_OPENING_TIME) && allowance.is_worth_writing(opened);
        row.granted > new.used.min(old.used) && (old.used != new.used || rate_changed || stale)
    }
}
