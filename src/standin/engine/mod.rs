//! The model engine: it batches continuously, caches prompt prefixes, streams, resumes, cancels, and takes orders.

mod answer;
mod batch;
mod cache;
mod chat;
mod crash;
mod drive;
mod faults;
mod http;
mod kv;
mod load;
mod options;
mod orders;
mod run;
mod runs;
mod sse;
mod state;

pub use answer::expected_answer;
pub use http::start_engine;
pub use options::EngineOptions;
pub use state::Engine;
