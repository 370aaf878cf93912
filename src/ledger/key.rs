//! One request, as the ledger knows it.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::TeamId;
use crate::ledger::record::Bearer;
use crate::ledger::record::Outcome;
use crate::tokens::Tokens;

/// All that the ledger knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyState {
    /// What was asked under the key.
    pub request: Option<Fingerprint>,
    /// The claim that stands, if one does.
    pub claim: Option<ClaimState>,
    /// The bill, once there is one.
    pub bill: Option<BillState>,
    /// The last refusal: where it stands in the log, and the attempt that it refused.
    pub refused: Option<(Offset, Attempt)>,
    /// How often it ran again after its bill.
    pub reruns: u8,
    /// When something last happened to it, milliseconds of the log service's clock.
    pub(super) at: u64,
}

/// An open claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimState {
    /// Whose it is.
    pub router: Incarnation,
    /// Who pays.
    pub team: TeamId,
    /// What it reserves.
    pub reserved: Tokens,
    /// The caller's count of its tries.
    pub attempt: Attempt,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Who bears what is used without a bill.
    pub bearer: Bearer,
}

/// The bill of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillState {
    /// Who paid.
    pub team: TeamId,
    /// How much.
    pub amount: Tokens,
    /// How the request ended.
    pub outcome: Outcome,
}
