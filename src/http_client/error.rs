//! Errors of a call, and how far it got.

use std::time::Duration;

use thiserror::Error;

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The URL or a header is invalid.
    #[error("no valid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// No connection was established, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection broke before the answer was complete; the request may have taken effect.
    #[error("the answer was lost: {0}")]
    Lost(String),
    /// The answer was not complete in time; the request may have taken effect.
    #[error("no answer within {0}")]
    Timeout(Overdue),
}

/// A call that exceeded its time limit, and how far it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{limit:?}: {reached}")]
pub struct Overdue {
    /// The limit of the step that it was at.
    pub limit: Duration,
    /// The last step that was completed.
    pub reached: Reached,
}

/// The progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Reached {
    /// No connection was established.
    #[error("not connected")]
    Nothing,
    /// A connection was established, and nothing was received.
    #[error("connected")]
    Connection,
    /// The head of the answer and this many bytes of its body were received.
    #[error("{0} bytes came")]
    Body(usize),
}

impl HttpError {
    /// Returns whether the request may have taken effect.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Timeout(_))
    }
}
