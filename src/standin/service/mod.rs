//! A plain service, which records each call that took effect.

mod calls;
mod faults;
mod http;

pub use calls::Service;
pub use http::start_service;
