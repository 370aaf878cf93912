//! Small stand-ins for what the platform gives, with the faults that befall it.
//!
//! Each is an HTTP server on the caller's own loop, so that a test, the demo or the `jasmineridge-standin` program may
//! run several in one process. Their faults are switched on over the same interface.

#![expect(
    clippy::disallowed_methods,
    reason = "a stand-in is a process's edge: it has sockets, timers and tasks of its own"
)]

mod chance;
mod defaults;
mod lagged;
mod outage;
mod server;
mod switch;
mod time;

pub(crate) mod engine;
pub(crate) mod load;
pub(crate) mod log;
pub(crate) mod proxy;
pub(crate) mod service;
pub(crate) mod vms;

pub use server::Started;
pub use server::listen;
