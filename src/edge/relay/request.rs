//! A caller's request and an endpoint's answer, as the relay understands them.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::router::Relay;
use crate::router::Secret;

/// The head of a request that is to be passed on.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// What the core decides by.
    pub(crate) relay: Relay,
    /// The bearer key, or an empty one.
    pub(crate) bearer: Secret,
    /// How long the caller waits, if it says so.
    pub(crate) patience: Option<Duration>,
    /// The caller's name for the attempt, by which an endpoint's answer is known to belong to it.
    pub(crate) name: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// What goes on to the endpoint, but for what differs from run to run.
    pub(crate) headers: HeaderMap,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It belongs to another request.
    Foreign,
    /// The endpoint did not run the request; it may ask to be left alone for a time.
    NotRun(Option<Duration>),
    /// Another endpoint listens there now, and did not run the request.
    Moved,
    /// The endpoint's own failure, after it ran the request.
    Failed,
    /// Its answer.
    Answer,
}
