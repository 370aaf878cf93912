//! Finds out what began a stream that a request takes up: from memory, other routers or the log.

use std::time::Instant;

use serde_json::json;

use crate::decide::Confirmation;
use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::ids::RequestId;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::event::ReplyId;
use crate::router::request::State;
use crate::router::streams::Source;
use crate::router::streams::UNKNOWN_VERSION;

/// How many routers are asked about a stream: one more than keep a replica, since a router may have started or died since.
const ASKED: usize = 3;

impl Core {
    /// Answers another router that asks what began a stream.
    pub(crate) fn answer_stream_query(&mut self, id: ReplyId, key: &StreamKey) {
        let origin = self.streams.origins.find(key);
        self.effects.push(Effect::Answer(id, 200, json!(origin)));
    }

    /// Binds a request that takes up a stream to the version that began it, or begins to ask for that; returns whether it
    /// may proceed now.
    pub(crate) fn bind_resumed_stream(&mut self, now: Instant, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let terms = request.relay.as_ref();
        if terms.is_none_or(|terms| terms.resumption.is_none()) {
            return true;
        }
        let key = request.resumed_stream();
        let known = key.and_then(|key| self.streams.origins.find(&key));
        if let Some(origin) = known.cloned() {
            return self.bind_to_origin(now, id, &origin, Source::Memory);
        }
        match self.only_origin(id) {
            Some(_) => self.confirm_lists(id),
            None => self.locate_stream(now, id, None),
        }
        false
    }

    /// Asks other routers what began the stream that a request takes up. `confirmed` tells whether this router's lists are
    /// known to be current, if that was asked.
    pub(crate) fn locate_stream(
        &mut self,
        now: Instant,
        id: RequestId,
        confirmed: Option<Confirmation>,
    ) {
        let key = self.requests[&id].resumed_stream();
        let asked = key.as_ref().map(|key| self.replicas(now, key, ASKED));
        let asked = asked.unwrap_or_default();
        let waiting = asked.len();
        self.requests[&id].state = State::Locating { waiting, confirmed };
        if asked.is_empty() {
            return self.end_location(now, id, confirmed);
        }
        for (peer, key) in asked.into_iter().zip(key.into_iter().cycle()) {
            self.effects.push(Effect::LocateStream(id, key, peer));
        }
    }

    /// Goes on with a request after no other router knew its stream. A log that did not answer just before is not searched.
    fn end_location(&mut self, now: Instant, id: RequestId, confirmed: Option<Confirmation>) {
        match confirmed {
            Some(Confirmation::None) => self.refuse_stream(now, id, UNKNOWN_VERSION),
            _ => self.seek_in_log(id, confirmed),
        }
    }

    /// Handles the answer of a router that was asked what began a stream.
    pub(crate) fn handle_stream_answer(
        &mut self,
        now: Instant,
        id: RequestId,
        origin: Option<&StreamOrigin>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let State::Locating { waiting, confirmed } = &mut request.state else {
            return;
        };
        *waiting = waiting.saturating_sub(1);
        let (waits, confirmed) = (*waiting > 0, *confirmed);
        match origin {
            Some(origin) => {
                if self.bind_to_origin(now, id, origin, Source::Peer) {
                    self.check_limits(now, id);
                }
            }
            None if waits => {}
            None => self.end_location(now, id, confirmed),
        }
    }

    /// Goes on with a request after the log was searched for its stream.
    pub(crate) fn resume_sought(
        &mut self,
        now: Instant,
        id: RequestId,
        found: Option<&StreamOrigin>,
        confirmed: Option<Confirmation>,
    ) {
        let recorded = found.cloned().map(|origin| (origin, Source::Log));
        let only = || Some((self.confirmed_origin(now, id, confirmed?)?, Source::Only));
        match recorded.or_else(only) {
            Some((origin, source)) => {
                if self.bind_to_origin(now, id, &origin, source) {
                    self.check_limits(now, id);
                }
            }
            None => self.refuse_stream(now, id, UNKNOWN_VERSION),
        }
    }
}
