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
use crate::router::fleet_clock::FleetClock;
use crate::router::grant_budget::GrantBudget;
use crate::router::grant_budget::Reserved;
use crate::router::grant_review::StopPhase;
use crate::router::heartbeat::Heartbeat;
use crate::router::ownership::Ownership;
use crate::router::peer_budgets::PeerBudgets;
use crate::tokens::Tokens;

/// How much demand a grant covers: the longest time for which all routers were seen cut off from the log at once (9 s),
/// and a second more for what is reserved and not used. See [`HOLDING_RATIO`] for the reason against more.
pub(super) const DEMAND_COVER: Duration = Duration::from_secs(10);

/// How much all routers together hold for each undrawn token: two thirds of what is left can be spent while the log is
/// out of reach. What is held is not lost when a router dies, since it becomes usable only gradually. With 1 the value
/// served on a calm day with two log outages of eight seconds is lower by 0.02; with 4 the routers that run low find
/// less undrawn.
const HOLDING_RATIO: f64 = 2.0;

/// The same for a deployment that favours availability: a third more, as where budgets are kept by the ledger.
const AVAILABLE_HOLDING_RATIO: f64 = 2.7;

/// During a log outage, the demand of more urgent requests for this long is kept available for them. What they use
/// becomes available again before more of them arrive.
const URGENT_RESERVE_TIME: Duration = Duration::from_millis(500);

/// One part in this many of a budget may lie at routers that borrowed it and count as spent, although it will be
/// returned: the leftovers of five seconds of requests that use four fifths of what they reserve, of a budget for a
/// minute or so. A caller is told that the budget is spent only if this part would not cover the request either.
const IN_TRANSIT_DIVISOR: u64 = 50;

/// The greatest age of the router's knowledge of the log at which it may tell a caller that a budget is spent.
pub(super) const MAX_STALENESS: Duration = Duration::from_millis(500);

/// The delay after the first failed call to the log; it doubles with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The longest such delay: how late the end of an outage may be noticed. Until then no spend pace is renewed, and
/// what has become usable meanwhile is stranded if the routers die.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The outcome of reserving the budget of a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReserveOutcome {
    /// The budget is reserved, or none is needed.
    Done(Reserved),
    /// This router holds too little.
    Short,
    /// What is left is kept for more urgent requests.
    Kept,
    /// The request may cost more than the team ever prepaid.
    Unaffordable,
}

/// The budgets of all teams as far as this router may spend them.
#[derive(Debug)]
pub(crate) struct GrantBudgets {
    pub(super) grant_state: GrantState,
    pub(super) budgets: IndexMap<TeamId, GrantBudget>,
    pub(super) policy: HoldingPolicy,
    /// Whether a call to the log is in flight.
    in_flight: bool,
    /// Whether the partition is known to have advanced past what was read.
    behind: bool,
    /// The number of consecutive failed calls.
    pub(super) failures: u32,
    /// Since when the log has not answered.
    pub(super) unreachable_since: Option<Instant>,
    /// What other routers report about their budgets.
    pub(super) peer_budgets: PeerBudgets,
    /// No call is made before this time.
    retry_at: Instant,
    /// When the grants were last known to be up to date.
    pub(super) fresh_at: Option<Instant>,
    /// When grants were last adjusted to the policy.
    pub(super) reviewed_at: Option<Instant>,
    pub(super) stop_phase: StopPhase,
    pub(super) clock: FleetClock,
    /// Which routers keep budgets for others.
    pub(super) ownership: Ownership,
    /// When idle budget was last returned to the routers that keep it.
    pub(super) returned_at: Option<Instant>,
    /// Teams of whose budget too little is left here for the time that a loan takes.
    pub(super) low_teams: IndexSet<TeamId>,
}

impl GrantBudgets {
    /// Creates a set of budgets that may spend nothing yet.
    pub(crate) fn new(
        now: Instant,
        vm: VmId,
        me: Incarnation,
        lean: ConsistencyMode,
        clock: BootClock,
    ) -> Self {
        Self {
            grant_state: GrantState::new(vm, me),
            budgets: IndexMap::new(),
            policy: HoldingPolicy::with_cover(DEMAND_COVER, holding_ratio(lean)),
            in_flight: false,
            behind: false,
            failures: 0,
            unreachable_since: None,
            peer_budgets: PeerBudgets::default(),
            retry_at: now,
            fresh_at: None,
            reviewed_at: None,
            stop_phase: StopPhase::Running,
            clock: FleetClock::new(clock),
            ownership: Ownership::default(),
            returned_at: None,
            low_teams: IndexSet::new(),
        }
    }

    /// Updates which routers there are, and with that which of them keep budgets for others.
    pub(crate) fn take_routers(&mut self, me: &VmId, routers: Vec<Candidate>, peers: &[Peer]) {
        if !self.ownership.knows_routers() {
            self.reviewed_at = None;
        }
        self.clock.set_peer_count(peers.len());
        self.ownership.set_routers(me, routers, peers);
    }

