//! The ledger: one partition's budgets, claims and bills.
//!
//! A partition is a stream of the log service. Its order is the agreement, and what it means is the pure, deterministic
//! [`Ledger`]: every router folds the same records and so holds the same truth.

mod codec;
mod fold;
mod key;
mod record;
mod router;
mod team;
mod verdict;

pub use codec::DecodeError;
pub use codec::decode;
pub use codec::encode;
pub(crate) use fold::KEY_MEMORY;
pub use fold::Ledger;
pub(crate) use fold::MAX_RERUNS;
pub use key::BillState;
pub use key::ClaimState;
pub use key::KeyState;
pub use record::Batch;
pub use record::Bearer;
pub use record::Claim;
pub use record::Outcome;
pub use record::Record;
pub use router::RouterState;
pub use team::Holding;
pub use team::TeamState;
pub use verdict::Verdict;
pub use verdict::Void;
