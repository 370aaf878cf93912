//! Test fixture: the requests and retries of a pool, counted as an observer counts them.

use std::time::Duration;

use indexmap::IndexSet;

use crate::ids::RequestId;

/// The requests for a pool, and the arrivals at its endpoints beyond the first of each request.
#[derive(Debug, Default)]
pub(crate) struct RetryCount {
    pub(crate) requests: Vec<Duration>,
    arrived: IndexSet<(usize, usize, RequestId)>,
    pub(crate) retries: Vec<Duration>,
}

impl RetryCount {
    /// Counts an arrival; returns whether it is a retry.
    pub(crate) fn record_arrival(
        &mut self,
        at: Duration,
        attempt: (usize, usize, RequestId),
    ) -> bool {
        let retry = !self.arrived.insert(attempt);
        if retry {
            self.retries.push(at);
        }
        retry
    }

    /// Returns the retries of a window and how many were allowed in it, if they were fewer.
    ///
    /// The requests are counted in the window, in the one before and in the one half a window before, whichever has
    /// most.
    pub(crate) fn excess(&self, ratio: f64, spare: f64, window: Duration) -> Option<(usize, f64)> {
        let count = |times: &[Duration], from: Duration, length: Duration| {
            let end = from + length;
            times.partition_point(|at| *at < end) - times.partition_point(|at| *at < from)
        };
        self.retries.iter().find_map(|from| {
            let before = [Duration::ZERO, window / 2, window];
            let requests = before.iter().map(|earlier| {
                // A window that begins before the start of the play has so much less of it.
                let start = from.saturating_sub(*earlier);
                let length = (*from + window).saturating_sub(*earlier) - start;
                count(&self.requests, start, length)
            });
            let allowed = ratio * requests.max().unwrap_or(0) as f64 + spare;
            let retries = count(&self.retries, *from, window);
            (retries as f64 > allowed).then_some((retries, allowed))
        })
    }
}
