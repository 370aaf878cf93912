//! A caller's request and an endpoint's answer, as the relay understands them.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::ids::Fingerprint;
use crate::part_id::PartId;
use crate::router::Relay;
use crate::router::Secret;

/// How many parts of a prompt are logged.
const LOGGED_PARTS: usize = 8;

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

impl Ask {
    /// Returns the first shared parts of the prompt as they are logged.
    pub(super) fn part_names(&self) -> Option<String> {
        let parts = self.relay.parts.iter().take(LOGGED_PARTS);
        let names: Vec<_> = parts.map(PartId::to_string).collect();
        (!names.is_empty()).then(|| names.join(","))
    }

    /// Returns what attempts at the same thing have in common, whatever their names.
    pub(super) fn fingerprint(&self, body: &[u8]) -> Fingerprint {
        let uri = self.uri.to_string();
        Fingerprint::of(&[self.method.as_str().as_bytes(), uri.as_bytes(), body])
    }
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
    /// A success whose head lacks what it has to have, and is not whole.
    Broken,
    /// Its answer.
    Answer,
}
