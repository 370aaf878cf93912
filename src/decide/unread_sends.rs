//! Requests that a router sent to a limited endpoint, and that the endpoint may not have read.
//!
//! Handles endpoints that are paused while routers go on sending at the announced rate. The endpoint's host keeps what it
//! receives, also what was given up meanwhile, and the endpoint reads all of it at once when it goes on, beside as many
//! new requests as the rate allows. Each router therefore has room for a few unread requests only. One that has used
//! it waits until the endpoint answers, itself or another router. If all routers wait with nothing but requests that were
//! given up, nobody would find out that the endpoint reads again, so that one of them sends a request now and then.

use std::time::Duration;
use std::time::Instant;

use crate::ids::RequestId;

/// How often the time until the next request that asks an endpoint whether it reads again is doubled at most.
const MAX_DOUBLINGS: u32 = 5;

/// How long before an endpoint's answer reached another router the endpoint may have stopped reading.
const ANSWER_DELAY: Duration = Duration::from_secs(1);

/// How long a request may be unread at an endpoint that is merely slow to answer.
const STALL_TIME: Duration = Duration::from_secs(2);

/// A request that its endpoint may not have read.
#[derive(Clone, Copy, Debug)]
struct UnreadSend {
    request: RequestId,
    at: Instant,
    given_up: Option<Instant>,
}

/// One router's unread requests at one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadSends {
    sends: Vec<UnreadSend>,
    /// How often the endpoint was asked whether it reads again.
    asked: u32,
}

impl UnreadSends {
    /// Returns how many there are.
    pub(super) fn len(&self) -> usize {
        self.sends.len()
    }

    /// Returns whether a request has been unread for longer than a slow answer takes.
    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        let mut sends = self.sends.iter();
        sends.any(|send| now >= send.at + STALL_TIME)
    }

    /// Returns whether it is time to ask the endpoint whether it reads again: nothing is awaited from it any more, and the
    /// last request was sent so long ago, twice as long after each further one.
    pub(super) fn is_ask_due(&self, now: Instant, interval: Duration) -> bool {
        let awaited = self.sends.iter().any(|send| send.given_up.is_none());
        let newest = self.sends.iter().map(|send| send.at).max();
        let interval = interval * (1 << self.asked.min(MAX_DOUBLINGS));
        !awaited && newest.is_some_and(|at| now >= at + interval)
    }

    /// Records a request that is sent; `asks` tells whether it asks the endpoint whether it reads again.
    pub(super) fn record_send(&mut self, now: Instant, request: RequestId, asks: bool) {
        self.asked += u32::from(asks);
        self.sends.push(UnreadSend {
            request,
            at: now,
            given_up: None,
        });
    }

    /// Records that a request ended before the endpoint answered it.
    pub(super) fn give_up(&mut self, now: Instant, request: RequestId) {
        let mut sends = self.sends.iter_mut();
        if let Some(send) = sends.find(|send| send.request == request) {
            send.given_up = Some(now);
        }
    }

    /// Forgets a request that was not sent, or that can't be read any more.
    pub(super) fn remove(&mut self, request: RequestId) {
        self.sends.retain(|send| send.request != request);
    }

    /// Records that the endpoint answered a request that was sent at a given time. It has read what was sent before that.
    pub(super) fn record_answer(&mut self, request: RequestId, sent: Instant) {
        self.sends
            .retain(|send| send.request != request && send.at > sent);
        self.asked = 0;
    }

    /// Records that an answer of the endpoint reached another router at a given time. The endpoint has read what was given
    /// up before; what is awaited may still be on its way.
    pub(super) fn record_peer_answer(&mut self, heard: Instant) {
        let is_unread =
            |send: &UnreadSend| send.given_up.is_none_or(|at| at + ANSWER_DELAY > heard);
        self.sends.retain(is_unread);
        if self.sends.is_empty() {
            self.asked = 0;
        }
    }
}
