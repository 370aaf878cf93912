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
use crate::http_client::Patience;
use crate::ids::Offset;

#[cfg(test)]
mod tests;

/// Why a record was not appended, as far as is known.
#[derive(Debug, Error)]
pub enum AppendError {
    /// It was not appended.
    #[error("not appended: {0}")]
    Not(String),
    /// It may have been appended, or may yet be: the answer was lost.
    #[error("perhaps appended: {0}")]
    Unknown(String),
}

/// Why nothing was read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The log has let the record go.
    #[error("record {from} is gone; the log keeps those from {first} on")]
    Gone {
        /// The record that was asked for.
        from: Offset,
        /// The first that is kept.
        first: Offset,
    },
    /// The log service did not answer.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The log service answered with an error, or with what cannot be read.
    #[error("the log service answered: {0}")]
    Answer(String),
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Its place.
    pub offset: Offset,
    /// When it was appended, milliseconds of the log service's clock.
    pub at: u64,
    /// Its content.
    pub data: Vec<u8>,
}

/// Some records of a stream, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// The first record that is kept.
    pub first: Offset,
    /// The offset that the next append will have.
    pub next: Offset,
    /// The records.
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
struct Kept {
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
    /// Makes a client of the service at `http://ip:port`.
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
    /// When it was not appended, or when that is not known.
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
            // The service says so before it takes a record; of other errors that is not known.
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(AppendError::Not(describe(&answer)))
            }
            _ => Err(AppendError::Unknown(describe(&answer))),
        }
    }

    /// Reads at most `max` records from an offset on, and waits for the first one at most `wait`.
    ///
    /// # Errors
    ///
    /// When the records are gone, when the service does not begin to answer within `wait` and `limit`, and when it pauses for
    /// longer than `limit`.
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
        let patience = Patience::Steps {
            connect: limit,
            head: wait + limit,
            pause: limit,
        };
        let request = request.map_err(HttpError::from)?;
        let answer = self.http.exchange(request, patience).await.answer?;
        match answer.status {
            StatusCode::OK => page(&answer),
            StatusCode::GONE => {
                let kept = parse::<Kept>(&answer).map_err(ReadError::Answer)?;
                let first = kept.first;
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

/// Returns an answer's status and the beginning of its body.
fn describe(answer: &Answer) -> String {
    const SHOWN: usize = 200;
    let shown = &answer.body[..answer.body.len().min(SHOWN)];
    let text = String::from_utf8_lossy(shown);
    format!("{} {}", answer.status.as_u16(), text.trim())
}
