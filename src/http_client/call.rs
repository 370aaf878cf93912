//! How long a call and its steps may take.

use std::time::Duration;

use tokio::time::Instant;

use crate::http_client::error::HttpError;
use crate::http_client::error::Overdue;
use crate::http_client::error::Reached;

/// How long a call may take.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Patience {
    /// So long in all.
    Whole(Duration),
    /// So long for each step. A long answer over a slow link comes to its end so, where a limit for the whole would throw
    /// away what has come, and the next try would begin from nothing.
    Steps {
        /// Until there is a connection.
        connect: Duration,
        /// From then to the answer's head.
        head: Duration,
        /// From one piece of the body to the next.
        pause: Duration,
    },
}

/// A step of a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Connect,
    Head,
    Body,
}

/// A call in progress.
#[derive(Debug)]
pub(super) struct Call {
    begun: Instant,
    patience: Patience,
}

impl Call {
    /// Begins one.
    pub(super) fn begin(patience: Patience) -> Self {
        Self {
            begun: Instant::now(),
            patience,
        }
    }

    /// Returns until when a step may last that begins now.
    pub(super) fn deadline(&self, step: Step) -> Instant {
        match self.patience {
            Patience::Whole(limit) => self.begun + limit,
            Patience::Steps { .. } => Instant::now() + self.limit(step),
        }
    }

    fn limit(&self, step: Step) -> Duration {
        match (self.patience, step) {
            (Patience::Whole(limit), _) => limit,
            (Patience::Steps { connect, .. }, Step::Connect) => connect,
            (Patience::Steps { head, .. }, Step::Head) => head,
            (Patience::Steps { pause, .. }, Step::Body) => pause,
        }
    }

    /// Returns the error of a step that took too long.
    pub(super) fn overdue(&self, step: Step, reached: Reached) -> HttpError {
        let limit = self.limit(step);
        HttpError::Timeout(Overdue { limit, reached })
    }
}
