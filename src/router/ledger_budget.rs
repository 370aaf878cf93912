//! What a router can still reserve of a team's budget that is kept by the ledger.

use std::collections::VecDeque;

use crate::ids::RequestId;
use crate::tokens::Tokens;

/// A team's budget as this router sees it: what it holds according to the ledger, corrected by what is not folded yet.
///
/// The ledger's state is as old as the last folded record. Reserving from that alone would give the same tokens to
/// every request that arrives within a commit interval. What was reserved since, and what was billed below its
/// reservation, is therefore counted here until its record is folded.
#[derive(Debug, Default)]
pub(crate) struct LedgerBudget {
    /// Reserved, or being returned to the team, by records that are not folded yet.
    pending_debit: Tokens,
    /// Freed by bills that are not folded yet.
    pending_credit: Tokens,
    /// Requests that wait for budget, oldest first.
    pub(crate) waiting: VecDeque<RequestId>,
    /// Whether a draw is pending at the log.
    pub(crate) drawing: bool,
}

impl LedgerBudget {
    /// Returns what can be reserved when `free` is held according to the ledger.
    pub(crate) fn available(&self, free: Tokens) -> Tokens {
        free.saturating_add(self.pending_credit)
            .saturating_sub(self.pending_debit)
    }

    /// Counts a reservation or a return whose record is not folded yet.
    pub(crate) fn debit(&mut self, amount: Tokens) {
        self.pending_debit += amount;
    }

    /// Ends a debit: its record is folded, or will never be sent.
    pub(crate) fn end_debit(&mut self, amount: Tokens) {
        self.pending_debit -= amount;
    }

    /// Counts what is freed by a bill that is not folded yet.
    pub(crate) fn credit(&mut self, amount: Tokens) {
        self.pending_credit += amount;
    }

    /// Ends a credit: its bill is folded.
    pub(crate) fn end_credit(&mut self, amount: Tokens) {
        self.pending_credit -= amount;
    }

    /// Returns whether no amount, request or draw is pending.
    pub(crate) fn is_settled(&self) -> bool {
        let settled = self.pending_debit == Tokens::ZERO && self.pending_credit == Tokens::ZERO;
        settled && self.waiting.is_empty() && !self.drawing
    }
}
