//! What a router may spend where budgets are kept by grants, and when it asks the log for more.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tracing::info;
use tracing::warn;

use crate::config::RouteTable;
use crate::decide::Candidate;
use crate::decide::ConsistencyMode;
use crate::decide::HoldingPolicy;
use crate::decide::PriorityDemand;
use crate::escrow::Book;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::moment::BootClock;
use crate::router::allowance::Allowance;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::GrantEvent;
use crate::router::event::Heartbeat;
use crate::router::fleet_clock::FleetClock;
use crate::router::ownership::Ownership;
use crate::router::rationing::Others;
use crate::router::review::Stay;
use crate::tokens::Tokens;

/// How much demand a grant covers: the longest time that all routers were seen parted from the log at once (9 s), and a
/// second more for what is reserved and not used. See [`HELD`] for what speaks against more.
pub(super) const COVER: Duration = Duration::from_secs(10);

/// How much all routers together hold for each token undrawn: two thirds of what is left can be spent in a cut from the log.
/// What is held is not lost where a router dies, since it opens slowly. With 1 a calm day with two cuts of eight seconds has
/// 0.02 of its worth less, with 4 the routers that run low find less undrawn.
const HELD: f64 = 2.0;

/// The same, for a deployment that leans to availability: a third more, as where budgets are kept by the ledger. It was not
/// measured.
const AVAILABLE_HELD: f64 = 2.7;

/// For how long the demand of more urgent requests is kept open in a cut. What they use opens again sooner than they come.
const KEPT_OPEN: Duration = Duration::from_millis(500);

/// What part of a budget may lie at routers that borrowed it and count as spent, though it will come back: five seconds'
/// leftovers of requests that use four fifths of what they reserve, of a budget for a minute or so. A caller is told that
/// the budget is spent only where this part would not cover it either.
const IN_TRANSIT: u64 = 50;

/// How old the router's word from the log may be to tell a caller that a budget is spent.
pub(super) const FRESH: Duration = Duration::from_millis(500);

/// The first rest after a call that failed; it doubles with each further one.
const REST: Duration = Duration::from_millis(50);

/// The longest rest: how late the end of an outage may be noticed. Until then no promise is written, and what has opened
/// meanwhile is stranded if the routers die.
const LONGEST_REST: Duration = Duration::from_millis(200);

/// What came of asking for a request's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reserve {
    /// It is reserved, or needs no budget.
    Done,
    /// This router holds too little.
    Short,
    /// What is left is kept for more urgent requests.
    Kept,
}

/// What a router may spend.
#[derive(Debug)]
pub(crate) struct Funds {
    pub(super) book: Book,
    pub(super) allowances: IndexMap<TeamId, Allowance>,
    pub(super) policy: HoldingPolicy,
    /// Whether a call is on its way.
    busy: bool,
    /// Whether the partition is known to have moved on.
    behind: bool,
    /// How many calls in a row failed.
    pub(super) failures: u32,
    /// Since when the log has not answered.
    pub(super) away: Option<Instant>,
    /// What other routers say of their budgets.
    pub(super) others: Others,
    /// No call before this.
    rest: Instant,
    /// When the book was last known to be up to date.
    pub(super) fresh: Option<Instant>,
    /// When grants were last brought to what the policy wants.
    pub(super) reviewed: Option<Instant>,
    pub(super) stay: Stay,
    pub(super) clock: FleetClock,
    /// Who keeps budgets for others.
    pub(super) ownership: Ownership,
    /// When idle budget was last given back to those that keep it.
    pub(super) gave_back: Option<Instant>,
    /// Teams of which too little is left here for the time that a loan takes.
    pub(super) low: IndexSet<TeamId>,
}

impl Funds {
    /// Makes one that may spend nothing yet.
    pub(crate) fn new(
        now: Instant,
        vm: VmId,
        me: Incarnation,
        lean: ConsistencyMode,
        clock: BootClock,
    ) -> Self {
        Self {
            book: Book::new(vm, me),
            allowances: IndexMap::new(),
            policy: HoldingPolicy::with_cover(COVER, held_for(lean)),
            busy: false,
            behind: false,
            failures: 0,
            away: None,
            others: Others::default(),
            rest: now,
            fresh: None,
            reviewed: None,
            stay: Stay::Staying,
            clock: FleetClock::new(clock),
            ownership: Ownership::default(),
            gave_back: None,
            low: IndexSet::new(),
        }
    }

