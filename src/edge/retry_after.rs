//! The header by which an endpoint says when it wants the next request.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use tracing::warn;

#[cfg(test)]
mod tests;

/// The longest time that is believed. Endpoints that need longer are restarted or replaced.
const MAX: Duration = Duration::from_secs(3600);

/// Reads for how many seconds an endpoint asks not to be used; they may have a fraction.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?;
    let secs = value.to_str().unwrap_or_default().trim().parse::<f64>();
    let time = match secs {
        Ok(secs) if secs >= 0.0 && secs.is_finite() => secs.min(MAX.as_secs_f64()),
        _ => {
            warn!(event = "header-unreadable", header = "retry-after", ?value);
            return None;
        }
    };
    Some(Duration::from_secs_f64(time))
}

/// Reads how long an endpoint that turns a request away wants nothing more from this router.
pub(crate) fn rest(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => retry_after(headers),
        _ => None,
    }
}
