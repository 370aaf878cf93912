//! What endpoints have to read: told to the other routers, and learnt from first tokens.

use std::time::Instant;

use crate::decide::Choice;
use crate::ids::RequestId;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::event::PromptNotice;
use crate::router::request::State;

/// How many unread tokens of a prompt the other routers are told of: at 85 tokens a millisecond, what delays others by
/// some 20 ms. Shorter prompts are many, and telling of each would cost more than it spares.
const LONG: u64 = 1500;

impl Core {
    /// Counts a request's prompt at the endpoint that was chosen for it, and tells the other routers of a long one.
    pub(crate) fn send_prompt(&mut self, now: Instant, id: RequestId, choice: &Choice) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(terms) = request.relay.as_mut() else {
            return;
        };
        let Some((prompt, pool)) = terms.prompt.zip(self.pools.get_mut(&request.pool)) else {
            return;
        };
        terms.expected_prefill = pool.picker.chooser.send(now, choice, &prompt);
        let Some((tokens, _)) = terms.expected_prefill.filter(|(tokens, _)| *tokens >= LONG) else {
            return;
        };
        let reading = PromptNotice {
            endpoint: choice.endpoint.clone(),
            shared: prompt.shared,
            tokens,
        };
        let peers = self.members.vm_index.peers();
        self.effects.push(Effect::SendPromptNotice(reading, peers));
    }

    /// Learns from a request's first token.
    pub(crate) fn prompt_read(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let expected = request
            .relay
            .as_ref()
            .and_then(|terms| terms.expected_prefill);
        if let State::Running {
            endpoint, since, ..
        } = &request.state
            && let Some((tokens, at)) = expected
            && let Some(pool) = self.pools.get_mut(&request.pool)
        {
            pool.picker.chooser.came(now, endpoint, *since, at, tokens);
        }
    }

    /// Counts a prompt that another router sent to an endpoint.
    pub(crate) fn reads(&mut self, now: Instant, reading: &PromptNotice) {
        for pool in self.pools.values_mut() {
            let chooser = &mut pool.picker.chooser;
            chooser.told(now, &reading.endpoint, reading.shared, reading.tokens);
        }
    }
}
