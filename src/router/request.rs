//! A request in progress at this router.

use std::time::Duration;
use std::time::Instant;

use crate::config::RepeatPolicy;
use crate::decide::Confirmation;
use crate::decide::PendingRetry;
use crate::decide::Prompt;
use crate::decide::StreamKey;
use crate::decide::Suspect;
use crate::ids::AccountId;
use crate::ids::Attempt;
use crate::ids::AttemptId;
use crate::ids::Fingerprint;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestKey;
use crate::ids::SoftwareVersion;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::ledger::Bearer;
use crate::router::event::Resumption;
use crate::router::event::Work;
use crate::router::grant_budget::Reserved;
use crate::router::problem::Problem;
use crate::router::streams::StreamVersion;
use crate::tokens::Tokens;

/// A request in progress at this router.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) key: RequestKey,
    pub(crate) attempt: Attempt,
    pub(crate) fingerprint: Fingerprint,
    /// The offset of the last ledger record applied when the attempt arrived.
    pub(crate) seen: Offset,
    pub(crate) team: TeamId,
    pub(crate) pool: PoolId,
    pub(crate) bearer: Bearer,
    pub(crate) idempotent: bool,
    /// The most tokens that it can cost.
    pub(crate) reserve: Tokens,
    /// The most tokens of answer that the reservation covers.
    pub(crate) limit: Tokens,
    pub(crate) priority: u8,
    pub(crate) work: Work,
    pub(crate) arrived_at: Instant,
    /// When its last claim was added to a batch.
    pub(crate) claimed_at: Option<Instant>,
    pub(crate) deadline: Instant,
    pub(crate) state: State,
    /// Endpoints that failed while running it.
    pub(crate) failed_endpoints: Vec<VmId>,
    /// Tokens used by runs that broke off.
    pub(crate) wasted: Tokens,
    /// The retry by which its present run was sent, until that is known to have arrived.
    pub(crate) retry: Option<PendingRetry>,
    /// The retry taken from its pool's budget for the run that follows an abandoned one.
    pub(crate) reserved_retry: Option<PendingRetry>,
    /// Whether it was sent to an endpoint at all.
    pub(crate) dispatched: bool,
    /// The state of its reservation in the ledger budget and the ledger.
    pub(crate) reservation: Reservation,
    /// Whether it counts against its account's limit.
    pub(crate) entered: bool,
    /// Set for a pass-through request.
    pub(crate) relay: Option<RelayTerms>,
}

/// The terms of a pass-through request, which is relayed to its endpoint unchanged.
///
/// It has no idempotency key: only the router that holds its connection can dispatch it, so at-most-once execution
/// needs no record in the log, and its usage is charged to the router's own grant.
#[derive(Clone, Debug)]
pub(crate) struct RelayTerms {
    /// The client account, if the route requires one.
    pub(crate) account: Option<AccountId>,
    /// How far the route allows repeated runs.
    pub(crate) repeat: RepeatPolicy,
    /// The priority of its route among its team's routes, 0 (first) to 9 (last).
    pub(crate) priority: u8,
    /// The most endpoints that it may run on.
    pub(crate) attempts: u32,
    /// The number of endpoints that it ran on, or may have run on.
    pub(crate) runs: u32,
    /// Tokens of its prompt.
    pub(crate) input: Tokens,
    /// Tokens used so far.
    pub(crate) used: Tokens,
    /// The most tokens in one event of its stream.
    pub(crate) stride: u64,
    /// The latency objective for its answer, or for the first event of a stream.
    pub(crate) objective: Duration,
    /// Its prompt, if it has one.
    pub(crate) prompt: Option<Prompt>,
    /// How many prompt tokens the endpoint has to prefill, and when the first token of the answer is expected.
    pub(crate) expected_prefill: Option<(u64, Instant)>,
    /// Whether a run was already abandoned because its endpoint sent nothing in time.
    pub(crate) timed_out: bool,
    /// Whether its endpoint was silent while no retry was left.
    pub(crate) retry_refused: bool,
    /// The caller's name for the attempt.
    pub(crate) attempt: Option<AttemptId>,
    /// How it takes up a stream, if it does.
    pub(crate) resumption: Option<Resumption>,
    /// The version of the endpoints' software that it is bound to.
    pub(crate) stream: StreamVersion,
    /// What may crash the endpoint that runs it.
    pub(crate) suspects: Vec<Suspect>,
    /// Whether another router forwarded it.
    pub(crate) forwarded: bool,
    /// Whether it may have reached an endpoint.
    pub(crate) arrived: bool,
    /// The endpoint whose silence was last counted.
    pub(crate) silent_at: Option<VmId>,
    /// Whether it was told to stop, so that only its usage is still to be reported.
    pub(crate) stopped: bool,
}

