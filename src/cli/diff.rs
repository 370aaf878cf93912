//! The command `config diff`: shows the effect of changes.

use std::fmt;
use std::path::Path;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::cli::args::Places;
use crate::cli::configuration::Stream;
use crate::cli::failure::Failure;
use crate::cli::file;
use crate::cli::output::Output;
use crate::config::Body;
use crate::config::Change;
use crate::config::Config;
use crate::config::Kind;
use crate::ids::DocName;
use crate::ids::Version;

#[derive(Debug, Serialize)]
struct Diff {
    documents: Vec<DocDiff>,
    /// Why the changes would not be accepted now.
    rejected: Option<String>,
}

/// The difference in one document.
#[derive(Debug, Serialize)]
struct DocDiff {
    kind: Kind,
    name: DocName,
    base: Version,
    current: Version,
    fields: Vec<FieldDiff>,
}

/// The difference in one field. A missing field is `null`.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(crate) struct FieldDiff {
    pub(crate) path: String,
    pub(crate) before: Value,
    pub(crate) after: Value,
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.documents.iter().try_for_each(|d| write!(f, "{d}"))?;
        match &self.rejected {
            Some(why) => writeln!(f, "would be refused: {why}"),
            None => writeln!(f, "would be accepted"),
        }
    }
}

impl fmt::Display for DocDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let same = if self.fields.is_empty() {
            ": no change"
        } else {
            ""
        };
        writeln!(f, "{}/{}{same}", self.kind, self.name)?;
        self.fields.iter().try_for_each(|field| {
            let FieldDiff {
                path,
                before,
                after,
            } = field;
            match (before, after) {
                (Value::Null, after) => writeln!(f, "  + {path}: {after}"),
                (before, Value::Null) => writeln!(f, "  - {path}: {before}"),
                (before, after) => writeln!(f, "  ~ {path}: {before} -> {after}"),
            }
        })
    }
}

pub(crate) async fn diff(places: &Places, path: &Path, output: Output) -> Result<(), Failure> {
    let put = file::read_put(path)?;
    let config = Stream::open(places).await?.config;
    let mut after = config.clone();
    let outcome = after.apply(after.next_offset(), &put.to_bytes());
    let diff = Diff {
        documents: put.changes.iter().map(|c| compare(&config, c)).collect(),
        rejected: outcome.err().map(|e| e.to_string()),
    };
    Ok(output.show(&diff)?)
}

fn compare(config: &Config, change: &Change) -> DocDiff {
    let document = config.document(change.kind, &change.name);
    let mut fields = Vec::new();
    let before = content(document.map(|d| &d.body));
    let after = content(change.body.as_ref());
    differences("", &before, &after, &mut fields);
    DocDiff {
        kind: change.kind,
        name: change.name.clone(),
        base: change.base,
        current: config.version_of(change.kind, &change.name),
        fields,
    }
}

fn content(body: Option<&Body>) -> Value {
    body.map_or(Value::Null, |body| json!(body))
}

/// Collects differences. Objects are compared by field, other values as a whole.
pub(crate) fn differences(path: &str, before: &Value, after: &Value, found: &mut Vec<FieldDiff>) {
    if before == after {
        return;
    }
    let nothing = Map::new();
    let fields = |value: &'_ Value| value.is_object() || value.is_null();
    if !fields(before) || !fields(after) {
        found.push(FieldDiff {
            path: path.to_owned(),
            before: before.clone(),
            after: after.clone(),
        });
        return;
    }
    let before = before.as_object().unwrap_or(&nothing);
    let after = after.as_object().unwrap_or(&nothing);
    let added = after.keys().filter(|name| !before.contains_key(*name));
    for name in before.keys().chain(added) {
        let dot = if path.is_empty() { "" } else { "." };
        let path = format!("{path}{dot}{name}");
        let before = before.get(name).unwrap_or(&Value::Null);
        let after = after.get(name).unwrap_or(&Value::Null);
        differences(&path, before, after, found);
    }
}
