//! The fold: what each record of a partition does.
//!
//! Every check that guards a change is made here, at the record's place in the log. A router may look first, to save
//! an append, but what it saw is old by the time its record lands; only the fold decides.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::ids::VmId;
use crate::ledger::key::BillState;
use crate::ledger::key::ClaimState;
use crate::ledger::key::KeyState;
use crate::ledger::record::Batch;
use crate::ledger::record::Bearer;
use crate::ledger::record::Claim;
use crate::ledger::record::Outcome;
use crate::ledger::record::Record;
use crate::ledger::router::RouterState;
use crate::ledger::team::Holding;
use crate::ledger::team::TeamState;
use crate::ledger::verdict::Verdict;
use crate::ledger::verdict::Void;
use crate::tokens::Tokens;

/// How long a request is remembered after something last happened to it, in milliseconds of the log service's clock.
/// A day covers a caller that comes back after the longest outage planned for (an hour) many times over.
pub(crate) const KEY_MEMORY: u64 = 24 * 60 * 60 * 1000;

/// How often a request may run again after its bill. Without a bound, one paid key would buy any number of answers.
pub(crate) const MAX_RERUNS: u8 = 3;

/// How many crashes a fingerprint needs before it is quarantined; the third endpoint is the last that it costs.
pub(crate) const CRASH_LIMIT: usize = 2;

/// One partition's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    next: Offset,
    at: u64,
    teams: IndexMap<TeamId, TeamState>,
    keys: IndexMap<RequestKey, KeyState>,
    routers: IndexMap<Incarnation, RouterState>,
    leaders: IndexMap<PoolId, (Incarnation, Offset)>,
    crashes: IndexMap<Fingerprint, Vec<VmId>>,
}

impl Ledger {
    /// Returns the offset of the next record that it wants.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the time of the last record, milliseconds of the log service's clock.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Returns what is known of a team.
    pub fn team(&self, team: &TeamId) -> Option<&TeamState> {
        self.teams.get(team)
    }

