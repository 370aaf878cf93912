//! Batches and records of the ledger's stream.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Attempt;
use crate::ids::DomainId;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::ids::VmId;
use crate::tokens::Tokens;

/// One append to the stream: the records that a router collected since its last append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The router that wrote it.
    pub router: Incarnation,
    /// Its sequence number among the router's batches in this stream.
    pub sequence: Sequence,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// One record of the ledger, applied by [`Ledger::apply`](super::Ledger::apply).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Opens an incarnation and closes earlier ones on the same VM.
    Open {
        /// The VM that the router runs on.
        vm: VmId,
        /// The failure domain of that VM.
        domain: DomainId,
        /// The address for callers, `ip:port`.
        address: String,
    },
    /// Adds to a team's prepaid budget, once per id.
    TopUp {
        /// The id of the top-up.
        id: TopUpId,
        /// The team whose budget is topped up.
        team: TeamId,
        /// The amount to add.
        amount: Tokens,
    },
    /// Draws part of a team's budget into the router's holding.
    Draw {
        /// The team whose budget is drawn on.
        team: TeamId,
        /// The requested amount; less may be granted.
        want: Tokens,
    },
    /// Returns part of the router's holding to the team.
    Return {
        /// The team whose budget is returned.
        team: TeamId,
        /// The amount; it must be free, not reserved for claims.
        amount: Tokens,
    },
    /// Claims a request for this router, before anything is dispatched.
    Claim(Claim),
    /// Ends the router's own claim of a request that it never dispatched, or of a billed request whose runs under this
    /// claim gave no answer and cost nothing. It does not prove that the request never ran, since an earlier claim of it
    /// may have run; see [`KeyState::never_ran`](super::KeyState::never_ran).
    Release {
        /// The request.
        key: RequestKey,
    },
    /// Settles that a request was not run.
    Refuse {
        /// The request.
        key: RequestKey,
        /// The refused attempt; later claims of this attempt or of an earlier one are void.
        attempt: Attempt,
    },
    /// Charges the usage of a claimed request.
    Bill {
        /// The request.
        key: RequestKey,
        /// The used amount.
        amount: Tokens,
        /// How the request ended.
        outcome: Outcome,
    },
    /// Closes an incarnation: its later records in the log are void.
    Close {
        /// The incarnation to close.
        router: Incarnation,
    },
    /// Makes the writer the leader of a pool's endpoints; the record's offset is the fencing token.
    Lead {
        /// The pool.
        pool: PoolId,
    },
    /// An endpoint crashed while it ran a request of this fingerprint.
    Crash {
        /// The fingerprint of the request.
        request: Fingerprint,
        /// The endpoint that crashed.
        endpoint: VmId,
    },
    /// Transfers part of the router's holding to another router.
    Lend {
        /// The borrower.
        to: Incarnation,
        /// The team whose budget is lent.
        team: TeamId,
        /// The lent amount.
        amount: Tokens,
        /// The transfer's number; the numbers of a lender increase strictly.
        number: u64,
    },
    /// A checkpoint is complete in its stream: its writer has read it back.
    Checkpoint {
        /// The offset of the first ledger record that the checkpoint does not include.
        as_of: Offset,
        /// The offset of its first part in the checkpoint stream.
        first: Offset,
    },
}

/// A router's claim of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub key: RequestKey,
    /// The team that pays.
    pub team: TeamId,
    /// The maximum cost of the request, reserved from the router's holding.
    pub reserved: Tokens,
    /// The fingerprint of the request; another request under the same key is an error of the caller.
    pub request: Fingerprint,
    /// The last offset that the router had applied when the caller's attempt arrived. A router accepts no requests
    /// before it has applied its own opening record.
    pub seen: Offset,
    /// The caller's attempt number.
    pub attempt: Attempt,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Who bears the cost of usage without a bill.
    pub bearer: Bearer,
}

/// Who bears the cost of tokens that an engine used for a run without a bill, because the router died during the run or
/// because the request had been billed before and ran again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bearer {
    /// The team: the tokens are deducted from its budget, so that total engine usage stays within what it prepaid.
    Team,
    /// The operator of the fleet: the tokens return to the team, so that its budget pays only for billed requests.
    House,
}

/// How a billed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The response was completed.
    Whole,
    /// The run ended early: the caller disconnected or the endpoint failed.
    Cut,
    /// A non-idempotent call was answered with this status and, if it is short enough to be kept, this body.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body, if it is short enough to be kept.
        body: Option<Vec<u8>>,
    },
    /// A non-idempotent call was sent, and it is unknown whether it took effect.
    Unknown,
}
