//! Times that are meaningful beyond one process: readings of the clocks of its VM.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// How far a VM's wall clock may have been set back between two processes. It is adjusted by seconds at most.
const FALLEN_BACK: Duration = Duration::from_secs(3);

/// How far two readings of the fleet's clocks may differ beyond the time that passed: messages between routers take time, and
/// clocks differ by some milliseconds even if none was adjusted.
const APART: Duration = Duration::from_millis(100);

/// How far the monotonic clock and the wall clock may disagree about elapsed time within one boot. If they disagree by more,
/// the boot id is unreliable: a VM may show that of its host, which keeps running while the VM loses power.
const DISAGREEMENT: Duration = Duration::from_secs(10);

/// Identifies a VM by its address. A VM that takes over another's name has a different address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct HostId(pub(crate) u64);

/// Identifies one boot of a VM. Readings of monotonic clocks are comparable only within one boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct BootId(pub(crate) u64);

/// A time according to the clocks of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Moment {
    /// The VM.
    pub(crate) host: HostId,
    /// Its boot.
    pub(crate) boot: BootId,
    /// The time since the boot, including suspension.
    pub(crate) uptime: Duration,
    /// The wall clock time since the Unix epoch.
    pub(crate) wall: Duration,
}

impl Moment {
    /// Returns the time since an earlier moment of the same boot, or `None` if it is unknown.
    fn steady_since(&self, earlier: &Self) -> Option<Duration> {
        if self.boot != earlier.boot {
            return None;
        }
        let steady = self.uptime.checked_sub(earlier.uptime)?;
        let wall = self.wall.checked_sub(earlier.wall);
        (steady.abs_diff(wall.unwrap_or_default()) <= DISAGREEMENT).then_some(steady)
    }
}

/// The range of wall clock times that most clocks of a fleet show at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Span {
    /// Few clocks show an earlier time.
    pub(crate) earliest: Duration,
    /// Few clocks show a later time.
    pub(crate) latest: Duration,
}

impl Span {
    /// Returns the range as it was `passed` ago.
    pub(crate) fn before(self, passed: Duration) -> Self {
        Self {
            earliest: self.earliest.saturating_sub(passed),
            latest: self.latest.saturating_sub(passed),
        }
    }
}

/// A reading of the clocks of a VM and of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// The reading of the VM.
    pub(crate) own: Moment,
    /// The reading of the fleet, if enough clocks are known.
    pub(crate) fleet: Option<Span>,
    /// Whether the reading of the fleet may soon be known.
    pub(crate) awaited: bool,
}

impl ClockReading {
    /// Returns the longest time that may have passed since an earlier reading on the same VM, or `None` if it is unknown.
    ///
    /// Within one boot, the monotonic clock decides. After a loss of power only the wall clock is left, which may have been
    /// set back in the meantime. The fleet's wall clock is set back only if most of its VMs are; if it is unknown, the VM's
    /// own counts, with an allowance.
    pub(crate) fn since(&self, earlier: &Self) -> Option<Duration> {
        if self.own.host != earlier.own.host {
            return None;
        }
        let steady = self.own.steady_since(&earlier.own);
        if steady.is_some() || self.awaited && earlier.fleet.is_some() {
            return steady;
        }
        self.fleet_since(earlier)
            .or_else(|| self.wall_since(earlier))
    }

    fn wall_since(&self, earlier: &Self) -> Option<Duration> {
        let wall = self.own.wall.checked_sub(earlier.own.wall)?;
        Some(wall + FALLEN_BACK)
    }

    fn fleet_since(&self, earlier: &Self) -> Option<Duration> {
        let (now, then) = self.fleet.zip(earlier.fleet)?;
        let passed = now.latest.checked_sub(then.earliest)?;
        Some(passed + APART)
    }
}

/// Converts a process's monotonic readings to moments.
///
/// The readings exclude suspension, so a moment after a suspension is too early. A later process then assumes that more time
/// has passed, and so that more was spent, which is the safe direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BootClock {
    start: Moment,
    read: Instant,
}

impl BootClock {
    /// Creates the clock of a process that started at `start`, when its monotonic clock showed `read`.
    pub(crate) fn new(start: Moment, read: Instant) -> Self {
        Self { start, read }
    }

    /// Returns when the process started.
    pub(crate) fn start(&self) -> Moment {
        self.start
    }

    /// Returns the moment of a reading.
    pub(crate) fn at(&self, now: Instant) -> Moment {
        let passed = now.saturating_duration_since(self.read);
        Moment {
            uptime: self.start.uptime + passed,
            wall: self.start.wall + passed,
            ..self.start
        }
    }
}
