//! The model engine's settings.

use clap::Args;

use crate::ids::ModelId;
use crate::standin::defaults::defaults;

/// How fast a model engine is, what it keeps, and how late it tells of it.
#[derive(Clone, Debug, Args)]
pub struct EngineOptions {
    /// The models that are loaded at the start.
    #[arg(long = "model", default_value = "demo")]
    pub models: Vec<ModelId>,
    /// The role that it starts in.
    #[arg(long, default_value = "serve")]
    pub role: String,
    /// Milliseconds from one token of a request to its next.
    #[arg(long, default_value_t = 20)]
    pub token_ms: u64,
    /// Microseconds of prefill for each prompt token that is not cached.
    #[arg(long, default_value_t = 200)]
    pub prefill_us: u64,
    /// How many requests run at once; the others wait.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// How many blocks of 16 tokens the prefix cache holds.
    #[arg(long, default_value_t = 4096)]
    pub cache_blocks: usize,
    /// How late a cache event is published, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub event_lag_ms: u64,
    /// The probability that a cache event is never published.
    #[arg(long, default_value_t = 0.0)]
    pub event_gap: f64,
    /// How old the load report is, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_lag_ms: u64,
    /// How long a run goes on after its last reader's connection broke, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub linger_ms: u64,
    /// How long it takes to load a model, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    pub load_model_ms: u64,
    /// Microseconds that it takes to export or import a block.
    #[arg(long, default_value_t = 100)]
    pub kv_block_us: u64,
    /// Obeys orders whatever their fencing number is.
    #[arg(long)]
    pub ignore_fence: bool,
    /// Ends the process with code 101 on a crash, instead of refusing for a while.
    #[arg(long)]
    pub exit_on_crash: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        defaults()
    }
}
