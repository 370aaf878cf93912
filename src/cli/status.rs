//! `status`: the dump of a process's state.

use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::cli::args::Places;
use crate::cli::failure::Failure;
use crate::cli::output::Output;
use crate::cli::router::Router;
use crate::cli::table::Table;

/// A dump, printed as JSON with line breaks.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Dump(Value);

impl fmt::Display for Dump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}

/// A dump, printed as a table for each of its parts.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Tables(pub(crate) Value);

impl fmt::Display for Tables {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(parts) = self.0.as_object() else {
            return writeln!(f, "{}", self.0);
        };
        let (plain, nested): (Vec<_>, Vec<_>) = parts.iter().partition(|(_, v)| is_plain(v));
        let mut table = Table::new(["field", "value"]);
        for (name, value) in plain {
            table.add(vec![name.clone(), cell(value)]);
        }
        table.fmt(f)?;
        for (name, value) in nested {
            write!(f, "\n{name}\n{}", part(value))?;
        }
        Ok(())
    }
}

fn is_plain(value: &Value) -> bool {
    !value.is_object() && !value.is_array()
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Lays out a list of objects, an object of objects, or an object, one row for each entry.
fn part(value: &Value) -> Table {
    match value {
        Value::Array(entries) => rows(entries.iter().map(|entry| (None, entry)).collect()),
        Value::Object(entries) if entries.values().all(Value::is_object) => {
            rows(entries.iter().map(|(name, v)| (Some(name), v)).collect())
        }
        Value::Object(entries) => pairs(entries),
        other => rows(vec![(None, other)]),
    }
}

fn pairs(entries: &Map<String, Value>) -> Table {
    let mut table = Table::new(["field", "value"]);
    for (name, value) in entries {
        table.add(vec![name.clone(), cell(value)]);
    }
    table
}

fn rows(entries: Vec<(Option<&String>, &Value)>) -> Table {
    let mut columns: Vec<&String> = Vec::new();
    for (_, entry) in &entries {
        for name in entry.as_object().into_iter().flat_map(Map::keys) {
            if !columns.contains(&name) {
                columns.push(name);
            }
        }
    }
    let mut head = vec!["entry".to_owned()];
    head.extend(columns.iter().map(|name| (*name).clone()));
    let mut table = Table::new(head);
    for (at, (name, entry)) in entries.iter().enumerate() {
        let mut row = vec![name.map_or_else(|| at.to_string(), |name| (*name).clone())];
        if is_plain(entry) {
            row.push(cell(entry));
        }
        let value = |name: &&String| entry.get(name.as_str()).map(cell).unwrap_or_default();
        row.extend(columns.iter().map(value));
        table.add(row);
    }
    table
}

pub(crate) async fn status(places: &Places, table: bool, output: Output) -> Result<(), Failure> {
    let dump: Value = Router::new(places)?.get("/v1/status").await?;
    if table {
        return Ok(output.show(&Tables(dump))?);
    }
    Ok(output.show(&Dump(dump))?)
}
