//! What a router may spend where budgets are kept by grants, and when it asks the log for more.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tracing::info;
use tracing::warn;

use crate::config::RouteTable;
use crate::decide::Candidate;
use crate::decide::HoldingPolicy;
use crate::decide::Lean;
use crate::decide::Ration;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::escrow::GrantState;
use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::moment::BootClock;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::GrantEvent;
use crate::router::event::Heartbeat;
use crate::router::fleet_clock::FleetClock;
use crate::router::grant_budget::GrantBudget;
use crate::router::ownership::Ownership;
use crate::router::rationing::Others;
use crate::router::review::Stay;
use crate::tokens::Tokens;

/// How much demand a grant covers: the longest time that all routers were seen parted from the log at once (9 s), and a
/// second more for what is reserved and not used. See [`HOLDING_RATIO`] for what speaks against more.
pub(super) const DEMAND_COVER: Duration = Duration::from_secs(10);

/// How much all routers together hold for each token undrawn: two thirds of what is left can be spent in a cut from the log.
/// What is held is not lost where a router dies, since it opens slowly. With 1 a calm day with two cuts of eight seconds has
/// 0.02 of its worth less, with 4 the routers that run low find less undrawn.
const HOLDING_RATIO: f64 = 2.0;

/// The same, for a deployment that leans to availability: a third more, as where budgets are kept by the ledger. It was not
/// measured.
const AVAILABLE_HOLDING_RATIO: f64 = 2.7;

/// For how long the demand of more urgent requests is kept open in a cut. What they use opens again sooner than they come.
const URGENT_RESERVE_TIME: Duration = Duration::from_millis(500);

/// What part of a budget may lie at routers that borrowed it and count as spent, though it will come back: five seconds'
/// leftovers of requests that use four fifths of what they reserve, of a budget for a minute or so. A caller is told that
/// the budget is spent only where this part would not cover it either.
const IN_TRANSIT_DIVISOR: u64 = 50;

/// How old the router's word from the log may be to tell a caller that a budget is spent.
pub(super) const MAX_STALENESS: Duration = Duration::from_millis(500);

/// The first rest after a call that failed; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The longest rest: how late the end of an outage may be noticed. Until then no promise is written, and what has opened
/// meanwhile is stranded if the routers die.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// What came of asking for a request's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reservation {
    /// It is reserved, or needs no budget.
    Done,
    /// This router holds too little.
    Short,
    /// What is left is kept for more urgent requests.
    Kept,
}

/// What a router may spend.
#[derive(Debug)]
pub(crate) struct GrantBudgets {
    pub(super) book: GrantState,
    pub(super) budgets: IndexMap<TeamId, GrantBudget>,
    pub(super) policy: HoldingPolicy,
    /// Whether a call is on its way.
    in_flight: bool,
    /// Whether the partition is known to have moved on.
    behind: bool,
    /// How many calls in a row failed.
    pub(super) failures: u32,
    /// Since when the log has not answered.
    pub(super) unreachable_since: Option<Instant>,
    /// What other routers say of their budgets.
    pub(super) peer_budgets: Others,
    /// No call before this.
    retry_at: Instant,
    /// When the grants were last known to be up to date.
    pub(super) fresh_at: Option<Instant>,
    /// When grants were last brought to what the policy wants.
    pub(super) reviewed_at: Option<Instant>,
    pub(super) stay: Stay,
    pub(super) clock: FleetClock,
    /// Who keeps budgets for others.
    pub(super) ownership: Ownership,
    /// When idle budget was last given back to those that keep it.
    pub(super) returned_at: Option<Instant>,
    /// Teams of which too little is left here for the time that a loan takes.
    pub(super) low_teams: IndexSet<TeamId>,
}

