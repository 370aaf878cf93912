//! Where the fleet is that callers are to drive.

use std::path::PathBuf;

use clap::Args;

use crate::settings::BaseUrl;

/// A scenario, and where to find the fleet and what it stands on.
#[derive(Clone, Debug, Args)]
pub struct LoadOptions {
    /// The scenario, a JSON file.
    #[arg(long, value_name = "FILE")]
    pub scenario: PathBuf,
    /// The routers that callers know from the start.
    #[arg(
        long,
        value_name = "URL,..",
        value_delimiter = ',',
        default_value = "http://127.0.0.1:8080"
    )]
    pub routers: Vec<BaseUrl>,
    /// The log service; without it nothing is said of budgets and bills.
    #[arg(long, value_name = "URL")]
    pub log: Option<BaseUrl>,
    /// The engines; without them nothing is said of what ran.
    #[arg(long, value_name = "URL,..", value_delimiter = ',')]
    pub engines: Vec<BaseUrl>,
    /// The plain services; without them nothing is said of calls that ran twice.
    #[arg(long, value_name = "URL,..", value_delimiter = ',')]
    pub services: Vec<BaseUrl>,
}
