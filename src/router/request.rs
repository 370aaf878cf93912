//! A request in progress at this router.

use std::time::Duration;
use std::time::Instant;

use crate::config::Repeat;
use crate::decide::Prompt;
use crate::ids::AccountId;
use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestKey;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::ledger::Bearer;
use crate::router::event::Work;
use crate::router::problem::Problem;
use crate::tokens::Tokens;

/// A request in progress at this router.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) key: RequestKey,
    pub(crate) attempt: Attempt,
    pub(crate) fingerprint: Fingerprint,
    /// The last offset folded when the attempt arrived.
    pub(crate) seen: Offset,
    pub(crate) team: TeamId,
    pub(crate) pool: PoolId,
    pub(crate) bearer: Bearer,
    pub(crate) idempotent: bool,
    /// The most that it can cost.
    pub(crate) reserve: Tokens,
    /// The longest answer that the reservation covers.
    pub(crate) limit: Tokens,
    pub(crate) priority: u8,
    pub(crate) work: Work,
    pub(crate) arrived_at: Instant,
    /// When its last claim joined a batch.
    pub(crate) claimed_at: Option<Instant>,
    pub(crate) deadline: Instant,
    pub(crate) state: State,
    /// Endpoints that failed over it.
    pub(crate) failed_endpoints: Vec<VmId>,
    /// What runs that broke off used.
    pub(crate) wasted: Tokens,
    /// Whether it was sent to an endpoint at all.
    pub(crate) dispatched: bool,
    /// What the ledger and the purse have of it.
    pub(crate) reservation: Reservation,
    /// Whether it counts against its account's limit.
    pub(crate) entered: bool,
    /// The terms of a request that is passed on as it came.
    pub(crate) relay: Option<RelayTerms>,
}

/// The terms on which a request is passed on as it came.
///
/// Such a request has no key: only the router that has its connection can dispatch it, so that at most once needs no
/// record in the log, and what it uses is counted in the router's own grant.
#[derive(Clone, Debug)]
pub(crate) struct RelayTerms {
    /// The client account, if the route asks for one.
    pub(crate) account: Option<AccountId>,
    /// What may be repeated.
    pub(crate) repeat: Repeat,
    /// How urgent its route is among its team's, 0 (first) to 9 (last).
    pub(crate) priority: u8,
    /// How many endpoints it may run on.
    pub(crate) attempts: u32,
    /// How many endpoints it ran on, or may have run on.
    pub(crate) runs: u32,
    /// The tokens of its prompt.
    pub(crate) input: Tokens,
    /// What it used so far.
    pub(crate) used: Tokens,
    /// The most tokens in one event of its stream.
    pub(crate) stride: u64,
    /// Within which time an answer, or its first event, is on time.
    pub(crate) objective: Duration,
    /// Its prompt, if it has one.
    pub(crate) prompt: Option<Prompt>,
    /// How many tokens of it the endpoint has to read, and when its first token is expected.
    pub(crate) expected_prefill: Option<(u64, Instant)>,
    /// Whether an endpoint was left for its silence.
    pub(crate) timed_out: bool,
    /// Whether it was told to stop, so that only its use is still to come.
    pub(crate) stopped: bool,
}

impl Request {
    pub(crate) fn account(&self) -> &AccountId {
        &self.key.account
    }
}

/// How far a request's reservation has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reservation {
    /// Nothing is reserved.
    None,
    /// It is promised in the purse.
    Funded,
    /// Its claim is on its way; the promise stays until the verdict.
    Pending,
    /// Its claim stands in the ledger.
    Claimed,
}

/// Where a request is.
#[derive(Debug)]
pub(crate) enum State {
    /// Another attempt of it is in progress, here or elsewhere.
    Contended,
    /// It waits for budget.
    Funding {
        /// Since when it asks for more than can be drawn.
        short_since: Option<Instant>,
    },
    /// It waits for an endpoint.
    Queued,
    /// Its claim is on its way to the log.
    Claiming {
        /// Where it will run.
        endpoint: VmId,
    },
    /// It runs.
    Running {
        /// Where.
        endpoint: VmId,
        /// Since when.
        since: Instant,
        /// When its first token came.
        first_token: Option<Instant>,
    },
    /// Its bill is on its way to the log.
    Billing {
        /// What the caller gets then.
        answer_end: AnswerEnd,
    },
    /// The proof that it was not run is on its way to the log.
    Proving {
        /// What the caller gets then.
        problem: Box<Problem>,
    },
    /// The caller has its answer or is gone; only the ledger's affairs are left.
    Abandoned,
}

impl State {
    /// Returns whether it waits for the log alone.
    pub(crate) fn needs_log(&self) -> bool {
        matches!(
            self,
            Self::Funding { .. } | Self::Claiming { .. } | Self::Proving { .. }
        )
    }
}

/// What a caller gets once its request is billed.
#[derive(Debug)]
pub(crate) enum AnswerEnd {
    /// The end of its answer.
    Withheld,
    /// The end of its answer went out before, on other routers' word that they keep the bill.
    Released,
    /// Nothing more: it has its answer's cut or its refusal already.
    None,
}
