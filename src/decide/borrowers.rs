//! How much demand stands behind questions for loans.
//!
//! Answers owners of a budget that are asked the same thing again and again: a question is repeated when no answer came, goes to
//! the next owner when one had too little, and owners ask each other on behalf of those that asked them. Each question counted
//! as demand, the believed demand grows without bound, and with it what is drawn, promised, rationed and asked for ahead.
//! Here a borrower tells with each question all that its own callers have asked for so far, and only what is new counts.

use std::hash::BuildHasherDefault;

use indexmap::IndexMap;

use crate::decide::hasher::FastHasher;
use crate::ids::Incarnation;
use crate::tokens::Tokens;

/// How many borrowers are remembered: some fleets' lifetimes over.
const MAX_BORROWERS: usize = 4096;

/// What borrowers' callers have asked for, as far as they told.
#[derive(Clone, Debug, Default)]
pub struct BorrowerDemand {
    asked: IndexMap<Incarnation, Tokens, BuildHasherDefault<FastHasher>>,
}

impl BorrowerDemand {
    /// Takes in all that a borrower's callers have asked for so far, and returns how much of it is new: of one that asks for the
    /// first time, no more than the amount of its question.
    pub fn record(&mut self, borrower: Incarnation, asked: Tokens, amount: Tokens) -> Tokens {
        let old = self.asked.insert(borrower, asked);
        if self.asked.len() > MAX_BORROWERS {
            self.asked.swap_remove_index(0);
        }
        match old {
            // An old question that comes late.
            Some(old) if old > asked => {
                self.asked.insert(borrower, old);
                Tokens::ZERO
            }
            Some(old) => asked - old,
            None => asked.min(amount),
        }
    }
}
