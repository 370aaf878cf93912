//! The client of the metadata store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use serde::Deserialize;
use thiserror::Error;
use tracing::warn;

use crate::decide::CallTimes;
use crate::edge::desk::lock;
use crate::http_client::Answer;
use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::http_client::TimeLimit;
use crate::platform::record::Keyed;
use crate::platform::record::Page;
use crate::platform::record::Truncated;

#[cfg(test)]
mod tests;

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// The time limit for the start of an answer, beyond the time for which it is held open, and for a pause within it. The
/// store answers in 4 ms, and a slow one in a quarter of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The time limit for the answer to an append. No other grant can be written until it arrives.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a read failed.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    /// The requested records are deleted.
    #[error("the records are deleted")]
    Gone {
        /// The first offset that is retained, if the store says so.
        first: Option<u64>,
    },
    /// The store rejected the read with this status.
    #[error("the store answered {0}")]
    Refused(u16),
    /// There was no answer.
    #[error(transparent)]
    Call(#[from] HttpError),
    /// The answer can't be decoded.
    #[error("the answer can't be read: {0}")]
    Malformed(String),
}

impl From<Truncated> for ReadError {
    fn from(error: Truncated) -> Self {
        Self::Malformed(error.to_string())
    }
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Append {
    /// The records were appended.
    Landed,
    /// The partition does not end at the expected offset.
    Moved,
    /// Nothing was done.
    Refused,
    /// The answer was lost; the records may have been appended.
    Lost,
}

/// The newest record of a key.
#[derive(Clone, Debug)]
pub(crate) struct Newest {
    pub(crate) key: String,
    pub(crate) value: Vec<u8>,
    pub(crate) offset: u64,
}

/// The newest records of a topic, and the offset from which to follow it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub(crate) rows: Vec<Newest>,
    pub(crate) end: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NewestPage {
    items: Vec<NewestItem>,
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct GonePage {
    first: u64,
}

#[derive(Deserialize)]
struct NewestItem {
    key: String,
    /// Base64.
    value: String,
    offset: u64,
}

/// A client of the store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    http: HttpClient,
    address: SocketAddr,
    times: Arc<Mutex<CallTimes>>,
}

impl Store {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(None),
            address,
            times: Arc::default(),
        }
    }

    /// Appends records to a topic's only partition, on the condition that it ends at the offset `at`, if one is given.
    pub(crate) async fn append(&self, topic: &str, records: &[Keyed], at: Option<u64>) -> Append {
        let mut body = Vec::new();
        records.iter().for_each(|record| record.encode(&mut body));
        let condition = at.map(|at| format!("&at={at}")).unwrap_or_default();
        let path = format!("/api/log-append?topic={topic}&part=0{condition}");
        let times = Times::immediate(APPEND_TIMEOUT);
        match self.call("POST", &path, Bytes::from(body), times).await {
            Ok(answer) => match answer.status.as_u16() {
                200 => Append::Landed,
                412 => Append::Moved,
                429 | 503 => Append::Refused,
                status => {
                    warn!(event = "append-refused", topic, status);
                    Append::Refused
                }
            },
            Err(HttpError::Connect(_) | HttpError::Request(_)) => Append::Refused,
            Err(HttpError::Lost(_) | HttpError::Timeout(_)) => Append::Lost,
        }
    }

    /// Reads one page of records, starting at an offset, and waits up to `wait` for the first one. A page has at most
    /// `page_kb` KiB, if that is given.
    pub(crate) async fn read(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
        page_kb: Option<u32>,
    ) -> Result<Page, ReadError> {
        let wait_ms = wait.as_millis();
        let size = page_kb.map(|kb| format!("&maxKb={kb}")).unwrap_or_default();
        let path = format!("/api/log-read?topic={topic}&part=0&from={from}&waitMs={wait_ms}{size}");
        let times = Times {
            held: wait,
            usual: CALL_TIMEOUT,
        };
        let answer = self.call("GET", &path, Bytes::new(), times).await?;
        match answer.status.as_u16() {
            200 => Ok(Page::decode(&answer.body)?),
            410 => Err(ReadError::Gone {
                first: first_retained(&answer.body),
            }),
            status => Err(ReadError::Refused(status)),
        }
    }

    /// Reads all records from an offset on, with their offsets, and returns them with the offset of the next one.
    pub(crate) async fn read_on(
        &self,
        topic: &str,
        from: u64,
    ) -> Result<(Vec<(u64, Keyed)>, u64), ReadError> {
        let mut next = from;
        let mut records = Vec::new();
        loop {
            let page = self.read(topic, next, Duration::ZERO, None).await?;
            let keyed = page.keyed(topic).into_iter();
            records.extend(keyed.map(|(number, record)| (next.saturating_add(number), record)));
            next = next.saturating_add(page.records.len() as u64);
            if next >= page.end || page.records.is_empty() {
                return Ok((records, next));
            }
        }
    }

    /// Reads the newest record of each key. The pages are not a snapshot: records that are appended in the meantime have
    /// offsets from the first page's end on, where the caller continues to read.
    pub(crate) async fn newest(&self, topic: &str) -> Result<Table, ReadError> {
        let mut table = Table::default();
        let mut after = None;
        loop {
            let page = self.newest_page(topic, after.as_deref()).await?;
            if after.is_none() {
                table.end = page.end;
            }
            // A page that does not go on would be asked for without end.
            let last = page.items.last().map(|item| &item.key);
            if page.has_more && (last.is_none() || last == after.as_ref()) {
                let key = last.cloned().unwrap_or_default();
                return Err(ReadError::Malformed(format!("no page after {key:?}")));
            }
            for item in page.items {
                after = Some(item.key.clone());
                match BASE64_STANDARD.decode(&item.value) {
                    Ok(value) => table.rows.push(Newest {
                        key: item.key,
                        value,
                        offset: item.offset,
                    }),
                    // One invalid value must not hide the others of its topic.
                    Err(error) => warn!(event = "record-unreadable", topic, key = item.key, %error),
                }
            }
            if !page.has_more {
                return Ok(table);
            }
        }
    }

    async fn newest_page(&self, topic: &str, after: Option<&str>) -> Result<NewestPage, ReadError> {
        let after = after.map(|key| format!("&after={}", escape(key)));
        let after = after.unwrap_or_default();
        let path = format!("/api/log-newest?topic={topic}&part=0{after}");
        let times = Times::immediate(CALL_TIMEOUT);
        let answer = self.call("GET", &path, Bytes::new(), times).await?;
        match answer.status.as_u16() {
            200 => serde_json::from_slice(&answer.body)
                .map_err(|error| ReadError::Malformed(error.to_string())),
            status => Err(ReadError::Refused(status)),
        }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        times: Times,
    ) -> Result<Answer, HttpError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.http.request(method, &url).body(Full::new(body))?;
        let limit = TimeLimit::Steps {
            connect: CONNECT_TIMEOUT,
            head: times.held + self.limit(times.usual),
            pause: self.limit(CALL_TIMEOUT),
        };
        let started = Instant::now();
        let outcome = self.http.exchange(request, limit).await;
        let round = match &outcome.answer {
            Ok(_) if times.held.is_zero() => outcome.connect.or_else(|| Some(started.elapsed())),
            _ => outcome.connect,
        };
        if let Some(round) = round {
            lock(&self.times).sample(round);
        }
        outcome.answer
    }

    /// Returns the time limit over this router's link for an answer that usually takes at most `usual`.
    fn limit(&self, usual: Duration) -> Duration {
        lock(&self.times).timeout(usual)
    }
}

/// The expected times of a call.
#[derive(Clone, Copy, Debug)]
struct Times {
    /// How long the store may hold it open.
    held: Duration,
    /// The time limit for the answer beyond that, over a link without load.
    usual: Duration,
}

impl Times {
    /// Returns the times of a call that the store answers immediately.
    fn immediate(usual: Duration) -> Self {
        Self {
            held: Duration::ZERO,
            usual,
        }
    }
}

/// Reads the first offset that is retained from an answer.
fn first_retained(body: &[u8]) -> Option<u64> {
    let read = serde_json::from_slice::<GonePage>(body);
    let read = read.inspect_err(|error| warn!(event = "answer-unreadable", %error));
    read.ok().map(|page| page.first)
}

/// Percent-encodes a key for a query.
fn escape(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let pieces = text.bytes().map(|byte| match plain(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    });
    pieces.collect()
}
