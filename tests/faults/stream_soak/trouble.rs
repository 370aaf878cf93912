//! What happens to routers, endpoints and versions, at random and several things at once.

use std::ops::Range;
use std::time::Duration;

use indexmap::IndexSet;
use rand::RngExt;
use tokio::time::Instant;

use crate::stream_soak::ONCE;
use crate::stream_soak::RESUMABLE;
use crate::stream_soak::endpoint::State;
use crate::stream_soak::play::ENDPOINTS;
use crate::stream_soak::play::Play;

/// When a step comes that is not put off, in milliseconds, as all times below.
const AT_ONCE_MS: Range<u64> = 0..1;
/// How long after a kill, a stop or a SIGTERM a router starts again or goes on.
const DOWN_MS: Range<u64> = 200..2500;
const FREEZE_MS: Range<u64> = 1000..12_000;
const LEAVE_MS: Range<u64> = 200..1000;
/// How long a router stands still while a version joins, and when the endpoints of that version come.
const BEHIND_MS: Range<u64> = 1500..2600;
const JOIN_MS: Range<u64> = 50..200;
/// When each router is killed where all are, and when it starts again.
const KILLS_MS: Range<u64> = 0..30;
const ALL_DOWN_MS: Range<u64> = 500..900;
/// The time between two routers of a rolling restart, from the stop of each to its start, and by which these vary.
const ROLLING_STEP_MS: u64 = 1500;
const ROLLING_RESTART_MS: u64 = 300;
const ROLLING_SPREAD_MS: u64 = 200;
/// When endpoints come and go in a release, and in one while all routers are down.
const RELEASE_MS: Range<u64> = 0..2000;
const RELEASE_DURING_OUTAGE_MS: Range<u64> = 0..300;

/// What happens in a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trouble {
    /// Callers alone leave streams.
    Nothing,
    /// One router is killed, stopped or frozen once.
    OneRouter,
    /// A second version joins while a router stands still.
    JoinBehind,
    /// Anything, several things at once.
    Anything,
}

impl Trouble {
    /// Returns how many versions there are at first.
    pub(super) fn versions(self) -> usize {
        match self {
            Self::JoinBehind => 1,
            Self::Nothing | Self::OneRouter | Self::Anything => 2,
        }
    }
}

/// A change that is due.
#[derive(Clone, Debug)]
pub(super) enum Step {
    Kill(usize),
    Freeze(usize),
    Continue(usize),
    Terminate(usize),
    Start(usize),
    /// An endpoint goes into a state.
    Endpoint(State),
    Resume(String),
    Remove(String),
    Add {
        service: &'static str,
        version: String,
    },
}

impl Play {
    /// Returns a time so many milliseconds from now.
    pub(super) fn within(&mut self, range_ms: Range<u64>) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(range_ms))
    }

    /// Plans a step for a time so many milliseconds from now.
    pub(super) fn plan(&mut self, range_ms: Range<u64>, step: Step) {
        let at = self.within(range_ms);
        self.due.push((at, step));
    }

    /// Has something happen to a router.
    pub(super) fn disturb_router(&mut self) {
        let vm = self.rng.random_range(0..self.vms.len());
        match self.rng.random_range(0..3) {
            0 => {
                self.plan(AT_ONCE_MS, Step::Kill(vm));
                self.plan(DOWN_MS, Step::Start(vm));
            }
            1 => {
                self.plan(AT_ONCE_MS, Step::Freeze(vm));
                self.plan(FREEZE_MS, Step::Continue(vm));
            }
            _ => {
                self.plan(AT_ONCE_MS, Step::Terminate(vm));
                self.plan(LEAVE_MS, Step::Start(vm));
            }
        }
    }

    /// Has a version join while a router stands still.
    pub(super) fn join_behind(&mut self) {
        let vm = self.rng.random_range(0..self.vms.len());
        self.plan(AT_ONCE_MS, Step::Freeze(vm));
        self.plan(BEHIND_MS, Step::Continue(vm));
        self.join(JOIN_MS);
    }

    /// Has something happen to routers, endpoints or versions.
    pub(super) fn disturb(&mut self) {
        match self.rng.random_range(0..12) {
            0..=3 => self.disturb_router(),
            4..=5 => {
                for vm in 0..self.vms.len() {
                    self.plan(KILLS_MS, Step::Kill(vm));
                    self.plan(ALL_DOWN_MS, Step::Start(vm));
                }
                self.release(RELEASE_DURING_OUTAGE_MS);
            }
            6 => {
                for vm in 0..self.vms.len() {
                    let at = ROLLING_STEP_MS * vm as u64;
                    self.plan(at..at + ROLLING_SPREAD_MS, Step::Terminate(vm));
                    let restart = at + ROLLING_RESTART_MS;
                    self.plan(restart..restart + ROLLING_SPREAD_MS, Step::Start(vm));
                }
            }
            7 => self.plan(AT_ONCE_MS, Step::Endpoint(State::Closed)),
            8 => self.plan(AT_ONCE_MS, Step::Endpoint(State::Reset)),
            9 => self.plan(AT_ONCE_MS, Step::Endpoint(State::Paused)),
            _ => self.release(RELEASE_MS),
        }
    }

    /// Adds a version.
    fn join(&mut self, range_ms: Range<u64>) {
        self.versions += 1;
        let version = format!("v{}", self.versions);
        for service in [RESUMABLE, ONCE].repeat(ENDPOINTS) {
            let version = version.clone();
            self.plan(range_ms.clone(), Step::Add { service, version });
        }
    }

    /// Adds a version, has the oldest one leave, or both.
    fn release(&mut self, range_ms: Range<u64>) {
        let listed: IndexSet<_> = self.endpoints.iter().map(|e| e.version.clone()).collect();
        let (adds, leaves) = match self.rng.random_range(0..3) {
            _ if listed.len() < 2 => (true, false),
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        if adds {
            self.join(range_ms.clone());
        }
        if leaves {
            let old = self.endpoints.iter().filter(|e| e.version == listed[0]);
            for name in old.map(|e| e.name.clone()).collect::<Vec<_>>() {
                self.plan(range_ms.clone(), Step::Remove(name));
            }
        }
    }
}
