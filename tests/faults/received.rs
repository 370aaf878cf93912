//! Answers, as callers get them.

use anyhow::Context;
use anyhow::Result;

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
        let mut body = String::new();
        let mut chunks = rest;
        while let Some((size, after)) = chunks.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16)?;
            if size == 0 {
                return Ok(Self {
                    status,
                    body,
                    complete: after == "\r\n",
                });
            }
            let (chunk, after) = after.split_at_checked(size).context("half a chunk")?;
            body.push_str(chunk);
            chunks = after.strip_prefix("\r\n").context("no end of a chunk")?;
        }
        Ok(Self {
            status,
            body,
            complete: false,
        })
    }
}
