//! Events that the edge passes to the core.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::config::RouteTable;
use crate::config::Snapshot;
use crate::decide::Announcement;
use crate::decide::CacheEvent;
use crate::decide::Prompt;
use crate::decide::RoundId;
use crate::decide::SlotMessage;
use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::ids::Attempt;
use crate::ids::AttemptId;
use crate::ids::DomainId;
use crate::ids::Fingerprint;
use crate::ids::IdempotencyKey;
use crate::ids::Incarnation;
use crate::ids::ModelId;
use crate::ids::Offset;
use crate::ids::RequestId;
use crate::ids::Sequence;
use crate::ids::TableVersion;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::ids::VmId;
use crate::labels::Labels;
use crate::ledger::Ledger;
use crate::part_id::PartId;
use crate::router::confirm::KnownVersions;
use crate::router::core::Tuning;
use crate::router::drained::DrainedDomains;
use crate::router::examine::Examination;
use crate::router::heartbeat::Heartbeat;
use crate::router::run_end::RunEnd;
use crate::router::stream_log::StreamLogEvent;
use crate::router::streams::StreamRow;
use crate::router::streams::VersionRow;
use crate::tokens::Tokens;
use crate::vms::VmList;

#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller's request was received completely.
    RequestArrived(Box<Arrival>),
    /// The caller disconnected before its answer began.
    CallerGone(RequestId),
    /// The first token of an answer, or its response header, arrived from the endpoint.
    AnswerStarted(RequestId),
    /// The head of an answer announced something about the endpoint, or no longer does.
    EndpointAnnounced(RequestId, Announcement),
    /// The endpoint that a request runs at answered, with a failure or with the answer to another request.
    EndpointAnswered(RequestId),
    /// Whether a connection to an endpoint could be opened.
    ConnectionChecked(VmId, bool),
    /// An endpoint that closed a connection during a run was examined.
    EndpointExamined {
        vm: VmId,
        /// When it was asked for a connection.
        asked: Instant,
        found: Examination,
    },
    /// A run ended; all of the answer except its end marker was sent to the caller.
    RunEnded(RequestId, RunEnd),
    /// An append to the ledger was answered by the log service, or failed.
    Appended {
        /// The incarnation that wrote the batch.
        router: Incarnation,
        /// The batch's sequence number.
        sequence: Sequence,
        /// Whether the batch is known to be in the log.
        landed: bool,
    },
    /// Records read from the ledger stream.
    LedgerEntries(Vec<Entry>),
    /// Records read from the configuration stream.
    ConfigEntries(Vec<Entry>),
    /// The log no longer has ledger records that this router has not read.
    LedgerTruncated,
    /// A checkpoint of this router was written completely.
    CheckpointWritten {
        /// Offset of the first record that it does not include.
        as_of: Offset,
        /// Offset of its first part in the checkpoint stream.
        first: Offset,
    },
    /// Everything that the log contained at the router's start has been read.
    CaughtUp,
    /// A state of the ledger to start from, read from a checkpoint or received from a peer.
    LedgerSnapshot(Box<Ledger>),
    /// A configuration received from a peer.
    ConfigSnapshot(Box<Snapshot>),
    /// A new VM list from the platform.
    VmList(VmList),
    /// Versions of endpoints that were listed between two reads of the list, and are not any more.
    VersionsListed(Vec<VersionRow>),
    /// The list of endpoints was read as a whole, and what it had before is not known.
    ListGap,
    /// A former life of this router is listed.
    FormerLife,
    /// A heartbeat arrived from a peer, as a call or as the answer to one.
    HeartbeatReceived(Heartbeat),
    /// A peer did not answer a heartbeat.
    HeartbeatFailed(VmId, PeerFailure),
    /// A peer asks this router to store batches that it cannot append.
    KeepBatches(ReplyId, KeptBatches),
    /// A peer stores this router's batches up to this number.
    BatchesKept {
        /// The peer that stores them.
        peer: VmId,
        /// The incarnation that wrote them.
        router: Incarnation,
        /// The sequence number of the last batch.
        last: Sequence,
        /// The number of records in the last batch.
        records: usize,
    },
    /// A health check of an endpoint passed or failed.
    HealthChecked(VmId, bool),
    /// A peer cannot store this router's batches, because it lacks earlier ones.
    BatchesRejected(VmId),
    /// An endpoint reported its load.
    EndpointLoad(VmId, EndpointLoad),
    /// An endpoint reported changes of its cache.
    CacheEvents(VmId, Vec<CacheEvent>),
    /// An operator or a caller made a request to the router itself.
    Admin(ReplyId, AdminRequest),
    /// The set of drained failure domains was read.
    DrainedDomains(DrainedDomains),
    /// Endpoints reported how much longer they are cold.
    ColdEndpoints(Vec<(VmId, Duration)>),
    /// A complete route table from the platform or a peer.
    Table(Arc<RouteTable>),
    /// A peer that was asked for its route table did not send it.
    TableFetchFailed(VmId),
    /// At this time, the platform had no configuration newer than the one delivered.
    TableConfirmed(Instant),
    /// The log that stores grants answered a read or a proposal, or failed to.
    Grants(GrantEvent),
    /// Another router requests a loan.
    LoanRequested(ReplyId, LoanRequest),
    /// Another router tells which versions began streams.
    StreamsBegun(Vec<StreamRow>),
    /// Another router asks what began a stream.
    StreamQueried(ReplyId, StreamKey),
    /// A router that was asked what began the stream that a request takes up answered, if it knows, or did not.
    StreamLocated(RequestId, Option<StreamOrigin>),
    /// All that the log had of lists and configurations has been read for a round of questions, or could not be.
    ListsRefreshed(RoundId, bool),
    /// Another router asks which versions this one knows.
    VersionsQueried(ReplyId),
    /// A router that was asked which versions it knows answered, or did not.
    VersionsKnown(RoundId, VmId, Result<KnownVersions, PeerFailure>),
    /// The log of streams and versions answered, or did not.
    StreamLog(StreamLogEvent),
    /// Another router tells its demand for slots of brittle endpoints, or grants slots.
    Slots(Vec<SlotMessage>),
    /// Another router sent a long prompt to an endpoint.
    PromptNotice(PromptNotice),
    /// Another router transfers its unused budget to this one.
    TransferReceived(ReplyId, BudgetTransfer),
    /// Another router accepted a transfer from this one (`true`), or did not answer.
    TransferAnswered(BudgetTransfer, bool),
    /// Another router answered a loan request, or did not.
    LoanAnswered(LoanRequest, Option<Tokens>),
    /// The settings changed.
    SettingsChanged(Box<Tuning>),
    /// A planned stop begins.
    Drain,
    /// The process was suspended for some time and has resumed.
    Paused,
    /// A periodic timer fired.
    Tick,
}

