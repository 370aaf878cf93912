//! The arithmetic of what a router may still reserve.

use quickcheck::quickcheck;

use crate::router::ledger_budget::LedgerBudget;
use crate::tokens::Tokens;

quickcheck! {
    /// Promises and credits come and go in any order; what is left when all have gone is what the ledger says, and in
    /// between it is never more than the ledger's word and the credits together.
    fn what_goes_in_comes_out(free: u32, steps: Vec<(bool, u16)>) -> bool {
        let free = Tokens(u64::from(free));
        let mut purse = LedgerBudget::default();
        let mut promised = Tokens::ZERO;
        let mut credit = Tokens::ZERO;
        for (is_credit, amount) in &steps {
            let amount = Tokens(u64::from(*amount));
            match is_credit {
                true => { purse.credit(amount); credit += amount; }
                false => { purse.debit(amount); promised += amount; }
            }
            let right = free.saturating_add(credit).saturating_sub(promised);
            if purse.available(free) != right {
                return false;
            }
        }
        for (is_credit, amount) in steps.iter().rev() {
            let amount = Tokens(u64::from(*amount));
            match is_credit {
                true => purse.end_credit(amount),
                false => purse.end_debit(amount),
            }
        }
        purse.available(free) == free && purse.is_settled()
    }
}
