//! Whether a ledger adds up.

use indexmap::IndexMap;

use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::ledger::fold::Ledger;
use crate::tokens::Tokens;

impl Ledger {
    /// Tells which sum of the ledger does not add up, if one does not.
    ///
    /// The fold keeps the sums by its rules. What came over the network in a checkpoint may be damaged in a way that its
    /// checksum does not show, and a router that took it would overspend or stop at the first subtraction.
    ///
    /// # Errors
    ///
    /// Names a team whose holdings are not what is noted of them, exceed what it prepaid and has not used, or have
    /// another amount set apart than the open claims reserve.
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
        // What is held of a team that nobody topped up was made of nothing.
        if let Some((id, _)) = held.first() {
            return Err((*id).clone());
        }
        self.check_reservations()
    }

    /// Tells whether each holding has set apart what the open claims on it reserve, and no more.
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
