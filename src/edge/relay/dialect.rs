//! The vocabulary of callers and endpoints.

use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;

use crate::decide::Announcement;
use crate::edge::relay::request::Ask;
use crate::edge::relay::request::Verdict;
use crate::router::Problem;
use crate::router::Run;

/// How callers and endpoints spell what the relay needs to know.
pub(crate) trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    fn read(&self, parts: &Parts) -> Result<Ask, Problem>;

    /// Returns the head for a run; `last` is the event that a resumed stream goes on after.
    fn head(&self, ask: &Ask, run: &Run, left: Duration, last: Option<&str>) -> HeaderMap;

    /// Returns the head of a request that another router carries out: the caller's, but for the time that is left.
    fn forward_head(&self, ask: &Ask, left: Duration) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn verdict(&self, ask: &Ask, answer: &Response<Incoming>) -> Verdict;

    /// Reads what an endpoint announces about itself in the head of an answer, whatever the status.
    fn announcement(&self, status: StatusCode, headers: &HeaderMap) -> Announcement;

    /// Returns how long the endpoint keeps an idle connection open, if it says so; nothing at all where it closes it.
    fn keep_alive(&self, headers: &HeaderMap) -> Option<Option<Duration>>;

    /// Takes out the headers that concern the endpoint's connection alone.
    fn strip(&self, headers: &mut HeaderMap);
}
