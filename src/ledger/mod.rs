//! The ledger: one partition's budgets, claims and bills.
//!
//! A partition is a stream of the log service. Its order is the agreement, and what it means is the pure, deterministic
//! [`Ledger`]: every router folds the same records and so holds the same truth.

mod budget;
mod codec;
mod crash;
mod expiry;
mod fold;
mod key;
mod membership;
mod record;
mod request;
mod router;
mod sums;
mod team;
mod verdict;

pub use codec::DecodeError;
pub use codec::decode;
pub use codec::encode;
pub use fold::Ledger;
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
