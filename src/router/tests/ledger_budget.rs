//! The arithmetic of [`LedgerBudget`]: what a router may still reserve.

use quickcheck::quickcheck;

use crate::router::ledger_budget::LedgerBudget;
use crate::tokens::Tokens;

quickcheck! {
    /// Debits and credits begin and end in any order. In between, the available amount never exceeds the ledger's
    /// amount plus the credits; once all have ended it equals the ledger's amount.
    fn ended_debits_and_credits_cancel_out(free: u32, steps: Vec<(bool, u16)>) -> bool {
        let free = Tokens(u64::from(free));
        let mut budget = LedgerBudget::default();
        let mut debited = Tokens::ZERO;
        let mut credited = Tokens::ZERO;
        for (is_credit, amount) in &steps {
            let amount = Tokens(u64::from(*amount));
            match is_credit {
                true => { budget.credit(amount); credited += amount; }
                false => { budget.debit(amount); debited += amount; }
            }
            let expected = free.saturating_add(credited).saturating_sub(debited);
            if budget.available(free) != expected {
                return false;
            }
        }
        for (is_credit, amount) in steps.iter().rev() {
            let amount = Tokens(u64::from(*amount));
            match is_credit {
                true => budget.end_credit(amount),
                false => budget.end_debit(amount),
            }
        }
        budget.available(free) == free && budget.is_settled()
    }
}