impl Request {
    pub(crate) fn account(&self) -> &AccountId {
        &self.key.account
    }

    /// Returns whether another router forwarded it.
    pub(crate) fn is_forwarded(&self) -> bool {
        self.relay.as_ref().is_some_and(|terms| terms.forwarded)
    }

    /// Returns whether another router may carry it out: it reached no endpoint, and has not been forwarded before.
    pub(crate) fn may_be_forwarded(&self) -> bool {
        let terms = self.relay.as_ref();
        terms.is_some_and(|terms| !terms.forwarded && !terms.arrived)
    }

    /// Returns the stream that it takes up, if its caller named it.
    pub(crate) fn resumed_stream(&self) -> Option<StreamKey> {
        let attempt = self.relay.as_ref()?.resumption.as_ref()?.origin.clone()?;
        Some(StreamKey {
            account: self.key.account.clone(),
            attempt,
        })
    }

    /// Returns the tokens of broken runs that its team pays for: either the team or the operator (`House`) bears these,
    /// as the deployment specifies.
    pub(crate) fn charged_waste(&self) -> Tokens {
        match self.bearer {
            Bearer::Team => self.wasted,
            Bearer::House => Tokens::ZERO,
        }
    }
}

/// The state of a request's reservation.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Reservation {
    /// Nothing is reserved.
    None,
    /// The cost is reserved in this router's ledger budget.
    Funded,
    /// The cost is reserved in a budget kept by grants.
    Granted(Reserved),
    /// Its claim is on its way to the log; the ledger budget keeps the reservation until the verdict.
    Pending,
    /// The ledger accepted its claim.
    Claimed,
}

/// The state of a request in progress.
#[derive(Debug)]
pub(crate) enum State {
    /// Another attempt with its key is in progress, at this router or another one.
    Contended,
    /// The log or the other routers are asked whether this router's lists are current.
    Confirming,
    /// Other routers are asked what began the stream that it takes up.
    Locating {
        /// How many of them have not answered.
        waiting: usize,
        /// Whether this router's lists were confirmed for it, if that was asked.
        confirmed: Option<Confirmation>,
    },
    /// The log is searched for what began the stream that it takes up.
    Seeking {
        /// Whether this router's lists were confirmed for it, if that was asked.
        confirmed: Option<Confirmation>,
    },
    /// It waits for budget.
    Funding {
        /// Since when its team's budget has had too little left to draw.
        short_since: Option<Instant>,
    },
    /// It waits for an endpoint.
    Queued,
    /// Its claim is on its way to the log.
    Claiming {
        /// The endpoint that it will run on.
        endpoint: VmId,
    },
    /// It runs at an endpoint.
    Running {
        /// The endpoint that runs it.
        endpoint: VmId,
        /// When that endpoint's life began, if its entry in the VM list says so.
        birth: Option<String>,
        /// The version of its software, if its entry says so.
        version: Option<SoftwareVersion>,
        /// When it was dispatched.
        since: Instant,
        /// When its first token, or the head of its answer, arrived.
        first_token: Option<Instant>,
    },
    /// Its bill is on its way to the log.
    Billing {
        /// What happens to the end of its answer.
        answer_end: AnswerEnd,
    },
    /// A record that is to prove that it was not run is on its way to the log.
    Proving {
        /// The refusal that the caller gets afterwards.
        problem: Box<Problem>,
    },
    /// The caller has its answer or is gone; only records in the ledger are still to be settled.
    Abandoned,
}

impl State {
    /// Returns whether it waits only for the log.
    pub(crate) fn needs_log(&self) -> bool {
        matches!(
            self,
            Self::Funding { .. } | Self::Claiming { .. } | Self::Proving { .. }
        )
    }
}

/// What happens to the end of an answer whose request is being billed.
#[derive(Debug)]
pub(crate) enum AnswerEnd {
    /// It is withheld until the bill is accepted.
    Withheld,
    /// It was already sent, because other routers confirmed that they hold a copy of the bill.
    Released,
    /// There is none to send: the answer was cut off or refused, or the caller is gone.
    None,
}
