//! What happens to a router.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::config::RouteTable;
use crate::config::Snapshot;
use crate::decide::CacheEvent;
use crate::decide::Prompt;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::ids::Attempt;
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
use crate::router::core::Tuning;
use crate::router::drained::DrainedDomains;
use crate::tokens::Tokens;
use crate::vms::VmList;

/// What the edge tells the core.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller's request was read whole.
    RequestArrived(Box<Arrival>),
    /// The caller is gone before its answer began.
    CallerGone(RequestId),
    /// The endpoint's first token, or the head of its answer, came.
    AnswerStarted(RequestId),
    /// A run is over; all of the answer but its end marker went to the caller.
    RunEnded(RequestId, RunEnd),
    /// The log service answered an append to the ledger, or did not.
    Appended {
        /// The incarnation whose batch it was.
        router: Incarnation,
        /// The batch's number.
        sequence: Sequence,
        /// Whether it is known to have landed.
        landed: bool,
    },
    /// Records of the ledger's stream.
    LedgerEntries(Vec<Entry>),
    /// Records of the configuration's stream.
    ConfigEntries(Vec<Entry>),
    /// The log has let go records of the ledger that this router did not read.
    LedgerTruncated,
    /// A checkpoint that this router wrote stands whole.
    CheckpointWritten {
        /// The offset of the first record that it has not folded.
        as_of: Offset,
        /// Where in its stream its first part stands.
        first: Offset,
    },
    /// All that the log held when the router started has been read.
    CaughtUp,
    /// A state to start from, from a checkpoint or a peer.
    LedgerSnapshot(Box<Ledger>),
    /// A configuration, from a peer.
    ConfigSnapshot(Box<Snapshot>),
    /// The VM list, as the platform shows it.
    VmList(VmList),
    /// A peer was heard, either way.
    HeartbeatReceived(Heartbeat),
    /// A peer did not answer a heartbeat.
    HeartbeatFailed(VmId, PeerFailure),
    /// A peer asks this router to keep the batches that it cannot append.
    KeepBatches(ReplyId, KeptBatches),
    /// A peer keeps this router's batches up to this number.
    BatchesKept {
        /// Who keeps it.
        peer: VmId,
        /// The incarnation whose batches they are.
        router: Incarnation,
        /// The number of the last of them.
        last: Sequence,
        /// How many records that one had.
        records: usize,
    },
    /// An endpoint was asked how it is, and answered or did not.
    HealthChecked(VmId, bool),
    /// A peer can't keep this router's batches, for it lacks those before them.
    BatchesRejected(VmId),
    /// What an endpoint says of its load.
    EndpointLoad(VmId, EndpointLoad),
    /// What an endpoint says of its cache.
    CacheEvents(VmId, Vec<CacheEvent>),
    /// An operator asks for something.
    Admin(ReplyId, AdminRequest),
    /// Which failure domains the operator drains.
    DrainedDomains(DrainedDomains),
    /// Endpoints say how much longer they are cold.
    ColdEndpoints(Vec<(VmId, Duration)>),
    /// A whole configuration from a platform that hands it over at once.
    Table(Arc<RouteTable>),
    /// A peer that was asked for its configuration did not send it.
    TableFetchFailed(VmId),
    /// The platform had no newer configuration at a moment than what it has handed over.
    TableConfirmed(Instant),
    /// Something happened at the log that keeps grants.
    Grants(GrantEvent),
    /// Another router asks for a loan.
    LoanRequested(ReplyId, LoanRequest),
    /// Another router sent an endpoint a long prompt.
    PromptNotice(PromptNotice),
    /// Another router hands over what it holds idle.
    TransferReceived(ReplyId, BudgetTransfer),
    /// Another router has what was handed over to it, or did not answer.
    TransferAnswered(BudgetTransfer, bool),
    /// Another router answered a question for a loan, or did not.
    LoanAnswered(LoanRequest, Option<Tokens>),
    /// The settings changed.
    SettingsChanged(Box<Tuning>),
    /// A planned stop begins.
    Drain,
    /// The process was stopped for a while, and goes on.
    Paused,
    /// Time has passed.
    Tick,
}

/// Why a peer said nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerFailure {
    /// Its VM says that nothing listens there: the process is dead, and the VM lives.
    Refused,
    /// A connection was had, and no answer over it: the process is frozen, or what stands between is at fault.
    Mute,
    /// No connection was had: the VM is dead, or the network is parted.
    Unreachable,
}

