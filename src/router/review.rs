//! Reviews: what each grant of this router should be, and what it promises.

use std::time::Duration;
use std::time::Instant;

use crate::decide;
use crate::decide::BudgetView;
use crate::decide::FLEET_OWNERS;
use crate::decide::HoldingAction;
use crate::decide::ReleaseLimit;
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
const RATE_CHANGE: f64 = 0.25;

/// For how long a promise may have opened before it is written anew, though nothing was used.
const LONGEST_OPENING: Duration = Duration::from_millis(500);

/// How much demand a router that is told to stop still holds: what its last callers ask for until they are told of others.
const FADING_COVER: Duration = Duration::from_secs(2);

/// How often grants are brought to what the policy wants and promises are written anew, though no request waits. What a
/// router may use between two promises is stranded where it dies; a call costs as much as a hundredth of a request's worth.
const REVIEW: Duration = Duration::from_millis(300);

/// How often all routers together do so at most: each of a larger fleet does so less often. All write to one partition, each
/// on the condition that no other did meanwhile, and who fails reads and writes again.
const FLEET_REVIEW: Duration = Duration::from_millis(33);

/// Whether a router goes on, as far as its budgets are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stay {
    /// It does.
    Staying,
    /// It was told to stop: callers still come, fewer and fewer, and what they don't need goes back.
    Fading,
    /// All that no request in progress needs goes back.
    Leaving,
}

impl Funds {
    /// Begins to give back what callers that still come won't need.
    pub(crate) fn fade(&mut self) {
        self.stay = Stay::Fading;
        self.reviewed = None;
    }

    /// Begins to give back what no request in progress needs.
    pub(crate) fn leave(&mut self) {
        self.stay = Stay::Leaving;
        self.reviewed = None;
    }

    /// Returns whether all that is not in use was given back.
    pub(crate) fn left_all(&self) -> bool {
        let teams = self.allowances.keys();
        let mut idle = teams.map(|team| self.held(team).min(self.book.granted(team)));
        let giving = self.allowances.values().any(|a| a.loans.is_giving());
        let settled = self.book.pending().is_none() || self.failures > 0;
        settled && !giving && idle.all(|idle| idle == Tokens::ZERO)
    }

    /// Returns whether grants are to be looked over.
    pub(super) fn is_review_due(&self, now: Instant) -> bool {
        let writers = u32::try_from(self.writers()).unwrap_or(u32::MAX);
        let interval = FLEET_REVIEW.saturating_mul(writers).max(REVIEW);
        self.reviewed.is_none_or(|at| now >= at + interval)
    }

    /// Returns whether the log has no writes to spare for rests. Where few routers write it has, and who waits elsewhere has
    /// them sooner.
    fn spares_log(&self) -> bool {
        !self.ownership.is_everyone()
    }

    /// Returns whether others may wait for what lies idle here of a team's budget.
    fn is_missed_elsewhere(&self, team: &TeamId) -> bool {
        !self.spares_log() && self.others.demand(team) > 0.0
    }

    /// Returns how many routers write grants.
    fn writers(&self) -> usize {
        match self.ownership.is_everyone() {
            true => self.others.routers() + 1,
            false => FLEET_OWNERS,
        }
    }

    /// Returns how many routers share a team's budget.
    fn sharers(&self, team: &TeamId) -> usize {
        match self.ownership.owns_for_all(team) {
            true => TEAM_OWNERS,
            false => self.others.routers() + 1,
        }
    }

