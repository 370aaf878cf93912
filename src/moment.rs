//! Moments that mean something beyond one process: what the clocks of its VM read.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// How far a VM's time of day may have fallen back between two processes: it is set by seconds at most.
const FALLEN_BACK: Duration = Duration::from_secs(3);

/// How far two readings of a fleet's clocks may be apart beyond the time that passed: words between routers take a while, and
/// clocks differ by some milliseconds though nobody set them.
const APART: Duration = Duration::from_millis(100);

/// How far steady clock and time of day may disagree about how long ago a moment is, if both are of the same boot. Where they
/// disagree by more, the name of the boot says nothing: a VM may show that of the machine below it, which goes on while the
/// VM loses its power.
const DISAGREEMENT: Duration = Duration::from_secs(10);

/// Names a VM by its address: one that takes over another's name has an address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct HostId(pub(crate) u64);

/// Names one boot of a VM. Readings of steady clocks compare only within one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct BootId(pub(crate) u64);

/// A moment by the clocks of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Moment {
    /// The VM.
    pub(crate) host: HostId,
    /// Its boot.
    pub(crate) boot: BootId,
    /// How long after the boot, the time counted in which the VM was suspended.
    pub(crate) uptime: Duration,
    /// The time of day, since the Unix epoch.
    pub(crate) wall: Duration,
}

impl Moment {
    /// Returns how long after an earlier moment of the same boot this one is; nothing where that can't be said.
    fn steady_since(&self, earlier: &Self) -> Option<Duration> {
        if self.boot != earlier.boot {
            return None;
        }
        let steady = self.uptime.checked_sub(earlier.uptime)?;
        let wall = self.wall.checked_sub(earlier.wall);
        (steady.abs_diff(wall.unwrap_or_default()) <= DISAGREEMENT).then_some(steady)
    }
}

/// The times of day that most clocks of a fleet lie between at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Span {
    /// Few of them show an earlier one.
    pub(crate) earliest: Duration,
    /// Few of them show a later one.
    pub(crate) latest: Duration,
}

impl Span {
    /// Returns it as it was a while before.
    pub(crate) fn before(self, passed: Duration) -> Self {
        Self {
            earliest: self.earliest.saturating_sub(passed),
            latest: self.latest.saturating_sub(passed),
        }
    }
}

/// What the clocks of a VM read at a moment, and those of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// The VM's own.
    pub(crate) own: Moment,
    /// The fleet's; nothing where too few of them were known.
    pub(crate) fleet: Option<Span>,
    /// Whether the fleet's may soon be known.
    pub(crate) awaited: bool,
}

impl ClockReading {
    /// Returns how long after an earlier moment on the same VM this one is at most; nothing where that can't be said.
    ///
    /// Within one boot the steady clock tells. A loss of power takes it away and leaves the time of day, which may have been
    /// set back meanwhile. That of the fleet is set back only if it is at most of its VMs; where it isn't known, the VM's own
    /// counts, with an allowance.
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

/// Tells the moments of a process's own readings of time.
///
/// The readings don't count the time in which the VM is suspended, so that a moment told after a suspension is too early.
/// Whoever thinks that more time has passed than has, thinks that more was spent: that errs on the safe side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BootClock {
    start: Moment,
    read: Instant,
}

impl BootClock {
    /// Makes one for a process that started at a moment, when its own clock read so.
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
