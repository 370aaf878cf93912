//! Finds what crashes endpoints, from the crashes that all routers notice.
//!
//! Handles a request that crashes each endpoint that begins to run it, and that comes again under another name and at
//! another router each time, and a part of prompts that does so in requests no two of which are alike. Without this every
//! attempt takes down an endpoint, or several where it is retried, together with everything else that runs there, and a
//! service with few endpoints is down for as long as such requests come.
//!
//! All that ran at an endpoint when it crashed is suspected. A run that ends well clears what ran, as of the time at which
//! it began, as does an answer that goes on for a while. Suspects that were at enough crashes are quarantined, the one with
//! the most first: crashes that it explains no longer count against what ran beside it. Routers tell each other of crashes
//! and sound runs, so that all decide by the same facts, and no router need have seen more than one crash.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::announcement::EndpointLife;
use crate::decide::crash::CLOCK_ERROR;
use crate::decide::crash::Crash;
use crate::decide::crash_report::CrashReport;
use crate::decide::crash_report::CrashRow;
use crate::decide::crash_report::QuarantineRow;
use crate::decide::crash_report::SoundRow;
use crate::decide::crash_report::Suspect;
use crate::decide::crash_report::SuspectKind;
use crate::decide::crash_report::SuspectRow;
use crate::decide::crash_verdict::CrashTimes;
use crate::decide::crash_verdict::top_suspects;
use crate::decide::quarantined::Quarantined;
use crate::decide::sound_runs::SoundRuns;
use crate::ids::VmId;

/// How long a run whose connection was closed waits for the examination of its endpoint.
const EXAMINATION_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an answer goes on without a crash until what it was about counts as sound. What crashes endpoints does so when
/// they begin to run it.
const SURVIVAL: Duration = Duration::from_millis(500);

/// How often the runs in progress are looked at.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// How long a crash is remembered.
const RETENTION: Duration = Duration::from_secs(600);

/// How many crashes are remembered.
const MAX_CRASHES: usize = 128;

/// How many times a review looks for suspects. Each time explains more crashes.
const MAX_ROUNDS: usize = 16;

/// How many suspects are in quarantine.
const MAX_QUARANTINED: usize = 256;

/// How long suspects that were at the same crashes wait for sound runs that tell them apart, before all of them are
/// quarantined.
const TIE_PERIOD: Duration = Duration::from_secs(1);

/// How long after its quarantine a suspect is quarantined again by a single crash.
const PROBATION: Duration = Duration::from_secs(3600);

/// How long routers tell each other that a suspect turned out to be sound.
const SOUND_TOLD: Duration = Duration::from_secs(10);

/// By how much a sound run at another router may seem to have begun too late, because the message was on its way.
const MESSAGE_DELAY: Duration = Duration::from_millis(500);

/// How many rows of each kind a heartbeat has, and how many suspects one of a crash.
const MAX_ROWS: usize = 8;
const MAX_ROW_SUSPECTS: usize = 32;

/// A run whose endpoint closed the connection.
#[derive(Clone, Debug)]
struct ClosedRun {
    life: EndpointLife,
    at: Instant,
    sent: Instant,
    suspects: Vec<Suspect>,
}

/// What a router knows of crashes, and of what causes them.
#[derive(Debug, Default)]
pub struct CrashHistory {
    closed: Vec<ClosedRun>,
    crashes: Vec<Crash>,
    sound: SoundRuns,
    /// Until when the others are told that these suspects turned out to be sound.
    sound_told: IndexMap<Suspect, Instant>,
    quarantined: IndexMap<Suspect, Quarantined>,
    /// Whether crashes or their suspects changed since the last review.
    changed: bool,
    /// The number of changes of what is to be remembered, other than by age.
    revision: u64,
    /// When it is of use again to know which runs go on.
    progress_at: Option<Instant>,
    /// When suspects that were at the same crashes are to be reviewed.
    review_at: Option<Instant>,
}

