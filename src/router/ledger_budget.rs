//! What a router can still reserve of a team's budget.

use std::collections::VecDeque;

use crate::ids::RequestId;
use crate::tokens::Tokens;

/// A team's budget as this router sees it: what the ledger says that it holds, less what it has promised since.
///
/// The ledger's word is as old as the last record folded. Reserving from that alone would promise the same tokens to
/// each request that arrives within a commit interval; so what was promised, and what was billed below its
/// reservation, is counted here until its record is folded.
#[derive(Debug, Default)]
pub(crate) struct LedgerBudget {
    /// Reserved, or on its way back to the team, by records that are not folded.
    pending_debit: Tokens,
    /// Freed by bills that are not folded.
    pending_credit: Tokens,
    /// Requests that wait for budget, oldest first.
    pub(crate) waiting: VecDeque<RequestId>,
    /// Whether a draw is on its way to the log.
    pub(crate) drawing: bool,
}

impl LedgerBudget {
    /// Returns what can be reserved when the ledger says that `free` is held.
    pub(crate) fn available(&self, free: Tokens) -> Tokens {
        free.saturating_add(self.pending_credit)
            .saturating_sub(self.pending_debit)
    }

    /// Counts a promise whose record is not folded.
    pub(crate) fn debit(&mut self, amount: Tokens) {
        self.pending_debit += amount;
    }

    /// Ends a promise: its record is folded, or it will never be sent.
    pub(crate) fn end_debit(&mut self, amount: Tokens) {
        self.pending_debit -= amount;
    }

    /// Counts what a bill frees that is not folded.
    pub(crate) fn credit(&mut self, amount: Tokens) {
        self.pending_credit += amount;
    }

    /// Ends a credit: its bill is folded.
    pub(crate) fn end_credit(&mut self, amount: Tokens) {
        self.pending_credit -= amount;
    }

    /// Returns whether nothing is in motion.
    pub(crate) fn is_settled(&self) -> bool {
        let settled = self.pending_debit == Tokens::ZERO && self.pending_credit == Tokens::ZERO;
        settled && self.waiting.is_empty() && !self.drawing
    }
}
