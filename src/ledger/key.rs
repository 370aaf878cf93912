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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyState {
    /// What was asked under the key.
    pub request: Option<Fingerprint>,
    /// The claim that stands, if one does.
    pub claim: Option<Box<ClaimState>>,
    /// The bill, once there is one.
    pub bill: Option<Box<BillState>>,
    /// The last refusal: where it stands in the log, and the attempt that it refused.
    pub refused: Option<(Offset, Attempt)>,
    /// Whether a router that was closed had claimed it, so that it may have run without a bill.
    pub orphaned: bool,
    /// Whether a claim that counted said that it may not run twice. Two routers may disagree while a new configuration
    /// spreads; the stricter one is believed.
    pub once: bool,
    /// How often it ran again after its bill.
    pub reruns: u8,
    /// The record that last settled it, so that an older one's turn to be forgotten passes it over.
    pub(super) settled: Offset,
}

impl KeyState {
    /// Returns whether the ledger proves that no attempt ran, nor will one that began before the refusal.
    pub fn never_ran(&self) -> bool {
        self.refused.is_some() && self.claim.is_none() && self.bill.is_none() && !self.orphaned
    }

    /// Notes a refusal; one of an earlier attempt that comes later does not let a later attempt through.
    pub(super) fn refuse(&mut self, offset: Offset, attempt: Attempt) {
        let before = self.refused.map(|(_, attempt)| attempt);
        self.refused = Some((offset, attempt.max(before.unwrap_or_default())));
    }
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
