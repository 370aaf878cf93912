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
use crate::router::event::Gift;
use crate::router::event::GrantEvent;
use crate::router::event::LoanAsk;
use crate::router::event::PurseWord;
use crate::router::loans::Lender;
use crate::router::loans::Loans;
use crate::tokens::Tokens;

/// How much demand a grant covers: the longest time that all routers were seen parted from the log at once (9 s), and a second more for what is reserved and not used.
/// See [`HELD`] for what speaks against more.
const COVER: Duration = Duration::from_secs(10);

/// How much all routers together hold for each token undrawn.
///
/// What is granted is lost to the team where all routers lose their power at once, and what is not granted can't be spent
/// in a cut from the log. At 0.43 and ten seconds of cover two in eighty days with losses of power ended with budgets that
/// nobody could spend and fewer than a quarter of the requests served; at 0.25 and six seconds none did, but the cuts of
/// calm days cost a quarter of their worth.
const HELD: f64 = 0.33;

/// The same, for a deployment that leans to availability.
const AVAILABLE_HELD: f64 = 0.43;

/// The time over which a team's demand is averaged: as long as the bursts that one team makes.
const WINDOW: Duration = Duration::from_secs(5);

/// The part of a reservation that is thought to be used before any request is over: prompts are mostly longer than
/// answers, and answers mostly shorter than allowed.
const FIRST_PART: f64 = 0.8;

/// The weight of the newest request in averages: some thirty requests, a second or two of a busy team.
const PART_WEIGHT: f64 = 0.03;

/// The age that a demand is thought to have at least: of one request, nothing can be said of the rate.
const LEAST_AGE: Duration = Duration::from_millis(1000);

/// How often grants are brought to what the policy wants, though no request waits. A call costs as much as a
/// hundredth of a request's worth; demand is averaged over five seconds.
const REVIEW: Duration = Duration::from_millis(1000);

/// How long a request waits for a grant: a read and a write at a log that takes a hundred milliseconds each.
const WAIT: Duration = Duration::from_millis(400);

/// How old the router's word from the log may be to tell a caller that a budget is spent.
const FRESH: Duration = Duration::from_millis(500);

/// How long the log goes before other routers, where what a request needs is undrawn.
const LOG_FIRST: Duration = Duration::from_millis(60);

/// How much demand is borrowed ahead, so that not each request asks anew: a question costs a millisecond, and what is
/// borrowed can't be given back.
const AHEAD: Duration = Duration::from_secs(2);

/// How much of its own demand a lender keeps.
const KEPT: Duration = Duration::from_secs(1);

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
struct Allowance {
    /// All that the team may ever use.
    prepaid: Tokens,
    /// Promised to requests in progress.
    reserved: Tokens,
    /// Used by requests that are over.
    spent: Tokens,
    waiting: VecDeque<Waiting>,
    demand: Demand,
    /// The part of reservations that is used, and the mean reservation, of late.
    part: f64,
    size: f64,
    /// When it was first used.
    first: Option<Instant>,
    loans: Loans,
}

