//! What the fold says of a record.

use crate::ids::Incarnation;
use crate::tokens::Tokens;

/// What became of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect.
    Accepted,
    /// A draw took effect with this amount, which may be less than was wanted, or nothing.
    Granted(Tokens),
    /// It changed nothing.
    Void(VoidReason),
}

/// Why a record changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidReason {
    /// Its writer's incarnation is closed.
    Closed,
    /// Its batch was folded before, or does not follow the writer's last one.
    Sequence,
    /// The same took effect before: a top-up or a transfer of that name, an incarnation's opening or closing, a crash.
    Repeated,
    /// The writer holds less than the claim reserves.
    Holding,
    /// Another living router has the request.
    ClaimedBy(Incarnation),
    /// The writer itself has the request already.
    Mine,
    /// A router that is closed had claimed the request: nobody knows whether it ran.
    Unknown,
    /// The request was billed, and it may not run again.
    Billed,
    /// The request was refused after this attempt began, or the router's view is older than what the ledger remembers.
    Refused,
    /// The key stands for another request.
    OtherRequest,
    /// The writer has no claim of the request.
    NoClaim,
    /// The request stands in the ledger, so it cannot be settled as not run.
    Stands,
    /// The record names an incarnation that is not known, or that is to get what only an open one may have.
    Absent,
    /// Records before it are missing: the ledger must be restored from a checkpoint.
    Gap,
}