    /// Handles another router's heartbeat.
    pub(crate) fn handle_heartbeat(&mut self, now: Instant, beat: &Heartbeat) {
        self.ownership.mark_responsive(&beat.vm);
        // From now on, what dead incarnations left unspent can be returned.
        if self.clock.record_reading(now, &beat.vm, beat.clock) {
            self.reviewed_at = None;
        }
    }

    /// Updates what the teams prepaid. A team that was removed keeps its budget.
    pub(crate) fn update_prepaid(&mut self, now: Instant, table: &RouteTable) {
        let mut limits = IndexMap::<_, Option<Tokens>>::new();
        for payer in table.payers() {
            let limit = limits.entry(&payer.team).or_default();
            *limit = payer.prepaid.max(*limit);
        }
        for (team, limit) in limits {
            if !self.budgets.contains_key(team) {
                self.ownership.add_team(team);
            }
            let budget = self.budgets.entry(team.clone());
            let budget = budget.or_insert_with(|| GrantBudget::new(now));
            if budget.set_prepaid(limit) {
                let limit = limit.map(|limit| limit.0);
                info!(event = "prepaid", %team, prepaid = limit, in_use = %budget.in_use());
                self.reviewed_at = None;
            }
        }
    }

    /// Returns whether the grants have been read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.grant_state.end().is_some()
    }

    /// Reserves what a request may cost. A team without a limit reserves whatever it asks for.
    pub(crate) fn reserve(
        &mut self,
        now: Instant,
        team: &TeamId,
        priority: u8,
        amount: Tokens,
    ) -> ReserveOutcome {
        let available = self.available_to(now, team, priority);
        let remainder = self.remainder(now, team);
        let Some(budget) = self.budgets.get_mut(team) else {
            return ReserveOutcome::Done(Reserved::NOTHING);
        };
        if amount == Tokens::ZERO || !budget.is_limited() {
            return ReserveOutcome::Done(budget.reserve(amount));
        }
        if amount > budget.prepaid() {
            return ReserveOutcome::Unaffordable;
        }
        budget.record_demand(now, priority, amount);
        if !budget.ration.admits(now, &remainder, priority, amount) {
            return ReserveOutcome::Kept;
        }
        if available < amount {
            return ReserveOutcome::Short;
        }
        let reserved = budget.reserve(amount);
        budget.record_given(now, amount);
        self.mark_low(now, team, available - amount);
        ReserveOutcome::Done(reserved)
    }

    /// Ends a reservation, of which `used` was spent.
    pub(crate) fn settle(&mut self, team: &TeamId, reserved: Reserved, used: Tokens) {
        if let Some(budget) = self.budgets.get_mut(team)
            && reserved != Reserved::NOTHING
        {
            budget.settle(reserved, used);
        }
    }

    /// Handles an event of the log that keeps grants.
    pub(crate) fn handle_event(&mut self, now: Instant, event: GrantEvent) {
        self.in_flight = false;
        match event {
            GrantEvent::Read { rows, end } => {
                for (offset, key, row) in rows {
                    self.grant_state.apply(offset, &key, row);
                }
                self.grant_state.advance(end);
                self.behind = false;
                self.record_answer(now);
            }
            GrantEvent::Gone => {
                self.behind = true;
                self.reread_all();
            }
            GrantEvent::Landed(at) => {
                let records = self.grant_state.confirm(at);
                self.log_grants(&records);
                self.record_answer(now);
            }
            GrantEvent::Moved => {
                self.behind = true;
                self.clear_failures();
            }
            GrantEvent::Refused(at) => {
                self.grant_state.reject(at);
                self.record_failure(now);
            }
            GrantEvent::Lost(at) => {
                self.grant_state.mark_uncertain(at);
                self.record_failure(now);
            }
            GrantEvent::ReadFailed => self.record_failure(now),
        }
    }

    /// Returns whether there is anything to ask the log or other routers for.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let waits = self
            .budgets
            .values()
            .any(|budget| !budget.waiting.is_empty());
        let reviews = self.is_review_due(now);
        let leaving = self.stop_phase == StopPhase::Releasing;
        let unsettled =
            self.behind || leaving || self.grant_state.pending().is_some() || !self.is_loaded();
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
        let Some(end) = self.grant_state.end() else {
            return Some(Effect::ReadGrants(None));
        };
        if self.behind {
            return Some(Effect::ReadGrants(Some(end)));
        }
        if let Some(pending) = self.grant_state.pending() {
            return Some(Effect::ProposeGrants(pending.clone()));
        }
        // Budget that is given up to a log that does not answer could not be handed over to other routers.
        let leaving = self.stop_phase == StopPhase::Releasing;
        if leaving && self.failures > 0 {
            return None;
        }
        // Check that the log answers before giving anything up to it.
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
        let changes = self.grant_changes(now, due);
        // Only a review postpones the next one. If each call for a waiting request did so, there would be no review
        // while the callers of one team wait, and the spend paces of the other teams would grow old.
        if due {
            self.reviewed_at = Some(now);
        }
        let start = self.clock.start_reading(now);
        let budgets = &self.budgets;
        let prepaid = |team: &TeamId| budgets.get(team).map_or(Tokens::ZERO, GrantBudget::prepaid);
        if let Some(proposal) = self.grant_state.propose(changes, &start, prepaid) {
            return Some(Effect::ProposeGrants(proposal));
        }
        // What other routers returned since may cover the waiting requests.
        (waiting && stale).then_some(Effect::ReadGrants(Some(end)))
    }

    /// Starts reading from the beginning: the log has deleted records that were not read.
    fn reread_all(&mut self) {
        warn!(event = "grants-gone");
        self.grant_state.restart();
    }

    /// Logs the grants that stand from now on. The log lines show where a budget lies, and which part of a dead
    /// incarnation's grant stays lost: what was in use, what could be used at once, and what became usable over the
    /// time that passed.
    fn log_grants(&self, records: &[(GrantKey, GrantRow)]) {
        for (key, row) in records {
            match self.grant_state.is_own(key) {
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
            (budget.reserved(), loans.lent(), loans.borrowed())
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

    /// Records that the store answered another call, so that it is worth calling the log at once.
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
        self.remaining(
            team,
            self.grant_state
                .usable_at(team, &self.clock.own_reading(now)),
        )
    }

    /// Returns what a request of a priority can reserve now.
    pub(super) fn available_to(&self, now: Instant, team: &TeamId, priority: u8) -> Tokens {
        let away = self.unreachable_since.is_some();
        let budget = self.budgets.get(team);
        let reserve = budget.map(|budget| urgent_reserve(away, now, &budget.ration, priority));
        self.available(now, team)
            .saturating_sub(reserve.unwrap_or_default())
    }

    /// Returns what is held and not in use, though not all of it may be usable at once.
    pub(super) fn held(&self, team: &TeamId) -> Tokens {
        self.remaining(team, self.grant_state.granted(team))
    }

    /// Returns what is left of a part of a grant.
    fn remaining(&self, team: &TeamId, granted: Tokens) -> Tokens {
        let budget = self.budgets.get(team);
        budget.map_or(Tokens::ZERO, |budget| budget.remaining(granted))
    }

    /// Returns all that a team may ever use.
    pub(super) fn prepaid(&self, team: &TeamId) -> Tokens {
        let budget = self.budgets.get(team);
        budget.map_or(Tokens::ZERO, GrantBudget::prepaid)
    }

    /// Returns the most that this router could reserve if it drew everything that is undrawn.
    pub(super) fn max_reservable(&self, team: &TeamId) -> Tokens {
        self.held(team)
            .saturating_add(self.grant_state.undrawn(team, self.prepaid(team)))
    }

    /// Returns the most that can be left of a team's budget, given everything that is known to be used.
    pub(super) fn max_left(&self, team: &TeamId) -> Tokens {
        self.budgets.get(team).map_or(Tokens::ZERO, |budget| {
            let prepaid = budget.prepaid();
            let here = budget.spent.saturating_add(budget.reserved());
            let used = here.saturating_add(self.grant_state.spent_by_others(team));
            let in_transit = match self.ownership.is_owned_by_all() {
                true => Tokens::ZERO,
                false => Tokens(prepaid.0 / IN_TRANSIT_DIVISOR),
            };
            prepaid
                .saturating_sub(used)
                .saturating_add(in_transit)
                .min(prepaid)
        })
    }
}

fn log_given_back(key: &GrantKey, row: &GrantRow) {
    let GrantKey { vm, router, team } = key;
    info!(event = "given-back", %team, of = %vm, %router, left = %row.granted);
}

/// Returns what must stay available for requests that are more urgent than a priority. In contact with the log, the
/// next spend pace makes more available; in an outage, budget becomes available slowly, and less urgent requests
/// would use up every bit of it.
pub(super) fn urgent_reserve(
    away: bool,
    now: Instant,
    ration: &PriorityDemand,
    priority: u8,
) -> Tokens {
    match away {
        true => Tokens(
            (ration.higher_priority_rate(now, priority) * URGENT_RESERVE_TIME.as_secs_f64()) as u64,
        ),
        false => Tokens::ZERO,
    }
}

fn holding_ratio(lean: ConsistencyMode) -> f64 {
    match lean {
        ConsistencyMode::Strict => HOLDING_RATIO,
        ConsistencyMode::Available => AVAILABLE_HOLDING_RATIO,
    }
}
