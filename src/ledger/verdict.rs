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
    Void(Void),
}

/// Why a record changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Void {
    /// Its writer's incarnation is closed.
    Closed,
    /// Its batch was folded before, or does not follow the writer's last one.
    Sequence,
    /// A top-up of that name was added before, or a router of that name is closed already.
    Repeated,
    /// The writer holds less than the claim reserves.
    Holding,
    /// Another living router has the request.
    ClaimedBy(Incarnation),
    /// The writer itself has the request already.
    Mine,
    /// A router that is closed claimed the request, which may not run twice: nobody knows whether it ran.
    Unknown,
    /// The request was billed, and it may not run again.
    Billed,
    /// The request was refused after this attempt began.
    Refused,
    /// The key stands for another request.
    OtherRequest,
    /// The writer has no claim of the request.
    NoClaim,
    /// The request stands in the ledger, so it cannot be settled as not run.
    Stands,
}