/// Why a call to a peer was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerFailure {
    /// The VM refused the connection: the process is dead and the VM is alive.
    Refused,
    /// The connection was established, but no answer came: the process hangs, or a middlebox is faulty.
    Mute,
    /// No connection was established: the VM is dead, or the network is partitioned.
    Unreachable,
}

/// Identifies a pending question to the core, from an operator, a caller or a peer, so that the answer is routed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReplyId(pub u64);

/// A request to the router itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminRequest {
    /// Which router to use.
    Address,
    /// The router's state.
    Status,
    /// The teams' budgets.
    Teams,
    /// The configuration in force.
    Config,
    /// Adds to a team's budget.
    TopUp {
        /// Identifier of the top-up, which makes it idempotent.
        id: TopUpId,
        team: TeamId,
        amount: Tokens,
    },
    /// Begins a planned stop.
    Drain,
    /// The addresses of the routers that a caller in a failure domain may use.
    Directory(DomainId),
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Its identifier in this router.
    pub(crate) id: RequestId,
    /// The bearer key that was sent with it.
    pub(crate) bearer: Secret,
    /// The caller's idempotency key. Without one, the request cannot be retried and ends with its connection.
    pub(crate) key: Option<IdempotencyKey>,
    /// Attempt number, as counted by the caller.
    pub(crate) attempt: Attempt,
    /// Labels set by the caller.
    pub(crate) labels: Labels,
    /// The requested operation.
    pub(crate) work: Work,
    /// Fingerprint of the request's content.
    pub(crate) fingerprint: Fingerprint,
    /// Time for which the caller waits, if it says so.
    pub(crate) timeout: Option<Duration>,
    /// Priority requested by the caller, 0 (most urgent) to 9 (least urgent); it can lower the priority that the rule
    /// sets, but not raise it.
    pub(crate) priority: Option<u8>,
}

/// A bearer key, which must not appear in log lines.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

/// The operation that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// A completion by a model.
    Completion {
        model: ModelId,
        /// The prompt's length in bytes, an upper bound of its tokens, since no token is shorter than a byte.
        prompt: u64,
        /// Maximum length of the answer, if the caller sets one.
        limit: Option<Tokens>,
        /// Block hashes of the prompt's prefix.
        blocks: Vec<u64>,
    },
    /// A call of a service that is not a model.
    Call {
        /// Name of the service.
        service: String,
        /// The HTTP method.
        method: String,
    },
    /// A request that is relayed unchanged.
    Relay(Relay),
}

