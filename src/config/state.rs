//! The fold: what each record of the configuration's stream does.

use indexmap::IndexMap;

use crate::config::check;
use crate::config::document::Body;
use crate::config::document::Kind;
use crate::config::document::RuleSpec;
use crate::config::index::Index;
use crate::config::put::Change;
use crate::config::put::Put;
use crate::config::record::Record;
use crate::config::rejected::Rejected;
use crate::config::snapshot::Document;
use crate::config::snapshot::Snapshot;
use crate::ids::DocName;
use crate::ids::Offset;
use crate::ids::Version;

type DocKey = (Kind, DocName);

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    next: Offset,
    version: Version,
    skipped: u64,
    rejected: u64,
    checkpoint: Option<Offset>,
    pub(super) documents: IndexMap<DocKey, Document>,
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

    /// Returns the offset of the last checkpoint that it met. Before the log lets that one go, another is due.
    pub fn checkpointed(&self) -> Option<Offset> {
        self.checkpoint
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
        let outcome = Record::parse(bytes).and_then(|record| match record {
            Record::Put(put) => self.put(Version(offset.0 + 1), put),
            Record::Checkpoint(checkpoint) => self.checkpoint(offset, &checkpoint.checkpoint),
        });
        match &outcome {
            Ok(()) => {}
            Err(Rejected::Unreadable(_)) => self.skipped += 1,
            Err(_) => self.rejected += 1,
        }
        outcome
    }

    /// Takes over a record that is a checkpoint and ahead, and returns whether it was.
    ///
    /// This is for a router that finds the beginning of the stream gone, and no other router to ask: it hands on what
    /// the log still keeps, from the first record on, until a checkpoint is taken, and then reads on from
    /// [`Config::next`].
    ///
    /// # Errors
    ///
    /// When the checkpoint is not sound.
    pub fn resume(&mut self, offset: Offset, bytes: &[u8]) -> Result<bool, Rejected> {
        match Record::parse(bytes) {
            Ok(Record::Checkpoint(checkpoint)) => {
                check_version(
                    "checkpoint.next",
                    Version(checkpoint.checkpoint.next.0),
                    offset.0,
                )?;
                self.adopt(checkpoint.checkpoint)
            }
            _ => Ok(false),
        }
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
            checkpoint: self.checkpoint,
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

    fn put(&mut self, version: Version, put: Put) -> Result<(), Rejected> {
        self.check_bases(&put.changes)?;
        put.check()?;
        let before = self.replace(version, &put.changes);
        let (entered, outcome) = self.enter(&put.changes);
        let outcome = outcome.and_then(|()| self.check_references(&put.changes));
        match outcome {
            Ok(()) => self.version = version,
            Err(_) => self.restore(&put.changes[..entered], before),
        }
        outcome
    }

    /// Checks a checkpoint, which changes nothing for those who have read all before it.
    ///
    /// One that differs from what is in force comes from a router whose fold is not the same. Whoever starts from it
    /// would route otherwise than the others do; to count it as rejected shows that in each router's dump.
    fn checkpoint(&mut self, offset: Offset, checkpoint: &Snapshot) -> Result<(), Rejected> {
        check_version("checkpoint.next", Version(checkpoint.next.0), offset.0)?;
        if checkpoint.version == self.version && !self.equals(&checkpoint.documents) {
            let allowed = format!("the documents of version {}", self.version);
            return Err(Rejected::invalid("checkpoint.documents", "others", allowed));
        }
        self.checkpoint = Some(offset);
        Ok(())
    }

    fn equals(&self, documents: &[Document]) -> bool {
        let same = |document: &Document| {
            let key = (document.kind, document.name.clone());
            self.documents.get(&key) == Some(document)
        };
        documents.len() == self.documents.len() && documents.iter().all(same)
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

    /// Brings the index up to date, and returns how many changes it has taken.
    fn enter(&mut self, changes: &[Change]) -> (usize, Result<(), Rejected>) {
        for (at, change) in changes.iter().enumerate() {
            let Some(body) = &change.body else {
                continue;
            };
            if let Err(rejected) = self.index.add(&change.name, body) {
                return (at, Err(rejected));
            }
        }
        (changes.len(), Ok(()))
    }

    fn check_references(&self, changes: &[Change]) -> Result<(), Rejected> {
        changes
            .iter()
            .try_for_each(|change| self.check_reference(change))
    }

    /// Checks that what the changed document refers to exists, and that nothing refers to a document that went.
    fn check_reference(&self, change: &Change) -> Result<(), Rejected> {
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

    /// Undoes a replacement of which the index had taken the changes in `entered`.
    ///
    /// It undoes just these: to build the index anew would hold up every router at once, for as long as there are
    /// documents, whenever an operator makes a mistake.
    fn restore(&mut self, entered: &[Change], before: Vec<(DocKey, Option<Document>)>) {
        for change in entered {
            if let Some(body) = &change.body {
                self.index.remove(&change.name, body);
            }
        }
        for (key, old) in before {
            let Some(old) = old else {
                self.documents.swap_remove(&key);
                continue;
            };
            // It was in force before, so there is nothing to tell.
            let _ = self.index.add(&key.1, &old.body);
            self.documents.insert(key, old);
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
