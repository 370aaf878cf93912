//! How many requests a cold endpoint gets.
//!
//! Answers a failure domain whose endpoints all come back at once: they are idle, so that each router by itself finds them the
//! best choice, and together the routers send a cold endpoint far more than it bears. It crashes, comes back cold, and is
//! idle again. Routers can't count each other's requests, so each cold endpoint belongs to a few of them, picked by rendezvous
//! hash, and each of these sends it a fixed number a second. A share for each router of a large fleet would be less than one
//! request, and a burst that reaches all routers would take all shares at once.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::VmId;

/// The time that an endpoint's rate counts for.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// An endpoint that is cold, and what this router may send it.
#[derive(Clone, Debug)]
pub(crate) struct ColdLimit {
    until: Instant,
    /// The most that this router may send it in any second.
    share: u32,
    sent: VecDeque<Instant>,
}

impl ColdLimit {
    /// Makes one for an endpoint that is cold until a time.
    pub(crate) fn new(until: Instant, share: u32) -> Self {
        Self {
            until,
            share,
            sent: VecDeque::new(),
        }
    }

    /// Takes over until when the endpoint is cold, and the router's share of its rate.
    pub(crate) fn update(&mut self, until: Instant, share: u32) {
        self.until = until;
        self.share = share;
    }

    /// Returns whether the endpoint is still cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether this router may send it one more.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        let recent = self
            .sent
            .iter()
            .filter(|at| now < **at + RATE_WINDOW)
            .count();
        (recent as u64) < u64::from(self.share)
    }

    /// Counts a request that is sent to it.
    pub(crate) fn record_send(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now >= *at + RATE_WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

/// Returns how many requests a second a router may send a cold endpoint that bears a rate from all of them together.
pub fn cold_share(rate: u32, routers: &[VmId], router: &VmId, endpoint: &VmId) -> u32 {
    let rate = rate.max(1);
    let count = u32::try_from(routers.len()).unwrap_or(u32::MAX);
    if count <= rate {
        return rate / count.max(1);
    }
    let seed = xxh3_64_with_seed(endpoint.as_str().as_bytes(), 0);
    let own = rank(seed, router);
    let before = routers.iter().filter(|vm| rank(seed, vm) < own);
    u32::from(before.count() < rate as usize)
}

/// Returns where a router stands among those that may send to an endpoint; the least is first.
fn rank(seed: u64, vm: &VmId) -> (Reverse<u64>, &VmId) {
    (Reverse(xxh3_64_with_seed(vm.as_str().as_bytes(), seed)), vm)
}
