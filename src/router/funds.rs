//! What a router may spend where budgets are kept by grants, and when it asks the log for more.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use tracing::info;
use tracing::warn;

use crate::config::RouteTable;
use crate::decide::Action;
use crate::decide::HoldingPolicy;
use crate::decide::Lean;
use crate::decide::Share;
use crate::escrow::Book;
use crate::escrow::Change;
use crate::escrow::GrantRow;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::router::demand::Demand;
use crate::router::effect::Effect;
use crate::router::event::GrantEvent;
use crate::tokens::Tokens;

/// How much demand a grant covers: the longest time that all routers were seen parted from the log at once (9 s), and a
/// third more for demand that rises meanwhile.
const COVER: Duration = Duration::from_secs(12);

/// The time over which a team's demand is averaged: as long as the bursts that one team makes.
const WINDOW: Duration = Duration::from_secs(5);

/// How often grants are brought to what the policy wants, though no request waits. A call costs as much as a
/// hundredth of a request's worth; demand is averaged over five seconds.
const REVIEW: Duration = Duration::from_millis(1000);

/// How long a request waits for a grant: a read and a write at a log that takes a hundred milliseconds each.
const WAIT: Duration = Duration::from_millis(400);

/// How old the router's word from the log may be to tell a caller that a budget is spent.
const FRESH: Duration = Duration::from_millis(500);

/// The first rest after a call that failed; it doubles with each further one.
const REST: Duration = Duration::from_millis(50);

/// The longest rest: how late the end of an outage may be noticed.
const LONGEST_REST: Duration = Duration::from_millis(800);

/// Why a request that waited for its budget can't have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unfunded {
    /// What is left of the budget does not cover it.
    Spent,
    /// Other routers hold what is left.
    Held,
    /// The log can't be asked, and this router holds too little.
    Away,
}

#[derive(Debug)]
struct Waiting {
    request: RequestId,
    amount: Tokens,
    since: Instant,
}

/// One team's budget, as far as this router spends it.
#[derive(Debug)]
struct Purse {
    /// All that the team may ever use.
    prepaid: Tokens,
    /// Promised to requests in progress.
    reserved: Tokens,
    /// Used by requests that are over.
    spent: Tokens,
    waiting: VecDeque<Waiting>,
    demand: Demand,
}

/// What a router may spend.
#[derive(Debug)]
pub(crate) struct Funds {
    book: Book,
    purses: IndexMap<TeamId, Purse>,
    policy: HoldingPolicy,
    /// Whether a call is on its way.
    busy: bool,
    /// Whether the partition is known to have moved on.
    behind: bool,
    /// How many calls in a row failed.
    failures: u32,
    /// No call before this.
    rest: Instant,
    /// When the book was last known to be up to date.
    fresh: Option<Instant>,
    /// When grants were last brought to what the policy wants.
    reviewed: Option<Instant>,
    /// Whether all that is not in use goes back, since the router stops.
    leaving: bool,
}

impl Funds {
    /// Makes one that may spend nothing yet.
    pub(crate) fn new(now: Instant, vm: VmId, me: Incarnation, lean: Lean) -> Self {
        Self {
            book: Book::new(vm, me),
            purses: IndexMap::new(),
            policy: HoldingPolicy::new(lean).covering(COVER),
            busy: false,
            behind: false,
            failures: 0,
            rest: now,
            fresh: None,
            reviewed: None,
            leaving: false,
        }
    }

    /// Takes over what the teams prepaid. A budget never shrinks, and a team that is gone keeps what it used.
    pub(crate) fn prepaid(&mut self, now: Instant, table: &RouteTable) {
        for payer in table.payers() {
            let Some(prepaid) = payer.prepaid else {
                continue;
            };
            let purse = self.purses.entry(payer.team.clone());
            let purse = purse.or_insert_with(|| Purse::new(now));
            if prepaid > purse.prepaid {
                info!(event = "prepaid", team = %payer.team, %prepaid);
                purse.prepaid = prepaid;
                self.reviewed = None;
            }
        }
    }

    /// Returns whether the grants were ever read.
    pub(crate) fn known(&self) -> bool {
        self.book.end().is_some()
    }

    /// Reserves what a request may cost; a team without a limit needs no reservation.
    pub(crate) fn reserve(&mut self, team: &TeamId, amount: Tokens) -> bool {
        let available = self.available(team);
        let Some(purse) = self.purses.get_mut(team) else {
            return true;
        };
        if available < amount {
            return false;
        }
        purse.reserved += amount;
        true
    }

