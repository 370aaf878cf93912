//! Consistency check of a ledger's balances.

use indexmap::IndexMap;

use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::ledger::fold::Ledger;
use crate::tokens::Tokens;

impl Ledger {
    /// Checks that the holdings and reservations of every team add up.
    ///
    /// The rules of the fold preserve this. A checkpoint from the network may be damaged in a way that its checksum
    /// does not detect; a router that restored it would overspend or panic at the first subtraction.
    ///
    /// # Errors
    ///
    /// Returns a team whose holdings differ from the recorded sum, exceed its unused prepaid amount, or differ in their
    /// claimed part from what open claims reserve.
    pub fn check_balances(&self) -> Result<(), TeamId> {
        let mut held: IndexMap<&TeamId, u128> = IndexMap::new();
        for (id, holding) in self.routers.values().flat_map(|r| &r.holdings) {
            *held.entry(id).or_default() += widen(holding.free) + widen(holding.claimed);
        }
        for (id, team) in &self.teams {
            let sum = held.swap_remove(id).unwrap_or_default();
            let used = widen(team.spent) + widen(team.lost) + sum;
            if sum != widen(team.held()) || used > widen(team.prepaid) {
                return Err(id.clone());
            }
        }
        // A holding of a team that was never topped up has no budget behind it.
        if let Some((id, _)) = held.first() {
            return Err((*id).clone());
        }
        self.check_reservations()
    }

    /// Checks that the claimed part of each holding equals the sum that its open claims reserve.
    fn check_reservations(&self) -> Result<(), TeamId> {
        let mut claimed: IndexMap<(Incarnation, &TeamId), u128> = IndexMap::new();
        for claim in self.keys.values().filter_map(|key| key.claim.as_ref()) {
            let sum = claimed.entry((claim.router, &claim.team)).or_default();
            *sum += widen(claim.reserved);
        }
        for (router, state) in &self.routers {
            for (team, holding) in &state.holdings {
                let sum = claimed.swap_remove(&(*router, team)).unwrap_or_default();
                if sum != widen(holding.claimed) {
                    return Err(team.clone());
                }
            }
        }
        match claimed.iter().find(|(_, sum)| **sum > 0) {
            Some(((_, team), _)) => Err((*team).clone()),
            None => Ok(()),
        }
    }
}

fn widen(amount: Tokens) -> u128 {
    u128::from(amount.0)
}
