//! What requests are looked up by.

use std::collections::BTreeMap;
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
use crate::labels::Labels;

/// The label that tells whose request it is; each request has it.
const ACCOUNT: &str = "account";

/// Rules in the order in which they are tried. A sorted map, since `indexmap` has none that stays sorted at a cost that
/// does not grow with it.
type Rules = BTreeMap<(u32, DocName), RuleSpec>;

/// Keys, service names and the rules' order, kept beside the documents so that no request searches through them.
///
/// Rules that name accounts are kept by account. With hundreds of thousands of teams there are as many rules; trying all
/// of them for each request would take tens of milliseconds of the one thread, and so those of other accounts are not
/// looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Index {
    keys: IndexMap<KeyHash, DocName>,
    services: IndexMap<String, DocName>,
    common: Rules,
    by_account: IndexMap<String, Rules>,
    teams: IndexMap<TeamId, usize>,
    pools: IndexMap<PoolId, usize>,
}

impl Index {
    pub(crate) fn account(&self, key: &KeyHash) -> Option<&DocName> {
        self.keys.get(key)
    }

    /// Returns the first rule that matches.
    pub(crate) fn route(&self, labels: &Labels) -> Option<(&DocName, &RuleSpec)> {
        let own = labels.get(ACCOUNT).and_then(|a| self.by_account.get(a));
        let own = own.and_then(|rules| first_match(rules, labels));
        let common = first_match(&self.common, labels);
        let first = match (own, common) {
            (Some(a), Some(b)) => Some(if a.0 < b.0 { a } else { b }),
            (a, b) => a.or(b),
        };
        first.map(|((_order, name), rule)| (name, rule))
    }

    /// Returns how many rules let a team pay.
    pub(crate) fn team_uses(&self, team: &TeamId) -> usize {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Returns how many rules send work to a pool.
    pub(crate) fn pool_uses(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// Adds a document that was checked by itself.
    ///
    /// # Errors
    ///
    /// When another document has the same key or service name.
    pub(crate) fn add(&mut self, name: &DocName, body: &Body) -> Result<(), Rejected> {
        match body {
            Body::Account(account) => account
                .keys
                .iter()
                .enumerate()
                .try_for_each(|(at, key)| self.add_key(name, at, key)),
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

    /// Takes a document out.
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
        *self.teams.entry(rule.team.clone()).or_default() += 1;
        *self.pools.entry(rule.pool.clone()).or_default() += 1;
        let place = (rule.order, name.clone());
        let Some(accounts) = rule.when.0.get(ACCOUNT) else {
            self.common.insert(place, rule.clone());
            return;
        };
        for account in accounts {
            let rules = self.by_account.entry(account.clone()).or_default();
            rules.insert(place.clone(), rule.clone());
        }
    }

    fn remove_rule(&mut self, name: &DocName, rule: &RuleSpec) {
        count_down(&mut self.teams, &rule.team);
        count_down(&mut self.pools, &rule.pool);
        let place = (rule.order, name.clone());
        let Some(accounts) = rule.when.0.get(ACCOUNT) else {
            self.common.remove(&place);
            return;
        };
        for account in accounts {
            if let Some(rules) = self.by_account.get_mut(account) {
                rules.remove(&place);
            }
            if self.by_account.get(account).is_some_and(Rules::is_empty) {
                self.by_account.swap_remove(account);
            }
        }
    }

    fn add_key(&mut self, name: &DocName, at: usize, key: &str) -> Result<(), Rejected> {
        let hash = KeyHash::parse(key).unwrap_or_default();
        match self.keys.insert(hash, name.clone()) {
            None => Ok(()),
            Some(other) => Err(Rejected::invalid(
                format!("{}/{name}.keys[{at}]", Kind::Account),
                format!("a key of account {other}"),
                "a key that stands only once in all accounts",
            )),
        }
    }

    fn add_service(&mut self, name: &DocName, service: &str) -> Result<(), Rejected> {
        match self.services.insert(service.to_owned(), name.clone()) {
            None => Ok(()),
            Some(other) => Err(Rejected::invalid(
                format!("{}/{name}.kind.service.name", Kind::Pool),
                format!("{service:?}, which is pool {other}'s"),
                "a name that no other pool has",
            )),
        }
    }
}

fn first_match<'a>(
    rules: &'a Rules,
    labels: &Labels,
) -> Option<(&'a (u32, DocName), &'a RuleSpec)> {
    rules.iter().find(|(_, rule)| rule.when.matches(labels))
}

fn count_down<K>(counts: &mut IndexMap<K, usize>, key: &K)
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
