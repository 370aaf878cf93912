//! Limits on what callers may send.

use serde::Deserialize;
use serde::Serialize;

use crate::settings::error::SettingsError;
use crate::settings::millis::Millis;
use crate::settings::range::check_count;
use crate::settings::range::check_time;

/// The shortest time limit that may be set. Below it, an ordinary delay of the scheduler looks like a fault.
const MIN_TIME: Millis = Millis(10);

/// Limits on what callers may send. `docs/SETTINGS.md` has the reasons for the defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The largest head, in bytes.
    pub header_bytes: usize,
    /// How long a caller may take to send a head.
    pub header_ms: Millis,
    /// How long a caller may take to send a body.
    pub body_ms: Millis,
    /// How long a request may take in total, unless the caller sends a deadline.
    pub deadline_ms: Millis,
    /// The maximum number of open connections of callers.
    pub connections: usize,
    /// The maximum number of requests that wait for an endpoint.
    pub queue: usize,
    /// How long a request may wait for an endpoint.
    pub queue_ms: Millis,
    /// How long a caller may stop reading its answer.
    pub stall_ms: Millis,
    /// How long requests in progress may continue after a stop was requested.
    pub drain_ms: Millis,
    /// How long a caller may use an advised address.
    pub address_ms: Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            header_ms: Millis(5_000),
            body_ms: Millis(10_000),
            deadline_ms: Millis(120_000),
            connections: 4_096,
            queue: 512,
            queue_ms: Millis(10_000),
            stall_ms: Millis(30_000),
            drain_ms: Millis(60_000),
            address_ms: Millis(30_000),
        }
    }
}

impl RequestLimits {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        count("limits.body_bytes", self.body_bytes, 1 << 10, 64 << 20)?;
        count("limits.header_bytes", self.header_bytes, 8 << 10, 1 << 20)?;
        check_time("limits.header_ms", self.header_ms, MIN_TIME)?;
        check_time("limits.body_ms", self.body_ms, MIN_TIME)?;
        check_time("limits.deadline_ms", self.deadline_ms, MIN_TIME)?;
        count("limits.connections", self.connections, 1, 1 << 20)?;
        count("limits.queue", self.queue, 0, 1 << 20)?;
        check_time("limits.queue_ms", self.queue_ms, MIN_TIME)?;
        check_time("limits.stall_ms", self.stall_ms, MIN_TIME)?;
        check_time("limits.drain_ms", self.drain_ms, Millis(0))?;
        check_time("limits.address_ms", self.address_ms, MIN_TIME)
    }
}

fn count(path: &str, value: usize, min: u64, max: u64) -> Result<(), SettingsError> {
    check_count(path, u64::try_from(value).unwrap_or(u64::MAX), min, max)
}