/// What a router may spend.
#[derive(Debug)]
pub(crate) struct Funds {
    book: Book,
    allowances: IndexMap<TeamId, Allowance>,
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
            allowances: IndexMap::new(),
            policy: HoldingPolicy::covering(COVER, held(lean)),
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
            let allowance = self.allowances.entry(payer.team.clone());
            let allowance = allowance.or_insert_with(|| Allowance::new(now));
            if prepaid > allowance.prepaid {
                info!(event = "prepaid", team = %payer.team, %prepaid);
                allowance.prepaid = prepaid;
                self.reviewed = None;
            }
        }
    }

    /// Returns whether the grants were ever read.
    pub(crate) fn known(&self) -> bool {
        self.book.end().is_some()
    }

    /// Reserves what a request may cost; a team without a limit needs no reservation.
    pub(crate) fn reserve(&mut self, now: Instant, team: &TeamId, amount: Tokens) -> bool {
        let available = self.available(team);
        let Some(allowance) = self.allowances.get_mut(team) else {
            return true;
        };
        allowance.expect(now, amount);
        if available < amount {
            return false;
        }
        allowance.reserved += amount;
        true
    }

    /// Has a request wait for a grant.
    pub(crate) fn wait(&mut self, now: Instant, team: &TeamId, request: RequestId, amount: Tokens) {
        if let Some(allowance) = self.allowances.get_mut(team) {
            allowance.waiting.push_back(Waiting {
                request,
                amount,
                since: now,
            });
        }
    }

    /// Ends a reservation with what was used of it.
    pub(crate) fn settle(&mut self, team: &TeamId, reserved: Tokens, used: Tokens) {
        if let Some(allowance) = self.allowances.get_mut(team) {
            let used = used.min(reserved);
            allowance.reserved -= reserved;
            allowance.spent += used;
            allowance.learn(reserved, used);
        }
    }

    /// Reserves for the requests that wait and can be covered now, and returns them. A small one may pass a large one: the
    /// large one is refused if it can't be had, not the small one.
    pub(crate) fn funded(&mut self) -> Vec<RequestId> {
        let teams: Vec<_> = self.waiting_teams();
        let mut funded = Vec::new();
        for team in teams {
            let mut available = self.available(&team);
            let allowance = &mut self.allowances[&team];
            allowance.waiting.retain(|waiting| {
                let covered = waiting.amount <= available;
                if covered {
                    available -= waiting.amount;
                    allowance.reserved += waiting.amount;
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
            let borrows = self.allowances[&team].loans.may_bring(now);
            let away = self.failures > 0 || self.book.end().is_none();
            self.allowances[&team].waiting.retain(|waiting| {
                let asked = fresh.is_some_and(|at| at + FRESH >= waiting.since);
                if borrows {
                    return true;
                }
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
        for (request, why) in &unfunded {
            info!(event = "unfunded", %request, ?why, failures = self.failures);
        }
        unfunded
    }

    /// Logs what is known of a budget, the grounds for a refusal.
    pub(crate) fn explain(&self, now: Instant, team: &TeamId, request: RequestId) {
        let Some(allowance) = self.allowances.get(team) else {
            return;
        };
        info!(
            event = "budget", %request, %team, prepaid = %allowance.prepaid, granted = %self.book.granted(team),
            reserved = %allowance.reserved, spent = %allowance.spent, elsewhere = %self.book.others(team),
            spent_elsewhere = %self.book.others_spent(team),
            undrawn = %self.book.undrawn(team, allowance.prepaid),
            age_ms = self.fresh.map(|at| now.saturating_duration_since(at).as_millis() as u64),
        );
    }

    /// Takes a request out of those that wait.
    pub(crate) fn forget(&mut self, team: &TeamId, request: RequestId) {
        if let Some(allowance) = self.allowances.get_mut(team) {
            allowance
                .waiting
                .retain(|waiting| waiting.request != request);
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

    /// Returns whether there is anything to ask the log or other routers for.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let waits = self.allowances.values().any(|a| !a.waiting.is_empty());
        let reviews = self.reviewed.is_none_or(|at| now >= at + REVIEW);
        let unsettled =
            self.behind || self.leaving || self.book.pending().is_some() || !self.known();
        waits || !self.busy && now >= self.rest && (reviews || unsettled)
    }

    /// Returns the next call to the log, if one is due.
    pub(crate) fn step(&mut self, now: Instant, lenders: &[Lender]) -> Option<Effect> {
        if self.busy || now < self.rest {
            return None;
        }
        let effect = self.next_call(now, lenders)?;
        self.busy = true;
        Some(effect)
    }

    /// Begins to give back what is not in use.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.reviewed = None;
    }

    /// Asks other routers for what can't be had from the log now.
    pub(crate) fn borrow(
        &mut self,
        now: Instant,
        me: Incarnation,
        lenders: &[Lender],
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for team in self.waiting_teams() {
            let hopeful = self.failures == 0 && self.reach(&team) > self.available(&team);
            let allowance = &mut self.allowances[&team];
            let first = allowance
                .waiting
                .front()
                .map_or(now, |waiting| waiting.since);
            // The log gives what is undrawn within some milliseconds, where it answers at all.
            if hopeful && now < first + LOG_FIRST {
                continue;
            }
            let ahead = Tokens((allowance.rate(now) * AHEAD.as_secs_f64()) as u64);
            let wanted = allowance.wanted().saturating_add(ahead);
            effects.extend(allowance.loans.ask(now, me, &team, wanted, lenders));
        }
        effects
    }

    /// Hands over to other routers what is idle here, where the log can't take it back.
    ///
    /// A planned stop in a cut from the log would else take ten seconds' worth of each team's budget with it.
    pub(crate) fn hand_over(&mut self, me: Incarnation, lenders: &[Lender]) -> Vec<Effect> {
        if !self.leaving || self.failures == 0 {
            return Vec::new();
        }
        let teams: Vec<_> = self.allowances.keys().cloned().collect();
        let mut effects = Vec::new();
        for team in teams {
            let idle = self.available(&team);
            if idle > Tokens::ZERO {
                let loans = &mut self.allowances[&team].loans;
                effects.extend(loans.give(me, &team, idle, lenders));
            }
        }
        effects
    }

    /// Takes in what another router hands over.
    pub(crate) fn given(&mut self, gift: &Gift) {
        info!(event = "given", from = %gift.giver, team = %gift.team, amount = %gift.amount);
        if let Some(allowance) = self.allowances.get_mut(&gift.team) {
            allowance.loans.take(gift);
        }
    }

    /// Notes that another router has what was handed over to it, or that nobody knows.
    pub(crate) fn taken(&mut self, gift: &Gift, taken: bool) {
        info!(event = "handed-over", team = %gift.team, amount = %gift.amount, taken);
        if let Some(allowance) = self.allowances.get_mut(&gift.team) {
            allowance.loans.gave();
        }
    }

    /// Lends another router what it asks for, as far as it is idle here. The same question gets the same answer.
    pub(crate) fn lend(&mut self, now: Instant, ask: &LoanAsk) -> Tokens {
        let free = self.available(&ask.team);
        let Some(allowance) = self.allowances.get_mut(&ask.team) else {
            return Tokens::ZERO;
        };
        let keep = Tokens((allowance.rate(now) * KEPT.as_secs_f64()) as u64);
        let spare = free.saturating_sub(keep).max(Tokens(free.0 / 2));
        let spare = match allowance.waiting.is_empty() {
            true => spare,
            false => Tokens::ZERO,
        };
        let lent = allowance.loans.lend(ask, spare);
        info!(event = "lent", to = %ask.borrower, team = %ask.team, asked = %ask.amount, %lent, %free);
        lent
    }

    /// Takes in what another router lent, or that it did not answer.
    pub(crate) fn lent(&mut self, now: Instant, ask: &LoanAsk, amount: Option<Tokens>) {
        info!(event = "borrowed", team = %ask.team, asked = %ask.amount, amount = ?amount.map(|a| a.0));
        if let Some(allowance) = self.allowances.get_mut(&ask.team) {
            allowance.loans.lent_here(now, ask, amount);
        }
    }

    /// Returns what others should know of this router's budgets: what lies idle here, and how fast it is asked for.
    pub(crate) fn words(&self, now: Instant) -> Vec<PurseWord> {
        let words = self.allowances.iter().map(|(team, allowance)| PurseWord {
            team: team.clone(),
            free: self.available(team),
            demand: allowance.rate(now) as u64,
        });
        words
            .filter(|word| word.free > Tokens::ZERO || word.demand > 0)
            .collect()
    }

    /// Returns whether all that is not in use was given back.
    pub(crate) fn left_all(&self) -> bool {
        let teams = self.allowances.keys();
        let mut idle = teams.map(|team| self.available(team).min(self.book.granted(team)));
        let giving = self.allowances.values().any(|a| a.loans.is_giving());
        let settled = self.book.pending().is_none() || self.failures > 0;
        settled && !giving && idle.all(|idle| idle == Tokens::ZERO)
    }

    /// Returns the budgets, for the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Value {
        let allowances = self.allowances.iter().map(|(team, allowance)| {
            json!({
                "team": team,
                "prepaid": allowance.prepaid,
                "granted_here": self.book.granted(team),
                "reserved_here": allowance.reserved,
                "spent_here": allowance.spent,
                "granted_elsewhere": self.book.others(team),
                "spent_elsewhere_at_least": self.book.others_spent(team),
                "undrawn": self.book.undrawn(team, allowance.prepaid),
                "waiting": allowance.waiting.len(),
            })
        });
        json!({
            "teams": allowances.collect::<Vec<_>>(),
            "log_word_age_ms": self.fresh.map(|at| now.saturating_duration_since(at).as_millis() as u64),
            "log_failures": self.failures,
            "pending": self.book.pending().is_some(),
        })
    }

    fn next_call(&mut self, now: Instant, lenders: &[Lender]) -> Option<Effect> {
        let Some(end) = self.book.end() else {
            return Some(Effect::ReadGrants(None));
        };
        if self.behind {
            return Some(Effect::ReadGrants(Some(end)));
        }
        if let Some(pending) = self.book.pending() {
            return Some(Effect::ProposeGrants(pending.clone()));
        }
        // What is given up to a log that does not answer could not be handed over.
        if self.leaving && self.failures > 0 {
            return None;
        }
        // Whether the log answers is found out before anything is given up to it.
        let stale = self.fresh.is_none_or(|at| now >= at + FRESH);
        if self.leaving && stale {
            return Some(Effect::ReadGrants(Some(end)));
        }
        let waiting = !self.waiting_teams().is_empty();
        let due = self.reviewed.is_none_or(|at| now >= at + REVIEW);
        if !waiting && !due {
            return None;
        }
        self.reviewed = Some(now);
        let changes = self.changes(now, lenders);
        let allowances = &self.allowances;
        let prepaid = |team: &TeamId| allowances.get(team).map_or(Tokens::ZERO, |p| p.prepaid);
        if let Some(proposal) = self.book.propose(changes, prepaid) {
            return Some(Effect::ProposeGrants(proposal));
        }
        // What others gave back since may cover those that wait.
        (waiting && stale).then_some(Effect::ReadGrants(Some(end)))
    }

    /// Returns the grants that the policy wants changed.
    fn changes(&self, now: Instant, lenders: &[Lender]) -> Vec<Change> {
        let changes = self.allowances.iter().filter_map(|(team, allowance)| {
            let free = self.available(team);
            let granted = self.book.granted(team);
            let share = Share {
                free,
                claimed: allowance.reserved,
                undrawn: self.book.undrawn(team, allowance.prepaid),
                routers: lenders.len() + 1,
                demand: allowance.rate(now),
                team: allowance.rate(now) + lenders.iter().map(|l| l.demand(team)).sum::<f64>(),
                wanted: allowance.wanted(),
                reachable: true,
            };
            let granted = match self.policy.decide(&share) {
                _ if self.leaving && free > Tokens::ZERO && allowance.waiting.is_empty() => {
                    granted - free.min(granted)
                }
                Action::Draw(amount) => granted + amount,
                Action::Return(amount) => granted - amount.min(free).min(granted),
                Action::None => return None,
            };
            Some(Change {
                team: team.clone(),
                row: GrantRow {
                    granted,
                    spent: allowance.spent,
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
        let waiting = self
            .allowances
            .iter()
            .filter(|(_, p)| !p.waiting.is_empty());
        waiting.map(|(team, _)| team.clone()).collect()
    }

    /// Returns what can be reserved now.
    fn available(&self, team: &TeamId) -> Tokens {
        let granted = self.book.granted(team);
        self.allowances.get(team).map_or(Tokens::ZERO, |allowance| {
            let mine = granted.saturating_add(allowance.loans.borrowed());
            let gone = allowance.reserved.saturating_add(allowance.spent);
            mine.saturating_sub(gone.saturating_add(allowance.loans.lent()))
        })
    }

    /// Returns the most that this router could reserve if it drew all that is undrawn.
    fn reach(&self, team: &TeamId) -> Tokens {
        let prepaid = self
            .allowances
            .get(team)
            .map_or(Tokens::ZERO, |p| p.prepaid);
        self.available(team)
            .saturating_add(self.book.undrawn(team, prepaid))
    }

    /// Returns the most that can be left of a team's budget, by all that is known to be used.
    fn left(&self, team: &TeamId) -> Tokens {
        self.allowances.get(team).map_or(Tokens::ZERO, |allowance| {
            let here = allowance.spent.saturating_add(allowance.reserved);
            let used = here.saturating_add(self.book.others_spent(team));
            allowance.prepaid.saturating_sub(used)
        })
    }
}

fn held(lean: Lean) -> f64 {
    match lean {
        Lean::Strict => HELD,
        Lean::Available => AVAILABLE_HELD,
    }
}

impl Allowance {
    fn new(now: Instant) -> Self {
        Self {
            prepaid: Tokens::ZERO,
            reserved: Tokens::ZERO,
            spent: Tokens::ZERO,
            waiting: VecDeque::new(),
            demand: Demand::new(now, WINDOW),
            part: FIRST_PART,
            size: 1.0,
            first: None,
            loans: Loans::default(),
        }
    }

    /// Returns how fast the budget is asked for here, in tokens a second.
    ///
    /// An average that began with nothing a second ago has seen a fifth of the rate; without the correction, a cut in the
    /// first seconds would find grants that are far too small.
    fn rate(&self, now: Instant) -> f64 {
        let age = self
            .first
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let age = age.max(LEAST_AGE).as_secs_f64();
        self.demand.rate(now) / (1.0 - (-age / WINDOW.as_secs_f64()).exp())
    }

    /// Counts a request among the demand, as what requests of its size used of late. Counted when it ends, a stream of
    /// seconds would be missing in the first seconds of a demand.
    fn expect(&mut self, now: Instant, amount: Tokens) {
        self.first.get_or_insert(now);
        let used = amount.0 as f64 * self.part;
        self.demand.add(now, Tokens(used as u64));
    }

    /// Learns what part of its reservation a request used.
    fn learn(&mut self, reserved: Tokens, used: Tokens) {
        if reserved > Tokens::ZERO {
            let weight = PART_WEIGHT * (reserved.0 as f64 / self.size).min(4.0);
            self.part += (used.0 as f64 / reserved.0 as f64 - self.part) * weight;
            self.size += (reserved.0 as f64 - self.size) * PART_WEIGHT;
        }
    }

    fn wanted(&self) -> Tokens {
        self.waiting.iter().map(|waiting| waiting.amount).sum()
    }
}