impl CrashHistory {
    /// Creates the state of a router that has noticed no crash.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how much longer a suspect is quarantined, if it is.
    pub fn quarantine_left(&self, now: Instant, suspect: Suspect) -> Option<Duration> {
        let quarantined = self.quarantined.get(&suspect)?;
        let left = quarantined.end().saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the suspects in quarantine.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = Suspect> {
        let all = self.quarantined.iter();
        all.filter_map(move |(suspect, row)| (now < row.end()).then_some(*suspect))
    }

    /// Returns how many crashes are not explained.
    pub fn unexplained(&self) -> usize {
        let of_requests =
            |crash: &&Crash| !crash.is_explained(SuspectKind::Request, &self.quarantined);
        self.crashes.iter().filter(of_requests).count()
    }

    /// Returns a number that changes whenever there is something new to remember, or to forget because it turned out to
    /// be sound.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that an endpoint closed the connection of a run that was sent at `sent`, and whose answer began at `begun` if
    /// it did. Whether the endpoint crashed is to be examined.
    pub fn record_closed(
        &mut self,
        now: Instant,
        life: &EndpointLife,
        sent: Instant,
        begun: Option<Instant>,
        suspects: &[Suspect],
    ) {
        self.expire(now);
        if let Some(begun) = begun.filter(|begun| now >= *begun + SURVIVAL) {
            self.record_sound(now, begun, suspects);
            return;
        }
        if let Some(crash) = self.crashes.iter_mut().find(|crash| crash.is(life, now)) {
            // What was sent after a crash did not cause it.
            if sent < crash.at {
                let suspects = suspects.iter().map(|suspect| (*suspect, sent));
                let added = crash.add(suspects);
                self.record_change(added);
            }
            return;
        }
        self.closed.push(ClosedRun {
            life: life.clone(),
            at: now,
            sent,
            suspects: suspects.to_vec(),
        });
    }

    /// Records that an endpoint that was examined at `asked` listens, so that the connections it closed before do not mean
    /// that it crashed.
    pub fn record_listening(&mut self, vm: &VmId, asked: Instant) {
        self.closed
            .retain(|run| run.life.vm != *vm || run.at > asked);
    }

    /// Records that an endpoint was examined and does not listen. Returns the crash, if it closed connections before.
    pub fn record_gone(&mut self, now: Instant, vm: &VmId) -> Option<Instant> {
        let closed = std::mem::take(&mut self.closed);
        let (gone, others) = closed.into_iter().partition(|run| run.life.vm == *vm);
        self.closed = others;
        let gone: Vec<ClosedRun> = gone;
        let at = gone.iter().map(|run| run.at).min()?;
        for run in &gone {
            let suspects = run.suspects.iter().map(|suspect| (*suspect, run.sent));
            self.add_crash(&run.life, at, suspects);
        }
        self.expire(now);
        Some(at)
    }

    /// Records a run in progress whose answer began at `begun`. It counts as sound after a while.
    pub fn record_progress(&mut self, now: Instant, begun: Instant, suspects: &[Suspect]) {
        if now >= begun + SURVIVAL {
            self.record_sound(now, begun, suspects);
        }
    }

    /// Returns whether it is of use to know now which runs go on.
    pub fn awaits_progress(&mut self, now: Instant) -> bool {
        let is_due = self.progress_at.is_none_or(|at| now >= at);
        let is_of_use = !self.crashes.is_empty() || !self.quarantined.is_empty();
        if is_due && is_of_use {
            self.progress_at = Some(now + PROGRESS_INTERVAL);
        }
        is_due && is_of_use
    }

    /// Records a run that ended well; `begun` is when its answer began.
    pub fn record_sound(&mut self, now: Instant, begun: Instant, suspects: &[Suspect]) {
        for suspect in suspects {
            if self.sound.record(now, *suspect, begun) && self.clear(*suspect, begun) {
                self.sound_told.insert(*suspect, now + SOUND_TOLD);
            }
        }
    }

    /// Takes over what another router tells; returns whether a suspect is quarantined because of that.
    pub fn merge(&mut self, now: Instant, report: &CrashReport) -> bool {
        for row in &report.sound {
            let begun = now.checked_sub(row.age.saturating_add(MESSAGE_DELAY));
            if let Some(begun) = begun {
                self.record_sound(now, begun, &[row.suspect]);
            }
        }
        for row in &report.crashes {
            if let Some(at) = now.checked_sub(row.age) {
                self.merge_crash(now, row, at);
            }
        }
        let mut quarantined = false;
        for row in &report.quarantined {
            quarantined |= self.merge_quarantine(now, row);
        }
        self.expire(now);
        quarantined
    }

    /// Returns all that is to be remembered when no router is left.
    pub fn record(&self, now: Instant) -> CrashReport {
        let crashes = self
            .crashes
            .iter()
            .filter(|crash| !crash.suspects.is_empty());
        CrashReport {
            crashes: crashes.map(|crash| self.crash_row(now, crash)).collect(),
            sound: Vec::new(),
            quarantined: self
                .quarantined
                .keys()
                .map(|suspect| self.quarantine_row(now, *suspect))
                .collect(),
        }
    }

    /// Takes over a record that a router made `passed` ago by the clocks of two VMs, and returns whether it lacks anything
    /// known here, or has what turned out to be sound.
    pub fn inherit(&mut self, now: Instant, mut record: CrashReport, passed: Duration) -> bool {
        // A later time would let a suspect be held responsible again after it was cleared.
        record.grow_older(passed.saturating_add(CLOCK_ERROR));
        let recorded = facts(&record);
        let known = self.crashes.clone();
        for row in &record.crashes {
            self.inherit_crash(now, row, &known);
        }
        for row in &record.quarantined {
            self.merge_quarantine(now, row);
        }
        self.expire(now);
        let is_sound = |row: &QuarantineRow| {
            let begun = self.sound.last(row.suspect);
            begun.is_some() && !self.quarantined.contains_key(&row.suspect)
        };
        let known = self.record(now);
        let known = facts(&known);
        !known.is_subset(&recorded) || record.quarantined.iter().any(is_sound)
    }

    /// Takes over a crash of a record. Those that were known before may be the same, dated by another clock; the others of
    /// the record are not.
    fn inherit_crash(&mut self, now: Instant, row: &CrashRow, known: &[Crash]) {
        let Some(at) = now.checked_sub(row.age) else {
            return;
        };
        let mut known = known.iter();
        if let Some(same) = known.find(|crash| crash.is_recorded(&row.life, at)) {
            return self.merge_crash(now, row, same.at);
        }
        let suspects = self.unclear_suspects(now, row, at);
        if !suspects.is_empty() {
            self.push_crash(&row.life, at, suspects.into_iter(), Some(now));
        }
    }

    /// Quarantines the suspects that explain enough crashes, and returns them with the number of their crashes.
    pub fn review(&mut self, now: Instant) -> Vec<(Suspect, usize)> {
        if !std::mem::take(&mut self.changed) && !self.is_review_due(now) {
            return Vec::new();
        }
        self.review_at = None;
        let mut found = self.renew(now);
        // A part that crashes endpoints explains the crashes of requests, too.
        for kind in [SuspectKind::Part, SuspectKind::Request] {
            self.review_kind(now, kind, &mut found);
        }
        found
    }

    fn review_kind(&mut self, now: Instant, kind: SuspectKind, found: &mut Vec<(Suspect, usize)>) {
        for _ in 0..MAX_ROUNDS {
            let mut top = top_suspects(kind, &self.crashes, &self.quarantined, &self.sound);
            if top.len() > 1 {
                let reached = top.iter().map(|(_, crashes)| crashes.reached).max();
                let decided = reached.map(|reached| reached + TIE_PERIOD);
                if let Some(decided) = decided.filter(|at| now < *at) {
                    let earlier = self.review_at.unwrap_or(decided);
                    self.review_at = Some(decided.min(earlier));
                    return;
                }
                // What ran well lately is still to be cleared, or shares its requests with the cause.
                top.retain(|(suspect, crashes)| !self.sound.was_sound(*suspect, crashes.first));
            }
            if top.is_empty() {
                return;
            }
            for (suspect, crashes) in top {
                self.quarantine(suspect, &crashes);
                found.push((suspect, crashes.count));
            }
        }
    }

    /// Returns whether a review is due that waited for sound runs.
    pub fn is_review_due(&self, now: Instant) -> bool {
        self.review_at.is_some_and(|at| now >= at)
    }

    /// Returns what the other routers are told now.
    pub fn report(&self, now: Instant) -> CrashReport {
        let crashes = self.told_crashes();
        let crashes = crashes.map(|index| self.crash_row(now, &self.crashes[index]));
        let sound = self.sound_told.keys().rev().filter_map(|suspect| {
            let begun = self.sound.last(*suspect)?;
            Some(SoundRow {
                suspect: *suspect,
                age: now.saturating_duration_since(begun),
            })
        });
        let quarantined = self.told_quarantines(now);
        let quarantined = quarantined.map(|suspect| self.quarantine_row(now, suspect));
        CrashReport {
            crashes: crashes.collect(),
            sound: sound.take(MAX_ROWS).collect(),
            quarantined: quarantined.collect(),
        }
    }

    fn crash_row(&self, now: Instant, crash: &Crash) -> CrashRow {
        CrashRow {
            life: crash.life.clone(),
            age: now.saturating_duration_since(crash.at),
            suspects: self.told_suspects(now, crash),
        }
    }

    fn quarantine_row(&self, now: Instant, suspect: Suspect) -> QuarantineRow {
        let row = &self.quarantined[&suspect];
        QuarantineRow {
            suspect,
            first: now.saturating_duration_since(row.first),
            age: now.saturating_duration_since(row.since),
            count: row.count,
        }
    }

    /// Has the next report tell other rows than the one that was made now, if there are too many for one.
    pub fn advance(&mut self, now: Instant) {
        self.expire(now);
        let crashes: Vec<_> = self.told_crashes().collect();
        for index in crashes {
            self.crashes[index].told += 1;
        }
        let quarantines: Vec<_> = self.told_quarantines(now).collect();
        for suspect in quarantines {
            self.quarantined[&suspect].told += 1;
        }
        let last = self.sound_told.len().saturating_sub(MAX_ROWS);
        let told = self.sound_told.split_off(last);
        let others = std::mem::replace(&mut self.sound_told, told);
        self.sound_told.extend(others);
    }

    fn merge_crash(&mut self, now: Instant, row: &CrashRow, at: Instant) {
        let suspects = self.unclear_suspects(now, row, at);
        if !suspects.is_empty() {
            self.add_crash(&row.life, at, suspects.into_iter());
        }
    }

    /// Returns the suspects of a crash that are not known to be sound. The others are told of those that are.
    fn unclear_suspects(
        &mut self,
        now: Instant,
        row: &CrashRow,
        at: Instant,
    ) -> Vec<(Suspect, Instant)> {
        let mut suspects = Vec::new();
        for SuspectRow { suspect, sent } in &row.suspects {
            if self.sound.last(*suspect).is_some_and(|begun| begun >= at) {
                self.sound_told.insert(*suspect, now + SOUND_TOLD);
            } else if let Some(sent) = now.checked_sub(*sent) {
                suspects.push((*suspect, sent));
            }
        }
        suspects
    }

    fn merge_quarantine(&mut self, now: Instant, row: &QuarantineRow) -> bool {
        let times = now.checked_sub(row.first).zip(now.checked_sub(row.age));
        let Some((first, since)) = times else {
            return false;
        };
        if self
            .sound
            .last(row.suspect)
            .is_some_and(|begun| begun >= first)
        {
            self.sound_told.insert(row.suspect, now + SOUND_TOLD);
            return false;
        }
        let known = self.quarantined.get(&row.suspect);
        if known.is_some_and(|known| known.count >= row.count) {
            return false;
        }
        let quarantined = Quarantined {
            first,
            since,
            count: row.count,
            told: 0,
        };
        self.put_quarantined(row.suspect, quarantined);
        true
    }

    /// Records suspects of a crash that is new or known.
    fn add_crash<I>(&mut self, life: &EndpointLife, at: Instant, suspects: I)
    where
        I: Iterator<Item = (Suspect, Instant)>,
    {
        if let Some(crash) = self.crashes.iter_mut().find(|crash| crash.is(life, at)) {
            crash.at = crash.at.min(at);
            let added = crash.add(suspects);
            self.record_change(added);
            return;
        }
        self.push_crash(life, at, suspects, None);
    }

    /// Adds a crash of which this router learnt from a record at `read`, if it did.
    fn push_crash<I>(
        &mut self,
        life: &EndpointLife,
        at: Instant,
        suspects: I,
        read: Option<Instant>,
    ) where
        I: Iterator<Item = (Suspect, Instant)>,
    {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        let mut crash = Crash {
            life: life.clone(),
            at,
            suspects: IndexMap::new(),
            told: 0,
            read,
        };
        let added = crash.add(suspects);
        self.crashes.push(crash);
        self.record_change(added);
    }

    /// Records whether crashes, their suspects or quarantines changed.
    fn record_change(&mut self, changed: bool) {
        self.changed |= changed;
        self.revision += u64::from(changed);
    }

    /// Clears a suspect of all crashes before a time; returns whether it was held responsible for any.
    fn clear(&mut self, suspect: Suspect, begun: Instant) -> bool {
        let mut cleared = false;
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= begun) {
            cleared |= crash.suspects.swap_remove(&suspect).is_some();
        }
        let quarantined = self.quarantined.get(&suspect);
        if quarantined.is_some_and(|row| row.first <= begun) {
            self.quarantined.swap_remove(&suspect);
            cleared = true;
        }
        self.record_change(cleared);
        cleared
    }