/// Names an operator's question, so that its answer finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReplyId(pub u64);

/// What an operator or a caller asks of the router itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminRequest {
    /// Which router to use.
    Address,
    /// All that the router knows.
    Status,
    /// The teams' budgets.
    Teams,
    /// The configuration in force.
    Config,
    /// To add to a budget.
    TopUp {
        /// The top-up's name.
        id: TopUpId,
        /// Whose budget.
        team: TeamId,
        /// By how much.
        amount: Tokens,
    },
    /// To stop in order.
    Drain,
    /// Which routers' addresses a caller in a failure domain may use.
    Directory(DomainId),
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Its name in this router.
    pub(crate) id: RequestId,
    /// The bearer key that came with it.
    pub(crate) bearer: Secret,
    /// The caller's key for it; without one it is this request alone, and ends with its connection.
    pub(crate) key: Option<IdempotencyKey>,
    /// The caller's count of its tries.
    pub(crate) attempt: Attempt,
    /// The labels that the caller attached.
    pub(crate) labels: Labels,
    /// What is asked.
    pub(crate) work: Work,
    /// A fingerprint of it.
    pub(crate) request: Fingerprint,
    /// How long the caller waits.
    pub(crate) patience: Option<Duration>,
    /// The caller's wish, 0 (first) to 9 (last); it can only fall behind the rule's.
    pub(crate) priority: Option<u8>,
}

/// A bearer key, which no log line may show.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// A completion.
    Completion {
        /// By which model.
        model: ModelId,
        /// The prompt's length, which bounds its tokens: none is shorter than a byte.
        prompt: u64,
        /// The longest answer that is wanted.
        limit: Option<Tokens>,
        /// The prompt's prefix, as block hashes.
        blocks: Vec<u64>,
    },
    /// A plain service's call.
    Call {
        /// Which service.
        service: String,
        /// The HTTP method.
        method: String,
    },
    /// A request that is passed on as it came.
    Relay(Relay),
}

/// What the router needs to know of a request that is passed on as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Relay {
    /// The host that was asked.
    pub(crate) host: String,
    /// The path, without its query.
    pub(crate) path: String,
    /// The tokens of its prompt; none for a plain service.
    pub(crate) input: Tokens,
    /// The most tokens that its answer may have.
    pub(crate) output: Tokens,
    /// Its prompt, if it has one.
    pub(crate) prompt: Option<Prompt>,
}

/// What happens at the log that keeps grants.
#[derive(Clone, Debug)]
pub(crate) enum GrantEvent {
    /// Records were read: all that follow what was asked for, up to an end.
    Read {
        /// The records.
        rows: Vec<(Offset, GrantKey, GrantRow)>,
        /// The offset that follows the last one.
        end: Offset,
    },
    /// The log no longer has the records that were asked for.
    Gone,
    /// A read was not answered.
    ReadFailed,
    /// A proposal stands.
    Landed(Offset),
    /// The partition does not end where the proposal says.
    Moved,
    /// The log did nothing about a proposal.
    Refused(Offset),
    /// Nobody knows what became of a proposal.
    Lost(Offset),
}

/// What a run used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Tokens of the prompt.
    pub(crate) prompt: Tokens,
    /// Tokens of the answer.
    pub(crate) answer: Tokens,
}

impl Usage {
    /// Returns all that was used.
    pub(crate) fn total(self) -> Tokens {
        self.prompt.saturating_add(self.answer)
    }
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The endpoint gave the whole answer of a completion.
    Completed {
        /// What it says that it used.
        usage: Usage,
    },
    /// The endpoint answered a call.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body, where it is short.
        body: Option<Vec<u8>>,
    },
    /// The endpoint refused the request or could not be reached; it did not run.
    NotRun {
        /// How long the endpoint asks to be left alone, if it does.
        retry: Option<Duration>,
    },
    /// Nobody sent the request: its caller was gone when it was dispatched.
    Unsent,
    /// The endpoint failed after it had the request.
    Failed {
        /// What is known to have been used; nothing where nobody knows.
        usage: Option<Usage>,
        /// Whether the caller has a part of the answer already, so that it cannot begin again.
        begun: bool,
        /// Whether the endpoint was found dead.
        died: bool,
    },
    /// The caller went away.
    CallerGone {
        /// What is known to have been used; nothing where nobody knows.
        usage: Option<Usage>,
    },
}

