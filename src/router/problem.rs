//! Refusals, as RFC 9457 problem details.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// What a refusal states about all attempts with the request's key, not about one attempt alone.
///
/// If a router answered "no" to the retry of a request that another router ran, the caller would send it once more
/// under a new key, and it would run twice. "No" is therefore stated only where it is proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It was not run, and no attempt made before this answer will run it.
    No,
    /// It is not known yet; sending the same key again finds out.
    Unknown,
    /// It was run, and its answer is not stored.
    Yes,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        })
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The request cannot be read.
    Malformed,
    /// The body, or a header, is larger than the settings allow.
    TooLarge,
    /// No client account has this bearer key.
    Unauthorized,
    /// There is no such path, model or service, or no rule selects a team that pays.
    NoRoute,
    /// The key was used for another request.
    OtherRequest,
    /// The client account exceeds its limits.
    RateLimited,
    /// The queue is full, or the wait would outlast the deadline.
    Overloaded,
    /// The team's budget does not cover the request.
    BudgetSpent,
    /// The budget may cover the request, but this router can't obtain the rest of it now.
    BudgetHeld,
    /// No endpoint could take the request.
    NoEndpoint,
    /// Endpoints failed repeatedly while running this request.
    Quarantined,
    /// Endpoints crashed repeatedly over requests like this one.
    CrashesEndpoints,
    /// This router is shutting down, or still starting.
    NotServing,
    /// The configuration in force here does not allow the request, but a newer one may.
    ConfigBehind,
    /// The log service does not answer, and this request needs it.
    LogOutage,
    /// Another attempt of the request is in progress.
    InProgress,
    /// The request may not run twice, and it is not known whether it ran.
    OutcomeUnknown,
    /// The request already ran, and its answer is not stored.
    Finished,
    /// The endpoint failed while running the request.
    EndpointFailed,
    /// The request took longer than its deadline.
    Deadline,
}

impl ProblemKind {
    /// Returns the HTTP status, the name in the problem's `type`, and the title.
    fn definition(self) -> (u16, &'static str, &'static str) {
        match self {
            Self::Malformed => (400, "malformed", "The request cannot be read"),
            Self::TooLarge => (413, "too-large", "The request is too large"),
            Self::Unauthorized => (401, "unauthorized", "No client account has this key"),
            Self::NoRoute => (404, "no-route", "Nothing serves this request"),
            Self::OtherRequest => (422, "other-request", "The key stands for another request"),
            Self::RateLimited => (429, "rate-limited", "The client account asks too often"),
            Self::Overloaded => (503, "overloaded", "All endpoints are busy"),
            Self::BudgetSpent => (402, "budget-spent", "The team's budget is spent"),
            Self::BudgetHeld => (503, "budget-held", "The team's budget lies elsewhere"),
            Self::NoEndpoint => (503, "no-endpoint", "No endpoint can take the request"),
            Self::Quarantined => (422, "quarantined", "Endpoints fail over this request"),
            Self::CrashesEndpoints => (
                503,
                "crashes-endpoints",
                "Endpoints crash over this request",
            ),
            Self::NotServing => (503, "not-serving", "This router takes no new requests"),
            Self::ConfigBehind => (503, "config-behind", "The configuration may be old"),
            Self::LogOutage => (503, "log-outage", "The log service does not answer"),
            Self::InProgress => (409, "in-progress", "The request is in progress"),
            Self::OutcomeUnknown => (409, "outcome-unknown", "Nobody knows whether it ran"),
            Self::Finished => (409, "finished", "The request ran before"),
            Self::EndpointFailed => (502, "endpoint-failed", "The endpoint failed"),
            Self::Deadline => (504, "deadline", "The request took too long"),
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        self.definition().0
    }

    /// Returns the name in the problem's `type`.
    pub fn name(self) -> &'static str {
        self.definition().1
    }
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Why the request is refused.
    pub kind: ProblemKind,
    /// A human-readable explanation.
    pub detail: String,
    /// Whether the request was run.
    pub ran: Ran,
    /// How long to wait before a retry.
    pub retry: Option<Duration>,
    /// Which router to use instead, `ip:port`.
    pub instead: Option<String>,
}

impl Problem {
    /// Makes a refusal.
    pub fn new(kind: ProblemKind, ran: Ran, detail: &str) -> Self {
        Self {
            kind,
            detail: detail.to_owned(),
            ran,
            retry: None,
            instead: None,
        }
    }

    /// Sets the retry delay.
    pub fn with_retry(self, after: Duration) -> Self {
        Self {
            retry: Some(after),
            ..self
        }
    }

    /// Sets the router to use instead.
    pub fn with_instead(self, address: Option<String>) -> Self {
        Self {
            instead: address,
            ..self
        }
    }

    /// Returns the `Retry-After` header's value, whole seconds rounded up.
    pub fn retry_after(&self) -> Option<u64> {
        let retry = self.retry?;
        let up = u64::from(retry.subsec_nanos() > 0);
        Some(retry.as_secs() + up)
    }

    /// Returns the body, `application/problem+json`.
    pub fn to_json(&self) -> Value {
        let (status, name, title) = self.kind.definition();
        let mut body = json!({
            "type": format!("urn:jasmineridge:problem:{name}"),
            "title": title,
            "status": status,
            "detail": self.detail,
            "ran": self.ran,
        });
        if let Some(retry) = self.retry {
            let millis = u64::try_from(retry.as_millis()).unwrap_or(u64::MAX);
            body["retry_after_ms"] = millis.into();
        }
        if let Some(instead) = &self.instead {
            body["instead"] = instead.as_str().into();
        }
        if self.ran == Ran::Unknown {
            body["find_out"] =
                "send the same request again with the same Idempotency-Key and a higher Jasmineridge-Attempt".into();
        }
        body
    }
}
