//! The log service: append-only streams with offsets, limited in rate and in how long it keeps records.

mod faults;
mod http;
mod options;
mod service;
mod stats;
mod stream;

pub use http::start_log;
pub use options::LogOptions;
pub use service::Log;
