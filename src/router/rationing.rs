//! What is left of each budget in this router's reach, and for how long it must last.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::Remainder;
use crate::ids::TeamId;
use crate::router::funds::COVER;
use crate::router::funds::Funds;
use crate::router::loans::Lender;
use crate::tokens::Tokens;

/// How long the rest of a budget is to last for its most urgent requests where most of it is out of reach: as long as a loss
/// of power of all routers is felt.
const LAST: Duration = Duration::from_secs(10);

/// More than this part of what was prepaid must be out of reach to be thought lost. What routers spent and have not yet
/// written down looks the same, but is less.
const LOST: u64 = 20;

/// How long a cut from the log is thought to go on at least, however long it has been.
const LEAST: Duration = Duration::from_secs(2);

/// How often what other routers say of their budgets is gathered. They say it twice a second.
const LISTEN: Duration = Duration::from_millis(250);

/// What the other routers say of one budget, added up.
#[derive(Clone, Copy, Debug, Default)]
struct Elsewhere {
    /// What lies idle there.
    free: Tokens,
    /// How fast it is asked for there, in tokens a second.
    demand: f64,
}

/// What the other routers say of all budgets, and when it was last gathered.
///
/// Gathered for each event while a request waits, as in a cut, it took two fifths of what a router used of its processor in a
/// fleet of 64 routers and 24 teams.
#[derive(Debug, Default)]
pub(super) struct Others {
    lenders: Arc<[Lender]>,
    teams: IndexMap<TeamId, Elsewhere>,
    heard: Option<Instant>,
}

impl Others {
    /// Returns whether it is time to gather what they say.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.heard.is_none_or(|at| now >= at + LISTEN)
    }

    /// Takes in what they say.
    pub(super) fn hear(&mut self, now: Instant, lenders: Vec<Lender>) {
        self.heard = Some(now);
        self.teams.clear();
        for word in lenders.iter().flat_map(|lender| &lender.words) {
            let sum = self.teams.entry(word.team.clone()).or_default();
            sum.free += word.free;
            sum.demand += word.demand as f64;
        }
        self.lenders = lenders.into();
    }
}

impl Funds {
    /// Returns whether it is time to gather what other routers say of their budgets.
    pub(crate) fn listens(&self, now: Instant) -> bool {
        self.others.is_due(now)
    }

    /// Has what other routers say be gathered at once: one of them is new, and may be the only one to borrow from.
    pub(crate) fn listen(&mut self) {
        self.others.heard = None;
    }

    /// Takes in what other routers say of their budgets.
    pub(crate) fn hear(&mut self, now: Instant, lenders: Vec<Lender>) {
        self.others.hear(now, lenders);
    }

    /// Returns what other routers last said of their budgets.
    pub(crate) fn lenders(&self) -> Arc<[Lender]> {
        self.others.lenders.clone()
    }

    /// Returns what is left of a team's budget in this router's reach, and for how long it must last.
    pub(super) fn remainder(&self, now: Instant, team: &TeamId) -> Remainder {
        let others = self.others.teams.get(team).copied().unwrap_or_default();
        let here = match self.away {
            Some(_) => self.held(team),
            None => self.reach(team),
        };
        let left = here.saturating_add(others.free);
        let rate = self.allowances.get(team).map_or(0.0, |a| a.rate(now));
        Remainder {
            left,
            demand: rate + others.demand,
            lasts: match self.cut_left(now) {
                Some(left) => left,
                None if self.is_mostly_lost(team, left) => LAST,
                None => Duration::ZERO,
            },
        }
    }

    /// Returns how much longer the log may be out of reach, if it is.
    pub(super) fn cut_left(&self, now: Instant) -> Option<Duration> {
        let passed = now.saturating_duration_since(self.away?);
        Some(COVER.saturating_sub(passed).max(LEAST))
    }

    /// Returns whether more of a team's budget is out of reach than in it: dead routers may have spent it, and nobody can tell.
    ///
    /// A budget that is simply used up is used to its end, by whoever asks: kept back, its last part would serve nobody.
    fn is_mostly_lost(&self, team: &TeamId, reach: Tokens) -> bool {
        let prepaid = self
            .allowances
            .get(team)
            .map_or(Tokens::ZERO, |a| a.prepaid);
        let lost = self.left(team).saturating_sub(reach);
        lost > reach && lost.0 > prepaid.0 / LOST
    }
}
