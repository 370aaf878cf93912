//! What is left of each budget in this router's reach, and for how long it must last.

use std::hash::BuildHasherDefault;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::FastHasher;
use crate::decide::Remainder;
use crate::ids::TeamId;
use crate::router::effect::Peer;
use crate::router::event::PurseWord;
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

/// Of how many routers' words all can be new after that time. Those of a larger fleet take turns, and are gathered as much
/// less often.
const LISTENED: usize = 24;

/// How seldom they are gathered at most: so long a router that has just got budget is not asked for a loan.
const SELDOM: Duration = Duration::from_secs(1);

/// A router that was heard of lately, and what it said of its budgets.
#[derive(Clone, Debug)]
pub(crate) struct BudgetWords {
    /// How to reach it.
    pub(crate) peer: Peer,
    /// What it said.
    pub(crate) words: Vec<PurseWord>,
}

/// What the other routers say of one budget.
#[derive(Debug, Default)]
struct Elsewhere {
    /// What lies idle at all of them.
    free: Tokens,
    /// How fast it is asked for at all of them, in tokens a second.
    demand: f64,
    /// Each of them.
    lenders: Vec<Lender>,
}

/// What the other routers say of all budgets, and when it was last gathered.
///
/// Gathered for each event while a request waits, as in a cut, it took two fifths of what a router used of its processor in a
/// fleet of 64 routers and 24 teams.
#[derive(Debug, Default)]
pub(super) struct Others {
    /// Those that said anything lately, whatever of.
    peers: Vec<Peer>,
    teams: IndexMap<TeamId, Elsewhere, BuildHasherDefault<FastHasher>>,
    heard: Option<Instant>,
}

impl Others {
    /// Returns whether it is time to gather what they say.
    fn is_due(&self, now: Instant) -> bool {
        let peers = u32::try_from(self.peers.len() / LISTENED).unwrap_or(u32::MAX);
        let interval = LISTEN.saturating_mul(peers).clamp(LISTEN, SELDOM);
        self.heard.is_none_or(|at| now >= at + interval)
    }

    /// Takes in what they say.
    fn hear(&mut self, now: Instant, routers: &[BudgetWords]) {
        self.heard = Some(now);
        self.peers = routers.iter().map(|router| router.peer.clone()).collect();
        self.teams.clear();
        for BudgetWords { peer, words } in routers {
            for word in words {
                self.teams
                    .entry(word.team.clone())
                    .or_default()
                    .add(peer, word);
            }
        }
    }

    /// Returns how many of them there are.
    pub(super) fn routers(&self) -> usize {
        self.peers.len()
    }

    /// Returns how fast a budget is asked for at all of them, in tokens a second.
    pub(super) fn demand(&self, team: &TeamId) -> f64 {
        self.teams.get(team).map_or(0.0, |team| team.demand)
    }

    /// Returns what lies idle of a budget at all of them.
    fn free(&self, team: &TeamId) -> Tokens {
        self.teams.get(team).map_or(Tokens::ZERO, |team| team.free)
    }

    /// Returns who said something of a budget.
    pub(super) fn lenders(&self, team: &TeamId) -> &[Lender] {
        self.teams.get(team).map_or(&[], |team| &team.lenders)
    }

    /// Returns who may take a budget over: those that said something of it, or else all.
    pub(super) fn heirs(&self, team: &TeamId) -> Vec<Lender> {
        let lenders = self.lenders(team);
        if !lenders.is_empty() {
            return lenders.to_vec();
        }
        let strangers = self.peers.iter().map(|peer| Lender {
            peer: peer.clone(),
            free: Tokens::ZERO,
            demand: 0,
        });
        strangers.collect()
    }
}

impl Elsewhere {
    fn add(&mut self, peer: &Peer, word: &PurseWord) {
        self.free += word.free;
        self.demand += word.demand as f64;
        self.lenders.push(Lender {
            peer: peer.clone(),
            free: word.free,
            demand: word.demand,
        });
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
    pub(crate) fn hear(&mut self, now: Instant, routers: &[BudgetWords]) {
        self.others.hear(now, routers);
    }

    /// Returns what is left of a team's budget in this router's reach, and for how long it must last.
    pub(super) fn remainder(&self, now: Instant, team: &TeamId) -> Remainder {
        let here = match self.away {
            Some(_) => self.held(team),
            None => self.reach(team),
        };
        let left = here.saturating_add(self.others.free(team));
        Remainder {
            left,
            demand: self.team_demand(now, team),
            lasts: match self.cut_left(now) {
                Some(left) => left,
                None if self.is_mostly_lost(team, left) => LAST,
                None => Duration::ZERO,
            },
        }
    }

    /// Returns whether routers in reach have an amount of a team's budget, or the log has it.
    pub(crate) fn is_in_reach(&self, team: &TeamId, amount: Tokens) -> bool {
        let reach = self.reach(team).saturating_add(self.others.free(team));
        reach >= amount
    }

    /// Returns how fast a team's budget is asked for in the whole fleet, in tokens a second. Owners count what borrowers'
    /// callers ask for.
    fn team_demand(&self, now: Instant, team: &TeamId) -> f64 {
        let here = self.allowances.get(team).map_or(0.0, |a| a.rate(now));
        let others = self.others.demand(team);
        match self.ownership.owners(team).is_empty() {
            true => here + others,
            false => here.max(others),
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
