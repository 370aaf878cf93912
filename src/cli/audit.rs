//! An independent count of the ledger, derived from the verdict on each record and compared with the sums of the fold.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids::RequestKey;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::ledger;
use crate::ledger::Batch;
use crate::ledger::Ledger;
use crate::ledger::Record;
use crate::ledger::TeamState;
use crate::ledger::Verdict;
use crate::log_client::LogRecord;
use crate::tokens::Tokens;

/// An independent count of the ledger.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    pub(crate) ledger: Ledger,
    /// The violations that were found.
    pub(crate) violations: Vec<String>,
    topups: IndexSet<(TeamId, TopUpId)>,
    prepaid: IndexMap<TeamId, Tokens>,
    billed: IndexMap<TeamId, Tokens>,
    /// When each request was last billed.
    bills: IndexMap<RequestKey, u64>,
    /// When each non-idempotent request was claimed.
    once: IndexMap<RequestKey, u64>,
}

impl Audit {
    /// Continues from a checkpoint, whose sums can't be verified.
    pub(crate) fn resume(ledger: Ledger) -> Self {
        let sums = |sum: fn(&TeamState) -> Tokens| {
            let teams = ledger.teams();
            teams
                .map(|(team, state)| (team.clone(), sum(state)))
                .collect()
        };
        Self {
            prepaid: sums(|team| team.prepaid),
            billed: sums(|team| team.spent),
            ledger,
            ..Self::default()
        }
    }

    /// Folds one record of the stream.
    pub(crate) fn apply(&mut self, record: &LogRecord) {
        let Ok(batch) = ledger::decode(&record.data) else {
            self.ledger.skip(record.offset);
            return;
        };
        let mut known = self.billed_of(&batch);
        let verdicts = self.ledger.apply(record.offset, record.at, &batch);
        let accepted = batch.records.iter().zip(&verdicts);
        for (entry, _) in accepted.filter(|(_, verdict)| **verdict == Verdict::Accepted) {
            match entry {
                Record::TopUp { id, team, amount } => self.top_up(id, team, *amount),
                Record::Bill { key, .. } => self.bill(record, key, known.insert(key.clone())),
                Record::Claim(claim) if !claim.idempotent => self.claim_once(record, &claim.key),
                Record::Release { key } => {
                    self.once.swap_remove(key);
                }
                _ => {}
            }
        }
    }

    /// Compares the sums after the last record.
    pub(crate) fn check(&mut self) {
        if let Err(team) = self.ledger.check_balances() {
            let next = self.ledger.next();
            let text = format!("team {team}: its holdings do not add up before record {next}");
            self.violations.push(text);
        }
        let mut found = Vec::new();
        for (team, state) in self.ledger.teams() {
            compare("top-ups", team, &self.prepaid, state.prepaid, &mut found);
            compare("bills", team, &self.billed, state.spent, &mut found);
        }
        self.violations.append(&mut found);
    }

    /// Returns the requests of a batch for which the ledger already had a bill.
    fn billed_of(&self, batch: &Batch) -> IndexSet<RequestKey> {
        let keys = batch.records.iter().filter_map(|record| match record {
            Record::Bill { key, .. } => Some(key),
            _ => None,
        });
        let billed = |key: &&RequestKey| self.ledger.key(key).is_some_and(|k| k.bill.is_some());
        keys.filter(billed).cloned().collect()
    }

    fn top_up(&mut self, id: &TopUpId, team: &TeamId, amount: Tokens) {
        if !self.topups.insert((team.clone(), id.clone())) {
            let text = format!("team {team}: top-up {id} was added twice");
            self.violations.push(text);
        }
        let sum = self.prepaid.entry(team.clone()).or_default();
        *sum = sum.saturating_add(amount);
    }

    /// Counts the first bill of a request. What a later run of it used is lost or returned, and is not billed again.
    fn bill(&mut self, record: &LogRecord, key: &RequestKey, first: bool) {
        let before = self.bills.insert(key.clone(), record.at);
        if !first {
            return;
        }
        if is_remembered(before, record.at) {
            let text = format!("request {key}: billed twice, at {}", record.offset);
            self.violations.push(text);
        }
        match self.ledger.key(key).and_then(|state| state.bill.as_ref()) {
            Some(bill) => *self.billed.entry(bill.team.clone()).or_default() += bill.amount,
            None => {
                let text = format!("request {key}: its bill was accepted and is gone");
                self.violations.push(text);
            }
        }
    }

    fn claim_once(&mut self, record: &LogRecord, key: &RequestKey) {
        let before = self.once.insert(key.clone(), record.at);
        if is_remembered(before, record.at) {
            let offset = record.offset;
            let text = format!("request {key}: claimed twice and may not run twice, at {offset}");
            self.violations.push(text);
        }
    }
}

/// Returns whether the ledger still remembers a key. A forgotten key belongs to a new request.
fn is_remembered(before: Option<u64>, now: u64) -> bool {
    before.is_some_and(|before| now <= before + ledger::KEY_RETENTION_MS)
}

fn compare(
    what: &str,
    team: &TeamId,
    sums: &IndexMap<TeamId, Tokens>,
    fold: Tokens,
    found: &mut Vec<String>,
) {
    let sum = sums.get(team).copied().unwrap_or_default();
    if sum != fold {
        let text = format!("team {team}: {what} add up to {sum}, the fold says {fold}");
        found.push(text);
    }
}
