//! What a router does.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::config::RouteTable;
use crate::config::Snapshot;
use crate::escrow::Proposal;
use crate::ids::AccountId;
use crate::ids::Incarnation;
use crate::ids::ModelId;
use crate::ids::Offset;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::router::event::BudgetTransfer;
use crate::router::event::Heartbeat;
use crate::router::event::KeptBatches;
use crate::router::event::LoanRequest;
use crate::router::event::PromptNotice;
use crate::router::event::ReplyId;
use crate::router::problem::Problem;

/// What the core wants the edge to do.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Refuses a request.
    Refuse(RequestId, Box<Problem>),
    /// Answers a request with what its first run brought.
    Replay(RequestId, Replay),
    /// Sends a request to an endpoint and relays the answer, all but its end.
    Run(RequestId, Box<Run>),
    /// Lets the end of an answer go out.
    FinishAnswer(RequestId),
    /// Leaves the endpoint that runs a request and says nothing.
    Abandon(RequestId),
    /// Ends an answer so that the caller knows that it is not whole; one that has not begun ends as this refusal.
    Abort(RequestId, Box<Problem>),
    /// Appends a batch to the ledger.
    Append {
        /// Whose batch it is.
        router: Incarnation,
        /// Its number.
        sequence: Sequence,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// Sends a heartbeat to peers.
    SendHeartbeat(Heartbeat, Vec<Peer>),
    /// Appends a batch that a dead router left with this one.
    AppendKept(Vec<u8>),
    /// Asks peers to keep batches.
    KeepBatches(KeptBatches, Vec<Peer>),
    /// Sends the configuration to a peer that is behind.
    SendConfig(Box<Snapshot>, Peer),
    /// Has a configuration that was handed over whole ready for peers that are behind.
    OfferTable(Arc<RouteTable>),
    /// Asks a peer for such a configuration.
    FetchTable(Peer),
    /// Gets a state of the ledger to start from.
    Fetch(Vec<Peer>),
    /// Appends a record to the configuration's stream.
    AppendConfig(Vec<u8>),
    /// Writes a checkpoint as of an offset, in these parts.
    Checkpoint(Offset, Vec<Vec<u8>>),
    /// Appends grants on a condition.
    ProposeGrants(Proposal),
    /// Reads grants from an offset on, or the newest of each key.
    ReadGrants(Option<Offset>),
    /// Tells the other routers of a long prompt; one that does not hear of it chooses a little worse.
    SendPromptNotice(PromptNotice, Arc<[Peer]>),
    /// Hands budget over to another router.
    TransferBudget(BudgetTransfer, Peer),
    /// Asks another router for a loan.
    RequestLoan(LoanRequest, Peer),
    /// Gives an endpoint an order.
    SendOrder(Order),
    /// Asks an endpoint for its load and its cache events.
    Probe(VmId, String),
    /// Answers an operator.
    Answer(ReplyId, u16, Value),
    /// Ends the process.
    Exit {
        /// Whether requests in progress, or records that no one has, are cut off by it.
        cut: bool,
    },
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Its VM.
    pub(crate) vm: VmId,
    /// Where it listens for routers, `ip:port`.
    pub(crate) address: String,
}

/// An order to an endpoint: the condition that is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Order {
    /// Where the endpoint listens, `ip:port`.
    pub(crate) address: String,
    /// The fencing number.
    pub(crate) fence: u64,
    /// The models that are to be loaded.
    pub(crate) models: Vec<ModelId>,
}

/// A request's way to its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    /// The endpoint.
    pub(crate) endpoint: VmId,
    /// Where it listens, `ip:port`.
    pub(crate) address: String,
    /// The request's key, which endpoints see for their own records.
    pub(crate) key: RequestKey,
    /// Who pays.
    pub(crate) team: TeamId,
    /// The longest answer that was reserved, for a completion.
    pub(crate) limit: u64,
    /// 0 (first) to 9 (last).
    pub(crate) priority: u8,
    /// How long its claim waited for the verdict.
    pub(crate) claim_wait: Duration,
    /// Whether a run whose answer breaks off may be begun again.
    pub(crate) idempotent: bool,
    /// What a request that is passed on as it came needs besides.
    pub(crate) relay: Option<RelayRun>,
}

/// What a run of a request that is passed on as it came needs besides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayRun {
    /// The client account, if the request has one.
    pub(crate) account: Option<AccountId>,
    /// When its answer must be there.
    pub(crate) deadline: Instant,
    /// The most tokens that one event of its stream holds.
    pub(crate) stride: u64,
    /// Whether another endpoint may go on where the answer breaks off.
    pub(crate) resumable: bool,
}

/// An answer that the ledger keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Replay {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: Vec<u8>,
}
