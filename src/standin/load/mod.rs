//! Callers that drive a running fleet by a scenario, and a report of what they received.
//!
//! What a router says of itself is not taken for what happened: the report sets the callers' own records against the
//! log's records, folded here, and against what the endpoints list as run.

mod ask;
mod audit;
mod book;
mod caller;
mod drive;
mod events;
mod job;
mod options;
mod outcome;
mod quantiles;
mod report;
mod scenario;
mod summary;
#[cfg(test)]
mod tests;
mod timeline;

pub use drive::run_load;
pub use options::LoadOptions;
pub use report::Report;
pub use scenario::Scenario;
