//! The body of a completion's request.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::edge::http::malformed;
use crate::ids::Fingerprint;
use crate::ids::ModelId;
use crate::prompt::prompt_blocks;
use crate::router::Problem;
use crate::router::Work;
use crate::tokens::Tokens;

/// What a router must know of a body; the rest is the endpoint's.
#[derive(Debug, Deserialize)]
struct Known {
    model: ModelId,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    n: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

/// A completion's request.
#[derive(Clone, Debug)]
pub(crate) struct ChatBody {
    value: Value,
    /// Whether the answer is to be streamed.
    pub(crate) stream: bool,
    /// What is asked.
    pub(crate) work: Work,
    /// A fingerprint of it.
    pub(crate) request: Fingerprint,
}

impl ChatBody {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// When it is no completion's request; the refusal names the field.
    pub(crate) fn read(body: &Bytes) -> Result<Self, Problem> {
        let mut source = serde_json::Deserializer::from_slice(body);
        let known: Known = serde_path_to_error::deserialize(&mut source).map_err(|error| {
            malformed(&format!("the body, at {}: {}", error.path(), error.inner()))
        })?;
        let value = serde_json::from_slice(body)
            .map_err(|error| malformed(&format!("the body: {error}")))?;
        if known.n.is_some_and(|n| n != 1) {
            return Err(malformed("the body, at n: one answer a request is served"));
        }
        let prompt = prompt(&known.messages);
        let blocks = prompt_blocks(&prompt).into_iter().map(|b| b.0).collect();
        Ok(Self {
            value,
            stream: known.stream,
            work: Work::Completion {
                model: known.model,
                prompt: prompt.len() as u64,
                limit: known.max_tokens.map(Tokens),
                blocks,
            },
            request: Fingerprint(xxh3_64(body)),
        })
    }

    /// Returns the body for the endpoint: what was reserved bounds the answer, and the usage is asked for.
    pub(crate) fn for_endpoint(&self, limit: u64) -> Bytes {
        let mut value = self.value.clone();
        value["max_tokens"] = limit.into();
        if self.stream {
            value["stream_options"] = json!({"include_usage": true});
        }
        Bytes::from(value.to_string())
    }
}

/// Joins the texts of all messages.
fn prompt(messages: &[Message]) -> String {
    let texts: Vec<_> = messages
        .iter()
        .filter_map(|message| message.content.as_str())
        .collect();
    texts.join("\n")
}