    /// Returns the grants that the policy wants changed, and those whose promise is to be written anew: all that changed at a
    /// review, and those that keep a request waiting.
    pub(super) fn changes(&self, now: Instant, due: bool) -> Vec<Change> {
        if !self.ownership.knows_routers() {
            return Vec::new();
        }
        let made = self.clock.at(now);
        let changes = self.allowances.iter().filter_map(|(team, allowance)| {
            let old = self.book.granted(team);
            let granted = self.wanted_grant(now, team, allowance);
            // Were rests given back at each call for another team's request, the one partition would take little else.
            let is_rest = granted < old && allowance.waiting.is_empty();
            if is_rest && !due && !self.is_missed_elsewhere(team) {
                return None;
            }
            let opening = self.opening(now, team, allowance, granted);
            let promise = Pace {
                made: made.own,
                used: allowance.in_use(),
                room: allowance.wanted().saturating_add(opening.burst),
                rate: opening.rate,
                fleet: made.fleet,
            };
            let renewed = match due {
                true => self.is_outdated(now, team, allowance, &promise),
                false => allowance.wanted() > self.available(now, team),
            };
            let row = GrantRow {
                granted,
                spent: self.told_spent(allowance),
                pace: Some(promise),
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
    fn told_spent(&self, allowance: &Allowance) -> Tokens {
        match self.ownership.is_everyone() {
            true => allowance.spent,
            false => allowance.gone(),
        }
    }

    /// Returns what a grant should be.
    fn wanted_grant(&self, now: Instant, team: &TeamId, allowance: &Allowance) -> Tokens {
        let granted = self.book.granted(team);
        let free = self.held(team);
        if self.is_owned_elsewhere(now, team) {
            return granted - free.min(granted);
        }
        if self.stay != Stay::Staying && allowance.waiting.is_empty() {
            let kept = self.kept_by_leaver(now, allowance);
            return granted - free.saturating_sub(kept).min(granted);
        }
        let share = BudgetView {
            free,
            claimed: allowance.reserved,
            undrawn: self.book.undrawn(team, allowance.prepaid),
            routers: self.sharers(team),
            demand: allowance.rate(now),
            team_demand: allowance.rate(now) + self.others.demand(team),
            wanted: allowance.wanted(),
            reachable: true,
        };
        match self.policy.decide(&share) {
            HoldingAction::Draw(amount) if !allowance.is_trifle(amount) => granted + amount,
            HoldingAction::Return(_) if allowance.waiting.is_empty() && self.spares_log() => {
                granted - self.given_back(allowance, share).min(granted)
            }
            HoldingAction::Return(amount) if !allowance.is_trifle(amount) => {
                granted - amount.min(free).min(granted)
            }
            HoldingAction::Draw(_) | HoldingAction::Return(_) | HoldingAction::None => granted,
        }
    }

    /// Returns all that the policy gives back, step after step, of a budget for which nobody waits here: one write for
    /// all steps that are not followed by a draw.
    fn given_back(&self, allowance: &Allowance, mut share: BudgetView) -> Tokens {
        let mut given = Tokens::ZERO;
        while let HoldingAction::Return(amount) = self.policy.decide(&share) {
            let amount = amount.min(share.free);
            if allowance.is_trifle(amount) {
                break;
            }
            let next = BudgetView {
                free: share.free - amount,
                undrawn: share.undrawn.saturating_add(amount),
                ..share
            };
            if let HoldingAction::Draw(_) = self.policy.decide(&next) {
                break;
            }
            given += amount;
            share = next;
        }
        given
    }

    /// Returns what a router that stops holds on to, beyond what is in use.
    fn kept_by_leaver(&self, now: Instant, allowance: &Allowance) -> Tokens {
        match self.stay {
            Stay::Fading => Tokens((allowance.rate(now) * FADING_COVER.as_secs_f64()) as u64),
            Stay::Staying | Stay::Leaving => Tokens::ZERO,
        }
    }

    /// Returns how fast a grant is to open.
    fn opening(
        &self,
        now: Instant,
        team: &TeamId,
        allowance: &Allowance,
        granted: Tokens,
    ) -> ReleaseLimit {
        let drawn = granted.saturating_sub(self.book.granted(team));
        let held = self.held(team).saturating_add(drawn);
        let flow = allowance.flow_rate(now).min(allowance.rate(now));
        decide::release_limit(flow, held, COVER)
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
        let rate_changed = rate > old.rate.0 as f64 * RATE_CHANGE;
        let open = self.book.open(team, &self.clock.own(now));
        let opened = open.saturating_sub(new.used.saturating_add(new.room));
        let outgrown =
            opened > new.rate.over(LONGEST_OPENING) && allowance.is_worth_writing(opened);
        row.granted > new.used.min(old.used) && (old.used != new.used || rate_changed || outgrown)
    }
}