    /// Returns all teams.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamId, &TeamState)> {
        self.teams.iter()
    }

    /// Returns what is known of a request.
    pub fn key(&self, key: &RequestKey) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// Returns all requests that are remembered.
    pub fn keys(&self) -> impl Iterator<Item = (&RequestKey, &KeyState)> {
        self.keys.iter()
    }

    /// Returns what is known of a router's incarnation.
    pub fn router(&self, router: Incarnation) -> Option<&RouterState> {
        self.routers.get(&router)
    }

    /// Returns all incarnations that are remembered.
    pub fn routers(&self) -> impl Iterator<Item = (Incarnation, &RouterState)> {
        self.routers.iter().map(|(id, state)| (*id, state))
    }

    /// Returns whether an incarnation is open.
    pub fn is_open(&self, router: Incarnation) -> bool {
        self.routers.get(&router).is_some_and(|r| !r.closed)
    }

    /// Returns what a router has of a team's budget.
    pub fn holding(&self, router: Incarnation, team: &TeamId) -> Holding {
        self.teams
            .get(team)
            .and_then(|t| t.holdings.get(&router))
            .copied()
            .unwrap_or_default()
    }

    /// Returns a pool's leader and its fencing number.
    pub fn leader(&self, pool: &PoolId) -> Option<(Incarnation, Offset)> {
        self.leaders.get(pool).copied()
    }

    /// Returns whether endpoints keep dying of requests of this fingerprint.
    pub fn quarantined(&self, request: Fingerprint) -> bool {
        self.crashes
            .get(&request)
            .is_some_and(|endpoints| endpoints.len() >= CRASH_LIMIT)
    }

    /// Passes over a record that cannot be read.
    pub fn skip(&mut self, offset: Offset) {
        self.next = Offset(offset.0 + 1);
    }

    /// Folds one batch and tells what became of each of its records.
    ///
    /// `at` is the time that the log service gave the record, in milliseconds; it is the same for all who read it.
    pub fn apply(&mut self, offset: Offset, at: u64, batch: &Batch) -> Vec<Verdict> {
        self.next = Offset(offset.0 + 1);
        self.at = self.at.max(at);
        let verdicts = match self.admit(batch) {
            Ok(()) => batch
                .records
                .iter()
                .map(|record| self.record(offset, batch.router, record))
                .collect(),
            Err(void) => vec![Verdict::Void(void); batch.records.len()],
        };
        self.expire();
        verdicts
    }

    /// Decides whether a batch counts.
    ///
    /// An append whose answer was lost is repeated, and both copies may land; one that was slow may land behind a
    /// later one. Counting only the next number makes each batch count once and in order.
    fn admit(&mut self, batch: &Batch) -> Result<(), Void> {
        match self.routers.get_mut(&batch.router) {
            None => self.admit_first(batch),
            Some(router) if router.closed => Err(Void::Closed),
            Some(router) if batch.sequence.0 != router.sequence.0 + 1 => Err(Void::Sequence),
            Some(router) => {
                router.sequence = batch.sequence;
                router.at = self.at;
                Ok(())
            }
        }
    }

    /// Admits an incarnation's first batch, which must open it.
    fn admit_first(&mut self, batch: &Batch) -> Result<(), Void> {
        if batch.sequence != Sequence(1) {
            return Err(Void::Sequence);
        }
        let Some(Record::Open {
            vm,
            domain,
            address,
        }) = batch.records.first()
        else {
            return Err(Void::Closed);
        };
        let state = RouterState {
            vm: vm.clone(),
            domain: domain.clone(),
            address: address.clone(),
            sequence: batch.sequence,
            closed: false,
            at: self.at,
        };
        self.routers.insert(batch.router, state);
        Ok(())
    }

    fn record(&mut self, offset: Offset, router: Incarnation, record: &Record) -> Verdict {
        let done = match record {
            Record::Draw { team, want } => return Verdict::Granted(self.draw(router, team, *want)),
            Record::Open { vm, .. } => self.open(router, vm),
            Record::TopUp { id, team, amount } => self.top_up(id, team, *amount),
            Record::Return { team, amount } => self.give_back(router, team, *amount),
            Record::Claim(claim) => self.claim(router, claim),
            Record::Release { key } => self.release(offset, router, key),
            Record::Refuse { key, attempt } => self.refuse(offset, key, *attempt),
            Record::Bill {
                key,
                amount,
                outcome,
            } => self.bill(router, key, *amount, outcome),
            Record::Close { router } => self.close(*router),
            Record::Lead { pool } => self.lead(offset, router, pool),
            Record::Crash { request, endpoint } => self.crash(*request, endpoint),
        };
        match done {
            Ok(()) => Verdict::Accepted,
            Err(void) => Verdict::Void(void),
        }
    }

    /// Ends what ran on the VM before: a VM runs one router, so an earlier incarnation there is dead.
    fn open(&mut self, router: Incarnation, vm: &VmId) -> Result<(), Void> {
        let earlier: Vec<_> = self
            .routers
            .iter()
            .filter(|(id, state)| **id != router && state.vm == *vm && !state.closed)
            .map(|(id, _)| *id)
            .collect();
        for old in earlier {
            self.close(old)?;
        }
        Ok(())
    }

    fn top_up(&mut self, id: &TopUpId, team: &TeamId, amount: Tokens) -> Result<(), Void> {
        let team = self.teams.entry(team.clone()).or_default();
        if !team.topups.insert(id.clone()) {
            return Err(Void::Repeated);
        }
        // A sum that does not fit stays at the largest amount: a typing error must not stop the fleet.
        team.prepaid = team.prepaid.saturating_add(amount);
        Ok(())
    }

    fn draw(&mut self, router: Incarnation, team: &TeamId, want: Tokens) -> Tokens {
        let Some(team) = self.teams.get_mut(team) else {
            return Tokens::ZERO;
        };
        let granted = want.min(team.undrawn());
        if granted > Tokens::ZERO {
            team.holding(router).free += granted;
        }
        granted
    }

    fn give_back(
        &mut self,
        router: Incarnation,
        team: &TeamId,
        amount: Tokens,
    ) -> Result<(), Void> {
        let team = self.teams.get_mut(team).ok_or(Void::Holding)?;
        let holding = team.holding(router);
        if holding.free < amount {
            team.tidy(router);
            return Err(Void::Holding);
        }
        holding.free -= amount;
        team.tidy(router);
        Ok(())
    }

    fn claim(&mut self, router: Incarnation, claim: &Claim) -> Result<(), Void> {
        self.check_claim(router, claim)?;
        let holding = self
            .teams
            .get_mut(&claim.team)
            .and_then(|team| team.holdings.get_mut(&router))
            .filter(|holding| holding.free >= claim.reserved)
            .ok_or(Void::Holding)?;
        holding.free -= claim.reserved;
        holding.claimed += claim.reserved;
        let at = self.at;
        let key = self.touch(&claim.key);
        key.at = at;
        key.request = Some(claim.request);
        if key.bill.is_some() {
            key.reruns += 1;
        }
        key.claim = Some(ClaimState {
            router,
            team: claim.team.clone(),
            reserved: claim.reserved,
            attempt: claim.attempt,
            idempotent: claim.idempotent,
            bearer: claim.bearer,
        });
        Ok(())
    }

    /// Decides whether a request may be claimed.
    fn check_claim(&self, router: Incarnation, claim: &Claim) -> Result<(), Void> {
        let Some(key) = self.keys.get(&claim.key) else {
            return Ok(());
        };
        if key.request.is_some_and(|request| request != claim.request) {
            return Err(Void::OtherRequest);
        }
        if let Some(held) = &key.claim {
            return match self.is_open(held.router) {
                true if held.router == router => Err(Void::Mine),
                true => Err(Void::ClaimedBy(held.router)),
                // Whoever had it is closed, and closing settled its reservation; only a request that may not run
                // twice keeps such a claim.
                false => Err(Void::Unknown),
            };
        }
        if key.bill.is_some() && (!claim.idempotent || key.reruns >= MAX_RERUNS) {
            return Err(Void::Billed);
        }
        match key.refused {
            Some((offset, attempt)) if refused(claim, offset, attempt) => Err(Void::Refused),
            _ => Ok(()),
        }
    }

    fn release(
        &mut self,
        offset: Offset,
        router: Incarnation,
        key: &RequestKey,
    ) -> Result<(), Void> {
        let claim = self.take_claim(router, key)?;
        self.unreserve(&claim, claim.reserved);
        let key = self.touch(key);
        if key.bill.is_none() {
            key.refused = Some((offset, claim.attempt));
        }
        Ok(())
    }

    /// Settles that a request was not run.
    ///
    /// A claim that was sent earlier may still land behind this record. It carries the offset that its router had
    /// folded when the attempt arrived, which lies before this one, and is void.
    fn refuse(&mut self, offset: Offset, key: &RequestKey, attempt: Attempt) -> Result<(), Void> {
        let known = self.keys.get(key);
        if known.is_some_and(|k| k.claim.is_some() || k.bill.is_some()) {
            return Err(Void::Stands);
        }
        let before = known.and_then(|k| k.refused).map(|(_, attempt)| attempt);
        let at = self.at;
        let key = self.touch(key);
        key.at = at;
        key.refused = Some((offset, attempt.max(before.unwrap_or_default())));
        Ok(())
    }

    fn bill(
        &mut self,
        router: Incarnation,
        key: &RequestKey,
        amount: Tokens,
        outcome: &Outcome,
    ) -> Result<(), Void> {
        let claim = self.take_claim(router, key)?;
        // More than was reserved is never charged: what was reserved is all that the team was known to have.
        let amount = amount.min(claim.reserved);
        self.unreserve(&claim, claim.reserved - amount);
        let billed = self.touch(key).bill.is_some();
        let at = self.at;
        if billed {
            self.settle_lost(&claim, amount);
        } else {
            self.spend(&claim, amount);
            self.touch(key).bill = Some(BillState {
                team: claim.team,
                amount,
                outcome: outcome.clone(),
            });
        }
        self.touch(key).at = at;
        Ok(())
    }

    /// Ends an incarnation.
    ///
    /// What it held free goes back to the teams at once. What its open claims reserve may have been used, wholly or in
    /// part, and whoever bears that is charged for all of it, since no one can tell how much.
    fn close(&mut self, router: Incarnation) -> Result<(), Void> {
        let state = self.routers.get_mut(&router).ok_or(Void::NoClaim)?;
        if state.closed {
            return Err(Void::Repeated);
        }
        state.closed = true;
        let open: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, key)| key.claim.as_ref().is_some_and(|c| c.router == router))
            .map(|(key, _)| key.clone())
            .collect();
        for key in open {
            self.orphan(&key);
        }
        for team in self.teams.values_mut() {
            team.holdings.shift_remove(&router);
        }
        Ok(())
    }

    /// Settles the claim of a router that is being closed.
    ///
    /// The claim of a request that may not run twice stays, with nothing reserved, so that no one ever runs it again.
    fn orphan(&mut self, key: &RequestKey) {
        let state = self.touch(key);
        let Some(claim) = state.claim.clone() else {
            return;
        };
        state.claim = match claim.idempotent {
            true => None,
            false => Some(ClaimState {
                reserved: Tokens::ZERO,
                ..claim.clone()
            }),
        };
        self.settle_lost(&claim, claim.reserved);
    }

    fn lead(&mut self, offset: Offset, router: Incarnation, pool: &PoolId) -> Result<(), Void> {
        if let Some((leader, _)) = self.leaders.get(pool)
            && *leader != router
            && self.is_open(*leader)
        {
            return Err(Void::ClaimedBy(*leader));
        }
        self.leaders.insert(pool.clone(), (router, offset));
        Ok(())
    }

    fn crash(&mut self, request: Fingerprint, endpoint: &VmId) -> Result<(), Void> {
        self.crashes
            .entry(request)
            .or_default()
            .push(endpoint.clone());
        Ok(())
    }

    fn take_claim(&mut self, router: Incarnation, key: &RequestKey) -> Result<ClaimState, Void> {
        self.keys
            .get_mut(key)
            .and_then(|state| state.claim.take_if(|claim| claim.router == router))
            .ok_or(Void::NoClaim)
    }

    /// Takes `back` of a claim's reservation back into what its router may reserve.
    fn unreserve(&mut self, claim: &ClaimState, back: Tokens) {
        if let Some(team) = self.teams.get_mut(&claim.team) {
            let holding = team.holding(claim.router);
            holding.claimed -= back;
            holding.free += back;
        }
    }

    /// Takes `amount` of a claim's reservation out of the budget.
    fn spend(&mut self, claim: &ClaimState, amount: Tokens) {
        if let Some(team) = self.teams.get_mut(&claim.team) {
            team.holding(claim.router).claimed -= amount;
            team.spent += amount;
            team.tidy(claim.router);
        }
    }

    /// Takes `amount` of a claim's reservation as used without a bill.
    fn settle_lost(&mut self, claim: &ClaimState, amount: Tokens) {
        let Some(team) = self.teams.get_mut(&claim.team) else {
            return;
        };
        let holding = team.holding(claim.router);
        holding.claimed -= amount;
        match claim.bearer {
            Bearer::Team => team.lost += amount,
            Bearer::House => holding.free += amount,
        }
        team.tidy(claim.router);
    }

    fn touch(&mut self, key: &RequestKey) -> &mut KeyState {
        let at = self.at;
        self.keys.entry(key.clone()).or_insert(KeyState {
            request: None,
            claim: None,
            bill: None,
            refused: None,
            reruns: 0,
            at,
        })
    }

    /// Forgets requests that nothing happened to for long.
    fn expire(&mut self) {
        let Some(before) = self.at.checked_sub(KEY_MEMORY) else {
            return;
        };
        // Open claims stay: forgetting one would let its request run again beside it.
        while let Some((_, oldest)) = self.keys.first()
            && oldest.at < before
            && oldest.claim.is_none()
        {
            self.keys.shift_remove_index(0);
        }
    }
}

/// Tells whether a refusal speaks of the attempt that a claim stands for.
fn refused(claim: &Claim, offset: Offset, attempt: Attempt) -> bool {
    let counted = claim.attempt != Attempt(0);
    offset > claim.seen || (counted && claim.attempt <= attempt)
}
