//! The fold: applies each record of a partition to the ledger's state.
//!
//! Every check that guards a change is made here, at the record's position in the log. A router may check beforehand to
//! save an append, but its view may be stale by the time the record is appended; only the fold decides.
//!
//! This module admits batches and dispatches each record to the rules in `budget`, `request` or `membership`.

use std::cmp::Ordering;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ids::TeamId;
use crate::ledger::crash::Crashes;
use crate::ledger::expiry::Expiry;
use crate::ledger::key::KeyState;
use crate::ledger::record::Batch;
use crate::ledger::record::Record;
use crate::ledger::router::RouterState;
use crate::ledger::rules::Rule;
use crate::ledger::rules::is_enforced;
use crate::ledger::team::Holding;
use crate::ledger::team::TeamState;
use crate::ledger::verdict::Verdict;
use crate::ledger::verdict::VoidReason;

/// A complete checkpoint that the ledger refers to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointInfo {
    /// The offset of the first ledger record that the checkpoint does not include.
    pub as_of: Offset,
    /// The offset of its first part in the checkpoint stream.
    pub first: Offset,
    /// When its record was applied, in milliseconds of the log service's clock.
    pub at: u64,
}

/// The state of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pub(super) next: Offset,
    pub(super) at: u64,
    pub(super) unreadable: u64,
    pub(super) teams: IndexMap<TeamId, TeamState>,
    pub(super) topups: IndexSet<u128>,
    pub(super) keys: IndexMap<RequestKey, KeyState>,
    pub(super) routers: IndexMap<Incarnation, RouterState>,
    /// Closed incarnations whose state has expired, see [`Ledger::admit_first`].
    pub(super) gone: IndexSet<Incarnation>,
    pub(super) leaders: IndexMap<PoolId, (Incarnation, Offset)>,
    pub(super) crashes: IndexMap<Fingerprint, Crashes>,
    pub(super) expiry: Expiry,
    pub(super) checkpoint: Option<CheckpointInfo>,
}

impl Ledger {
    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the time of the last applied record, in milliseconds of the log service's clock.
    pub fn time_ms(&self) -> u64 {
        self.at
    }

    /// Returns the number of records that were skipped because they could not be decoded.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Returns the state of a team.
    pub fn team(&self, team: &TeamId) -> Option<&TeamState> {
        self.teams.get(team)
    }

