//! The edges of a router process: sockets, timers and tasks round the core.

#![expect(
    clippy::disallowed_methods,
    reason = "this is the process's edge: it has the sockets, timers and tasks"
)]

mod admin;
mod call;
mod chat;
mod chat_body;
mod checkpoint;
pub(crate) mod clock;
mod codec;
pub(crate) mod desk;
pub(crate) mod driver;
mod engine;
mod fetch;
pub(crate) mod http;
mod idle;
mod log;
pub(crate) mod metrics;
pub(crate) mod peers;
pub(crate) mod probe;
mod pump;
pub(crate) mod relay;
mod render;
pub(crate) mod retry_after;
mod sse;
pub(crate) mod tell;
#[cfg(test)]
mod tests;
mod vms;

pub use driver::Stopped;
pub use driver::serve;
pub use idle::IdleClock;
