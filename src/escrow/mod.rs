//! Escrow: what each router may spend of each team's budget, agreed on by conditional writes to a compacted log.
//!
//! A router's grant is the most that one lifetime of its process may ever spend of a budget. Grants are records in one
//! partition, the newest record of each key being kept for ever; a grant is written on the condition that the partition
//! ends where the writer has read to. So each writer has seen all other grants, and those in the log never add up to
//! more than the budget. No leader and no peer is needed for that, and clocks for one thing only: what a dead lifetime can't
//! have spent is given back by who starts after it on the same VM. How long it may have lived is told by the steady clock of
//! the VM's boot, and after a loss of power by the time of day, with an allowance for its having been set back.

mod grant_state;
mod record;
mod spend_pace;
#[cfg(test)]
mod tests;

pub(crate) use grant_state::GrantChange;
pub(crate) use grant_state::GrantState;
pub(crate) use grant_state::Proposal;
pub(crate) use record::GrantKey;
pub(crate) use record::GrantRow;
pub(crate) use record::RecordError;
pub(crate) use spend_pace::SpendPace;
