//! Whether a ledger adds up.

use indexmap::IndexMap;

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
    /// Names a team whose holdings are not what is noted of them, or exceed what it prepaid and has not used.
    pub fn check_sums(&self) -> Result<(), TeamId> {
        let mut held: IndexMap<&TeamId, u128> = IndexMap::new();
        for (id, holding) in self.routers.values().flat_map(|r| &r.holdings) {
            *held.entry(id).or_default() += wide(holding.free) + wide(holding.claimed);
        }
        for (id, team) in &self.teams {
            let sum = held.swap_remove(id).unwrap_or_default();
            let used = wide(team.spent) + wide(team.lost) + sum;
            if sum != wide(team.held()) || used > wide(team.prepaid) {
                return Err(id.clone());
            }
        }
        // What is held of a team that nobody topped up was made of nothing.
        match held.first() {
            Some((id, _)) => Err((*id).clone()),
            None => Ok(()),
        }
    }
}

fn wide(amount: Tokens) -> u128 {
    u128::from(amount.0)
}
