//! Divides the request rate that an endpoint announces among the routers.
//!
//! Handles an endpoint that takes a few requests a second from a fleet of any size. If each router sent at the whole
//! rate, the endpoint would get it once for each router; and in a large fleet even one request at a time from each
//! router is too much. Each endpoint is therefore assigned to a few routers by rendezvous hashing, and each of these
//! sends at an equal part of the rate, limited by a token bucket.
//!
//! The endpoint counts requests when it reads them. One that is paused reads all that was sent meanwhile at once, so that
//! the requests that may be unread and those that may be sent next are limited together.

use std::time::Duration;
use std::time::Instant;

use crate::decide::rendezvous::is_selected;
use crate::ids::VmId;
use crate::request_rate::RequestRate;

/// How many routers beyond one for each request a second may send to an endpoint. Each of them may send one request at
/// any time, so that this bounds a burst; with fewer, most routers of a small fleet could not use the endpoint.
const EXTRA_SENDERS: usize = 3;

/// The rate assumed for an endpoint that announces less, in requests per second. An endpoint that got nothing could not
/// announce that it takes more again.
const MIN_RATE: f64 = 0.1;

/// The time whose share of requests may be sent at once, if it is more than one request.
const BURST: Duration = Duration::from_millis(500);

/// The requests that all routers together may have unread at an endpoint or send to it at once, for each request a second
/// that it takes, and regardless of that.
const UNREAD_PER_RATE: f64 = 2.0;
const UNREAD_MIN: f64 = 4.0;

/// How much of its room the router leaves free that asks whether the endpoint reads again, and how long an answer may take
/// so that what is left is enough for its part of the rate. One with less room leaves none free.
const ASK_ROOM: f64 = 2.0;
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// The time after which an endpoint is asked whether it reads again, and the number of requests whose time at its rate is
/// added: what asks is sent beyond the rate.
const ASK_TIME: Duration = Duration::from_secs(2);
const ASK_REQUESTS: f64 = 5.0;

/// Returns how long a router that waits for an endpoint to read on waits until it asks whether it does.
pub(super) fn ask_interval(rate: RequestRate) -> Duration {
    let rate = rate.per_second().max(MIN_RATE);
    ASK_TIME + Duration::from_secs_f64(ASK_REQUESTS / rate)
}

/// Returns a router's part of the rate that an endpoint takes from all routers together, if it has one. Each `round`
/// gives a part to other routers.
pub fn rate_share(
    rate: RequestRate,
    routers: &[VmId],
    router: &VmId,
    endpoint: &VmId,
    round: u64,
) -> Option<RequestRate> {
    let rate = rate.per_second().max(MIN_RATE);
    let senders = (rate.ceil() as usize).saturating_add(EXTRA_SENDERS);
    let senders = senders.min(routers.len().max(1));
    let selected = is_selected(senders, routers, router, endpoint.as_str(), round);
    let share = RequestRate::try_from(rate / senders as f64).ok()?;
    selected.then_some(share)
}

/// A token bucket for the requests of one router to one endpoint.
#[derive(Clone, Debug)]
pub(super) struct ShareBucket {
    /// This router's part of the endpoint's rate.
    share: Option<RequestRate>,
    /// How many requests the router may have unread at the endpoint or send to it at once.
    room: f64,
    tokens: f64,
    updated: Instant,
}

impl ShareBucket {
    /// Creates an empty bucket: the endpoint has just received more than it takes.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            share: None,
            room: 0.0,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Changes the rate that the endpoint takes from all routers, and this router's share of it, if it has one; `asks` tells
    /// whether this router asks whether the endpoint reads again.
    pub(super) fn set_share(
        &mut self,
        now: Instant,
        rate: Option<RequestRate>,
        share: Option<RequestRate>,
        asks: bool,
    ) {
        self.tokens = self.tokens_at(now);
        self.updated = now;
        self.share = share;
        let rate = rate.map_or(MIN_RATE, |rate| rate.per_second().max(MIN_RATE));
        self.room = self.per_second() * (UNREAD_PER_RATE + UNREAD_MIN / rate);
        let needed = 1.0 + self.per_second() * ANSWER_TIME.as_secs_f64();
        if asks && self.room >= needed + ASK_ROOM {
            self.room -= ASK_ROOM;
        }
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns this router's part of the rate, in requests per second.
    pub(super) fn per_second(&self) -> f64 {
        self.share.map_or(0.0, RequestRate::per_second)
    }

    /// Returns how many requests may be sent at once, if so many are unread.
    pub(super) fn sendable(&self, now: Instant, unread: usize) -> f64 {
        let room = (self.room - unread as f64).max(0.0);
        self.tokens_at(now).min(room)
    }

    /// Returns whether one more request may be sent, if so many are unread.
    pub(super) fn admits(&self, now: Instant, unread: usize) -> bool {
        self.share.is_some() && self.sendable(now, unread) >= 1.0
    }

    /// Returns whether no more requests may be sent until one of those that are unread has been read.
    pub(super) fn is_full(&self, unread: usize) -> bool {
        self.room - (unread as f64) < 1.0
    }

    /// Counts a request that was sent.
    pub(super) fn record_send(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated = now;
    }

    /// Removes the tokens for which there was no room beside so many unread requests, which have been read now.
    pub(super) fn record_read(&mut self, now: Instant, unread: usize) {
        let tokens = self.tokens_at(now);
        self.tokens = tokens.min(self.sendable(now, unread));
        self.updated = now;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + elapsed * self.per_second()).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        (self.per_second() * BURST.as_secs_f64()).max(1.0)
    }
}
