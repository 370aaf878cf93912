//! The grants as one router knows them.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::escrow::record::GrantKey;
use crate::escrow::record::GrantRow;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::moment::ClockReading;
use crate::tokens::Tokens;

/// A new grant of one team's budget to this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GrantChange {
    /// The team whose budget is granted.
    pub(crate) team: TeamId,
    /// The new grant.
    pub(crate) row: GrantRow,
}

/// Records to append on the condition that the partition ends at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Proposal {
    /// The offset that the first record must have.
    pub(crate) at: Offset,
    /// The records, of which all or none are appended.
    pub(crate) records: Vec<(GrantKey, GrantRow)>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    row: GrantRow,
    offset: Offset,
}

/// One team's grants, with the sums that each waiting request needs. Computing them each time, over the grants of two
/// hundred routers and of all dead incarnations, took a tenth of a router's processor.
#[derive(Clone, Debug, Default)]
struct TeamGrants {
    rows: IndexMap<(VmId, Incarnation), Entry>,
    /// What all incarnations but this one may spend, in tokens. Wide enough for any sum of records, so that each can be
    /// subtracted again.
    granted_to_others: u128,
    /// What those are known to have spent, in tokens.
    spent_by_others: u128,
}

impl TeamGrants {
    /// Inserts the newest record of an incarnation.
    fn put(&mut self, holder: (VmId, Incarnation), entry: Entry, own: bool) {
        let new = entry.row;
        let old = self.rows.insert(holder, entry).map(|old| old.row);
        let old = old.unwrap_or_default();
        if !own {
            self.granted_to_others += u128::from(new.granted.0);
            self.granted_to_others -= u128::from(old.granted.0);
            self.spent_by_others += u128::from(new.spent.0);
            self.spent_by_others -= u128::from(old.spent.0);
        }
    }
}

/// The grants that were read, and the one append of this router that may be pending.
///
/// An append whose answer was lost may still take effect seconds later, as long as its condition holds. Until the
/// partition is known to have advanced past that offset, what the append gives up counts as given up, and what it takes
/// counts as not taken.
#[derive(Clone, Debug)]
pub(crate) struct GrantState {
    vm: VmId,
    me: Incarnation,
    /// The offset after the last applied record; `None` before the first read.
    end: Option<Offset>,
    teams: IndexMap<TeamId, TeamGrants>,
    /// The grants of earlier incarnations on this VM.
    earlier_incarnations: IndexSet<(TeamId, Incarnation)>,
    pending: Option<Proposal>,
    /// Whether an answer to the pending append was lost, so that it may still take effect.
    uncertain: bool,
}

impl GrantState {
    /// Creates an empty state for an incarnation of the router on a VM.
    pub(crate) fn new(vm: VmId, me: Incarnation) -> Self {
        Self {
            vm,
            me,
            end: None,
            teams: IndexMap::new(),
            earlier_incarnations: IndexSet::new(),
            pending: None,
            uncertain: false,
        }
    }

    /// Returns the offset up to which the partition is known; `None` before the first read.
    pub(crate) fn end(&self) -> Option<Offset> {
        self.end
    }

    /// Returns whether a grant belongs to this incarnation.
    pub(crate) fn is_own(&self, key: &GrantKey) -> bool {
        key.router == self.me
    }

    /// Returns the append whose outcome is not known.
    pub(crate) fn pending(&self) -> Option<&Proposal> {
        self.pending.as_ref()
    }

    /// Applies a record that was read. Records may come in any order; one that is older than the known record of its
    /// key is ignored.
    pub(crate) fn apply(&mut self, offset: Offset, key: &GrantKey, row: GrantRow) {
        let holder = (key.vm.clone(), key.router);
        let own = self.is_own(key);
        let grants = self.teams.entry(key.team.clone()).or_default();
        let old = grants.rows.get(&holder);
        if old.is_some_and(|old| old.offset >= offset) {
            return;
        }
        grants.put(holder, Entry { row, offset }, own);
        if key.vm == self.vm && !own {
            self.earlier_incarnations
                .insert((key.team.clone(), key.router));
        }
    }

    /// Records that everything before an offset has been applied. A pending append at a lower offset is settled: it is
    /// among those records or will never take effect.
    pub(crate) fn advance(&mut self, end: Offset) {
        self.end = self.end.max(Some(end));
        if self.pending.as_ref().is_some_and(|p| p.at < end) {
            self.pending = None;
        }
    }

    /// Proposes new grants to this router, and returns what earlier incarnations on its VM cannot have used before this
    /// one began at `start`. Proposes nothing while an earlier proposal is not settled, before the first read of the
    /// partition, or if the sum would exceed a team's `prepaid`.
    pub(crate) fn propose<F>(
        &mut self,
        changes: Vec<GrantChange>,
        start: &ClockReading,
        prepaid: F,
    ) -> Option<Proposal>
    where
        F: Fn(&TeamId) -> Tokens,
    {
        let at = self.end?;
        let fits = |change: &GrantChange| {
            let others = self.granted_to_others(&change.team);
            others.saturating_add(change.row.granted) <= prepaid(&change.team)
                || change.row.granted <= self.granted(&change.team)
        };
        let reclaimable = self.reclaimable(start);
        let idle = changes.is_empty() && reclaimable.is_empty();
        if self.pending.is_some() || idle || !changes.iter().all(fits) {
            return None;
        }
        let records = changes
            .into_iter()
            .map(|change| (self.key(change.team), change.row));
        let proposal = Proposal {
            at,
            records: records.chain(reclaimable).collect(),
        };
        self.pending = Some(proposal.clone());
        self.uncertain = false;
        Some(proposal)
    }

