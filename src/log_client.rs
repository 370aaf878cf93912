//! A client of the platform's log service.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use serde::Deserialize;
use thiserror::Error;

use crate::http_client::Answer;
use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::http_client::TimeLimit;
use crate::ids::Offset;

#[cfg(test)]
mod tests;

/// Why an append did not succeed.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The record was not appended.
    #[error("not appended: {0}")]
    Not(String),
    /// The answer was lost; the record may have been appended, or may still be.
    #[error("perhaps appended: {0}")]
    Unknown(String),
}

/// Why a read did not succeed.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The log no longer retains the record.
    #[error("record {from} is gone; the log keeps those from {first} on")]
    Gone {
        /// The requested record.
        from: Offset,
        /// The first record that is retained.
        first: Offset,
    },
    /// The log service did not answer.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The log service answered with an error, or its answer could not be parsed.
    #[error("the log service answered: {0}")]
    Answer(String),
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Its offset in the stream.
    pub offset: Offset,
    /// When it was appended, in milliseconds of the log service's clock.
    pub at: u64,
    /// Its content.
    pub data: Vec<u8>,
}

/// A range of consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// The first record that the log retains.
    pub first: Offset,
    /// The offset that the next append will have.
    pub next: Offset,
    /// The records, in order.
    pub records: Vec<LogRecord>,
}

/// A client of the platform's log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: HttpClient,
    base: String,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Retained {
    first: Offset,
}

#[derive(Deserialize)]
struct RawPage {
    first: Offset,
    next: Offset,
    records: Vec<RawRecord>,
}

#[derive(Deserialize)]
struct RawRecord {
    offset: Offset,
    at: u64,
    data: String,
}

impl LogClient {
    /// Creates a client of the service at `http://ip:port`.
    pub fn new(http: HttpClient, base: &str) -> Self {
        Self {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Appends a record to a stream.
    ///
    /// # Errors
    ///
    /// When the record was not appended, or when that is unknown.
    pub async fn append(
        &self,
        stream: &str,
        data: Bytes,
        limit: Duration,
    ) -> Result<Offset, AppendError> {
        let url = format!("{}/v1/streams/{stream}/records", self.base);
        let answer = match self.http.post(&url, data, limit).await {
            Ok(answer) => answer,
            Err(e) if e.is_unknown() => return Err(AppendError::Unknown(e.to_string())),
            Err(e) => return Err(AppendError::Not(e.to_string())),
        };
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => parse::<Appended>(&answer)
                .map(|appended| appended.offset)
                .map_err(AppendError::Unknown),
            // These statuses are sent before the record is accepted. Other errors leave that open.
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(AppendError::Not(describe(&answer)))
            }
            _ => Err(AppendError::Unknown(describe(&answer))),
        }
    }

    /// Reads at most `max` records, starting at an offset, and waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// When the records are no longer retained, when the service does not start to answer within the sum of `wait` and
    /// `limit`, or when it pauses for longer than `limit`.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
        limit: Duration,
    ) -> Result<LogPage, ReadError> {
        let wait_ms = wait.as_millis();
        let base = &self.base;
        let url =
            format!("{base}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let request = self.http.request("GET", &url).body(Full::default());
        let steps = TimeLimit::Steps {
            connect: limit,
            head: wait + limit,
            pause: limit,
        };
        let request = request.map_err(HttpError::from)?;
        let answer = self.http.exchange(request, steps).await.answer?;
        match answer.status {
            StatusCode::OK => page(&answer),
            StatusCode::GONE => {
                let retained = parse::<Retained>(&answer).map_err(ReadError::Answer)?;
                let first = retained.first;
                Err(ReadError::Gone { from, first })
            }
            _ => Err(ReadError::Answer(describe(&answer))),
        }
    }
}

fn page(answer: &Answer) -> Result<LogPage, ReadError> {
    let raw = parse::<RawPage>(answer).map_err(ReadError::Answer)?;
    let records: Result<_, _> = raw.records.into_iter().map(record).collect();
    Ok(LogPage {
        first: raw.first,
        next: raw.next,
        records: records.map_err(|e| ReadError::Answer(e.to_string()))?,
    })
}

fn record(raw: RawRecord) -> Result<LogRecord, base64::DecodeError> {
    Ok(LogRecord {
        offset: raw.offset,
        at: raw.at,
        data: STANDARD.decode(raw.data)?,
    })
}

fn parse<T>(answer: &Answer) -> Result<T, String>
where
    T: for<'de> Deserialize<'de>,
{
    serde_json::from_slice(&answer.body).map_err(|e| format!("{e} in {}", describe(answer)))
}

/// Returns an answer's status and the start of its body.
fn describe(answer: &Answer) -> String {
    const SHOWN: usize = 200;
    let shown = &answer.body[..answer.body.len().min(SHOWN)];
    let text = String::from_utf8_lossy(shown);
    format!("{} {}", answer.status.as_u16(), text.trim())
}
