//! Effects that the core requests from the edge.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::config::RouteTable;
use crate::config::Snapshot;
use crate::decide::RoundId;
use crate::decide::SlotMessage;
use crate::decide::StreamKey;
use crate::escrow::Proposal;
use crate::ids::AccountId;
use crate::ids::Incarnation;
use crate::ids::ModelId;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ids::TableVersion;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::router::event::BudgetTransfer;
use crate::router::event::KeptBatches;
use crate::router::event::LoanRequest;
use crate::router::event::PromptNotice;
use crate::router::event::ReplyId;
use crate::router::heartbeat::Heartbeat;
use crate::router::problem::Problem;
use crate::router::stream_log::StreamLogCall;
use crate::router::streams::StreamRow;

/// What the edge is to do.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    Refuse(RequestId, Box<Problem>),
    /// Answers a request with the recorded answer of its first run.
    Replay(RequestId, Replay),
    /// Sends a request to an endpoint and relays the answer, except for its end.
    Run(RequestId, Box<Run>),
    /// Counts a retry of a request to a pool, or one that the pool's retry budget did not allow.
    CountRetry {
        pool: PoolId,
        sent: bool,
    },
    /// Has another router carry out a request that was sent to no endpoint.
    Forward(RequestId, Box<Forwarding>),
    /// Checks whether a connection to an endpoint can be opened.
    CheckConnection(VmId, String),
    /// Examines whether an endpoint that closed a connection during a run still listens.
    ExamineEndpoint {
        vm: VmId,
        address: String,
        /// The current time, to be returned with the result.
        asked: Instant,
    },
    /// Sends the end of an answer.
    FinishAnswer(RequestId),
    /// Drops the connection to the endpoint that runs a request, without an answer to the caller.
    Abandon(RequestId),
    /// Aborts an answer so that the caller notices that it is incomplete. If no part of it has been sent, the caller
    /// gets this problem as the answer.
    Abort(RequestId, Box<Problem>),
    /// Appends a batch to the ledger.
    Append {
        /// The router that wrote the batch.
        router: Incarnation,
        sequence: Sequence,
        bytes: Vec<u8>,
    },
    SendHeartbeat(Heartbeat, Vec<Peer>),
    /// Appends a batch that a router, now dead, had left with this one.
    AppendKept(Vec<u8>),
    /// Asks peers to store batches that cannot be appended.
    KeepBatches(KeptBatches, Vec<Peer>),
    /// Sends the configuration to a peer whose version is older.
    SendConfig(Box<Snapshot>, Peer),
    /// Makes the route table available to peers whose version is older.
    OfferTable(Arc<RouteTable>),
    /// Requests the route table from a peer.
    FetchTable(Peer),
    /// Fetches a state of the ledger to start from.
    Fetch(Vec<Peer>),
    /// Appends a record to the configuration stream.
    AppendConfig(Vec<u8>),
    /// Writes a checkpoint as of an offset, in these parts.
    Checkpoint(Offset, Vec<Vec<u8>>),
    /// Appends grants, on the condition that the proposal names.
    ProposeGrants(Proposal),
    /// Reads grants from an offset on, or the newest record of each key.
    ReadGrants(Option<Offset>),
    /// Notifies the other routers of a long prompt. Delivery is not guaranteed; a router that misses it only chooses
    /// endpoints less well.
    SendPromptNotice(PromptNotice, Arc<[Peer]>),
    /// Has another router remember which versions began streams.
    KeepStreams(Vec<StreamRow>, Peer),
    /// Asks another router what began the stream that a request takes up.
    LocateStream(RequestId, StreamKey, Peer),
    /// Reads all that the log has of lists and configurations, for a round of questions.
    RefreshLists(RoundId),
    /// Asks another router which versions it knows.
    AskVersions(RoundId, Peer),
    /// To call the log of streams and versions.
    CallStreamLog(StreamLogCall),
    /// Tells another router the demand for slots of brittle endpoints, or grants it slots.
    SendSlots(Vec<SlotMessage>, Peer),
    /// Transfers budget to another router.
    TransferBudget(BudgetTransfer, Peer),
    /// Requests a loan from another router.
    RequestLoan(LoanRequest, Peer),
    /// Sends an order to an endpoint.
    SendOrder(Order),
    /// Polls an endpoint for its load and its cache events.
    Probe(VmId, String),
    /// Answers an operator or another router.
    Answer(ReplyId, u16, Value),
    /// Close the connections of callers once their answers are sent.
    CloseConnections,
    /// Exits the process.
    Exit {
        /// Whether this cuts off requests in progress, or loses records that are stored nowhere else.
        cut: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) vm: VmId,
    /// Address at which it listens for routers, `ip:port`.
    pub(crate) address: String,
}

/// An order to an endpoint: the state that it should reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Order {
    /// Address of the endpoint, `ip:port`.
    pub(crate) address: String,
    /// Fencing token: an endpoint ignores orders with a lower one.
    pub(crate) fence: u64,
    /// Models to be loaded.
    pub(crate) models: Vec<ModelId>,
}

/// Where a request is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Forwarding {
    /// Addresses at which other routers take forwarded requests, `ip:port`. The next one is used if no connection to
    /// one can be opened.
    pub(crate) hops: Vec<String>,
    /// When the answer must be complete.
    pub(crate) deadline: Instant,
    /// Version of this router's route table.
    pub(crate) table: TableVersion,
}

/// A request as it is dispatched to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) endpoint: VmId,
    /// Address of the endpoint, `ip:port`.
    pub(crate) address: String,
    /// The request's key, passed on to the endpoint for its records.
    pub(crate) key: RequestKey,
    /// The team that pays.
    pub(crate) team: TeamId,
    /// Maximum length of a completion, as reserved.
    pub(crate) limit: u64,
    /// 0 (most urgent) to 9 (least urgent).
    pub(crate) priority: u8,
    /// How long the claim waited for its verdict.
    pub(crate) claim_wait: Duration,
    /// Whether a run whose answer breaks off may be repeated.
    pub(crate) idempotent: bool,
    /// Whether the endpoint has announced a limit or that it is brittle, which an answer without that may lift.
    pub(crate) limited: bool,
    /// Whether the endpoint must be seen to be up before the request is sent: a suspect that met one that is down would be
    /// held responsible for its crash.
    pub(crate) check: bool,
    /// Further data for a request that is relayed unchanged.
    pub(crate) relay: Option<RelayRun>,
}

/// Data for a run of a request that is relayed unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayRun {
    /// The client account, if the request has one.
    pub(crate) account: Option<AccountId>,
    /// When the answer must be complete.
    pub(crate) deadline: Instant,
    /// Maximum number of tokens in one event of the stream.
    pub(crate) stride: u64,
    /// Whether another endpoint can resume a broken answer.
    pub(crate) resumable: bool,
}

/// An answer recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Replay {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}
