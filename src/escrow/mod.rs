//! Escrow: what each router may spend of each team's budget, agreed on by conditional writes to a compacted log.
//!
//! A router's grant is the most that one incarnation of its process may ever spend of a budget. Grants are records in
//! one partition, in which the newest record of each key is kept forever. A grant is appended on the condition that the
//! partition ends at the offset up to which the writer has read. Each writer has therefore seen all other grants, and
//! the grants in the log never add up to more than the budget. This needs neither a leader nor a peer. Clocks are
//! needed for one thing only: what a dead incarnation cannot have spent is returned by the one that starts after it on
//! the same VM. How long the dead one may have lived is measured by the monotonic clock of the VM's boot and, after a
//! loss of power, by the time of day, with a margin for its having been set back.

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
