//! What came of a request, as its caller saw it.

use std::time::Duration;

use crate::standin::load::job::Job;

/// A refusal as it was received.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// The name in the problem's `type`, or the HTTP status where there is none.
    pub(crate) kind: String,
    /// What it says of the request: `no`, `unknown` or `yes`; `unsaid` where it is no problem.
    pub(crate) ran: String,
    /// When to come back.
    pub(crate) retry: Option<Duration>,
    /// Which router to go to instead.
    pub(crate) instead: Option<String>,
    /// When the attempt was sent, in milliseconds since 1970.
    pub(crate) sent: u64,
    /// When the refusal came.
    pub(crate) came: u64,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Whole {
    /// Whether it is the one that belongs to the request, as far as the caller can tell.
    pub(crate) right: bool,
    /// What the endpoint says that it used: the prompt's tokens and the answer's.
    pub(crate) usage: Option<(u64, u64)>,
    /// A plain service's number of the call.
    pub(crate) number: Option<u64>,
}

/// What came of one attempt.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The whole answer.
    Whole(Whole),
    /// A refusal.
    Refused(Refusal),
    /// The connection broke, or was silent too long; `wrong` tells that another's answer came before.
    Broken { wrong: bool },
    /// There was no connection, so nothing was sent.
    Unsent,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// Its caller has the whole answer.
    Whole(Whole),
    /// Its caller was refused, and asks no more.
    Refused(Refusal),
    /// Its caller gave up without knowing.
    Unknown,
}

/// One request, from its caller's first try to its last.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// What was asked.
    pub(crate) job: Job,
    /// How it ended.
    pub(crate) end: End,
    /// How often it was sent.
    pub(crate) attempts: u64,
    /// All refusals, the last included.
    pub(crate) refusals: Vec<Refusal>,
    /// Whether tokens of another answer came.
    pub(crate) wrong: bool,
    /// From the first try to the first token, or to the answer where it is not streamed.
    pub(crate) first: Option<Duration>,
    /// The times between tokens, in microseconds.
    pub(crate) gaps: Vec<u32>,
    /// When it ended, since the load began.
    pub(crate) ended: Duration,
}