impl GrantBudgets {
    /// Makes one that may spend nothing yet.
    pub(crate) fn new(
        now: Instant,
        vm: VmId,
        me: Incarnation,
        lean: Lean,
        clock: BootClock,
    ) -> Self {
        Self {
            book: GrantState::new(vm, me),
            budgets: IndexMap::new(),
            policy: HoldingPolicy::covering(DEMAND_COVER, holding_ratio(lean)),
            in_flight: false,
            behind: false,
            failures: 0,
            unreachable_since: None,
            peer_budgets: Others::default(),
            retry_at: now,
            fresh_at: None,
            reviewed_at: None,
            stay: Stay::Staying,
            clock: FleetClock::new(clock),
            ownership: Ownership::default(),
            returned_at: None,
            low_teams: IndexSet::new(),
        }
    }

    /// Takes over who the routers are, and with that who keeps budgets for others.
    pub(crate) fn take_routers(&mut self, me: &VmId, routers: Vec<Candidate>, peers: &[Peer]) {
        if !self.ownership.knows_routers() {
            self.reviewed_at = None;
        }
        self.clock.expect(peers.len());
        self.ownership.take_routers(me, routers, peers);
    }

    /// Takes note of another router's sign of life.
    pub(crate) fn handle_heartbeat(&mut self, now: Instant, beat: &Heartbeat) {
        self.ownership.heard(&beat.vm);
        // What dead lifetimes left can be given back from here on.
        if self.clock.hear(now, &beat.vm, beat.clock) {
            self.reviewed_at = None;
        }
    }

    /// Takes over what the teams prepaid. A budget never shrinks, and a team that is gone keeps what it used.
    pub(crate) fn update_prepaid(&mut self, now: Instant, table: &RouteTable) {
        for payer in table.payers() {
            let Some(prepaid) = payer.prepaid else {
                continue;
            };
            if !self.budgets.contains_key(&payer.team) {
                self.ownership.add(&payer.team);
            }
            let budget = self.budgets.entry(payer.team.clone());
            let budget = budget.or_insert_with(|| GrantBudget::new(now));
            if prepaid > budget.prepaid {
                info!(event = "prepaid", team = %payer.team, %prepaid);
                budget.prepaid = prepaid;
                self.reviewed_at = None;
            }
        }
    }

