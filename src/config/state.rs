//! The fold: what each record of the configuration's stream does.

use indexmap::IndexMap;

use crate::config::check;
use crate::config::document::AccountSpec;
use crate::config::document::Body;
use crate::config::document::Kind;
use crate::config::document::PoolSpec;
use crate::config::document::RuleSpec;
use crate::config::document::TeamSpec;
use crate::config::index::Index;
use crate::config::put::Change;
use crate::config::put::Put;
use crate::config::rejected::Rejected;
use crate::config::route::Route;
use crate::config::snapshot::Document;
use crate::config::snapshot::Snapshot;
use crate::ids::AccountId;
use crate::ids::DocName;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::TeamId;
use crate::ids::Version;
use crate::key_hash::KeyHash;
use crate::labels::Labels;

type DocKey = (Kind, DocName);

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    next: Offset,
    version: Version,
    skipped: u64,
    rejected: u64,
    documents: IndexMap<DocKey, Document>,
    pub(super) index: Index,
}

impl Config {
    /// Returns the offset of the next record that it wants.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the version of the last accepted record: its offset and one, or 0 where there was none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns how many records it could not read.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns how many records it read and did not accept.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Folds one record; one that it has folded before changes nothing.
    ///
    /// # Errors
    ///
    /// When the record is not accepted; the configuration in force stays as it is, whole.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Result<(), Rejected> {
        if offset < self.next {
            return Ok(());
        }
        if offset > self.next {
            let next = self.next;
            return Err(Rejected::Gap {
                next,
                found: offset,
            });
        }
        self.next = Offset(offset.0 + 1);
        let outcome = Put::parse(bytes).and_then(|put| self.put(Version(offset.0 + 1), put));
        match &outcome {
            Ok(()) => {}
            Err(Rejected::Unreadable(_)) => self.skipped += 1,
            Err(_) => self.rejected += 1,
        }
        outcome
    }

    /// Returns the whole configuration as a message; the same records give the same one.
    pub fn snapshot(&self) -> Snapshot {
        let mut documents: Vec<_> = self.documents.values().cloned().collect();
        documents.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
        Snapshot {
            next: self.next,
            version: self.version,
            documents,
        }
    }

    /// Takes over a configuration that another router folded, where it is ahead, and returns whether it was.
    ///
    /// A message that was held up on the way brings an old configuration. Taking it would revert one that is in force;
    /// so nothing counts that is not ahead.
    ///
    /// # Errors
    ///
    /// When it is not sound, as when a later version of the program wrote it; the one in force stays.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Result<bool, Rejected> {
        if snapshot.next <= self.next || snapshot.version < self.version {
            return Ok(false);
        }
        *self = self.ahead(snapshot)?;
        Ok(true)
    }

    /// Builds the state that a snapshot tells of, beside the one in force.
    fn ahead(&self, snapshot: Snapshot) -> Result<Self, Rejected> {
        check_version("version", snapshot.version, snapshot.next.0)?;
        let mut ahead = Self {
            next: snapshot.next,
            version: snapshot.version,
            skipped: self.skipped,
            rejected: self.rejected,
            ..Self::default()
        };
        for document in snapshot.documents {
            let (kind, name) = (document.kind, document.name.clone());
            check::check_document(kind, &name, &document.body)?;
            check_version("documents", document.version, snapshot.version.0)?;
            ahead.index.add(&name, &document.body)?;
            ahead.documents.insert((kind, name), document);
        }
        ahead.documents().try_for_each(|d| match &d.body {
            Body::Rule(rule) => ahead.check_rule(&d.name, rule),
            _ => Ok(()),
        })?;
        Ok(ahead)
    }

    /// Returns the account that a bearer key is good for.
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

    /// Returns who pays for a request with these labels and where it goes.
    pub fn route(&self, labels: &Labels) -> Option<Route> {
        let (name, rule) = self.index.route(labels)?;
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

    /// Returns all documents, in no order.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Returns a document's version: 0 where there is none.
    pub fn version_of(&self, kind: Kind, name: &DocName) -> Version {
        self.documents
            .get(&(kind, name.clone()))
            .map_or(Version(0), |document| document.version)
    }

    fn body(&self, kind: Kind, name: &DocName) -> Option<&Body> {
        self.documents
            .get(&(kind, name.clone()))
            .map(|document| &document.body)
    }

    fn named(&self, kind: Kind, name: &str) -> Option<&Body> {
        self.body(kind, &name.parse().ok()?)
    }

    fn put(&mut self, version: Version, put: Put) -> Result<(), Rejected> {
        self.check_bases(&put.changes)?;
        put.check()?;
        let before = self.replace(version, &put.changes);
        if let Err(rejected) = self.check_whole(&put.changes) {
            self.restore(before);
            return Err(rejected);
        }
        self.version = version;
        Ok(())
    }

    /// Of two operators who change the same document, the one whose record lies first in the log wins; the other's
    /// names a version that is no longer in force. Without this, the second would undo the first unawares.
    fn check_bases(&self, changes: &[Change]) -> Result<(), Rejected> {
        for change in changes {
            let current = self.version_of(change.kind, &change.name);
            if change.base != current {
                return Err(Rejected::Conflict {
                    kind: change.kind,
                    name: change.name.clone(),
                    base: change.base,
                    current,
                });
            }
        }
        Ok(())
    }

    /// Replaces the documents, and returns those that stood there before.
    fn replace(&mut self, version: Version, changes: &[Change]) -> Vec<(DocKey, Option<Document>)> {
        let mut before = Vec::with_capacity(changes.len());
        for change in changes {
            let key = (change.kind, change.name.clone());
            let old = self.documents.swap_remove(&key);
            if let Some(body) = &change.body {
                let document = Document {
                    kind: change.kind,
                    name: change.name.clone(),
                    version,
                    body: body.clone(),
                };
                self.documents.insert(key.clone(), document);
            }
            before.push((key, old));
        }
        for ((_, name), old) in &before {
            if let Some(old) = old {
                self.index.remove(name, &old.body);
            }
        }
        before
    }

    /// Checks what concerns more than one document, and brings the index up to date.
    fn check_whole(&mut self, changes: &[Change]) -> Result<(), Rejected> {
        for change in changes {
            if let Some(body) = &change.body {
                self.index.add(&change.name, body)?;
            }
        }
        changes
            .iter()
            .try_for_each(|change| self.check_references(change))
    }

    /// Checks that what the changed document refers to exists, and that nothing refers to a document that went.
    fn check_references(&self, change: &Change) -> Result<(), Rejected> {
        let name = &change.name;
        match (&change.body, change.kind) {
            (Some(Body::Rule(rule)), _) => self.check_rule(name, rule),
            (None, Kind::Team) => check_unused(change, name.as_str().parse().ok(), |team| {
                self.index.team_uses(team)
            }),
            (None, Kind::Pool) => check_unused(change, name.as_str().parse().ok(), |pool| {
                self.index.pool_uses(pool)
            }),
            _ => Ok(()),
        }
    }

    fn check_rule(&self, name: &DocName, rule: &RuleSpec) -> Result<(), Rejected> {
        if self.team(&rule.team).is_none() {
            let path = format!("{}/{name}.team", Kind::Rule);
            let found = rule.team.to_string();
            return Err(Rejected::invalid(path, found, "a team that exists"));
        }
        if self.pool(&rule.pool).is_none() {
            let path = format!("{}/{name}.pool", Kind::Rule);
            let found = rule.pool.to_string();
            return Err(Rejected::invalid(path, found, "a pool that exists"));
        }
        Ok(())
    }

    /// Undoes a replacement. The index is built anew: this is rare, and so cannot go wrong half way.
    fn restore(&mut self, before: Vec<(DocKey, Option<Document>)>) {
        for (key, old) in before {
            match old {
                Some(old) => self.documents.insert(key, old),
                None => self.documents.swap_remove(&key),
            };
        }
        self.index = Index::default();
        for ((_, name), document) in &self.documents {
            // It was accepted before, so there is nothing to tell.
            let _ = self.index.add(name, &document.body);
        }
    }
}

/// Versions grow with the log: none is above the offset after the last record that was folded.
fn check_version(path: &str, version: Version, max: u64) -> Result<(), Rejected> {
    if version.0 <= max {
        return Ok(());
    }
    let allowed = format!("at most {max}");
    Err(Rejected::invalid(path, version.to_string(), allowed))
}

fn check_unused<I, U>(change: &Change, id: Option<I>, uses: U) -> Result<(), Rejected>
where
    U: Fn(&I) -> usize,
{
    match id.map_or(0, |id| uses(&id)) {
        0 => Ok(()),
        count => Err(Rejected::invalid(
            format!("{}/{}", change.kind, change.name),
            format!("a deletion while {count} rules name it"),
            "the deletion of what no rule names",
        )),
    }
}
