//! What must hold in every state of the model.

use crate::ledger::tests::records::key;
use crate::ledger::tests::world::World;

impl World {
    pub(in crate::ledger::tests) fn broken(&self) -> Option<&'static str> {
        let teams = || self.ledger.teams().map(|(_, team)| team);
        let (spent, over) = (
            teams().map(|t| t.spent.0).sum::<u64>(),
            teams().any(|t| t.prepaid.0 > self.prepaid),
        );
        let bills = self.ledger.keys().filter(|(_, k)| k.bill.is_some()).count() as u64;
        let closed = self.ledger.routers().filter(|(_, r)| r.closed);
        let rerun = |at: &usize| self.ran.iter().any(|ran| self.is_covered(*at, *ran));
        if self.ledger.check_balances().is_err() || over {
            Some("a team was allotted more than it prepaid")
        } else if closed.into_iter().any(|(_, r)| !r.holdings.is_empty()) {
            Some("a closed router holds tokens")
        } else if self.once && self.ran.len() > 1 {
            Some("a non-idempotent request ran more than once")
        } else if self.told.iter().any(rerun) {
            Some("a request that was reported as not run has run")
        } else if spent > bills {
            Some("a request was billed twice")
        } else if self.ended.iter().any(|at| !self.is_billed(*at)) {
            Some("an answer ended without its bill")
        } else {
            None
        }
    }

    /// Whether the answer "not run" to attempt `told` covers attempt `ran`: it covers itself and all earlier ones.
    fn is_covered(&self, told: usize, ran: usize) -> bool {
        self.tries[told].key == self.tries[ran].key && ran <= told
    }

    pub(super) fn is_billed(&self, attempt: usize) -> bool {
        let state = self.ledger.key(&key(self.tries[attempt].key));
        state.is_some_and(|state| state.bill.is_some())
    }
}
