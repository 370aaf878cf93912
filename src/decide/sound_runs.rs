//! Which requests endpoints ran lately without crashing.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::crash_report::Suspect;

/// How long a sound run is remembered at least, if there are not too many: longer than a crash takes to be known.
const RETENTION: Duration = Duration::from_secs(30);

/// For how long a suspect that ran well is rather not the cause of a crash.
const RECENT: Duration = Duration::from_secs(10);

/// How many sound runs are remembered in each of two periods.
const MAX_PERIOD: usize = 16_384;

/// When the last sound run of each suspect began.
#[derive(Debug, Default)]
pub(super) struct SoundRuns {
    /// The runs of the current period, and those of the one before, so that old ones are dropped all at once.
    current: IndexMap<Suspect, Instant>,
    previous: IndexMap<Suspect, Instant>,
    began: Option<Instant>,
}

impl SoundRuns {
    /// Records a run that began at `begun`, and returns whether none that began then or later is remembered.
    pub(super) fn record(&mut self, now: Instant, suspect: Suspect, begun: Instant) -> bool {
        if self.last(suspect).is_some_and(|last| last >= begun) {
            return false;
        }
        let began = *self.began.get_or_insert(now);
        if now >= began + RETENTION || self.current.len() >= MAX_PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.began = Some(now);
        }
        self.current.insert(suspect, begun);
        true
    }

    /// Returns whether a suspect had run well shortly before a time, so that it is rather not the cause of a crash.
    pub(super) fn was_sound(&self, suspect: Suspect, at: Instant) -> bool {
        let last = self.last(suspect);
        last.is_some_and(|last| last + RECENT >= at)
    }

    /// Returns when the last sound run of a suspect began, if it is remembered.
    pub(super) fn last(&self, suspect: Suspect) -> Option<Instant> {
        let last = self.current.get(&suspect);
        last.or_else(|| self.previous.get(&suspect)).copied()
    }
}