    /// Quarantines again the suspects that crashed an endpoint after their quarantine.
    fn renew(&mut self, now: Instant) -> Vec<(Suspect, usize)> {
        let mut renewed = Vec::new();
        for (suspect, row) in &mut self.quarantined {
            let end = row.end();
            let again = self
                .crashes
                .iter()
                .filter(|crash| crash.at >= end && crash.suspects.contains_key(suspect));
            if let Some(since) = again.map(|crash| crash.at).min().filter(|_| now >= end) {
                row.since = since;
                row.count = row.count.saturating_add(1);
                row.told = 0;
                renewed.push((*suspect, 1));
            }
        }
        self.revision += u64::from(!renewed.is_empty());
        renewed
    }

    fn quarantine(&mut self, suspect: Suspect, crashes: &CrashTimes) {
        let quarantined = Quarantined {
            first: crashes.first,
            since: crashes.reached,
            count: 1,
            told: 0,
        };
        self.put_quarantined(suspect, quarantined);
    }

    fn put_quarantined(&mut self, suspect: Suspect, quarantined: Quarantined) {
        if self.quarantined.len() >= MAX_QUARANTINED && !self.quarantined.contains_key(&suspect) {
            self.quarantined.shift_remove_index(0);
        }
        self.quarantined.insert(suspect, quarantined);
        self.revision += 1;
    }

