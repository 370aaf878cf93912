//! Budgets reported by other routers, and how much of each budget is in reach of this router and how long it must last.

use std::hash::BuildHasherDefault;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::FastHasher;
use crate::decide::Remainder;
use crate::ids::TeamId;
use crate::router::effect::Peer;
use crate::router::grant_budgets::DEMAND_COVER;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::heartbeat::TeamBudget;
use crate::router::loans::PeerBudget;
use crate::tokens::Tokens;

/// How long the remaining budget must last for its most urgent requests if most of it is out of reach: as long as the
/// effects of a power loss of all routers.
const RATION_PERIOD: Duration = Duration::from_secs(10);

/// Budget counts as lost only if the part out of reach exceeds the prepaid amount divided by this. Tokens that routers
/// have spent but not yet recorded look the same, but are fewer.
const LOSS_DIVISOR: u64 = 20;

/// The minimum time for which an outage of the log is expected to continue, however long it has lasted.
const MIN_OUTAGE_LEFT: Duration = Duration::from_secs(2);

/// How often the reports of other routers are collected. Routers send them twice a second.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// How many routers can all have sent new reports within [`REFRESH_INTERVAL`]. In a larger fleet, routers take turns in
/// reporting, and their reports are collected proportionally less often.
const PEERS_PER_INTERVAL: usize = 24;

/// The longest collection interval. For up to this long, a router that has just drawn budget is not asked for a loan.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The budgets reported in a router's recent heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct BudgetReport {
    /// The router that sent the report.
    pub(crate) peer: Peer,
    /// Its budgets.
    pub(crate) budgets: Vec<TeamBudget>,
}

/// What the other routers report of one team's budget.
#[derive(Debug, Default)]
struct PeerTotals {
    /// Their idle tokens in total.
    free: Tokens,
    /// Their total demand, in tokens per second.
    demand: f64,
    /// Each router's report.
    budgets: Vec<PeerBudget>,
}

/// What the other routers report of all budgets.
///
/// The totals are cached: computed for every event while a request waits, as during an outage of the log, they took two
/// fifths of a router's CPU time in a fleet of 64 routers and 24 teams.
#[derive(Debug, Default)]
pub(super) struct PeerBudgets {
    /// All routers that sent a report, with or without budgets.
    peers: Vec<Peer>,
    teams: IndexMap<TeamId, PeerTotals, BuildHasherDefault<FastHasher>>,
    updated_at: Option<Instant>,
}

impl PeerBudgets {
    /// Returns whether the reports are to be collected again.
    fn is_due(&self, now: Instant) -> bool {
        let peers = u32::try_from(self.peers.len() / PEERS_PER_INTERVAL).unwrap_or(u32::MAX);
        let interval = REFRESH_INTERVAL
            .saturating_mul(peers)
            .clamp(REFRESH_INTERVAL, MAX_REFRESH_INTERVAL);
        self.updated_at.is_none_or(|at| now >= at + interval)
    }

    /// Replaces the reports.
    fn update(&mut self, now: Instant, reports: &[BudgetReport]) {
        self.updated_at = Some(now);
        self.peers = reports.iter().map(|report| report.peer.clone()).collect();
        self.teams.clear();
        for BudgetReport { peer, budgets } in reports {
            for budget in budgets {
                self.teams
                    .entry(budget.team.clone())
                    .or_default()
                    .add(peer, budget);
            }
        }
    }

    /// Returns the number of other routers that sent a report.
    pub(super) fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the demand for a team's budget at the other routers, in tokens per second.
    pub(super) fn demand(&self, team: &TeamId) -> f64 {
        self.teams.get(team).map_or(0.0, |team| team.demand)
    }

    /// Returns the tokens of a team's budget that are idle at the other routers.
    fn free(&self, team: &TeamId) -> Tokens {
        self.teams.get(team).map_or(Tokens::ZERO, |team| team.free)
    }

    /// Returns the routers that reported a team's budget.
    pub(super) fn lenders(&self, team: &TeamId) -> &[PeerBudget] {
        self.teams.get(team).map_or(&[], |team| &team.budgets)
    }

    /// Returns the routers that a team's budget can be transferred to: those that reported it, or all if none did.
    pub(super) fn recipients(&self, team: &TeamId) -> Vec<PeerBudget> {
        let lenders = self.lenders(team);
        if !lenders.is_empty() {
            return lenders.to_vec();
        }
        let peers = self.peers.iter().map(|peer| PeerBudget {
            peer: peer.clone(),
            free: Tokens::ZERO,
            demand: 0,
        });
        peers.collect()
    }
}

impl PeerTotals {
    fn add(&mut self, peer: &Peer, budget: &TeamBudget) {
        self.free = self.free.saturating_add(budget.free);
        self.demand += budget.demand as f64;
        self.budgets.push(PeerBudget {
            peer: peer.clone(),
            free: budget.free,
            demand: budget.demand,
        });
    }
}

impl GrantBudgets {
    /// Returns whether the reports of other routers are to be collected again.
    pub(crate) fn is_refresh_due(&self, now: Instant) -> bool {
        self.peer_budgets.is_due(now)
    }

    /// Makes the reports due for collection at once: a new router has joined, and it may be the only one to borrow
    /// from.
    pub(crate) fn request_refresh(&mut self) {
        self.peer_budgets.updated_at = None;
    }

    /// Replaces the reports of other routers.
    pub(crate) fn update_peer_budgets(&mut self, now: Instant, reports: &[BudgetReport]) {
        self.peer_budgets.update(now, reports);
    }

    /// Returns how much of a team's budget is in reach of this router, and how long it must last.
    pub(super) fn remainder(&self, now: Instant, team: &TeamId) -> Remainder {
        let here = match self.unreachable_since {
            Some(_) => self.held(team),
            None => self.max_reservable(team),
        };
        let left = here.saturating_add(self.peer_budgets.free(team));
        Remainder {
            left,
            demand: self.team_demand(now, team),
            lasts: match self.outage_left(now) {
                Some(duration) => duration,
                None if self.is_mostly_lost(team, left) => RATION_PERIOD,
                None => Duration::ZERO,
            },
        }
    }

    /// Returns whether the reachable routers and the log together have an amount of a team's budget.
    pub(crate) fn is_in_reach(&self, team: &TeamId, amount: Tokens) -> bool {
        let reach = self
            .max_reservable(team)
            .saturating_add(self.peer_budgets.free(team));
        reach >= amount
    }

    /// Returns the demand for a team's budget in the whole fleet, in tokens per second. The demand of owners includes
    /// that of borrowers' callers.
    fn team_demand(&self, now: Instant, team: &TeamId) -> f64 {
        let here = self.budgets.get(team).map_or(0.0, |a| a.rate(now));
        let others = self.peer_budgets.demand(team);
        match self.ownership.owners(team).is_empty() {
            true => here + others,
            false => here.max(others),
        }
    }

    /// Returns how much longer an outage of the log is expected to continue, if there is one.
    pub(super) fn outage_left(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.unreachable_since?);
        Some(DEMAND_COVER.saturating_sub(elapsed).max(MIN_OUTAGE_LEFT))
    }

    /// Returns whether more of a team's budget is out of reach than in reach. Crashed routers may have spent that part,
    /// which cannot be determined.
    ///
    /// A budget that is simply almost spent is not rationed: withholding its last part would serve no request at all.
    fn is_mostly_lost(&self, team: &TeamId, reach: Tokens) -> bool {
        let prepaid = self.prepaid(team);
        let lost = self.max_left(team).saturating_sub(reach);
        lost > reach && lost.0 > prepaid.0 / LOSS_DIVISOR
    }
}