    /// Has a request wait for a grant.
    pub(crate) fn wait(&mut self, now: Instant, team: &TeamId, request: RequestId, amount: Tokens) {
        if let Some(purse) = self.purses.get_mut(team) {
            purse.waiting.push_back(Waiting {
                request,
                amount,
                since: now,
            });
        }
    }

    /// Ends a reservation with what was used of it.
    pub(crate) fn settle(&mut self, now: Instant, team: &TeamId, reserved: Tokens, used: Tokens) {
        if let Some(purse) = self.purses.get_mut(team) {
            let used = used.min(reserved);
            purse.reserved -= reserved;
            purse.spent += used;
            purse.demand.add(now, used);
        }
    }

    /// Reserves for the requests that wait and can be covered now, and returns them. A small one may pass a large one: the
    /// large one is refused if it can't be had, not the small one.
    pub(crate) fn funded(&mut self) -> Vec<RequestId> {
        let teams: Vec<_> = self.waiting_teams();
        let mut funded = Vec::new();
        for team in teams {
            let mut available = self.available(&team);
            let purse = &mut self.purses[&team];
            purse.waiting.retain(|waiting| {
                let covered = waiting.amount <= available;
                if covered {
                    available -= waiting.amount;
                    purse.reserved += waiting.amount;
                    funded.push(waiting.request);
                }
                !covered
            });
        }
        funded
    }

    /// Returns the requests that can't have their budget, or not in time, and why.
    pub(crate) fn unfunded(&mut self, now: Instant) -> Vec<(RequestId, Unfunded)> {
        let mut unfunded = Vec::new();
        for team in self.waiting_teams() {
            let left = self.left(&team);
            let reach = self.reach(&team);
            let fresh = self.fresh;
            let away = self.failures > 0 || self.book.end().is_none();
            self.purses[&team].waiting.retain(|waiting| {
                let asked = fresh.is_some_and(|at| at + FRESH >= waiting.since);
                let why = match waiting.amount {
                    amount if asked && amount > left => Unfunded::Spent,
                    amount if asked && amount > reach => Unfunded::Held,
                    _ if away => Unfunded::Away,
                    _ if now >= waiting.since + WAIT => Unfunded::Held,
                    _ => return true,
                };
                unfunded.push((waiting.request, why));
                false
            });
        }
        unfunded
    }

    /// Takes a request out of those that wait.
    pub(crate) fn forget(&mut self, team: &TeamId, request: RequestId) {
        if let Some(purse) = self.purses.get_mut(team) {
            purse.waiting.retain(|waiting| waiting.request != request);
        }
    }

    /// Takes in what happened at the log.
    pub(crate) fn took(&mut self, now: Instant, event: GrantEvent) {
        self.busy = false;
        match event {
            GrantEvent::Read { rows, end } => {
                for (offset, key, row) in rows {
                    self.book.apply(offset, &key, row);
                }
                self.book.advance(end);
                self.behind = false;
                self.answered(now);
            }
            GrantEvent::Gone => {
                self.behind = true;
                self.gone();
            }
            GrantEvent::Landed(at) => {
                self.book.landed(at);
                self.answered(now);
            }
            GrantEvent::Moved => {
                self.behind = true;
                self.failures = 0;
            }
            GrantEvent::Refused(at) => {
                self.book.refused(at);
                self.failed(now);
            }
            GrantEvent::Lost(at) => {
                self.book.lost(at);
                self.failed(now);
            }
            GrantEvent::Unread => self.failed(now),
        }
    }

    /// Returns the next call to the log, if one is due.
    pub(crate) fn step(&mut self, now: Instant, routers: usize) -> Option<Effect> {
        if self.busy || now < self.rest {
            return None;
        }
        let effect = self.next_call(now, routers)?;
        self.busy = true;
        Some(effect)
    }

