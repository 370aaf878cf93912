//! The configuration that operators publish: labelled documents on a stream of the log service.

mod document;

pub use document::AccountSpec;
pub use document::Body;
pub use document::Kind;
pub use document::Limits;
pub use document::PoolKind;
pub use document::PoolSpec;
pub use document::RuleSpec;
pub use document::TeamSpec;
