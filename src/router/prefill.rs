//! Tracks the prompts that endpoints have to read: tells the other routers of long ones, and learns from first tokens.

use std::time::Instant;

use crate::config::RouteTable;
use crate::decide::Choice;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::event::PromptNotice;
use crate::router::request::State;

/// The number of unread tokens from which the other routers are told of a prompt. At 85 tokens per millisecond, it
/// delays other requests by some 20 ms. Shorter prompts are frequent, and sending each would cost more than it saves.
const LONG_PROMPT_TOKENS: u64 = 1500;

/// The longest prompt that is counted where an endpoint's memory is not known.
const MAX_PROMPT_TOKENS: u64 = 16_000_000;

/// Returns how many tokens a prompt may have so that an endpoint of a pool reads it. Longer ones are rejected, and delay
/// nothing.
fn prompt_limit(table: Option<&RouteTable>, pool: &PoolId) -> u64 {
    let memory = table.and_then(|table| table.pool(pool)?.memory);
    memory.map_or(MAX_PROMPT_TOKENS, |memory| memory.min(MAX_PROMPT_TOKENS))
}

impl Core {
    /// Counts a request's prompt at the endpoint that was chosen for it, and tells the other routers if it is long.
    pub(crate) fn record_prompt(&mut self, now: Instant, id: RequestId, choice: &Choice) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(terms) = request.relay.as_mut() else {
            return;
        };
        let Some((prompt, pool)) = terms.prompt.zip(self.pools.get_mut(&request.pool)) else {
            return;
        };
        let limit = prompt_limit(self.route_table.as_deref(), &request.pool);
        if prompt.shared_tokens.saturating_add(prompt.own_tokens) > limit {
            return;
        }
        terms.expected_prefill = pool.picker.chooser.record_prompt(now, choice, &prompt);
        let Some((tokens, _)) = terms
            .expected_prefill
            .filter(|(tokens, _)| *tokens >= LONG_PROMPT_TOKENS)
        else {
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

    /// Updates the estimates of an endpoint's backlog and reading speed from a request's first token.
    pub(crate) fn record_prompt_read(&mut self, now: Instant, id: RequestId) {
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
            pool.picker
                .chooser
                .record_first_token(now, endpoint, *since, at, tokens);
        }
    }

    /// Counts a prompt that another router sent to an endpoint.
    pub(crate) fn record_peer_prompt(&mut self, now: Instant, reading: &PromptNotice) {
        for (name, pool) in &mut self.pools {
            if reading.tokens > prompt_limit(self.route_table.as_deref(), name) {
                continue;
            }
            let chooser = &mut pool.picker.chooser;
            chooser.record_remote_prompt(now, &reading.endpoint, reading.shared, reading.tokens);
        }
    }
}