    /// Handles the log's confirmation that the pending proposal was appended, and returns the proposal's records.
    pub(crate) fn confirm(&mut self, at: Offset) -> Vec<(GrantKey, GrantRow)> {
        let Some(pending) = self.pending.take_if(|p| p.at == at) else {
            return Vec::new();
        };
        let mut next = at;
        for (key, row) in &pending.records {
            self.apply(next, key, *row);
            next = Offset(next.0 + 1);
        }
        self.advance(next);
        pending.records
    }

    /// Records that it is unknown whether the pending proposal was appended.
    pub(crate) fn mark_uncertain(&mut self, at: Offset) {
        self.uncertain |= self.pending.as_ref().is_some_and(|p| p.at == at);
    }

    /// Handles the log's answer that it did not append the pending proposal. If an earlier answer about it was lost,
    /// that earlier append may still take effect, and the proposal stays pending.
    pub(crate) fn reject(&mut self, at: Offset) {
        if !self.uncertain {
            self.pending.take_if(|p| p.at == at);
        }
    }

    /// Forgets how far the partition was read: the log has deleted records that were not read, and all grants must be
    /// read again.
    pub(crate) fn restart(&mut self) {
        self.end = None;
    }

    /// Returns what this incarnation may spend of a team's budget in total, whatever the outcome of the pending append.
    pub(crate) fn granted(&self, team: &TeamId) -> Tokens {
        let current = self.row(team).granted;
        match self.proposed(team) {
            Some(row) => current.min(row.granted),
            None => current,
        }
    }

    /// Returns how much of its grant of a team's budget this incarnation may have in use at a moment, whatever the
    /// outcome of the pending append.
    pub(crate) fn usable_at(&self, team: &TeamId, at: &ClockReading) -> Tokens {
        let current = self.row(team).usable_at(at);
        match self.proposed(team) {
            Some(row) => current.min(row.usable_at(at)),
            None => current,
        }
    }

    /// Returns the grants of earlier incarnations on this VM, reduced to what they can have used before this one began
    /// at `start`.
    ///
    /// The incarnation that wrote such a grant is over, or this one would not run on its VM. An append of it that is
    /// still in flight either takes effect before this one's, which then fails its condition and is computed again, or
    /// never takes effect.
    fn reclaimable(&self, start: &ClockReading) -> Vec<(GrantKey, GrantRow)> {
        let mut reclaimable = Vec::new();
        for (team, router) in &self.earlier_incarnations {
            let row = self.row_of(team, *router);
            let max_spent = row.usable_at(start);
            if max_spent >= row.granted {
                continue;
            }
            let key = GrantKey {
                vm: self.vm.clone(),
                router: *router,
                team: team.clone(),
            };
            // The pace stays as it is: more is returned once more clocks show how little time passed.
            let row = GrantRow {
                granted: max_spent,
                ..row
            };
            reclaimable.push((key, row));
        }
        reclaimable
    }

    /// Returns the most that this incarnation's grant may be, whatever the outcome of the pending append.
    fn max_granted(&self, team: &TeamId) -> Tokens {
        let current = self.row(team).granted;
        match self.proposed(team) {
            Some(row) => current.max(row.granted),
            None => current,
        }
    }

    /// Returns what all other incarnations may spend of a team's budget.
    pub(crate) fn granted_to_others(&self, team: &TeamId) -> Tokens {
        let grants = self.teams.get(team);
        grants.map_or(Tokens::ZERO, |grants| narrow(grants.granted_to_others))
    }

    /// Returns what all other incarnations are known to have spent; they may have spent more.
    pub(crate) fn spent_by_others(&self, team: &TeamId) -> Tokens {
        let grants = self.teams.get(team);
        grants.map_or(Tokens::ZERO, |grants| narrow(grants.spent_by_others))
    }

    /// Returns what is granted to nobody.
    pub(crate) fn undrawn(&self, team: &TeamId, prepaid: Tokens) -> Tokens {
        let held = self
            .granted_to_others(team)
            .saturating_add(self.max_granted(team));
        prepaid.saturating_sub(held)
    }

    /// Returns this incarnation's grant as it stands in the log.
    pub(crate) fn row(&self, team: &TeamId) -> GrantRow {
        self.row_of(team, self.me)
    }

    fn proposed(&self, team: &TeamId) -> Option<GrantRow> {
        let pending = self.pending.as_ref()?;
        let own = |key: &GrantKey| self.is_own(key) && key.team == *team;
        let record = pending.records.iter().find(|(key, _)| own(key));
        record.map(|(_, row)| *row)
    }

    /// Returns the grant of an incarnation on this VM as it stands in the log.
    fn row_of(&self, team: &TeamId, router: Incarnation) -> GrantRow {
        let holder = (self.vm.clone(), router);
        let grants = self.teams.get(team);
        let entry = grants.and_then(|grants| grants.rows.get(&holder));
        entry.map_or_else(GrantRow::default, |entry| entry.row)
    }

    fn key(&self, team: TeamId) -> GrantKey {
        GrantKey {
            vm: self.vm.clone(),
            router: self.me,
            team,
        }
    }
}

/// Returns a sum of tokens, or the largest amount if it is larger.
fn narrow(sum: u128) -> Tokens {
    Tokens(u64::try_from(sum).unwrap_or(u64::MAX))
}