    /// Returns the positions of the crashes that are told next: those that were told least.
    fn told_crashes(&self) -> impl Iterator<Item = usize> {
        let is_suspected = |index: &usize| !self.crashes[*index].suspects.is_empty();
        let mut all: Vec<_> = (0..self.crashes.len()).filter(is_suspected).collect();
        all.sort_by_key(|index| self.crashes[*index].told);
        all.into_iter().take(MAX_ROWS)
    }

    /// Returns the suspects of a crash that are told: those of most crashes.
    fn told_suspects(&self, now: Instant, crash: &Crash) -> Vec<SuspectRow> {
        let mut all: Vec<_> = crash.suspects.keys().copied().collect();
        if all.len() > MAX_ROW_SUSPECTS {
            let crashes = |suspect: &Suspect| {
                let of = |crash: &&Crash| crash.suspects.contains_key(suspect);
                self.crashes.iter().filter(of).count()
            };
            all.sort_by_cached_key(|suspect| {
                let was_sound = self.sound.was_sound(*suspect, crash.at);
                (Reverse(crashes(suspect)), was_sound)
            });
            all.truncate(MAX_ROW_SUSPECTS);
        }
        let rows = all.into_iter().map(|suspect| SuspectRow {
            suspect,
            sent: now.saturating_duration_since(crash.suspects[&suspect]),
        });
        rows.collect()
    }

