//! The ledger's state of one request.

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

/// The state of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyState {
    /// The fingerprint of the request that was sent under the key.
    pub request: Option<Fingerprint>,
    /// The open claim.
    pub claim: Option<Box<ClaimState>>,
    /// The bill, once the request was billed.
    pub bill: Option<Box<BillState>>,
    /// The last refusal: its offset in the log, and the latest attempt that was refused.
    pub refused: Option<(Offset, Attempt)>,
    /// Whether a router was closed while it held a claim of the request, so that it may have run without a bill.
    pub orphaned: bool,
    /// Whether any accepted claim was marked as not idempotent. Two routers may disagree while a new configuration is
    /// rolled out; the stricter one takes precedence.
    pub once: bool,
    /// How many times it was claimed again after its bill.
    pub reruns: u8,
    /// The offset of the record that last settled it; expiry entries of earlier records are skipped.
    pub(super) settled: Offset,
}

impl KeyState {
    /// Returns whether the ledger proves that no attempt ran and that none that began before the refusal will run.
    pub fn never_ran(&self) -> bool {
        self.refused.is_some() && self.claim.is_none() && self.bill.is_none() && !self.orphaned
    }

    /// Records a refusal. A late refusal of an earlier attempt does not lower the refused attempt number.
    pub(super) fn refuse(&mut self, offset: Offset, attempt: Attempt) {
        let before = self.refused.map(|(_, attempt)| attempt);
        self.refused = Some((offset, attempt.max(before.unwrap_or_default())));
    }
}

/// An open claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimState {
    /// The router that holds the claim.
    pub router: Incarnation,
    /// The team that pays.
    pub team: TeamId,
    /// The reserved amount.
    pub reserved: Tokens,
    /// The caller's attempt number.
    pub attempt: Attempt,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Who bears the cost of usage without a bill.
    pub bearer: Bearer,
}

/// The bill of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillState {
    /// The team that paid.
    pub team: TeamId,
    /// The charged amount.
    pub amount: Tokens,
    /// How the request ended.
    pub outcome: Outcome,
}
