//! What is wrong with a field of a JSON text, told so that a person can mend it.

use serde::de::DeserializeOwned;
use serde_json::error::Category;
use thiserror::Error;

/// What stands before the allowed values in a message of `serde`; messages of this package follow it.
const EXPECTED: &str = ", expected ";

/// Tells which field is wrong, what stands there and what is allowed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{path}: found {found}; allowed: {allowed}")]
pub struct FieldError {
    /// Where, such as `limits.queue` or `rule/default.team`; `.` is the whole text.
    pub path: String,
    /// What stands there, without any secret.
    pub found: String,
    /// What may stand there.
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

/// Reads a value from a JSON text that holds nothing else.
///
/// # Errors
///
/// When the text is no JSON or no such value.
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
    match message.split_once(EXPECTED) {
        Some((found, allowed)) => FieldError::new(path, found, allowed),
        None => FieldError::new(path, message, "what docs/SETTINGS.md lists for this field"),
    }
}
