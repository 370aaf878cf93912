//! Interning of names after decoding.
//!
//! Decoding allocates each occurrence of a name separately. Many requests refer to few accounts and teams; without
//! interning, a restored ledger would take several times the memory of the ledger that was written.

use indexmap::IndexSet;

use crate::ids::AccountId;
use crate::ids::RequestKey;
use crate::ledger::fold::Ledger;

impl Ledger {
    /// Makes equal names share one allocation.
    pub(super) fn intern_names(&mut self) {
        self.intern_keys();
        self.intern_teams();
    }

    fn intern_keys(&mut self) {
        let mut accounts = IndexSet::new();
        let keys = std::mem::take(&mut self.keys);
        self.keys = keys
            .into_iter()
            .map(|(key, state)| (intern_account(&mut accounts, key), state))
            .collect();
        let keys = &self.keys;
        self.expiry.intern_keys(|key| {
            if let Some((_, shared, _)) = keys.get_full(key) {
                *key = shared.clone();
            }
        });
    }

    fn intern_teams(&mut self) {
        let teams = &self.teams;
        let claims = self.keys.values_mut().flat_map(|key| {
            let claim = key.claim.as_mut().map(|claim| &mut claim.team);
            let bill = key.bill.as_mut().map(|bill| &mut bill.team);
            claim.into_iter().chain(bill)
        });
        for team in claims {
            if let Some((_, shared, _)) = teams.get_full(team) {
                *team = shared.clone();
            }
        }
    }
}

fn intern_account(accounts: &mut IndexSet<AccountId>, key: RequestKey) -> RequestKey {
    let (at, _) = accounts.insert_full(key.account);
    RequestKey {
        account: accounts[at].clone(),
        key: key.key,
    }
}
