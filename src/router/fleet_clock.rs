//! Wall clock of the fleet, from the clocks that its routers report to each other.
//!
//! A VM's wall clock may be wrong by seconds and be corrected while the VM has no power. To the VM's next process less
//! time then seems to have passed than really has, and it would return budget that was used. An allowance for that
//! would strand seconds of each team's demand at each loss of power. Most clocks of a fleet are never wrong in the same
//! direction at once, so routers report theirs to each other and go by the majority.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::VmId;
use crate::moment::BootClock;
use crate::moment::ClockReading;
use crate::moment::Span;

/// Fewest clocks of other routers that must be known. There must also be more than half of the listed ones.
const MIN_PEERS: usize = 2;

/// Fraction (a quarter) of the clocks left out at either end of a span. Some VMs' clocks are set wrong, and those of
/// VMs that were suspended fall behind; each of them would widen all spans.
const TRIM_DIVISOR: usize = 4;

/// How long a router's reported clock is valid. It may have another after a restart.
const READING_TTL: Duration = Duration::from_secs(20);

/// How long after its start a router waits for the other clocks before it goes by its own: all routers may have lost
/// power, and they don't all start at once.
const START_WAIT: Duration = Duration::from_secs(1);

/// A VM's clock and those of the other routers.
#[derive(Debug)]
pub(crate) struct FleetClock {
    own: BootClock,
    /// Wall clocks that other routers reported, with the time of the report.
    readings: IndexMap<VmId, (Instant, Duration)>,
    /// How many other routers there are; `None` before the VM list is known.
    peer_count: Option<usize>,
    /// What the fleet's clocks read when this process started, once enough of them are known.
    start_span: Option<Span>,
}

impl FleetClock {
    /// Creates a fleet clock that knows only its own VM's clock.
    pub(crate) fn new(own: BootClock) -> Self {
        Self {
            own,
            readings: IndexMap::new(),
            peer_count: None,
            start_span: None,
        }
    }

    /// Sets how many other routers there are.
    pub(crate) fn set_peer_count(&mut self, peer_count: usize) {
        self.peer_count = Some(peer_count);
    }

    /// Records another router's wall clock; returns whether this first makes known what the fleet's clocks read when
    /// this process started.
    pub(crate) fn record_reading(&mut self, now: Instant, vm: &VmId, wall: Duration) -> bool {
        self.readings.insert(vm.clone(), (now, wall));
        if self.start_span.is_some() {
            return false;
        }
        let elapsed = self.elapsed(now);
        self.start_span = self.span(now).map(|span| span.before(elapsed));
        self.start_span.is_some()
    }

    /// Returns the reading of the VM's own clock.
    pub(crate) fn own_reading(&self, now: Instant) -> ClockReading {
        ClockReading {
            own: self.own.at(now),
            fleet: None,
            awaited: false,
        }
    }

    /// Returns the reading of all clocks.
    pub(crate) fn reading(&self, now: Instant) -> ClockReading {
        ClockReading {
            fleet: self.span(now),
            ..self.own_reading(now)
        }
    }

    /// Returns the reading of all clocks when this process started. The fleet's part, once known, does not change with
    /// later reports.
    pub(crate) fn start_reading(&self, now: Instant) -> ClockReading {
        ClockReading {
            own: self.own.start(),
            fleet: self.start_span,
            awaited: self.start_span.is_none() && self.elapsed(now) < START_WAIT,
        }
    }

    /// Returns how long this process has run.
    fn elapsed(&self, now: Instant) -> Duration {
        let started = self.own.start().uptime;
        self.own.at(now).uptime.saturating_sub(started)
    }

    /// Returns the span that most clocks lie within; `None` before the other routers are listed, when the size of a
    /// majority is unknown.
    fn span(&self, now: Instant) -> Option<Span> {
        let min_peers = MIN_PEERS.max(self.peer_count? / 2 + 1);
        let readings = self.readings.values();
        let clocks = readings.filter_map(|(at, wall)| {
            let age = now.saturating_duration_since(*at);
            (age < READING_TTL).then(|| *wall + age)
        });
        let mut clocks: Vec<_> = clocks.collect();
        if clocks.len() < min_peers {
            return None;
        }
        clocks.push(self.own.at(now).wall);
        clocks.sort_unstable();
        let trimmed = clocks.len() / TRIM_DIVISOR;
        Some(Span {
            earliest: clocks[trimmed],
            latest: clocks[clocks.len() - 1 - trimmed],
        })
    }
}
