//! Why a call brought no answer, and how far it got.

use std::time::Duration;

use thiserror::Error;

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The URL or a header cannot be written in a request.
    #[error("no valid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// No connection could be had, so that nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The request may have taken effect, but its answer was lost.
    #[error("the answer was lost: {0}")]
    Lost(String),
    /// As [`HttpError::Lost`]: no answer came in time.
    #[error("no answer within {0}")]
    Timeout(Overdue),
}

/// A call whose time was over, and how far it had got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{limit:?}: {reached}")]
pub struct Overdue {
    /// How long the step that it was at may take.
    pub limit: Duration,
    /// The last step that was done.
    pub reached: Reached,
}

/// How far a call got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Reached {
    /// It had no connection yet.
    #[error("not connected")]
    Nothing,
    /// It had a connection, and nothing came over it.
    #[error("connected")]
    Connection,
    /// The answer's head was there, and so many bytes of its body.
    #[error("{0} bytes came")]
    Body(usize),
}

impl HttpError {
    /// Returns whether the request may have taken effect.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Timeout(_))
    }
}
