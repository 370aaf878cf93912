//! Labels, and selectors that match them.

use std::fmt;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// The labels of a request, a model or an endpoint: names with values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(pub IndexMap<String, String>);

impl Labels {
    /// Returns the value of a label.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// Sets a label.
    pub fn set(&mut self, name: &str, value: &str) {
        self.0.insert(name.to_owned(), value.to_owned());
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (name, value)) in self.0.iter().enumerate() {
            let comma = if at == 0 { "" } else { "," };
            write!(f, "{comma}{name}={value}")?;
        }
        Ok(())
    }
}

/// Matches labels. A selector without terms matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Selector(pub IndexMap<String, Vec<String>>);

impl Selector {
    /// Returns whether each label in the selector has one of the allowed values.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|(name, allowed)| {
            labels
                .get(name)
                .is_some_and(|value| allowed.iter().any(|a| a == value))
        })
    }
}
