//! Requests that are passed on as they came: the connections of callers and of endpoints, and what goes between them.

mod connections;
mod dialect;
mod events;
mod forward;
mod framing;
mod front;
mod gather;
mod kept;
mod piecewise;
mod request;
mod room;
mod serve;
mod stream;
#[cfg(test)]
mod tests;
mod upstream;

pub(crate) use connections::Connections;
pub(crate) use dialect::Dialect;
pub(crate) use forward::serve_forwarded;
pub(crate) use front::Reply;
pub(crate) use front::accept;
pub(crate) use front::plain;
pub(crate) use request::Ask;
pub(crate) use request::Verdict;
pub(crate) use room::AnswerRoom;
pub(crate) use serve::Relays;
pub(crate) use serve::serve;
pub(crate) use upstream::Upstream;
