//! A streamed answer, as a caller reads it.

use std::time::Instant;

use bytes::BytesMut;
use memchr::memmem;
use serde::Deserialize;

const DATA: &[u8] = b"data: ";
const DONE: &[u8] = b"[DONE]";

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

/// What an endpoint says that a request used.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
}

/// What came of a stream so far.
#[derive(Debug, Default)]
pub(crate) struct Events {
    rest: BytesMut,
    /// The answer's text.
    pub(crate) text: String,
    /// The usage, once it came.
    pub(crate) usage: Option<Usage>,
    /// Whether the end marker came.
    marked: bool,
    /// When the first token came.
    pub(crate) first: Option<Instant>,
    /// The times between tokens, in microseconds.
    pub(crate) gaps: Vec<u32>,
    last: Option<Instant>,
}

impl Events {
    /// Takes bytes that came at a time; false means that they are no such stream's.
    pub(crate) fn push(&mut self, now: Instant, bytes: &[u8]) -> bool {
        self.rest.extend_from_slice(bytes);
        while let Some(at) = memmem::find(&self.rest, b"\n\n") {
            let event = self.rest.split_to(at + 2);
            if !self.take(now, &event[..at]) {
                return false;
            }
        }
        true
    }

    /// Returns whether the end marker came, and nothing after it.
    pub(crate) fn is_whole(&self) -> bool {
        self.marked && self.rest.is_empty()
    }

    fn take(&mut self, now: Instant, event: &[u8]) -> bool {
        let Some(data) = event.strip_prefix(DATA) else {
            return false;
        };
        if data == DONE {
            self.marked = true;
            return true;
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            return false;
        };
        self.usage = chunk.usage.or(self.usage);
        let text = chunk.choices.into_iter().find_map(|c| c.delta.content);
        if let Some(text) = text {
            self.text.push_str(&text);
            self.note(now);
        }
        true
    }

    fn note(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_duration_since(last).as_micros();
            self.gaps.push(u32::try_from(gap).unwrap_or(u32::MAX));
        }
    }
}
