//! Answers that follow from the prompt, so that a caller can tell its own from another's.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A word of a prompt that starts so says how long the answer is.
const LENGTH_WORD: &str = "answer=";

/// An answer: words that follow from the prompt's hash, one a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    seed: u64,
    /// How many tokens it has.
    pub(crate) length: u64,
    /// Whether the request's limit ended it.
    pub(crate) limited: bool,
}

impl Answer {
    /// Returns the answer to a prompt.
    pub(crate) fn new(prompt: &str, max_tokens: u64) -> Self {
        let asked = asked_length(prompt).unwrap_or(u64::MAX);
        Self {
            seed: xxh3_64(prompt.as_bytes()),
            length: asked.min(max_tokens),
            limited: asked > max_tokens,
        }
    }

    /// Returns a token's text, with the space that parts it from the one before.
    pub(crate) fn token(&self, index: u64) -> String {
        let word = xxh3_64_with_seed(&index.to_le_bytes(), self.seed) >> 40;
        let space = if index == 0 { "" } else { " " };
        format!("{space}{word:06x}")
    }

    /// Returns its first tokens.
    pub(crate) fn text(&self, tokens: u64) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

fn asked_length(prompt: &str) -> Option<u64> {
    let mut words = prompt.split_whitespace();
    words.find_map(|word| word.strip_prefix(LENGTH_WORD)?.parse().ok())
}

/// Returns what an engine answers to a prompt: `max_tokens` words, or K where a word of the prompt is `answer=K` and
/// that is less.
///
/// A prompt is the contents of a request's messages, parted by line feeds.
pub fn expected_answer(prompt: &str, max_tokens: u64) -> String {
    let answer = Answer::new(prompt, max_tokens);
    answer.text(answer.length)
}
