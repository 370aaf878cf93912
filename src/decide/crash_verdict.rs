//! Which suspects explain crashes.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::crash::Crash;
use crate::decide::crash_report::Suspect;
use crate::decide::crash_report::SuspectKind;
use crate::decide::quarantined::Quarantined;
use crate::decide::sound_runs::SoundRuns;

/// Within how much time crashes may have one cause, a rack or a switch.
const CORRELATION: Duration = Duration::from_millis(500);

/// How many crashes at about the same time count at most among those that a part may or may not explain.
const MAX_CORRELATED: usize = 3;

/// The share of all unexplained crashes meanwhile at which a part must have been. Where endpoints crash all the time, whatever
/// runs there meets several crashes.
const MIN_SHARE: f64 = 0.25;

/// Returns the suspects of a kind that are at most crashes which no quarantined one explains, if these are enough.
pub(super) fn top_suspects(
    kind: SuspectKind,
    crashes: &[Crash],
    quarantined: &IndexMap<Suspect, Quarantined>,
    sound: &SoundRuns,
) -> Vec<(Suspect, CrashTimes)> {
    let mut runs: IndexMap<Suspect, Vec<(Instant, Instant)>> = IndexMap::new();
    let unexplained = crashes
        .iter()
        .filter(|crash| !crash.is_explained(kind, quarantined));
    let mut all = Vec::new();
    for crash in unexplained {
        all.push(crash.at);
        let suspects = crash.suspects.iter();
        for (suspect, sent) in suspects.filter(|(suspect, _)| suspect.kind() == kind) {
            runs.entry(*suspect).or_default().push((crash.at, *sent));
        }
    }
    let times = runs.into_iter();
    let times = times.map(|(suspect, runs)| (suspect, separate_crashes(suspect, runs, sound)));
    let mut times: IndexMap<_, _> = times.collect();
    all.sort_unstable();
    times.retain(|suspect, times| {
        let is_likely = kind == SuspectKind::Request || explains_share(times, &all);
        times.len() >= suspect.crash_limit() && is_likely
    });
    let most = times.values().map(Vec::len).max();
    times.retain(|_, times| Some(times.len()) == most);
    let names: IndexSet<_> = times.keys().copied().collect();
    let is_included = |suspect: &Suspect| suspect.whole().is_some_and(|of| names.contains(&of));
    let top = times
        .into_iter()
        .filter(|(suspect, _)| !is_included(suspect));
    top.map(|(suspect, times)| (suspect, CrashTimes::new(suspect, &times)))
        .collect()
}

/// Returns whether the crashes of a suspect are a large enough share of all crashes from its first to its last one. Both lists
/// are in order.
fn explains_share(times: &[Instant], all: &[Instant]) -> bool {
    let Some((first, last)) = times.first().zip(times.last()) else {
        return false;
    };
    let meanwhile = all.iter().filter(|at| (first..=last).contains(at));
    let mut count = 0;
    let mut group: Option<(Instant, usize)> = None;
    for at in meanwhile {
        group = match group {
            Some((since, size)) if *at <= since + CORRELATION => Some((since, size + 1)),
            _ => Some((*at, 1)),
        };
        count += usize::from(group.is_some_and(|(_, size)| size <= MAX_CORRELATED));
    }
    times.len() as f64 >= count as f64 * MIN_SHARE
}

/// Returns the times of a suspect's crashes; `runs` has these times and when the suspect had been sent there. Crashes at about
/// the same time count as one if the suspect ran there side by side, and it is of a kind that does.
fn separate_crashes(
    suspect: Suspect,
    mut runs: Vec<(Instant, Instant)>,
    sound: &SoundRuns,
) -> Vec<Instant> {
    runs.sort_unstable();
    let mut separate: Vec<Instant> = Vec::new();
    for (at, sent) in runs {
        let is_widespread = suspect.kind() == SuspectKind::Part || sound.was_sound(suspect, at);
        let is_correlated = |last: &Instant| at <= *last + CORRELATION && sent < *last;
        if !is_widespread || !separate.last().is_some_and(is_correlated) {
            separate.push(at);
        }
    }
    separate
}

/// When the crashes happened that a suspect is held responsible for.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashTimes {
    pub(super) count: usize,
    pub(super) first: Instant,
    /// When there were enough of them.
    pub(super) reached: Instant,
}

impl CrashTimes {
    /// # Panics
    ///
    /// If there are fewer times, in order, than the suspect's limit.
    fn new(suspect: Suspect, times: &[Instant]) -> Self {
        Self {
            count: times.len(),
            first: times[0],
            reached: times[suspect.crash_limit() - 1],
        }
    }
}
