//! A second count of the ledger, made from what became of each record and compared with the fold's own sums.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids::RequestKey;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::ledger::Batch;
use crate::ledger::KEY_MEMORY;
use crate::ledger::Ledger;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::log_client::LogRecord;
use crate::tokens::Tokens;

/// A second count of the ledger.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    pub(crate) ledger: Ledger,
    /// Records that could not be read.
    pub(crate) skipped: u64,
    /// What must not be, as found.
    pub(crate) violations: Vec<String>,
    topups: IndexSet<(TeamId, TopUpId)>,
    prepaid: IndexMap<TeamId, Tokens>,
    billed: IndexMap<TeamId, Tokens>,
    bills: IndexMap<RequestKey, u64>,
    once: IndexSet<RequestKey>,
}

impl Audit {
    /// Folds one record of the stream.
    pub(crate) fn apply(&mut self, record: &LogRecord) {
        let Ok(batch) = crate::ledger::decode(&record.data) else {
            self.skipped += 1;
            self.ledger.skip(record.offset);
            return;
        };
        let verdicts = self.ledger.apply(record.offset, record.at, &batch);
        self.count(record, &batch, &verdicts);
        self.check_teams(record);
    }

    /// Compares the sums; to be called after the last record.
    pub(crate) fn close(&mut self) {
        let mut found = Vec::new();
        for (team, state) in self.ledger.teams() {
            let none = Tokens::ZERO;
            let prepaid = self.prepaid.get(team).copied().unwrap_or(none);
            let billed = self.billed.get(team).copied().unwrap_or(none);
            if prepaid != state.prepaid {
                let fold = state.prepaid;
                found.push(format!(
                    "team {team}: top-ups add up to {prepaid}, the fold says {fold}"
                ));
            }
            if billed != state.spent {
                let fold = state.spent;
                found.push(format!(
                    "team {team}: bills add up to {billed}, the fold says {fold}"
                ));
            }
        }
        self.violations.extend(found);
    }

    fn count(&mut self, record: &LogRecord, batch: &Batch, verdicts: &[Verdict]) {
        let accepted = batch.records.iter().zip(verdicts);
        for (entry, _) in accepted.filter(|(_, verdict)| **verdict == Verdict::Accepted) {
            match entry {
                Record::TopUp { id, team, amount } => self.top_up(id, team, *amount),
                Record::Bill { key, .. } => self.bill(record.at, key),
                Record::Claim(claim) if !claim.idempotent => self.claim_once(record, &claim.key),
                Record::Release { key } => {
                    self.once.swap_remove(key);
                }
                _ => {}
            }
        }
    }

    fn top_up(&mut self, id: &TopUpId, team: &TeamId, amount: Tokens) {
        if !self.topups.insert((team.clone(), id.clone())) {
            let text = format!("team {team}: top-up {id} was added twice");
            self.violations.push(text);
        }
        let sum = self.prepaid.entry(team.clone()).or_default();
        *sum = sum.saturating_add(amount);
    }

    /// Counts a request's bill once. What a later run of it used is lost or given back; it is no second bill. After the
    /// ledger forgot a key, it stands for another request.
    fn bill(&mut self, at: u64, key: &RequestKey) {
        let before = self.bills.get(key).copied();
        if before.is_some_and(|before| at <= before + KEY_MEMORY) {
            return;
        }
        let Some(bill) = self.ledger.key(key).and_then(|state| state.bill.as_ref()) else {
            self.violations
                .push(format!("request {key}: its bill was accepted and is gone"));
            return;
        };
        *self.billed.entry(bill.team.clone()).or_default() += bill.amount;
        self.bills.insert(key.clone(), at);
    }

    fn claim_once(&mut self, record: &LogRecord, key: &RequestKey) {
        if !self.once.insert(key.clone()) {
            let offset = record.offset;
            let text =
                format!("request {key}: claimed twice though it may not run twice, at {offset}");
            self.violations.push(text);
        }
    }

    fn check_teams(&mut self, record: &LogRecord) {
        for (team, state) in self.ledger.teams() {
            let used = state.spent.saturating_add(state.lost);
            let used = used.saturating_add(state.held());
            if used > state.prepaid {
                let prepaid = state.prepaid;
                let offset = record.offset;
                let text = format!("team {team}: {used} of {prepaid} allotted, at {offset}");
                self.violations.push(text);
            }
        }
    }
}
