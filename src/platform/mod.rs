//! The adapter to the platform: translates its calls, records and headers into the router's own types.
//!
//! The adapter makes no decisions, and nothing outside of it uses the platform's names.

#![expect(
    clippy::disallowed_methods,
    reason = "this is the process's edge: it has the sockets, timers and tasks"
)]

mod config;
mod entry;
mod follow;
mod grants;
mod heads;
mod lists;
mod operator;
mod record;
mod registry;
mod start;
mod store;
mod streams;
#[cfg(test)]
mod tests;

pub use start::serve_site;
