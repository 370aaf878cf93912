//! Errors in the fields of a JSON text, described so that a person can correct them.

use serde::de::DeserializeOwned;
use serde_json::error::Category;
use thiserror::Error;

/// The text before the allowed values in a message of `serde`. Messages of this package have the same form.
const EXPECTED: &str = ", expected ";

/// The allowed values, if the deserializer does not name them.
const LISTED: &str = "a value as the documentation lists it";

/// A field that is invalid, its value and what is allowed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{path}: found {found}; allowed: {allowed}")]
pub struct FieldError {
    /// The path of the field, such as `limits.queue` or `rule/default.team`; `.` is the whole text.
    pub path: String,
    /// The value that was found, without secrets.
    pub found: String,
    /// The values that are allowed.
    pub allowed: String,
}

impl FieldError {
    pub(crate) fn new<P, F, A>(path: P, found: F, allowed: A) -> Self
    where
        P: Into<String>,
        F: Into<String>,
        A: Into<String>,
    {
        Self {
            path: path.into(),
            found: found.into(),
            allowed: allowed.into(),
        }
    }
}

/// Deserializes a value from a JSON text that contains nothing else.
///
/// # Errors
///
/// When the text is not JSON, or not such a value.
pub(crate) fn read_json<T>(text: &[u8]) -> Result<T, FieldError>
where
    T: DeserializeOwned,
{
    let mut source = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut source)
        .map_err(|e| explain(e.path().to_string(), e.inner()))?;
    source.end().map_err(|e| explain(".".to_owned(), &e))?;
    Ok(value)
}

fn explain(path: String, error: &serde_json::Error) -> FieldError {
    let message = error.to_string();
    if error.classify() != Category::Data {
        return FieldError::new(path, message, "JSON");
    }
    let (message, _place) = message.rsplit_once(" at line ").unwrap_or((&message, ""));
    if let Some(name) = message.strip_prefix("missing field ") {
        return missing(&path, name.trim_matches('`'));
    }
    let split = message
        .split_once(EXPECTED)
        .or_else(|| message.split_once(", and "));
    let (found, allowed) = split.unwrap_or((message, LISTED));
    FieldError::new(path.clone(), shown(&path, found), plain(allowed))
}

fn missing(path: &str, name: &str) -> FieldError {
    let path = match path {
        "." => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    FieldError::new(path, "nothing", LISTED)
}

/// Returns a value as it may be shown. The value of a key field is omitted, since it may be the key itself, and messages are
/// logged.
fn shown(path: &str, found: &str) -> String {
    if path.to_ascii_lowercase().contains("key") && found.starts_with("invalid") {
        return "a value that is not shown".to_owned();
    }
    let found = found.strip_prefix("invalid type: ").unwrap_or(found);
    let found = found.strip_prefix("invalid value: ").unwrap_or(found);
    found.to_owned()
}

/// Describes the allowed values in plain words where `serde` names a Rust type.
fn plain(allowed: &str) -> String {
    let max = match allowed {
        "u8" => u64::from(u8::MAX),
        "u16" => u64::from(u16::MAX),
        "u32" => u64::from(u32::MAX),
        "u64" | "usize" => u64::MAX,
        _ => return allowed.to_owned(),
    };
    format!("a whole number from 0 to {max}")
}
