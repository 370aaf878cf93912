//! Answers, as callers get them.

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;

/// The status of an answer that has no body.
const NO_CONTENT: u16 = 204;

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) status: u16,
    pub(crate) body: String,
    /// Whether it is framed as complete.
    pub(crate) complete: bool,
}

impl Received {
    /// Reads it from the bytes that came before the connection was closed.
    pub(crate) fn read(answer: &str) -> Result<Self> {
        let (head, rest) = answer.split_once("\r\n\r\n").context("no head")?;
        let status = head.split(' ').nth(1).context("no status")?.parse()?;
        if status == NO_CONTENT {
            return Ok(Self {
                status,
                body: rest.to_owned(),
                complete: rest.is_empty(),
            });
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        if let Some(length) = length {
            return Ok(Self {
                status,
                body: rest.to_owned(),
                complete: rest.len() == length.parse::<usize>()?,
            });
        }
        let chunks = Chunks::read(rest)?;
        let half = !chunks.ended && chunks.rest.contains("\r\n");
        ensure!(!half, "half a chunk");
        Ok(Self {
            status,
            complete: chunks.ended && chunks.rest == "\r\n",
            body: chunks.body,
        })
    }

    /// Reads what has come of it so far, which may end inside a chunk; nothing before its head is whole.
    pub(crate) fn read_part(answer: &str) -> Result<Option<Self>> {
        let Some((head, rest)) = answer.split_once("\r\n\r\n") else {
            return Ok(None);
        };
        if head.contains("\r\ncontent-length: ") {
            return Self::read(answer).map(Some);
        }
        let status = head.split(' ').nth(1).context("no status")?.parse()?;
        let chunks = Chunks::read(rest)?;
        let part = match chunks.ended {
            true => None,
            false => chunks.rest.split_once("\r\n"),
        };
        Ok(Some(Self {
            status,
            complete: chunks.ended && chunks.rest == "\r\n",
            body: chunks.body + part.map_or("", |(_, part)| part),
        }))
    }
}

/// The chunks of a body.
struct Chunks<'a> {
    /// What the whole ones hold.
    body: String,
    /// What comes after them.
    rest: &'a str,
    /// Whether the last one was there, which is empty.
    ended: bool,
}

impl<'a> Chunks<'a> {
    fn read(text: &'a str) -> Result<Self> {
        let mut chunks = Self {
            body: String::new(),
            rest: text,
            ended: false,
        };
        while let Some((size, after)) = chunks.rest.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16)?;
            if size == 0 {
                chunks.rest = after;
                chunks.ended = true;
                break;
            }
            let Some((chunk, after)) = after.split_at_checked(size) else {
                break;
            };
            let Some(next) = after.strip_prefix("\r\n") else {
                ensure!("\r\n".starts_with(after), "no end of a chunk");
                break;
            };
            chunks.body.push_str(chunk);
            chunks.rest = next;
        }
        Ok(chunks)
    }
}

/// Returns what is wrong with the answer to a request that may be whole with this body, or not at all; `must` tells whether it
/// has to be.
pub(crate) fn fault(
    answer: &str,
    name: &str,
    whole: Option<&str>,
    must: bool,
) -> Option<&'static str> {
    let missing = must.then_some("is not served");
    let Some((head, _)) = answer.split_once("\r\n\r\n") else {
        return missing;
    };
    let values = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let values = lines.filter_map(|(key, value)| (key == name).then_some(value));
        values.map(str::to_owned).collect::<Vec<_>>()
    };
    let seals = values("response-seal");
    match head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
    {
        Some(400u16..=599) if seals.is_empty() => return missing,
        Some(200..=299) if seals == ["1"] && values("request-id") == [name] => {}
        _ => return Some("gets the answer of nobody"),
    }
    let received = Received::read(answer).ok();
    match (received.filter(|received| received.complete), whole) {
        (Some(received), Some(whole)) if received.body == whole => None,
        (Some(_), _) => Some("looks whole"),
        (None, _) => missing,
    }
}
