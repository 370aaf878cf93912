//! What one endpoint has announced, and what this router may send it.

use std::time::Duration;
use std::time::Instant;

use crate::decide::announcement::EndpointLife;
use crate::decide::heard::Heard;
use crate::decide::rate_share::ShareBucket;
use crate::decide::rate_share::ask_interval;
use crate::decide::rate_share::rate_share;
use crate::decide::rendezvous::is_selected;
use crate::decide::unread_sends::UnreadSends;
use crate::ids::VmId;
use crate::request_rate::RequestRate;

/// How long a limit may go unheard before other routers get the parts of it: those that have them may have no requests
/// for the endpoint, and would never learn that it takes more again.
const ROUND: Duration = Duration::from_secs(30);

/// What one life of an endpoint has announced.
#[derive(Clone, Debug)]
pub(super) struct Announced {
    pub(super) birth: Option<String>,
    /// When any router last heard something from the endpoint itself.
    pub(super) heard: Instant,
    pub(super) limit: Option<Heard<RequestRate>>,
    /// How many rejections it tolerates, if it is brittle.
    pub(super) tolerance: Option<Heard<u32>>,
    pub(super) leaving: bool,
    /// Until when it wants nothing from this router.
    pub(super) rest_until: Option<Instant>,
    /// Until when it wants nothing from some other router.
    pub(super) others_until: Option<Instant>,
    pub(super) bucket: ShareBucket,
    /// Requests of this router that it may not have read.
    pub(super) unread: UnreadSends,
    /// Whether this router asks it whether it reads again, once all routers wait for that.
    pub(super) asks: bool,
    /// The round of parts that the bucket belongs to.
    pub(super) round: u64,
}

/// The routers among which rates are divided, and this one of them.
pub(super) struct Fleet<'a> {
    pub(super) router: &'a VmId,
    pub(super) routers: &'a [VmId],
}

impl Announced {
    pub(super) fn new(now: Instant, life: &EndpointLife, heard: Instant) -> Self {
        Self {
            birth: life.birth.clone(),
            heard,
            limit: None,
            tolerance: None,
            leaving: false,
            rest_until: None,
            others_until: None,
            bucket: ShareBucket::new(now),
            unread: UnreadSends::default(),
            asks: false,
            round: 0,
        }
    }

    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.limit?.value
    }

    pub(super) fn is_brittle(&self) -> bool {
        self.tolerance.is_some_and(|known| known.value.is_some())
    }

    /// Returns whether nothing of it is in force.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        let resting = self.rest_until.max(self.others_until);
        self.rate().is_none()
            && !self.is_brittle()
            && !self.leaving
            && resting.is_none_or(|until| until <= now)
    }

    /// Returns whether this router may send it a request now.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        let within = self.rate().is_none() || self.admits(now) || self.is_ask_due(now);
        within && self.rest_left(now).is_zero()
    }

    /// Returns whether its limit leaves room for one more request of this router.
    pub(super) fn admits(&self, now: Instant) -> bool {
        self.bucket.admits(now, self.unread.len())
    }

    /// Returns whether this router may send it nothing more until it reads, and it has not read for long.
    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        self.bucket.is_full(self.unread.len()) && self.unread.is_stalled(now)
    }

    /// Returns whether this router is to ask it now whether it reads again.
    pub(super) fn is_ask_due(&self, now: Instant) -> bool {
        let Some(rate) = self.rate().filter(|_| self.asks && self.is_stalled(now)) else {
            return false;
        };
        self.unread.is_ask_due(now, ask_interval(rate))
    }

    /// Applies a change to the unread requests.
    pub(super) fn change_unread<F>(&mut self, now: Instant, change: F)
    where
        F: FnOnce(&mut UnreadSends),
    {
        let before = self.unread.len();
        change(&mut self.unread);
        if self.unread.len() < before {
            self.bucket.record_read(now, before);
        }
    }

    /// Returns how much longer it wants nothing from this router.
    pub(super) fn rest_left(&self, now: Instant) -> Duration {
        let until = self.rest_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Computes this router's part of the rate.
    pub(super) fn share_out(&mut self, now: Instant, vm: &VmId, fleet: &Fleet<'_>) {
        self.round = self.round_at(now);
        let Fleet { router, routers } = fleet;
        let part = |rate| rate_share(rate, routers, router, vm, self.round);
        let rate = self.rate();
        self.asks = is_selected(1, routers, router, vm.as_str(), self.round);
        self.bucket
            .set_share(now, rate, rate.and_then(part), self.asks);
    }

    /// Returns the round of parts that the limit is in at a time.
    pub(super) fn round_at(&self, now: Instant) -> u64 {
        let heard = self.limit.map_or(now, |limit| limit.at);
        now.saturating_duration_since(heard).as_secs() / ROUND.as_secs()
    }
}