    /// Returns whether the grants were ever read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.book.end().is_some()
    }

    /// Reserves what a request may cost; a team without a limit needs no reservation.
    pub(crate) fn reserve(
        &mut self,
        now: Instant,
        team: &TeamId,
        priority: u8,
        amount: Tokens,
    ) -> Reservation {
        let available = self.available_to(now, team, priority);
        let remainder = self.remainder(now, team);
        let Some(budget) = self.budgets.get_mut(team) else {
            return Reservation::Done;
        };
        if amount == Tokens::ZERO {
            return Reservation::Done;
        }
        budget.record_demand(now, priority, amount);
        if !budget.ration.pays(now, &remainder, priority, amount) {
            return Reservation::Kept;
        }
        if available < amount {
            return Reservation::Short;
        }
        budget.reserved += amount;
        budget.record_given(now, amount);
        self.note_low(now, team, available - amount);
        Reservation::Done
    }

    /// Ends a reservation with what was used of it.
    pub(crate) fn settle(&mut self, team: &TeamId, reserved: Tokens, used: Tokens) {
        if let Some(budget) = self.budgets.get_mut(team) {
            let used = used.min(reserved);
            budget.reserved -= reserved;
            budget.spent += used;
            budget.update_averages(reserved, used);
        }
    }

    /// Takes in what happened at the log.
    pub(crate) fn handle_event(&mut self, now: Instant, event: GrantEvent) {
        self.in_flight = false;
        match event {
            GrantEvent::Read { rows, end } => {
                for (offset, key, row) in rows {
                    self.book.apply(offset, &key, row);
                }
                self.book.advance(end);
                self.behind = false;
                self.record_answer(now);
            }
            GrantEvent::Gone => {
                self.behind = true;
                self.reread_all();
            }
            GrantEvent::Landed(at) => {
                let records = self.book.confirm(at);
                self.log_grants(&records);
                self.record_answer(now);
            }
            GrantEvent::Moved => {
                self.behind = true;
                self.clear_failures();
            }
            GrantEvent::Refused(at) => {
                self.book.reject(at);
                self.record_failure(now);
            }
            GrantEvent::Lost(at) => {
                self.book.mark_uncertain(at);
                self.record_failure(now);
            }
            GrantEvent::Unread => self.record_failure(now),
        }
    }

    /// Returns whether there is anything to ask the log or other routers for.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let waits = self
            .budgets
            .values()
            .any(|budget| !budget.waiting.is_empty());
        let reviews = self.is_review_due(now);
        let leaving = self.stay == Stay::Leaving;
        let unsettled =
            self.behind || leaving || self.book.pending().is_some() || !self.is_loaded();
        waits
            || !self.low_teams.is_empty()
            || !self.in_flight && now >= self.retry_at && (reviews || unsettled)
    }

    /// Returns the next call to the log, if one is due.
    pub(crate) fn step(&mut self, now: Instant) -> Option<Effect> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let effect = self.next_call(now)?;
        self.in_flight = true;
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
        let leaving = self.stay == Stay::Leaving;
        if leaving && self.failures > 0 {
            return None;
        }
        // Whether the log answers is found out before anything is given up to it.
        let stale = self.fresh_at.is_none_or(|at| now >= at + MAX_STALENESS);
        if leaving && stale {
            return Some(Effect::ReadGrants(Some(end)));
        }
        let waiting = self.waiting_teams();
        let waiting = waiting
            .iter()
            .any(|team| !self.is_owned_elsewhere(now, team));
        let due = self.is_review_due(now) || leaving;
        if !waiting && !due {
            return None;
        }
        let changes = self.changes(now, due);
        // Only a review puts the next one off. Put off by each call for a request that waits, none would come while one team's
        // callers wait, and the other teams' promises would grow old.
        if due {
            self.reviewed_at = Some(now);
        }
        let start = self.clock.start(now);
        let budgets = &self.budgets;
        let prepaid = |team: &TeamId| {
            budgets
                .get(team)
                .map_or(Tokens::ZERO, |budget| budget.prepaid)
        };
        if let Some(proposal) = self.book.propose(changes, &start, prepaid) {
            return Some(Effect::ProposeGrants(proposal));
        }
        // What others gave back since may cover those that wait.
        (waiting && stale).then_some(Effect::ReadGrants(Some(end)))
    }

    /// Reads all anew: the log let go of records that were not read.
    fn reread_all(&mut self) {
        warn!(event = "grants-gone");
        self.book.restart();
    }

    /// Logs the grants that stand from now on: who reads the logs sees from them where a budget lies, and which part of a dead
    /// lifetime's grant stays lost: what was in use, what could be used at once, and what opened for the time that passed.
    fn log_grants(&self, records: &[(GrantKey, GrantRow)]) {
        for (key, row) in records {
            match self.book.is_own(key) {
                true => self.log_granted(&key.team, row),
                false => log_given_back(key, row),
            }
        }
    }

    fn log_granted(&self, team: &TeamId, row: &GrantRow) {
        let pace = row.pace.map(|pace| (pace.used, pace.room, pace.rate));
        let (used, room, rate) = pace.unwrap_or_default();
        let moved = self.budgets.get(team).map(|budget| {
            let loans = &budget.loans;
            (budget.reserved, loans.lent(), loans.borrowed())
        });
        let (reserved, lent, borrowed) = moved.unwrap_or_default();
        info!(
            event = "granted", %team, granted = %row.granted, spent = %row.spent,
            %used, %room, %rate, %reserved, %lent, %borrowed,
        );
    }

    fn record_answer(&mut self, now: Instant) {
        if self.failures > 0 {
            info!(event = "grants-reachable", failures = self.failures);
        }
        self.clear_failures();
        self.fresh_at = Some(now);
    }

    /// Notes that the store answered another call, so that the log is worth asking at once.
    pub(crate) fn store_answered(&mut self, now: Instant) {
        self.retry_at = self.retry_at.min(now);
    }

    fn clear_failures(&mut self) {
        self.failures = 0;
        self.unreachable_since = None;
    }

    fn record_failure(&mut self, now: Instant) {
        if self.failures == 0 {
            warn!(event = "grants-unreachable");
        }
        self.unreachable_since.get_or_insert(now);
        let delay = FIRST_RETRY_DELAY.saturating_mul(1 << self.failures.min(8));
        self.retry_at = now + delay.min(MAX_RETRY_DELAY);
        self.failures += 1;
    }

    /// Returns what can be reserved now.
    pub(super) fn available(&self, now: Instant, team: &TeamId) -> Tokens {
        self.remaining(team, self.book.usable_at(team, &self.clock.own(now)))
    }

    /// Returns what a request of a priority can reserve now.
    pub(super) fn available_to(&self, now: Instant, team: &TeamId, priority: u8) -> Tokens {
        let away = self.unreachable_since.is_some();
        let budget = self.budgets.get(team);
        let reserve = budget.map(|budget| urgent_reserve(away, now, &budget.ration, priority));
        self.available(now, team)
            .saturating_sub(reserve.unwrap_or_default())
    }

    /// Returns what is held and not in use, though it may not all be used at once.
    pub(super) fn held(&self, team: &TeamId) -> Tokens {
        self.remaining(team, self.book.granted(team))
    }

    /// Returns what is left of a part of a grant.
    fn remaining(&self, team: &TeamId, granted: Tokens) -> Tokens {
        let budget = self.budgets.get(team);
        budget.map_or(Tokens::ZERO, |budget| budget.remaining(granted))
    }

    /// Returns the most that this router could reserve if it drew all that is undrawn.
    pub(super) fn max_reservable(&self, team: &TeamId) -> Tokens {
        let prepaid = self
            .budgets
            .get(team)
            .map_or(Tokens::ZERO, |budget| budget.prepaid);
        self.held(team)
            .saturating_add(self.book.undrawn(team, prepaid))
    }

    /// Returns the most that can be left of a team's budget, by all that is known to be used.
    pub(super) fn max_left(&self, team: &TeamId) -> Tokens {
        self.budgets.get(team).map_or(Tokens::ZERO, |budget| {
            let here = budget.spent.saturating_add(budget.reserved);
            let used = here.saturating_add(self.book.spent_by_others(team));
            let in_transit = match self.ownership.is_everyone() {
                true => Tokens::ZERO,
                false => Tokens(budget.prepaid.0 / IN_TRANSIT_DIVISOR),
            };
            budget
                .prepaid
                .saturating_sub(used)
                .saturating_add(in_transit)
                .min(budget.prepaid)
        })
    }
}

fn log_given_back(key: &GrantKey, row: &GrantRow) {
    let GrantKey { vm, router, team } = key;
    info!(event = "given-back", %team, of = %vm, %router, left = %row.granted);
}

/// Returns what more urgent requests than those of a priority find open. In touch with the log more is opened by the next
/// promise; in a cut it opens slowly, and the less urgent would use up each bit of it.
pub(super) fn urgent_reserve(away: bool, now: Instant, ration: &Ration, priority: u8) -> Tokens {
    match away {
        true => Tokens((ration.urgent(now, priority) * URGENT_RESERVE_TIME.as_secs_f64()) as u64),
        false => Tokens::ZERO,
    }
}

fn holding_ratio(lean: Lean) -> f64 {
    match lean {
        Lean::Strict => HOLDING_RATIO,
        Lean::Available => AVAILABLE_HOLDING_RATIO,
    }
}
