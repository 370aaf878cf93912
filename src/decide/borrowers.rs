//! Caller demand behind loan requests.
//!
//! Owners of a budget receive the same loan request repeatedly: it is retried when no answer arrives, sent to the next
//! owner when one has too few tokens, and owners ask each other on behalf of their borrowers. If each request counted
//! as demand, the estimated demand would grow without bound, and with it the amounts that are drawn, committed,
//! rationed and requested in advance. Here a borrower reports with each request the total that its own callers have
//! asked for so far, and only the increase counts.

use std::hash::BuildHasherDefault;

use indexmap::IndexMap;

use crate::decide::hasher::FastHasher;
use crate::ids::Incarnation;
use crate::tokens::Tokens;

/// Number of borrowers remembered: enough for several generations of a whole fleet.
const MAX_BORROWERS: usize = 4096;

/// Total demand of the callers of each borrower, as last reported.
#[derive(Clone, Debug, Default)]
pub struct BorrowerDemand {
    asked: IndexMap<Incarnation, Tokens, BuildHasherDefault<FastHasher>>,
}

impl BorrowerDemand {
    /// Records the total that a borrower's callers have asked for so far, and returns the increase. For a borrower's
    /// first request, this is at most the requested amount.
    pub fn record(&mut self, borrower: Incarnation, asked: Tokens, amount: Tokens) -> Tokens {
        let old = self.asked.insert(borrower, asked);
        if self.asked.len() > MAX_BORROWERS {
            self.asked.swap_remove_index(0);
        }
        match old {
            // A delayed older request.
            Some(old) if old > asked => {
                self.asked.insert(borrower, old);
                Tokens::ZERO
            }
            Some(old) => asked - old,
            None => asked.min(amount),
        }
    }
}
