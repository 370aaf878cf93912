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
mod clock;
mod codec;
mod desk;
mod driver;
mod engine;
mod fetch;
mod http;
mod log;
mod peers;
mod probe;
mod pump;
mod render;
mod sse;
mod vms;

pub use driver::Stopped;
pub use driver::serve;

#[cfg(test)]
mod tests;