    /// Takes over who the routers are, and with that who keeps budgets for others.
    pub(crate) fn take_routers(&mut self, me: &VmId, routers: Vec<Candidate>, peers: &[Peer]) {
        if !self.ownership.knows_routers() {
            self.reviewed = None;
        }
        self.clock.expect(peers.len());
        self.ownership.take_routers(me, routers, peers);
    }

    /// Takes note of another router's sign of life.
    pub(crate) fn heard(&mut self, now: Instant, beat: &Heartbeat) {
        self.ownership.heard(&beat.vm);
        // What dead lifetimes left can be given back from here on.
        if self.clock.hear(now, &beat.vm, beat.clock) {
            self.reviewed = None;
        }
    }

    /// Takes over what the teams prepaid. A budget never shrinks, and a team that is gone keeps what it used.
    pub(crate) fn prepaid(&mut self, now: Instant, table: &RouteTable) {
        for payer in table.payers() {
            let Some(prepaid) = payer.prepaid else {
                continue;
            };
            if !self.allowances.contains_key(&payer.team) {
                self.ownership.add(&payer.team);
            }
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
    pub(crate) fn reserve(
        &mut self,
        now: Instant,
        team: &TeamId,
        priority: u8,
        amount: Tokens,
    ) -> Reserve {
        let available = self.open_to(now, team, priority);
        let rest = self.remainder(now, team);
        let Some(allowance) = self.allowances.get_mut(team) else {
            return Reserve::Done;
        };
        if amount == Tokens::ZERO {
            return Reserve::Done;
        }
        allowance.expect(now, priority, amount);
        if !allowance.ration.admits(now, &rest, priority, amount) {
            return Reserve::Kept;
        }
        if available < amount {
            return Reserve::Short;
        }
        allowance.reserved += amount;
        allowance.gave(now, amount);
        self.note_low(now, team, available - amount);
        Reserve::Done
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
                let records = self.book.landed(at);
                self.note_grants(&records);
                self.answered(now);
            }
            GrantEvent::Moved => {
                self.behind = true;
                self.reached();
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
        let reviews = self.is_review_due(now);
        let leaves = self.stay == Stay::Leaving;
        let unsettled = self.behind || leaves || self.book.pending().is_some() || !self.known();
        waits || !self.low.is_empty() || !self.busy && now >= self.rest && (reviews || unsettled)
    }

    /// Returns the next call to the log, if one is due.
    pub(crate) fn step(&mut self, now: Instant) -> Option<Effect> {
        if self.busy || now < self.rest {
            return None;
        }
        let effect = self.next_call(now)?;
        self.busy = true;
        Some(effect)
    }

    fn next_call(&mut self, now: Instant) -> Option<Effect> {
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
        let leaves = self.stay == Stay::Leaving;
        if leaves && self.failures > 0 {
            return None;
        }
        // Whether the log answers is found out before anything is given up to it.
        let stale = self.fresh.is_none_or(|at| now >= at + FRESH);
        if leaves && stale {
            return Some(Effect::ReadGrants(Some(end)));
        }
        let waiting = self.waiting_teams();
        let waiting = waiting
            .iter()
            .any(|team| !self.is_owned_elsewhere(now, team));
        let due = self.is_review_due(now) || leaves;
        if !waiting && !due {
            return None;
        }
        let changes = self.changes(now, due);
        // Only a review puts the next one off. Put off by each call for a request that waits, none would come while one team's
        // callers wait, and the other teams' promises would grow old.
        if due {
            self.reviewed = Some(now);
        }
        let start = self.clock.start(now);
        let allowances = &self.allowances;
        let prepaid = |team: &TeamId| allowances.get(team).map_or(Tokens::ZERO, |p| p.prepaid);
        if let Some(proposal) = self.book.propose(changes, &start, prepaid) {
            return Some(Effect::ProposeGrants(proposal));
        }
        // What others gave back since may cover those that wait.
        (waiting && stale).then_some(Effect::ReadGrants(Some(end)))
    }

    /// Reads all anew: the log let go of records that were not read.
    fn gone(&mut self) {
        warn!(event = "grants-gone");
        self.book.restart();
    }

    /// Logs the grants that stand from now on: who reads the logs sees from them where a budget lies, and which part of a dead
    /// lifetime's grant stays lost: what was in use, what could be used at once, and what opened for the time that passed.
    fn note_grants(&self, records: &[(GrantKey, GrantRow)]) {
        for (key, row) in records {
            match self.book.is_mine(key) {
                true => self.note_granted(&key.team, row),
                false => note_given_back(key, row),
            }
        }
    }

    fn note_granted(&self, team: &TeamId, row: &GrantRow) {
        let promised = row.pace.map(|pace| (pace.used, pace.room, pace.rate));
        let (used, room, rate) = promised.unwrap_or_default();
        let moved = self.allowances.get(team).map(|allowance| {
            let loans = &allowance.loans;
            (allowance.reserved, loans.lent(), loans.borrowed())
        });
        let (reserved, lent, borrowed) = moved.unwrap_or_default();
        info!(
            event = "granted", %team, granted = %row.granted, spent = %row.spent,
            %used, %room, %rate, %reserved, %lent, %borrowed,
        );
    }

    fn answered(&mut self, now: Instant) {
        if self.failures > 0 {
            info!(event = "grants-reachable", failures = self.failures);
        }
        self.reached();
        self.fresh = Some(now);
    }

    /// Notes that the store answered another call, so that the log is worth asking at once.
    pub(crate) fn store_answered(&mut self, now: Instant) {
        self.rest = self.rest.min(now);
    }

    fn reached(&mut self) {
        self.failures = 0;
        self.away = None;
    }

    fn failed(&mut self, now: Instant) {
        if self.failures == 0 {
            warn!(event = "grants-unreachable");
        }
        self.away.get_or_insert(now);
        let rest = REST.saturating_mul(1 << self.failures.min(8));
        self.rest = now + rest.min(LONGEST_REST);
        self.failures += 1;
    }

    /// Returns what can be reserved now.
    pub(super) fn available(&self, now: Instant, team: &TeamId) -> Tokens {
        self.free_of(team, self.book.open(team, &self.clock.own(now)))
    }

    /// Returns what a request of a priority can reserve now.
    pub(super) fn open_to(&self, now: Instant, team: &TeamId, priority: u8) -> Tokens {
        let away = self.away.is_some();
        let allowance = self.allowances.get(team);
        let kept = allowance.map(|a| kept_open(away, now, &a.ration, priority));
        self.available(now, team)
            .saturating_sub(kept.unwrap_or_default())
    }

    /// Returns what is held and not in use, though it may not all be used at once.
    pub(super) fn held(&self, team: &TeamId) -> Tokens {
        self.free_of(team, self.book.granted(team))
    }

    /// Returns what is left of a part of a grant.
    fn free_of(&self, team: &TeamId, granted: Tokens) -> Tokens {
        let allowance = self.allowances.get(team);
        allowance.map_or(Tokens::ZERO, |allowance| allowance.free_of(granted))
    }

    /// Returns the most that this router could reserve if it drew all that is undrawn.
    pub(super) fn reach(&self, team: &TeamId) -> Tokens {
        let prepaid = self
            .allowances
            .get(team)
            .map_or(Tokens::ZERO, |p| p.prepaid);
        self.held(team)
            .saturating_add(self.book.undrawn(team, prepaid))
    }

    /// Returns the most that can be left of a team's budget, by all that is known to be used.
    pub(super) fn left(&self, team: &TeamId) -> Tokens {
        self.allowances.get(team).map_or(Tokens::ZERO, |allowance| {
            let here = allowance.spent.saturating_add(allowance.reserved);
            let used = here.saturating_add(self.book.others_spent(team));
            let in_transit = match self.ownership.is_everyone() {
                true => Tokens::ZERO,
                false => Tokens(allowance.prepaid.0 / IN_TRANSIT),
            };
            allowance
                .prepaid
                .saturating_sub(used)
                .saturating_add(in_transit)
                .min(allowance.prepaid)
        })
    }
}

fn note_given_back(key: &GrantKey, row: &GrantRow) {
    let GrantKey { vm, router, team } = key;
    info!(event = "given-back", %team, of = %vm, %router, left = %row.granted);
}

/// Returns what more urgent requests than those of a priority find open. In touch with the log more is opened by the next
/// promise; in a cut it opens slowly, and the less urgent would use up each bit of it.
pub(super) fn kept_open(away: bool, now: Instant, ration: &PriorityDemand, priority: u8) -> Tokens {
    match away {
        true => {
            Tokens((ration.higher_priority_rate(now, priority) * KEPT_OPEN.as_secs_f64()) as u64)
        }
        false => Tokens::ZERO,
    }
}

fn held_for(lean: ConsistencyMode) -> f64 {
    match lean {
        ConsistencyMode::Strict => HELD,
        ConsistencyMode::Available => AVAILABLE_HELD,
    }
}
