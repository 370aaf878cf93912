//! The settings of the ledger.

use serde::Deserialize;
use serde::Serialize;

use crate::settings::error::SettingsError;
use crate::settings::millis::Millis;
use crate::settings::modes::EndMarker;
use crate::settings::range::check_time;
use crate::settings::range::wrong;

/// The minimum number of missed heartbeats after which a router counts as silent. A single one is lost with any packet,
/// and closing a live router loses the requests that it has in progress.
const MIN_MISSED: u64 = 3;

/// The settings of the ledger. `docs/SETTINGS.md` has the reasons for the defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerSettings {
    /// How long records are collected before they are appended together.
    pub commit_ms: Millis,
    /// How long an append may take before its outcome counts as unknown and it is repeated.
    pub append_ms: Millis,
    /// The interval of the heartbeats between routers.
    pub heartbeat_ms: Millis,
    /// How long a router that is no longer in the VM list must be silent before it is closed.
    pub silence_ms: Millis,
    /// How long no append may succeed before the log counts as unavailable.
    pub outage_ms: Millis,
    /// How long a router in the VM list may be unreachable before it is closed.
    pub parted_ms: Millis,
    /// How long the log retains records.
    pub retention_ms: Millis,
    /// What happens to the end marker of a complete answer during a log outage.
    pub end_marker: EndMarker,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            commit_ms: Millis(25),
            append_ms: Millis(1_000),
            heartbeat_ms: Millis(500),
            silence_ms: Millis(4_000),
            outage_ms: Millis(1_000),
            parted_ms: Millis(3_600_000),
            retention_ms: Millis(3_600_000),
            end_marker: EndMarker::Peers,
        }
    }
}

impl LedgerSettings {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        check_time("ledger.commit_ms", self.commit_ms, Millis(1))?;
        check_time("ledger.append_ms", self.append_ms, Millis(10))?;
        check_time("ledger.heartbeat_ms", self.heartbeat_ms, Millis(10))?;
        check_time("ledger.silence_ms", self.silence_ms, Millis(10))?;
        check_time("ledger.outage_ms", self.outage_ms, Millis(10))?;
        check_time("ledger.parted_ms", self.parted_ms, Millis(10))?;
        check_time("ledger.retention_ms", self.retention_ms, Millis(1_000))?;
        self.check_silence()?;
        self.check_outage()
    }

    fn check_silence(&self) -> Result<(), SettingsError> {
        let min = Millis(MIN_MISSED * self.heartbeat_ms.0);
        if self.silence_ms >= min {
            return Ok(());
        }
        let allowed = format!("at least {MIN_MISSED} times heartbeat_ms, {min}");
        Err(wrong(
            "ledger.silence_ms",
            self.silence_ms.to_string(),
            allowed,
        ))
    }

    /// Rejects an outage limit below the time limit of an append: each slow append would count as an outage.
    fn check_outage(&self) -> Result<(), SettingsError> {
        if self.outage_ms >= self.append_ms {
            return Ok(());
        }
        let allowed = format!("at least append_ms, {}", self.append_ms);
        Err(wrong(
            "ledger.outage_ms",
            self.outage_ms.to_string(),
            allowed,
        ))
    }
}
