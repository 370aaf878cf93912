//! Server-sent events of a completion, as far as a router must understand them.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;
use serde::Deserialize;

use crate::router::Usage;
use crate::tokens::Tokens;

/// Marks the first event of an answer's end. The quotes of a text's own would be escaped.
const FINISH: &[u8] = b"\"finish_reason\":\"";

/// Marks the last event.
const DONE: &[u8] = b"data: [DONE]";

/// An event that is larger is no token.
const MAX_EVENT: usize = 1 << 20;

/// The reasons for which an answer is over and whole. An engine that ends a run early, as one that was told to cancel it,
/// gives another one, and closes the stream as if all were well.
const WHOLE: [&str; 5] = [
    "stop",
    "length",
    "tool_calls",
    "function_call",
    "content_filter",
];

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Wire>,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Wire {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// What the JSON of an event or an answer says of the answer's end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Finish {
    /// Whether the answer is whole; nothing where it is not over.
    pub(crate) whole: Option<bool>,
    /// What was used, where it is said.
    pub(crate) usage: Option<Usage>,
}

/// Reads what an event or an answer says of the answer's end.
pub(crate) fn finish(json: &[u8]) -> Finish {
    let Ok(chunk) = serde_json::from_slice::<Chunk>(json) else {
        return Finish::default();
    };
    let reason = chunk
        .choices
        .first()
        .and_then(|c| c.finish_reason.as_deref());
    Finish {
        whole: reason.map(|reason| WHOLE.contains(&reason)),
        usage: chunk.usage.map(|usage| Usage {
            prompt: Tokens(usage.prompt_tokens),
            answer: Tokens(usage.completion_tokens),
        }),
    }
}

/// Splits an answer's bytes into what may go out at once and its end, which waits for the bill.
///
/// A caller that saw the end takes the answer for whole and never asks again; were the router to die before the bill
/// is durable, the answer would have cost nothing.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    partial: BytesMut,
    end: BytesMut,
    finish: Finish,
    done: bool,
    events: u64,
}

/// An event was too large.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Oversized;

impl Splitter {
    /// Takes bytes that came and returns those that may go out.
    ///
    /// # Errors
    ///
    /// When an event is too large to be one.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Result<Bytes, Oversized> {
        if self.partial.is_empty() && self.end.is_empty() && is_plain(&bytes) {
            self.events += memmem::find_iter(&bytes, b"\n\n").count() as u64;
            return Ok(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let mut out = BytesMut::new();
        while let Some(event) = self.next_event() {
            self.sort(&event, &mut out);
        }
        match self.partial.len() > MAX_EVENT {
            true => Err(Oversized),
            false => Ok(out.freeze()),
        }
    }

    fn next_event(&mut self) -> Option<BytesMut> {
        let at = memmem::find(&self.partial, b"\n\n")?;
        Some(self.partial.split_to(at + 2))
    }

    fn sort(&mut self, event: &[u8], out: &mut BytesMut) {
        self.done |= event.starts_with(DONE);
        let ends = self.done || !self.end.is_empty() || memmem::find(event, FINISH).is_some();
        if ends {
            let json = event.strip_prefix(b"data: ").unwrap_or(event);
            let finish = finish(json);
            self.finish = Finish {
                whole: finish.whole.or(self.finish.whole),
                usage: finish.usage.or(self.finish.usage),
            };
            self.end.extend_from_slice(event);
        } else {
            self.events += 1;
            out.extend_from_slice(event);
        }
    }

    /// Returns whether the engine has closed the answer.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the answer's usage and its end, if it is whole.
    pub(crate) fn whole(&mut self) -> Option<(Usage, Bytes)> {
        match (self.finish.whole, self.finish.usage) {
            (Some(true), Some(usage)) => Some((usage, self.end.split().freeze())),
            _ => None,
        }
    }

    /// Forgets what came and did not go out, and returns from which token on the answer is wanted again.
    pub(crate) fn restart(&mut self) -> Tokens {
        self.partial.clear();
        self.end.clear();
        self.finish = Finish::default();
        self.done = false;
        self.tokens()
    }

    /// Returns how many tokens went out.
    pub(crate) fn tokens(&self) -> Tokens {
        Tokens(self.events)
    }
}

/// Tells whether bytes are whole events of which none belongs to the end; most of an answer is.
fn is_plain(bytes: &[u8]) -> bool {
    let ends = memmem::find(bytes, FINISH).is_some() || memmem::find(bytes, DONE).is_some();
    bytes.ends_with(b"\n\n") && !ends
}
