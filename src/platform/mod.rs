//! The platform that the routers run on: its calls, records and headers, translated into the product's own types.
//!
//! Nothing is decided here, and nothing outside of this folder knows the platform's names.

#![expect(
    clippy::disallowed_methods,
    reason = "this is the process's edge: it has the sockets, timers and tasks"
)]

mod config;
mod entry;
mod follow;
mod grants;
mod heads;
mod operator;
mod record;
mod registry;
mod start;
mod store;
#[cfg(test)]
mod tests;

pub use start::serve_site;