    /// Returns all teams.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamId, &TeamState)> {
        self.teams.iter()
    }

    /// Returns the state of a request.
    pub fn key(&self, key: &RequestKey) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// Returns all requests that have not expired.
    pub fn keys(&self) -> impl Iterator<Item = (&RequestKey, &KeyState)> {
        self.keys.iter()
    }

    /// Returns the state of a router's incarnation.
    pub fn router(&self, router: Incarnation) -> Option<&RouterState> {
        self.routers.get(&router)
    }

    /// Returns all incarnations that are open or were closed within the last day.
    pub fn routers(&self) -> impl Iterator<Item = (Incarnation, &RouterState)> {
        self.routers.iter().map(|(id, state)| (*id, state))
    }

    /// Returns whether an incarnation is open.
    pub fn is_open(&self, router: Incarnation) -> bool {
        self.routers.get(&router).is_some_and(|r| !r.closed)
    }

    /// Returns a router's holding of a team's budget.
    pub fn holding(&self, router: Incarnation, team: &TeamId) -> Holding {
        self.routers
            .get(&router)
            .and_then(|r| r.holdings.get(team))
            .copied()
            .unwrap_or_default()
    }

    /// Returns a pool's leader and its fencing number.
    pub fn leader(&self, pool: &PoolId) -> Option<(Incarnation, Offset)> {
        self.leaders.get(pool).copied()
    }

    /// Returns whether requests of this fingerprint are quarantined because they crash endpoints.
    pub fn quarantined(&self, request: Fingerprint) -> bool {
        self.crashes.get(&request).is_some_and(Crashes::at_limit)
    }

    /// Returns the newest complete checkpoint. Neither stream may be truncated beyond it.
    pub fn checkpoint(&self) -> Option<CheckpointInfo> {
        self.checkpoint
    }

    /// Skips and counts the record at `offset`, which cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        if offset == self.next {
            self.next = next_offset(offset);
            self.unreadable = self.unreadable.saturating_add(1);
        }
    }

    /// Applies one batch and returns the verdict on each of its records.
    ///
    /// `at` is the timestamp that the log service gave the batch, in milliseconds; it is the same for all readers. Only
    /// the batch at [`Ledger::next`] is applied: an earlier one was applied before, and a later one follows a gap.
    pub fn apply(&mut self, offset: Offset, at: u64, batch: &Batch) -> Vec<Verdict> {
        if let Err(void) = self.admit_offset(offset) {
            return vec![Verdict::Void(void); batch.records.len()];
        }
        self.next = next_offset(offset);
        self.at = self.at.max(at);
        let verdicts = match self.admit(batch) {
            Ok(()) => self.apply_records(offset, batch),
            Err(void) => vec![Verdict::Void(void); batch.records.len()],
        };
        self.expire(batch.records.len());
        verdicts
    }

    fn admit_offset(&self, offset: Offset) -> Result<(), VoidReason> {
        match offset.cmp(&self.next) {
            Ordering::Less => Err(VoidReason::Sequence),
            Ordering::Equal => Ok(()),
            Ordering::Greater => Err(VoidReason::Gap),
        }
    }

    /// Decides whether a batch takes effect.
    ///
    /// An append whose response was lost is retried, and both copies may be stored; a slow one may be stored after a
    /// later one. Admitting only the next sequence number applies each batch once and in order.
    fn admit(&mut self, batch: &Batch) -> Result<(), VoidReason> {
        match self.routers.get_mut(&batch.router) {
            None => self.admit_first(batch),
            Some(router) if router.closed && is_enforced(Rule::Closed) => Err(VoidReason::Closed),
            Some(router) if !router.is_next(batch.sequence) && is_enforced(Rule::Sequence) => {
                Err(VoidReason::Sequence)
            }
            Some(router) => {
                router.sequence = batch.sequence;
                router.at = self.at;
                Ok(())
            }
        }
    }

    /// Admits an incarnation's first batch, which must open it.
    ///
    /// A late duplicate of a closed incarnation's first batch would reopen it, draw budget for it and close the router
    /// that now runs on its VM. The ids of closed incarnations therefore never expire: at a few hundred restarts a day
    /// they take a few kilobytes a day.
    fn admit_first(&mut self, batch: &Batch) -> Result<(), VoidReason> {
        if self.gone.contains(&batch.router) {
            return Err(VoidReason::Closed);
        }
        if batch.sequence != Sequence(1) {
            return Err(VoidReason::Sequence);
        }
        let Some(Record::Open {
            vm,
            domain,
            address,
        }) = batch.records.first()
        else {
            return Err(VoidReason::Closed);
        };
        let state = RouterState::new(vm, domain, address, self.at);
        self.routers.insert(batch.router, state);
        Ok(())
    }

    fn apply_records(&mut self, offset: Offset, batch: &Batch) -> Vec<Verdict> {
        let first = batch.sequence == Sequence(1);
        batch
            .records
            .iter()
            .enumerate()
            .map(|(at, record)| self.apply_record(offset, batch.router, record, first && at == 0))
            .collect()
    }

    /// Applies one record; `is_first` marks the first record of an incarnation's first batch, where it may open it.
    fn apply_record(
        &mut self,
        offset: Offset,
        router: Incarnation,
        record: &Record,
        is_first: bool,
    ) -> Verdict {
        // A router may close itself. Records after that in the same batch are void like those in later batches: no open
        // router would hold the amount of a later draw, so it could not be returned.
        if !self.is_open(router) && is_enforced(Rule::Closed) {
            return Verdict::Void(VoidReason::Closed);
        }
        let result = match record {
            Record::Draw { team, want } => return Verdict::Granted(self.draw(router, team, *want)),
            Record::Open { vm, .. } if is_first => self.open(offset, router, vm),
            Record::Open { .. } => Err(VoidReason::Repeated),
            Record::TopUp { id, team, amount } => self.top_up(id, team, *amount),
            Record::Return { team, amount } => self.return_tokens(router, team, *amount),
            Record::Lend {
                to,
                team,
                amount,
                number,
            } => self.lend(router, *to, team, *amount, *number),
            Record::Claim(claim) => self.claim(router, claim),
            Record::Release { key } => self.release(offset, router, key),
            Record::Refuse { key, attempt } => self.refuse(offset, key, *attempt),
            Record::Bill {
                key,
                amount,
                outcome,
            } => self.bill(offset, router, key, *amount, outcome),
            Record::Close { router } => self.close(offset, *router),
            Record::Lead { pool } => self.lead(offset, router, pool),
            Record::Crash { request, endpoint } => self.crash(*request, endpoint),
            Record::Checkpoint { as_of, first } => self.note_checkpoint(*as_of, *first),
        };
        match result {
            Ok(()) => Verdict::Accepted,
            Err(void) => Verdict::Void(void),
        }
    }
}

impl Ledger {
    /// Records a complete checkpoint, so that both streams may be truncated before it.
    ///
    /// The record of a paused writer may be appended late, or refer to a state that was stale when it was written. The
    /// checkpoint's parts or the ledger records after it may then be truncated already, so both of its offsets must be
    /// higher than those of the newest checkpoint.
    fn note_checkpoint(&mut self, as_of: Offset, first: Offset) -> Result<(), VoidReason> {
        if let Some(newest) = self.checkpoint
            && (as_of <= newest.as_of || first <= newest.first)
        {
            return Err(VoidReason::Repeated);
        }
        if as_of > self.next {
            return Err(VoidReason::Gap);
        }
        let at = self.at;
        self.checkpoint = Some(CheckpointInfo { as_of, first, at });
        Ok(())
    }
}

/// Returns the offset after `offset`. It saturates at the largest offset, which no log reaches.
fn next_offset(offset: Offset) -> Offset {
    Offset(offset.0.saturating_add(1))
}
