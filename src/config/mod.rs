//! The configuration that operators publish: labelled documents in a stream of the log service.
//!
//! As with the ledger, routers agree by applying the records in stream order. [`Config`] is the resulting state; it
//! does no I/O.

mod change_set;
mod check;
mod checkpoint;
mod document;
mod index;
mod lookup;
mod record;
mod rejected;
mod route;
mod snapshot;
mod state;
mod table;
#[cfg(test)]
mod tests;

pub use change_set::Change;
pub use change_set::ChangeSet;
pub use checkpoint::Checkpoint;
pub use document::AccountSpec;
pub use document::Body;
pub use document::Kind;
pub use document::KindError;
pub use document::Limits;
pub use document::PoolKind;
pub use document::PoolSpec;
pub use document::RuleSpec;
pub use document::TeamSpec;
pub use rejected::Rejected;
pub use route::Route;
pub use snapshot::Document;
pub use snapshot::Snapshot;
pub use state::Config;
pub(crate) use table::ConnectionLimits;
pub(crate) use table::PathRoute;
pub(crate) use table::Payer;
pub(crate) use table::RepeatPolicy;
pub(crate) use table::RouteTable;
pub(crate) use table::TablePool;