    /// Begins to give back what is not in use.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.reviewed = None;
    }

    /// Returns whether all that is not in use was given back.
    pub(crate) fn left_all(&self) -> bool {
        let teams = self.purses.keys();
        let mut idle = teams.map(|team| self.available(team));
        self.book.pending().is_none() && idle.all(|idle| idle == Tokens::ZERO)
    }

    /// Returns the budgets, for the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Value {
        let purses = self.purses.iter().map(|(team, purse)| {
            json!({
                "team": team,
                "prepaid": purse.prepaid,
                "granted_here": self.book.granted(team),
                "reserved_here": purse.reserved,
                "spent_here": purse.spent,
                "granted_elsewhere": self.book.others(team),
                "spent_elsewhere_at_least": self.book.others_spent(team),
                "undrawn": self.book.undrawn(team, purse.prepaid),
                "waiting": purse.waiting.len(),
            })
        });
        json!({
            "teams": purses.collect::<Vec<_>>(),
            "log_word_age_ms": self.fresh.map(|at| now.saturating_duration_since(at).as_millis() as u64),
            "log_failures": self.failures,
            "pending": self.book.pending().is_some(),
        })
    }

    fn next_call(&mut self, now: Instant, routers: usize) -> Option<Effect> {
        let Some(end) = self.book.end() else {
            return Some(Effect::ReadGrants(None));
        };
        if self.behind {
            return Some(Effect::ReadGrants(Some(end)));
        }
        if let Some(pending) = self.book.pending() {
            return Some(Effect::ProposeGrants(pending.clone()));
        }
        let waiting = !self.waiting_teams().is_empty();
        let due = self.reviewed.is_none_or(|at| now >= at + REVIEW);
        if !waiting && !due {
            return None;
        }
        self.reviewed = Some(now);
        let changes = self.changes(now, routers);
        let purses = &self.purses;
        let prepaid = |team: &TeamId| purses.get(team).map_or(Tokens::ZERO, |p| p.prepaid);
        if let Some(proposal) = self.book.propose(changes, prepaid) {
            return Some(Effect::ProposeGrants(proposal));
        }
        // What others gave back since may cover those that wait.
        let stale = self.fresh.is_none_or(|at| now >= at + FRESH);
        (waiting && stale).then_some(Effect::ReadGrants(Some(end)))
    }

    /// Returns the grants that the policy wants changed.
    fn changes(&self, now: Instant, routers: usize) -> Vec<Change> {
        let changes = self.purses.iter().filter_map(|(team, purse)| {
            let free = self.available(team);
            let granted = self.book.granted(team);
            let share = Share {
                free,
                claimed: purse.reserved,
                undrawn: self.book.undrawn(team, purse.prepaid),
                routers,
                demand: purse.demand.rate(now),
                team: 0.0,
                wanted: purse.wanted(),
                reachable: true,
            };
            let granted = match self.policy.decide(&share) {
                _ if self.leaving && free > Tokens::ZERO && purse.waiting.is_empty() => {
                    granted - free
                }
                Action::Draw(amount) => granted + amount,
                Action::Return(amount) => granted - amount.min(free),
                Action::None => return None,
            };
            Some(Change {
                team: team.clone(),
                row: GrantRow {
                    granted,
                    spent: purse.spent,
                },
            })
        });
        changes.collect()
    }

    /// Reads all anew: the log let go of records that were not read.
    fn gone(&mut self) {
        warn!(event = "grants-gone");
        self.book.restart();
    }

    fn answered(&mut self, now: Instant) {
        if self.failures > 0 {
            info!(event = "grants-reachable", failures = self.failures);
        }
        self.failures = 0;
        self.fresh = Some(now);
    }

    fn failed(&mut self, now: Instant) {
        if self.failures == 0 {
            warn!(event = "grants-unreachable");
        }
        let rest = REST.saturating_mul(1 << self.failures.min(8));
        self.rest = now + rest.min(LONGEST_REST);
        self.failures += 1;
    }

    fn waiting_teams(&self) -> Vec<TeamId> {
        let waiting = self.purses.iter().filter(|(_, p)| !p.waiting.is_empty());
        waiting.map(|(team, _)| team.clone()).collect()
    }

    /// Returns what can be reserved now.
    fn available(&self, team: &TeamId) -> Tokens {
        let granted = self.book.granted(team);
        self.purses.get(team).map_or(Tokens::ZERO, |purse| {
            granted.saturating_sub(purse.reserved.saturating_add(purse.spent))
        })
    }

    /// Returns the most that this router could reserve if it drew all that is undrawn.
    fn reach(&self, team: &TeamId) -> Tokens {
        let prepaid = self.purses.get(team).map_or(Tokens::ZERO, |p| p.prepaid);
        self.available(team)
            .saturating_add(self.book.undrawn(team, prepaid))
    }

    /// Returns the most that can be left of a team's budget, by all that is known to be used.
    fn left(&self, team: &TeamId) -> Tokens {
        self.purses.get(team).map_or(Tokens::ZERO, |purse| {
            let here = purse.spent.saturating_add(purse.reserved);
            let used = here.saturating_add(self.book.others_spent(team));
            purse.prepaid.saturating_sub(used)
        })
    }
}

impl Purse {
    fn new(now: Instant) -> Self {
        Self {
            prepaid: Tokens::ZERO,
            reserved: Tokens::ZERO,
            spent: Tokens::ZERO,
            waiting: VecDeque::new(),
            demand: Demand::new(now, WINDOW),
        }
    }

    fn wanted(&self) -> Tokens {
        self.waiting.iter().map(|waiting| waiting.amount).sum()
    }
}
