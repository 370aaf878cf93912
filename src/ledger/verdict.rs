//! The result of applying a record.

use crate::ids::Incarnation;
use crate::tokens::Tokens;

/// The result of applying one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect.
    Accepted,
    /// A draw was granted this amount, which may be less than requested or zero.
    Granted(Tokens),
    /// It had no effect.
    Void(VoidReason),
}

/// Why a record had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidReason {
    /// The writer's incarnation is closed.
    Closed,
    /// The batch was applied before, or does not follow the writer's last one.
    Sequence,
    /// The same change took effect before: a top-up of this id, a transfer of this number, the opening or closing of an
    /// incarnation, a crash, or a checkpoint that is not newer than the last one.
    Repeated,
    /// The free part of the writer's holding is less than the record requires.
    Holding,
    /// Another open router has claimed the request, or leads the pool.
    ClaimedBy(Incarnation),
    /// The writer itself has claimed the request already.
    Mine,
    /// A router was closed while holding a claim of the request: it is unknown whether the request ran.
    Unknown,
    /// The request was billed and may not run again.
    Billed,
    /// The request was refused after this attempt began, or the router's view is older than the expiry horizon.
    Refused,
    /// The key belongs to another request.
    OtherRequest,
    /// The writer holds no claim of the request.
    NoClaim,
    /// The request is claimed or billed, so it cannot be settled as not run.
    Stands,
    /// The record refers to an unknown incarnation, or to a closed one where an open one is required.
    Absent,
    /// Earlier records are missing: the ledger must be restored from a checkpoint, or the checkpoint record is ahead.
    Gap,
}
