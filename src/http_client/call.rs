//! The time limits of a call and of its steps.

use std::time::Duration;

use tokio::time::Instant;

use crate::http_client::error::HttpError;
use crate::http_client::error::Overdue;
use crate::http_client::error::Reached;

/// The time limits of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimeLimit {
    /// One limit for the whole call.
    Total(Duration),
    /// A limit for each step. A long answer over a slow link is read to its end; a limit for the whole call would discard
    /// what was received, and the next attempt would start from the beginning.
    Steps {
        /// Until the connection is established.
        connect: Duration,
        /// From there to the head of the answer.
        head: Duration,
        /// Between two pieces of the body.
        pause: Duration,
    },
}

/// One step of a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Connect,
    Head,
    Body,
}

/// A call in progress.
#[derive(Debug)]
pub(super) struct Call {
    started: Instant,
    limit: TimeLimit,
}

impl Call {
    /// Starts the clock of a call.
    pub(super) fn start(limit: TimeLimit) -> Self {
        Self {
            started: Instant::now(),
            limit,
        }
    }

    /// Returns the deadline of a step that starts now.
    pub(super) fn deadline(&self, step: Step) -> Instant {
        match self.limit {
            TimeLimit::Total(limit) => self.started + limit,
            TimeLimit::Steps { .. } => Instant::now() + self.step_limit(step),
        }
    }

    fn step_limit(&self, step: Step) -> Duration {
        match (self.limit, step) {
            (TimeLimit::Total(limit), _) => limit,
            (TimeLimit::Steps { connect, .. }, Step::Connect) => connect,
            (TimeLimit::Steps { head, .. }, Step::Head) => head,
            (TimeLimit::Steps { pause, .. }, Step::Body) => pause,
        }
    }

    /// Returns the error for a step that exceeded its limit.
    pub(super) fn timeout_error(&self, step: Step, reached: Reached) -> HttpError {
        let limit = self.step_limit(step);
        HttpError::Timeout(Overdue { limit, reached })
    }
}
