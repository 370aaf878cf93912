//! Input files of commands.

#![expect(
    clippy::disallowed_methods,
    reason = "an edge: it reads the files that a command names"
)]

use std::path::Path;

use anyhow::Context;

use crate::cli::failure::Failure;
use crate::config::ChangeSet;

/// Reads a file as text.
///
/// # Errors
///
/// When the file cannot be read.
pub(crate) fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| path.display().to_string())
}

/// Reads a file of changes to the configuration.
///
/// # Errors
///
/// When the file cannot be read, or has other content.
pub(crate) fn read_put(path: &Path) -> Result<ChangeSet, Failure> {
    let text = read(path)?;
    ChangeSet::parse(text.as_bytes())
        .map_err(|e| Failure::Refused(format!("{}: {e}", path.display())))
}
