//! Limits the requests to a cold endpoint.
//!
//! Handles a failure domain whose endpoints all restart at once: they are idle, so each router chooses them first, and
//! together the routers send a cold endpoint far more than it can take. It crashes, restarts cold, and is idle again.
//! Routers cannot count each other's requests, so each cold endpoint is assigned to a few of them by rendezvous
//! hashing, and each of these may send it a fixed number of requests a second. Dividing the rate among all routers of a
//! large fleet would leave each less than one request, and a burst that reaches all routers would use all shares at
//! once.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::decide::rendezvous::is_selected;
use crate::ids::VmId;

/// The period that an endpoint's rate refers to.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// One router's limit on the requests to a cold endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ColdLimit {
    until: Instant,
    /// The most requests that this router may send in any second.
    share: u32,
    sent: VecDeque<Instant>,
}

impl ColdLimit {
    /// Creates the limit for an endpoint that is cold until the given time.
    pub(crate) fn new(until: Instant, share: u32) -> Self {
        Self {
            until,
            share,
            sent: VecDeque::new(),
        }
    }

    /// Sets until when the endpoint is cold, and this router's share of its rate.
    pub(crate) fn update(&mut self, until: Instant, share: u32) {
        self.until = until;
        self.share = share;
    }

    /// Returns whether the endpoint is still cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether this router may send one more request.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        let recent = self
            .sent
            .iter()
            .filter(|at| now < **at + RATE_WINDOW)
            .count();
        (recent as u64) < u64::from(self.share)
    }

    /// Counts a request that was sent.
    pub(crate) fn record_send(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now >= *at + RATE_WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

/// Returns how many requests a second a router may send to a cold endpoint, given the rate that it can take from all
/// routers together.
pub fn cold_share(rate: u32, routers: &[VmId], router: &VmId, endpoint: &VmId) -> u32 {
    let rate = rate.max(1);
    let count = u32::try_from(routers.len()).unwrap_or(u32::MAX);
    if count <= rate {
        return rate / count.max(1);
    }
    let selected = is_selected(rate as usize, routers, router, endpoint.as_str(), 0);
    u32::from(selected)
}
