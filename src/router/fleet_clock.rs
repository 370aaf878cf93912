//! The times of day of a fleet's routers, as one of them hears of them.
//!
//! A VM's time of day may be wrong by seconds, and be set right while the VM has no power. To its next process less time has
//! then elapsed than has, and it would give back budget that was used. An allowance for that strands seconds of each team's
//! demand at each loss of power. Most clocks of a fleet are never wrong in the same direction at once; so routers tell each
//! other theirs, and go by what most of them say.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::VmId;
use crate::moment::BootClock;
use crate::moment::ClockReading;
use crate::moment::Span;

/// How many other routers' clocks must be known at least. Of those that are listed it must be more than half.
const MIN_PEERS: usize = 2;

/// Which part of the clocks is left out at either end of a span. Some VMs' clocks are set wrong, and those of VMs that were
/// suspended fall behind; let in, each of them would widen all spans.
const TRIM_DIVISOR: usize = 4;

/// How long a router's word of its clock holds. It may have another after a restart.
const READING_TTL: Duration = Duration::from_secs(20);

/// For how long after its start a router waits for the others' clocks before it goes by its own: all of them may have lost
/// their power, and not all start at once.
const START_WAIT: Duration = Duration::from_secs(1);

/// A VM's clock and those of the other routers.
#[derive(Debug)]
pub(crate) struct FleetClock {
    own: BootClock,
    /// What time of day other routers said it was, and when.
    readings: IndexMap<VmId, (Instant, Duration)>,
    /// How many other routers there are; nothing before they are listed.
    peer_count: Option<usize>,
    /// What the fleet's clocks read when this process started, once enough of them are known.
    start_span: Option<Span>,
}

impl FleetClock {
    /// Makes one that knows its own alone.
    pub(crate) fn new(own: BootClock) -> Self {
        Self {
            own,
            readings: IndexMap::new(),
            peer_count: None,
            start_span: None,
        }
    }

    /// Takes over how many other routers there are.
    pub(crate) fn set_peer_count(&mut self, peer_count: usize) {
        self.peer_count = Some(peer_count);
    }

    /// Takes in what time of day it is at another router; returns whether with that it is first known what the fleet's clocks
    /// read when this process started.
    pub(crate) fn record_reading(&mut self, now: Instant, vm: &VmId, wall: Duration) -> bool {
        self.readings.insert(vm.clone(), (now, wall));
        if self.start_span.is_some() {
            return false;
        }
        let elapsed = self.elapsed(now);
        self.start_span = self.span(now).map(|span| span.before(elapsed));
        self.start_span.is_some()
    }

    /// Returns what the VM's own clock reads.
    pub(crate) fn own_reading(&self, now: Instant) -> ClockReading {
        ClockReading {
            own: self.own.at(now),
            fleet: None,
            awaited: false,
        }
    }

    /// Returns what all clocks read.
    pub(crate) fn reading(&self, now: Instant) -> ClockReading {
        ClockReading {
            fleet: self.span(now),
            ..self.own_reading(now)
        }
    }

    /// Returns what the clocks read when this process started. What the fleet's read does not change with each router that is
    /// heard of later.
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

    /// Returns what most clocks lie between. Before the other routers are listed nobody knows how many clocks are most of them.
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
