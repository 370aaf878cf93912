//! What stands in the ledger's stream.

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

/// What one append to the stream carries: the records that a router gathered since its last one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Who wrote it.
    pub router: Incarnation,
    /// Its number among the router's batches in this stream.
    pub sequence: Sequence,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// One record of the ledger; [`Ledger::apply`](super::Ledger::apply) gives each its effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An incarnation begins; an earlier one on the same VM ends.
    Open {
        /// The VM that it runs on.
        vm: VmId,
        /// The failure domain of that VM.
        domain: DomainId,
        /// Where callers reach it, `ip:port`.
        address: String,
    },
    /// Adds to a team's prepaid budget, once per name.
    TopUp {
        /// The top-up's name.
        id: TopUpId,
        /// Whose budget grows.
        team: TeamId,
        /// By how much.
        amount: Tokens,
    },
    /// Asks for a part of a team's budget to hold.
    Draw {
        /// Whose budget.
        team: TeamId,
        /// How much is wanted; less may be granted.
        want: Tokens,
    },
    /// Gives back a part of what the router holds.
    Return {
        /// Whose budget.
        team: TeamId,
        /// How much; what is reserved for claims stays.
        amount: Tokens,
    },
    /// Takes a request for this router, before anything is dispatched.
    Claim(Claim),
    /// Ends the router's own claim of a request that it never dispatched. Whether the request is proved not to have run
    /// is for [`KeyState::never_ran`](super::KeyState::never_ran): an earlier claim of it may have.
    Release {
        /// The request.
        key: RequestKey,
    },
    /// Settles that a request was not run.
    Refuse {
        /// The request.
        key: RequestKey,
        /// The try that is refused; no later claim of it or of an earlier one counts.
        attempt: Attempt,
    },
    /// Charges what a claimed request used.
    Bill {
        /// The request.
        key: RequestKey,
        /// What it used.
        amount: Tokens,
        /// How it ended.
        outcome: Outcome,
    },
    /// Ends an incarnation: all of it that comes later in the log is void.
    Close {
        /// The incarnation that ends.
        router: Incarnation,
    },
    /// Makes the writer the leader of a pool's endpoints; the record's offset is its fencing number.
    Lead {
        /// The pool.
        pool: PoolId,
    },
    /// An endpoint died while it ran a request of this fingerprint.
    Crash {
        /// What was run.
        request: Fingerprint,
        /// Where.
        endpoint: VmId,
    },
    /// Moves a part of what the router holds to another router.
    Lend {
        /// Who gets it.
        to: Incarnation,
        /// Whose budget.
        team: TeamId,
        /// How much.
        amount: Tokens,
        /// The transfer's number among the lender's, which only grow.
        number: u64,
    },
    /// A checkpoint stands whole in its stream: its writer has read it back.
    Checkpoint {
        /// The offset of the first record that it has not folded.
        as_of: Offset,
        /// Where in its stream its first part stands.
        first: Offset,
    },
}

/// A router's claim of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub key: RequestKey,
    /// Who pays.
    pub team: TeamId,
    /// The most that it can cost, taken out of what the router holds.
    pub reserved: Tokens,
    /// What is asked; another request under the same key is an error of the caller.
    pub request: Fingerprint,
    /// The last offset that the router had folded when the caller's attempt arrived; it takes none before it has folded
    /// the one that opened it.
    pub seen: Offset,
    /// The caller's count of its tries.
    pub attempt: Attempt,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Who bears what is used without a bill.
    pub bearer: Bearer,
}

/// Tells who bears tokens that an engine used for a run which no bill stands for: a router died over it, or the
/// request was billed before and ran again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bearer {
    /// The team: its budget shrinks, so that even what engines used stays within what it prepaid.
    Team,
    /// The house: the team gets them back, so that its budget buys answers alone.
    House,
}

/// How a billed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer was had.
    Whole,
    /// The run was cut off before its end: the caller hung up or the endpoint failed.
    Cut,
    /// A call that may not be repeated was answered, with this status and, where it is short, this body.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body, where it is short enough to be kept.
        body: Option<Vec<u8>>,
    },
    /// A call that may not be repeated was sent, and nobody knows whether it took effect.
    Unknown,
}
