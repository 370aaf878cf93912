//! The VM list, which shows late who comes and goes.

mod faults;
mod http;
mod options;
mod registry;

pub use http::start_vms;
pub use options::VmsOptions;
pub use registry::Vms;