/// What the router needs to know of a request that is relayed unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Relay {
    /// The host that the request names.
    pub(crate) host: String,
    /// The path, without its query.
    pub(crate) path: String,
    /// Number of tokens in the prompt; 0 for a service that is not a model.
    pub(crate) input: Tokens,
    /// Maximum number of tokens in the answer.
    pub(crate) output: Tokens,
    /// The prompt, if there is one.
    pub(crate) prompt: Option<Prompt>,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Vec<PartId>,
    /// The model that it names.
    pub(crate) model: Option<ModelId>,
    /// Version of the route table of the router that forwarded the request, if one did.
    pub(crate) forwarded: Option<TableVersion>,
    /// The caller's name for the attempt, if it is valid.
    pub(crate) attempt: Option<AttemptId>,
    /// How it takes up a stream that broke off, if it does.
    pub(crate) resumption: Option<Resumption>,
}

/// A request that goes on with a stream after an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Resumption {
    /// The number of the event, as the caller spells it.
    pub(crate) last: Option<String>,
    /// The attempt that brought the stream's first event, if the caller names it.
    pub(crate) origin: Option<AttemptId>,
}

/// Results from the log that stores grants.
#[derive(Clone, Debug)]
pub(crate) enum GrantEvent {
    /// A read returned all records from the requested offset up to an end.
    Read {
        rows: Vec<(Offset, GrantKey, GrantRow)>,
        /// The offset after the last record.
        end: Offset,
    },
    /// The log no longer has the requested records.
    Gone,
    /// A read failed.
    ReadFailed,
    /// A proposal was appended.
    Landed(Offset),
    /// A proposal was rejected: the partition does not end at the offset that it expects.
    Moved,
    /// The log did not carry out a proposal.
    Refused(Offset),
    /// It is unknown whether a proposal was appended.
    Lost(Offset),
}

/// Tokens used by a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) prompt: Tokens,
    pub(crate) answer: Tokens,
}

impl Usage {
    pub(crate) fn total(self) -> Tokens {
        self.prompt.saturating_add(self.answer)
    }
}

/// A record of the log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    /// Its offset in its stream.
    pub(crate) offset: Offset,
    /// When it was appended, in milliseconds of the log service's clock.
    pub(crate) at: u64,
    pub(crate) data: Vec<u8>,
}

/// Notice of a long prompt that a router sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct PromptNotice {
    pub(crate) endpoint: VmId,
    /// Identifies the part of the prompt that other requests share.
    pub(crate) shared: u64,
    /// Number of its tokens that the endpoint has to process.
    pub(crate) tokens: u64,
}

/// Budget that a router transfers to another one because it stops.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct BudgetTransfer {
    /// The incarnation that stops.
    pub(crate) giver: Incarnation,
    /// Sequence number at that incarnation, by which a repeated transfer counts once.
    pub(crate) number: u64,
    pub(crate) team: TeamId,
    pub(crate) amount: Tokens,
}

/// A request for a loan.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct LoanRequest {
    /// The incarnation that requests it.
    pub(crate) borrower: Incarnation,
    /// Sequence number at that incarnation, by which a repeated request counts once.
    pub(crate) number: u64,
    pub(crate) team: TeamId,
    /// The amount that the waiting requests need.
    pub(crate) amount: Tokens,
    /// Total that the borrower's own callers have requested so far. Lenders derive its demand from this total, however
    /// often it asks.
    pub(crate) asked: Tokens,
    /// Priority of the most urgent request that needs the loan; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// Batches that a router could not append itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct KeptBatches {
    /// The incarnation that wrote them.
    pub(crate) router: Incarnation,
    /// Sequence number of the batch before the first of these; 0 if these are all. A peer that lacks the earlier
    /// batches cannot store these.
    pub(crate) after: Sequence,
    /// Sequence number of the last batch.
    pub(crate) last: Sequence,
    /// Number of records in the last batch so far; more may be added to it.
    pub(crate) records: usize,
    /// The batches in order, each encoded as it is to be appended.
    pub(crate) batches: Vec<Vec<u8>>,
}

impl KeptBatches {
    /// Returns the batches up to a sequence number.
    pub(crate) fn up_to(&self, number: Sequence) -> &[Vec<u8>] {
        let beyond = usize::try_from(self.last.0.saturating_sub(number.0)).unwrap_or(usize::MAX);
        &self.batches[..self.batches.len().saturating_sub(beyond)]
    }
}

/// Load reported by an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct EndpointLoad {
    /// Time since it was measured.
    pub(crate) age: Duration,
    /// Number of running requests.
    pub(crate) running: u32,
    /// Number of waiting requests.
    pub(crate) waiting: u32,
    /// Fraction of the KV cache that is in use, 0 to 1.
    pub(crate) kv_used: f64,
    /// Models that are loaded.
    pub(crate) models: Vec<ModelId>,
}
