//! The log service's settings.

use clap::Args;

use crate::standin::defaults::defaults;

/// What the log service takes and keeps.
#[derive(Clone, Debug, Args)]
pub struct LogOptions {
    /// Appends a second that it takes for all streams together; more than that wait in a queue of 2 s.
    #[arg(long, default_value_t = 300)]
    pub rate: u32,
    /// How long it keeps a record, in milliseconds; for ever where it is not given.
    #[arg(long)]
    pub keep_ms: Option<u64>,
    /// How many records it keeps of a stream; all where it is not given.
    #[arg(long)]
    pub keep_records: Option<usize>,
}

impl Default for LogOptions {
    fn default() -> Self {
        defaults()
    }
}
