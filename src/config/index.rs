//! Lookup indexes for keys, service names and rules.

use std::collections::BTreeSet;
use std::hash::Hash;

use indexmap::IndexMap;

use crate::config::document::Body;
use crate::config::document::Kind;
use crate::config::document::PoolKind;
use crate::config::document::RuleSpec;
use crate::config::rejected::Rejected;
use crate::ids::DocName;
use crate::ids::PoolId;
use crate::ids::TeamId;
use crate::key_hash::KeyHash;

/// The label that holds the client account's name; every request has it.
pub(crate) const ACCOUNT_LABEL: &str = "account";

/// Rule names in evaluation order. A `BTreeSet`, since keeping an `indexmap` set sorted costs time proportional to its
/// size. The content of the rules is in the documents.
type RuleSet = BTreeSet<(u32, DocName)>;

/// Indexes of keys, service names and rules, so that no request scans all documents.
///
/// Rules that select by account are indexed by account. With hundreds of thousands of teams there are as many rules,
/// and evaluating all of them for each request would occupy the single thread for tens of milliseconds; therefore the
/// rules of other accounts are skipped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Index {
    keys: IndexMap<KeyHash, DocName>,
    services: IndexMap<String, DocName>,
    global_rules: RuleSet,
    account_rules: IndexMap<String, RuleSet>,
    team_refs: IndexMap<TeamId, usize>,
    pool_refs: IndexMap<PoolId, usize>,
}

impl Index {
    pub(crate) fn account(&self, key: &KeyHash) -> Option<&DocName> {
        self.keys.get(key)
    }

    /// Returns the first rule, in evaluation order, that matches a request of an account.
    pub(crate) fn route<M>(&self, account: Option<&str>, matches: M) -> Option<&DocName>
    where
        M: Fn(&DocName) -> bool,
    {
        let account_rules = account.and_then(|account| self.account_rules.get(account));
        let candidates = account_rules.into_iter().chain([&self.global_rules]);
        candidates
            .filter_map(|rules| rules.iter().find(|(_, name)| matches(name)))
            .min()
            .map(|(_order, name)| name)
    }

    /// Returns the number of rules that refer to a team.
    pub(crate) fn team_ref_count(&self, team: &TeamId) -> usize {
        self.team_refs.get(team).copied().unwrap_or_default()
    }

    /// Returns the number of rules that refer to a pool.
    pub(crate) fn pool_ref_count(&self, pool: &PoolId) -> usize {
        self.pool_refs.get(pool).copied().unwrap_or_default()
    }

    /// Adds a document that has already passed its own validation.
    ///
    /// # Errors
    ///
    /// If a key or a service name is used by another document, or a key occurs twice in this one. Nothing is added
    /// then.
    pub(crate) fn add(&mut self, name: &DocName, body: &Body) -> Result<(), Rejected> {
        match body {
            Body::Account(account) => self.add_keys(name, &account.keys),
            Body::Pool(pool) => match &pool.kind {
                PoolKind::Service { name: service, .. } => self.add_service(name, service),
                PoolKind::Engine { .. } => Ok(()),
            },
            Body::Rule(rule) => {
                self.add_rule(name, rule);
                Ok(())
            }
            Body::Team(_) => Ok(()),
        }
    }

    /// Removes a document.
    pub(crate) fn remove(&mut self, name: &DocName, body: &Body) {
        match body {
            Body::Account(account) => {
                for hash in account.keys.iter().filter_map(|key| KeyHash::parse(key)) {
                    self.keys.swap_remove(&hash);
                }
            }
            Body::Pool(pool) => {
                if let PoolKind::Service { name: service, .. } = &pool.kind {
                    self.services.swap_remove(service);
                }
            }
            Body::Rule(rule) => self.remove_rule(name, rule),
            Body::Team(_) => {}
        }
    }

    fn add_rule(&mut self, name: &DocName, rule: &RuleSpec) {
        *self.team_refs.entry(rule.team.clone()).or_default() += 1;
        *self.pool_refs.entry(rule.pool.clone()).or_default() += 1;
        let entry = (rule.order, name.clone());
        let Some(accounts) = rule.when.0.get(ACCOUNT_LABEL) else {
            self.global_rules.insert(entry);
            return;
        };
        for account in accounts {
            let rules = self.account_rules.entry(account.clone()).or_default();
            rules.insert(entry.clone());
        }
    }

    fn remove_rule(&mut self, name: &DocName, rule: &RuleSpec) {
        decrement(&mut self.team_refs, &rule.team);
        decrement(&mut self.pool_refs, &rule.pool);
        let entry = (rule.order, name.clone());
        let Some(accounts) = rule.when.0.get(ACCOUNT_LABEL) else {
            self.global_rules.remove(&entry);
            return;
        };
        for account in accounts {
            if let Some(rules) = self.account_rules.get_mut(account) {
                rules.remove(&entry);
            }
            if self
                .account_rules
                .get(account)
                .is_some_and(RuleSet::is_empty)
            {
                self.account_rules.swap_remove(account);
            }
        }
    }

    fn add_keys(&mut self, name: &DocName, keys: &[String]) -> Result<(), Rejected> {
        let hashes: Vec<_> = keys.iter().filter_map(|key| KeyHash::parse(key)).collect();
        for (at, hash) in hashes.iter().enumerate() {
            let own = hashes[..at].contains(hash).then_some(name);
            if let Some(other) = own.or_else(|| self.keys.get(hash)) {
                return Err(Rejected::invalid(
                    format!("{}/{name}.keys[{at}]", Kind::Account),
                    format!("a key of account {other}"),
                    "a key that stands only once in all accounts",
                ));
            }
        }
        let entries = hashes.into_iter().map(|hash| (hash, name.clone()));
        self.keys.extend(entries);
        Ok(())
    }

    fn add_service(&mut self, name: &DocName, service: &str) -> Result<(), Rejected> {
        if let Some(other) = self.services.get(service) {
            return Err(Rejected::invalid(
                format!("{}/{name}.kind.service.name", Kind::Pool),
                format!("{service:?}, which is pool {other}'s"),
                "a name that no other pool has",
            ));
        }
        self.services.insert(service.to_owned(), name.clone());
        Ok(())
    }
}

fn decrement<K>(counts: &mut IndexMap<K, usize>, key: &K)
where
    K: Hash + Eq,
{
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
    }
    if counts.get(key) == Some(&0) {
        counts.swap_remove(key);
    }
}
