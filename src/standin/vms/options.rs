//! The VM list's settings.

use std::path::PathBuf;

use clap::Args;

/// How the VM list starts, and how late it is.
#[derive(Clone, Debug, Default, Args)]
pub struct VmsOptions {
    /// How old the list is that a reader gets, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub lag_ms: u64,
    /// A JSON file with the first list: an array of entries.
    #[arg(long)]
    pub file: Option<PathBuf>,
}
