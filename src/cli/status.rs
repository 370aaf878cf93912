//! The command `status`: shows the state dump of a process.

use std::fmt;

use indexmap::IndexSet;
use serde::Serialize;
use serde_json::Value;

use crate::cli::args::Places;
use crate::cli::failure::Failure;
use crate::cli::output::Output;
use crate::cli::router::Router;
use crate::cli::table::Table;

/// A state dump, printed as indented JSON.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Dump(Value);

impl fmt::Display for Dump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}

/// A state dump, printed as one table for each of its parts.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Tables(pub(crate) Value);

impl fmt::Display for Tables {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_part(f, "", &self.0)
    }
}

/// Writes the table of a value, followed by the tables of nested values.
fn write_part(f: &mut fmt::Formatter<'_>, path: &str, value: &Value) -> fmt::Result {
    let entries = entries(value);
    let is_list = !entries.is_empty() && entries.iter().all(|(_, v)| v.is_object());
    if is_list {
        write_head(f, path)?;
        write!(f, "{}", rows(&entries))?;
    } else if entries.iter().any(|(_, v)| is_plain(v)) {
        write_head(f, path)?;
        write!(f, "{}", pairs(&entries))?;
    }
    for (name, entry) in &entries {
        let dot = if path.is_empty() { "" } else { "." };
        let path = format!("{path}{dot}{name}");
        match is_list {
            true => write_nested(f, &path, entry)?,
            false if !is_plain(entry) => write_part(f, &path, entry)?,
            false => {}
        }
    }
    Ok(())
}

/// Writes the tables of the values that do not fit into the row of an entry.
fn write_nested(f: &mut fmt::Formatter<'_>, path: &str, entry: &Value) -> fmt::Result {
    entries(entry)
        .iter()
        .filter(|(_, value)| !is_plain(value))
        .try_for_each(|(name, value)| write_part(f, &format!("{path}.{name}"), value))
}

fn write_head(f: &mut fmt::Formatter<'_>, path: &str) -> fmt::Result {
    match path {
        "" => Ok(()),
        _ => write!(f, "\n{path}\n"),
    }
}

/// Returns the entries of a list by position, or of an object by name.
fn entries(value: &Value) -> Vec<(String, &Value)> {
    match value {
        Value::Array(entries) => {
            let entries = entries.iter().enumerate();
            entries.map(|(at, v)| (at.to_string(), v)).collect()
        }
        Value::Object(entries) => entries.iter().map(|(name, v)| (name.clone(), v)).collect(),
        _ => Vec::new(),
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

fn pairs(entries: &[(String, &Value)]) -> Table {
    let mut table = Table::new(["field", "value"]);
    for (name, value) in entries.iter().filter(|(_, v)| is_plain(v)) {
        table.add(vec![name.clone(), cell(value)]);
    }
    table
}

fn rows(entries: &[(String, &Value)]) -> Table {
    let fields = |entry: &'_ Value| entry.as_object().cloned().unwrap_or_default();
    let columns: IndexSet<String> = entries
        .iter()
        .flat_map(|(_, entry)| fields(entry))
        .filter_map(|(name, value)| is_plain(&value).then_some(name))
        .collect();
    let mut table = Table::new(
        ["entry"]
            .into_iter()
            .chain(columns.iter().map(String::as_str)),
    );
    for (name, entry) in entries {
        let value = |column: &String| entry.get(column).map(cell).unwrap_or_default();
        let cells = columns.iter().map(value);
        table.add([name.clone()].into_iter().chain(cells).collect());
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
