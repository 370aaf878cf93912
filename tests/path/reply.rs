//! What a caller received.

use anyhow::Result;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde_json::Value;
use tokio::time::timeout;

use crate::PATIENCE;

/// What a caller received.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Whether the connection carried the body to its end.
    pub(crate) whole: bool,
}

impl Reply {
    /// Reads all of an answer.
    pub(crate) async fn read(answer: Response<Incoming>) -> Result<Self> {
        let (head, mut rest) = answer.into_parts();
        let mut reply = Self {
            status: head.status.as_u16(),
            headers: head.headers,
            body: Vec::new(),
            whole: true,
        };
        while let Some(frame) = timeout(PATIENCE, rest.frame()).await? {
            match frame {
                Ok(frame) => reply.body.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    reply.whole = false;
                    break;
                }
            }
        }
        Ok(reply)
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns its JSON, or null where it is none.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Checks that it is a refusal of this status and kind, which says this of the request.
    pub(crate) fn assert_problem(&self, status: u16, kind: &str, ran: &str) {
        let body = self.json();
        let text = self.text();
        assert_eq!(self.status, status, "{text}");
        assert_eq!(self.header("content-type"), "application/problem+json");
        let name = format!("urn:jasmineridge:problem:{kind}");
        assert_eq!(body["type"], name.as_str(), "{text}");
        assert_eq!(body["status"], status, "{text}");
        assert_eq!(body["ran"], ran, "{text}");
        assert_eq!(body["find_out"].is_string(), ran == "unknown", "{text}");
    }
}
