//! The stand-ins do what their page says, faults included.

#![expect(
    clippy::disallowed_methods,
    reason = "a test has sockets, timers, tasks and processes of its own"
)]

mod client;
mod engine;
mod engine_faults;
mod log;
mod program;
mod proxy;
mod service;
mod vms;

use std::net::SocketAddr;

/// Returns an address whose port is any that is free.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
