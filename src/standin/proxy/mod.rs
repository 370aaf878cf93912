//! The fault-injecting TCP proxy, which stands between any two processes.

mod faults;
mod http;
mod link;
mod links;
mod pump;

pub use http::start_proxy;
pub use links::Proxy;
