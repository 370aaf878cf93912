//! The router's core: plain values that take events and a time and return effects. Sockets, files and timers stand
//! round it, in the module `edge`.

mod admin;
mod appender;
mod arrive;
mod checkpoint;
mod claim;
mod closing;
mod configure;
mod core;
mod demand;
mod effect;
mod event;
mod fund;
mod isolation;
mod members;
mod orders;
mod outage;
mod picker;
mod poison;
mod pool;
mod problem;
mod purse;
mod queue;
mod refuse;
mod request;
mod run;
mod stream;
#[cfg(test)]
mod tests;

pub(crate) use appender::Pace;
pub(crate) use core::Core;
pub(crate) use core::Tuning;
pub(crate) use effect::Effect;
pub(crate) use effect::Order;
pub(crate) use effect::Peer;
pub(crate) use effect::Replay;
pub(crate) use effect::Run;
pub(crate) use event::AdminId;
pub(crate) use event::AdminRequest;
pub(crate) use event::Arrival;
pub(crate) use event::EndpointLoad;
pub(crate) use event::Entry;
pub(crate) use event::Event;
pub(crate) use event::Heartbeat;
pub(crate) use event::KeptBatches;
pub(crate) use event::RunEnd;
pub(crate) use event::Secret;
pub(crate) use event::Silence;
pub(crate) use event::Usage;
pub(crate) use event::Work;
pub use problem::Problem;
pub use problem::ProblemKind;
pub use problem::Ran;
