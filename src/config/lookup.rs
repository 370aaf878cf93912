//! Queries of the configuration.

use crate::config::document::AccountSpec;
use crate::config::document::Body;
use crate::config::document::Kind;
use crate::config::document::PoolSpec;
use crate::config::document::RuleSpec;
use crate::config::document::TeamSpec;
use crate::config::index;
use crate::config::route::Route;
use crate::config::snapshot::Document;
use crate::config::state::Config;
use crate::ids::AccountId;
use crate::ids::DocName;
use crate::ids::PoolId;
use crate::ids::TeamId;
use crate::ids::Version;
use crate::key_hash::KeyHash;
use crate::labels::Labels;

impl Config {
    /// Returns the account that a bearer key belongs to.
    pub fn account_by_key(&self, bearer: &str) -> Option<(AccountId, &AccountSpec)> {
        let name = self.index.account(&KeyHash::of(bearer))?;
        match self.body(Kind::Account, name)? {
            Body::Account(account) => Some((name.as_str().parse().ok()?, account)),
            _ => None,
        }
    }

    /// Returns an account.
    pub fn account(&self, account: &AccountId) -> Option<&AccountSpec> {
        match self.named(Kind::Account, account.as_str())? {
            Body::Account(account) => Some(account),
            _ => None,
        }
    }

    /// Returns the route of a request with these labels: the paying team, the pool and the priority.
    pub fn route(&self, labels: &Labels) -> Option<Route> {
        let account = labels.get(index::ACCOUNT_LABEL);
        let matches = |name: &DocName| self.rule(name).is_some_and(|r| r.when.matches(labels));
        let name = self.index.route(account, matches)?;
        let rule = self.rule(name)?;
        Some(Route {
            rule: name.clone(),
            team: rule.team.clone(),
            pool: rule.pool.clone(),
            priority: rule.priority,
        })
    }

    /// Returns a pool.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolSpec> {
        match self.named(Kind::Pool, pool.as_str())? {
            Body::Pool(pool) => Some(pool),
            _ => None,
        }
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = (PoolId, &PoolSpec)> {
        self.documents()
            .filter_map(|document| match &document.body {
                Body::Pool(pool) => Some((document.name.as_str().parse().ok()?, pool)),
                _ => None,
            })
    }

    /// Returns a team.
    pub fn team(&self, team: &TeamId) -> Option<&TeamSpec> {
        match self.named(Kind::Team, team.as_str())? {
            Body::Team(team) => Some(team),
            _ => None,
        }
    }

    /// Returns all documents, in unspecified order.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Returns a document.
    pub fn document(&self, kind: Kind, name: &DocName) -> Option<&Document> {
        self.documents.get(&(kind, name.clone()))
    }

    /// Returns a document's version, or 0 if it does not exist.
    pub fn version_of(&self, kind: Kind, name: &DocName) -> Version {
        self.document(kind, name)
            .map_or(Version(0), |document| document.version)
    }

    fn body(&self, kind: Kind, name: &DocName) -> Option<&Body> {
        self.document(kind, name).map(|document| &document.body)
    }

    fn rule(&self, name: &DocName) -> Option<&RuleSpec> {
        match self.body(Kind::Rule, name)? {
            Body::Rule(rule) => Some(rule),
            _ => None,
        }
    }

    fn named(&self, kind: Kind, name: &str) -> Option<&Body> {
        self.body(kind, &name.parse().ok()?)
    }
}