impl RunEnd {
    /// Returns its name, for logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Completed { .. } => "whole",
            Self::Answered { .. } => "answered",
            Self::NotRun { .. } => "not-run",
            Self::Failed { .. } => "broken",
            Self::CallerGone { .. } => "caller-gone",
            Self::Unsent => "unsent",
        }
    }
}

/// A record of the log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    /// Its place in its stream.
    pub(crate) offset: Offset,
    /// When it was appended, milliseconds of the log service's clock.
    pub(crate) at: u64,
    /// Its content.
    pub(crate) data: Vec<u8>,
}

/// What routers tell each other all the time.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Heartbeat {
    /// The VM of the router that says so.
    pub(crate) vm: VmId,
    /// Its incarnation.
    pub(crate) router: Incarnation,
    /// Whether it takes new requests.
    pub(crate) serving: bool,
    /// Requests in progress, in thousandths of what it can take.
    pub(crate) load: u32,
    /// The offset that follows its configuration, so that one that is behind asks for it.
    pub(crate) config: Offset,
    /// The version of its configuration, where a platform hands it over whole; 0 before that.
    pub(crate) table: TableVersion,
    /// Which failure domains are drained, as far as it knows.
    pub(crate) drained: DrainedDomains,
    /// What time of day it is there, since the Unix epoch, by a clock that is not set while the process runs.
    pub(crate) clock: Duration,
    /// Its budgets, where they are kept by grants.
    pub(crate) purses: Vec<TeamBudget>,
}

/// What a router says of one team's budget.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct TeamBudget {
    /// The team.
    pub(crate) team: TeamId,
    /// What lies idle there.
    pub(crate) free: Tokens,
    /// How fast it is asked for there, in tokens a second.
    pub(crate) demand: u64,
}

/// A prompt that a router sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct PromptNotice {
    /// The endpoint.
    pub(crate) endpoint: VmId,
    /// Names the parts that other requests share.
    pub(crate) shared: u64,
    /// How many of its tokens the endpoint has to read.
    pub(crate) tokens: u64,
}

/// Budget that a router hands over because it stops.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct BudgetTransfer {
    /// The lifetime that stops.
    pub(crate) giver: Incarnation,
    /// The gift's number there, by which it counts once.
    pub(crate) number: u64,
    /// Whose budget.
    pub(crate) team: TeamId,
    /// How much.
    pub(crate) amount: Tokens,
}

/// A question for a loan.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct LoanRequest {
    /// The lifetime that asks.
    pub(crate) borrower: Incarnation,
    /// The question's number there, by which it counts once.
    pub(crate) number: u64,
    /// Whose budget.
    pub(crate) team: TeamId,
    /// How much would help.
    pub(crate) amount: Tokens,
    /// All that the borrower's own callers have asked for so far: what its lenders take for demand, however often it asks.
    pub(crate) asked: Tokens,
    /// How urgent the most urgent request is that needs it, 0 being first.
    pub(crate) priority: u8,
}

/// Batches that a router could not append itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct KeptBatches {
    /// The incarnation that wrote them.
    pub(crate) router: Incarnation,
    /// The number of the batch that they follow; 0 where all are here. The keeper has what lies before, or can't keep
    /// them.
    pub(crate) after: Sequence,
    /// The number of the last of them.
    pub(crate) last: Sequence,
    /// How many records the last one has by now; it may still grow.
    pub(crate) records: usize,
    /// Each as it is to be appended, in order.
    pub(crate) batches: Vec<Vec<u8>>,
}

impl KeptBatches {
    /// Returns the batches up to a number.
    pub(crate) fn up_to(&self, number: Sequence) -> &[Vec<u8>] {
        let beyond = usize::try_from(self.last.0.saturating_sub(number.0)).unwrap_or(usize::MAX);
        &self.batches[..self.batches.len().saturating_sub(beyond)]
    }
}

/// What an endpoint says of its load, some time ago.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct EndpointLoad {
    /// How long ago it was measured.
    pub(crate) age: Duration,
    /// Requests that run.
    pub(crate) running: u32,
    /// Requests that wait.
    pub(crate) waiting: u32,
    /// How much of its KV cache is in use, 0 to 1.
    pub(crate) kv_used: f64,
    /// Models that it has loaded.
    pub(crate) models: Vec<ModelId>,
}
