//! The configuration as a state machine: applies the records of the configuration stream.

use indexmap::IndexMap;

use crate::config::change_set::Change;
use crate::config::change_set::ChangeSet;
use crate::config::check;
use crate::config::document::Body;
use crate::config::document::Kind;
use crate::config::document::RuleSpec;
use crate::config::index::Index;
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
    next_offset: Offset,
    version: Version,
    skipped: u64,
    rejected: u64,
    last_checkpoint: Option<Offset>,
    pub(super) documents: IndexMap<DocKey, Document>,
    pub(super) index: Index,
}

impl Config {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the version of the last accepted record: its offset plus one, or 0 if there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the number of unreadable records.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the number of readable records that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the offset of the last checkpoint applied. A new one must be published before the log expires it.
    pub fn last_checkpoint(&self) -> Option<Offset> {
        self.last_checkpoint
    }

    /// Applies one record. A record that was already applied is ignored.
    ///
    /// # Errors
    ///
    /// If the record is not accepted. The configuration in force is unchanged then.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Result<(), Rejected> {
        if offset < self.next_offset {
            return Ok(());
        }
        if offset > self.next_offset {
            let next = self.next_offset;
            return Err(Rejected::Gap {
                next,
                found: offset,
            });
        }
        self.next_offset = Offset(offset.0 + 1);
        let outcome = Record::parse(bytes).and_then(|record| match record {
            Record::Changes(change_set) => self.apply_changes(Version(offset.0 + 1), change_set),
            Record::Checkpoint(checkpoint) => self.apply_checkpoint(offset, &checkpoint.checkpoint),
        });
        match &outcome {
            Ok(()) => {}
            Err(Rejected::Unreadable(_)) => self.skipped += 1,
            Err(_) => self.rejected += 1,
        }
        outcome
    }

    /// Adopts the record if it is a checkpoint newer than the current state, and returns whether it did.
    ///
    /// Used by a router that finds the start of the stream expired and has no other router to ask. It passes the
    /// remaining records, from the first one on, until a checkpoint is adopted, and then continues from
    /// [`Config::next_offset`].
    ///
    /// # Errors
    ///
    /// If the checkpoint is invalid.
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

    /// Returns a snapshot of the configuration. It is deterministic: the same records give the same snapshot.
    pub fn snapshot(&self) -> Snapshot {
        let mut documents: Vec<_> = self.documents.values().cloned().collect();
        documents.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
        Snapshot {
            next: self.next_offset,
            version: self.version,
            documents,
        }
    }

    /// Adopts another router's snapshot if it is newer than the current state, and returns whether it did.
    ///
    /// A delayed message may carry an old configuration, and adopting it would revert the one in force. Snapshots that
    /// are not newer are therefore ignored.
    ///
    /// # Errors
    ///
    /// If the snapshot is invalid, for example written by a later program version. The configuration in force is
    /// unchanged then.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Result<bool, Rejected> {
        if snapshot.next <= self.next_offset || snapshot.version < self.version {
            return Ok(false);
        }
        *self = self.build_from(snapshot)?;
        Ok(true)
    }

    /// Builds a state from a snapshot without modifying the one in force.
    fn build_from(&self, snapshot: Snapshot) -> Result<Self, Rejected> {
        check_version("version", snapshot.version, snapshot.next.0)?;
        let mut restored = Self {
            next_offset: snapshot.next,
            version: snapshot.version,
            skipped: self.skipped,
            rejected: self.rejected,
            last_checkpoint: self.last_checkpoint,
            ..Self::default()
        };
        for document in snapshot.documents {
            let (kind, name) = (document.kind, document.name.clone());
            check::check_document(kind, &name, &document.body)?;
            check_version("documents", document.version, snapshot.version.0)?;
            restored.index.add(&name, &document.body)?;
            restored.documents.insert((kind, name), document);
        }
        restored.documents().try_for_each(|d| match &d.body {
            Body::Rule(rule) => restored.check_rule(&d.name, rule),
            _ => Ok(()),
        })?;
        Ok(restored)
    }

    fn apply_changes(&mut self, version: Version, change_set: ChangeSet) -> Result<(), Rejected> {
        self.check_bases(&change_set.changes)?;
        change_set.check()?;
        let replaced = self.replace_documents(version, &change_set.changes);
        let (indexed, outcome) = self.index_documents(&change_set.changes);
        let outcome = outcome.and_then(|()| self.check_references(&change_set.changes));
        match outcome {
            Ok(()) => self.version = version,
            Err(_) => self.roll_back(&change_set.changes[..indexed], replaced),
        }
        outcome
    }

    /// Validates a checkpoint and records its offset. The documents stay unchanged, since all earlier records have been
    /// applied.
    ///
    /// A checkpoint that differs from the configuration in force comes from a router whose state has diverged, and a
    /// router that started from it would route differently from the others. Counting it as rejected makes the
    /// divergence visible in each router's state dump.
    fn apply_checkpoint(&mut self, offset: Offset, checkpoint: &Snapshot) -> Result<(), Rejected> {
        check_version("checkpoint.next", Version(checkpoint.next.0), offset.0)?;
        if checkpoint.version == self.version && !self.has_same_documents(&checkpoint.documents) {
            let allowed = format!("the documents of version {}", self.version);
            return Err(Rejected::invalid("checkpoint.documents", "others", allowed));
        }
        self.last_checkpoint = Some(offset);
        Ok(())
    }

    fn has_same_documents(&self, documents: &[Document]) -> bool {
        let same = |document: &Document| {
            let key = (document.kind, document.name.clone());
            self.documents.get(&key) == Some(document)
        };
        documents.len() == self.documents.len() && documents.iter().all(same)
    }

    /// Checks that each change is based on the version in force.
    ///
    /// If two operators change the same document, the record that is first in the log wins; the other one refers to a
    /// version that is no longer in force. Without this check, the second would silently overwrite the first.
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

    /// Replaces the changed documents, removes the old ones from the index, and returns the old ones.
    fn replace_documents(
        &mut self,
        version: Version,
        changes: &[Change],
    ) -> Vec<(DocKey, Option<Document>)> {
        let mut replaced = Vec::with_capacity(changes.len());
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
            replaced.push((key, old));
        }
        for ((_, name), old) in &replaced {
            if let Some(old) = old {
                self.index.remove(name, &old.body);
            }
        }
        replaced
    }

    /// Adds the changed documents to the index, and returns the number of changes processed before an error.
    fn index_documents(&mut self, changes: &[Change]) -> (usize, Result<(), Rejected>) {
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

    /// Checks that what the changed document refers to exists, and that no rule refers to a deleted document.
    fn check_reference(&self, change: &Change) -> Result<(), Rejected> {
        let name = &change.name;
        match (&change.body, change.kind) {
            (Some(Body::Rule(rule)), _) => self.check_rule(name, rule),
            (None, Kind::Team) => check_unused(change, name.as_str().parse().ok(), |team| {
                self.index.team_ref_count(team)
            }),
            (None, Kind::Pool) => check_unused(change, name.as_str().parse().ok(), |pool| {
                self.index.pool_ref_count(pool)
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

    /// Rolls back a replacement whose changes in `indexed` had been added to the index.
    ///
    /// It reverts only these changes. Rebuilding the index takes time proportional to the number of documents and would
    /// block all routers at once whenever an operator publishes an invalid change.
    fn roll_back(&mut self, indexed: &[Change], replaced: Vec<(DocKey, Option<Document>)>) {
        for change in indexed {
            if let Some(body) = &change.body {
                self.index.remove(&change.name, body);
            }
        }
        for (key, old) in replaced {
            let Some(old) = old else {
                self.documents.swap_remove(&key);
                continue;
            };
            // The document was in force before, so adding it cannot fail.
            let _ = self.index.add(&key.1, &old.body);
            self.documents.insert(key, old);
        }
    }
}

/// Checks a version against an upper bound: versions derive from offsets, so none exceeds the offset after the last
/// applied record.
fn check_version(path: &str, version: Version, max: u64) -> Result<(), Rejected> {
    if version.0 <= max {
        return Ok(());
    }
    let allowed = format!("at most {max}");
    Err(Rejected::invalid(path, version.to_string(), allowed))
}

fn check_unused<I, U>(change: &Change, id: Option<I>, ref_count: U) -> Result<(), Rejected>
where
    U: Fn(&I) -> usize,
{
    match id.map_or(0, |id| ref_count(&id)) {
        0 => Ok(()),
        count => Err(Rejected::invalid(
            format!("{}/{}", change.kind, change.name),
            format!("a deletion while {count} rules name it"),
            "the deletion of what no rule names",
        )),
    }
}
