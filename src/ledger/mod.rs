//! The ledger: the budgets, claims and bills of one partition.
//!
//! A partition is a stream of the log service, which gives its records a total order. [`Ledger`] is a deterministic
//! state machine: every router applies the same records in the same order and reaches the same state.

mod balances;
mod budget;
mod checkpoint;
mod codec;
mod crash;
mod expiry;
mod fold;
mod intern;
mod key;
mod membership;
mod record;
mod request;
mod router;
mod rules;
mod team;
#[cfg(test)]
mod tests;
mod verdict;

pub use checkpoint::Assembler;
pub use checkpoint::MAX_PART_BYTES;
pub use checkpoint::MAX_PARTS;
pub use checkpoint::Part;
pub use checkpoint::Restored;
pub use checkpoint::Schedule;
pub use checkpoint::decode_part;
pub use checkpoint::encode_part;
pub use checkpoint::split;
pub use codec::DecodeError;
pub use codec::decode;
pub use codec::encode;
pub(crate) use expiry::KEY_RETENTION_MS;
pub use fold::CheckpointInfo;
pub use fold::Ledger;
pub use key::BillState;
pub use key::ClaimState;
pub use key::KeyState;
pub use record::Batch;
pub use record::Bearer;
pub use record::Claim;
pub use record::Outcome;
pub use record::Record;
pub(crate) use request::MAX_RERUNS;
pub use router::RouterState;
pub use team::Holding;
pub use team::TeamState;
pub use verdict::Verdict;
pub use verdict::VoidReason;