    fn told_quarantines(&self, now: Instant) -> impl Iterator<Item = Suspect> {
        let mut all: Vec<_> = self.quarantined(now).collect();
        all.sort_by_key(|suspect| self.quarantined[suspect].told);
        all.into_iter().take(MAX_ROWS)
    }

    fn expire(&mut self, now: Instant) {
        self.closed.retain(|run| now < run.at + EXAMINATION_TIMEOUT);
        self.crashes.retain(|crash| now < crash.at + RETENTION);
        self.quarantined
            .retain(|_, row| now < row.end() + PROBATION);
        self.sound_told.retain(|_, until| now < *until);
    }
}

/// What a report says, apart from when it happened.
#[derive(Debug, PartialEq, Eq, Hash)]
enum Fact<'a> {
    /// A suspect ran at an endpoint that crashed, and the number of earlier crashes of that endpoint with it.
    Ran(&'a EndpointLife, Suspect, usize),
    /// A suspect was quarantined so many times.
    Quarantined(Suspect, u32),
}

fn facts(report: &CrashReport) -> IndexSet<Fact<'_>> {
    let mut crashes = IndexMap::new();
    let runs = report.crashes.iter();
    let runs = runs.flat_map(|row| row.suspects.iter().map(|of| (&row.life, of.suspect)));
    let runs = runs.map(|(life, suspect)| {
        let count = crashes.entry((life, suspect)).or_insert(0);
        *count += 1;
        Fact::Ran(life, suspect, *count - 1)
    });
    let quarantined = report.quarantined.iter();
    let quarantined = quarantined.map(|row| Fact::Quarantined(row.suspect, row.count));
    runs.chain(quarantined).collect()
}
