//! The output of commands.

use std::fmt::Display;
use std::io::Write;

use anyhow::Context;
use serde::Serialize;

/// Prints results as text or as JSON.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    pub(crate) fn is_json(self) -> bool {
        self.json
    }

    /// Prints a value as a line of JSON, or as text.
    ///
    /// # Errors
    ///
    /// When standard output is closed.
    pub(crate) fn show<T>(self, value: &T) -> anyhow::Result<()>
    where
        T: Serialize + Display,
    {
        if self.json {
            let text = serde_json::to_string(value).context("the result is no JSON")?;
            return print(&format!("{text}\n"));
        }
        let text = value.to_string();
        let end = if text.is_empty() || text.ends_with('\n') {
            ""
        } else {
            "\n"
        };
        print(&format!("{text}{end}"))
    }
}

/// Prints text without buffering.
///
/// # Errors
///
/// When standard output is closed.
pub(crate) fn print(text: &str) -> anyhow::Result<()> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .context("standard output is closed")
}
