//! What the log remembers of crashes of endpoints, so that it outlives a kill of all routers.
//!
//! One record has all that the routers know together. It is written on the condition that nobody else has written since it
//! was read, so that each write has what all earlier ones had. The first router by rendezvous hashing writes a change at
//! once. A few others check after a while whether it was recorded, since the first one may be out of the log's reach, and
//! record it if not.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tracing::info;

use crate::decide::CrashReport;
use crate::ids::Offset;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::log_calls::LogCalls;
use crate::router::stream_log::StreamLogCall;

/// What routers are ranked for.
const SUBJECT: &str = "crashes";

/// How long the second router waits until it checks that a change was recorded, and each further one longer than that: the
/// time for a call or two. The routers may all be killed at any moment.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// How many routers write or check. In a storm of crashes, all routers of a large fleet would use up the log's rates.
const MAX_WRITERS: usize = 8;

/// The pause after a write or a check. Sound runs clear suspects of a crash one after the other.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

/// What the routers knew of crashes when it was written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashRecord {
    /// The writer's wall clock time, since the Unix epoch.
    pub(crate) written: Duration,
    /// What was known then.
    pub(crate) report: CrashReport,
}

/// What a router knows of the record of crashes, and its calls.
#[derive(Debug)]
pub(crate) struct CrashLog {
    /// Where the log ends, as far as it was read; `None` if it is to be read.
    end: Option<Offset>,
    /// Whether a read has ended, with or without an answer.
    asked: bool,
    /// The revision of what is known here that the log has.
    recorded: u64,
    /// The revision that the log lacks, as a read has shown.
    lacking: Option<u64>,
    /// The revision that the write in progress has.
    written: u64,
    /// Since when the log may lack something.
    changed_at: Option<Instant>,
    calls: LogCalls,
}

impl CrashLog {
    /// Creates a state of which nothing has been read.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            end: None,
            asked: false,
            recorded: 0,
            lacking: None,
            written: 0,
            changed_at: None,
            calls: LogCalls::new(now),
        }
    }

    /// Returns whether the log was asked once. A router that serves before it has asked sends endpoints what the routers
    /// before it knew to crash them; one that gets no answer serves all the same.
    pub(crate) fn was_asked(&self) -> bool {
        self.asked
    }
}

impl Core {
    /// Reads the record of crashes if that is due, or writes what it lacks.
    pub(crate) fn step_crash_log(&mut self, now: Instant) {
        let by_grants = matches!(self.tuning.accounting, Accounting::Grants(_));
        if !by_grants || !self.crash_log.calls.may_begin(now) {
            return;
        }
        if let Some(call) = self.next_crash_call(now) {
            self.crash_log.calls.begin();
            self.effects.push(Effect::CallStreamLog(call));
        }
    }

    fn next_crash_call(&mut self, now: Instant) -> Option<StreamLogCall> {
        let Some(end) = self.crash_log.end else {
            return Some(StreamLogCall::ReadCrashes);
        };
        let revision = self.crash_history.revision();
        if revision == self.crash_log.recorded {
            self.crash_log.changed_at = None;
            return None;
        }
        let changed = *self.crash_log.changed_at.get_or_insert(now);
        let rank = self.log_writer_rank(now, SUBJECT);
        if rank == 0 || self.crash_log.lacking == Some(revision) {
            self.crash_log.written = revision;
            let record = CrashRecord {
                written: self.tuning.clock.at(now).wall,
                report: self.crash_history.record(now),
            };
            return Some(StreamLogCall::WriteCrashes(record, end));
        }
        self.next_crash_check(now, changed, rank, revision)
    }

    /// Returns the read by which a router checks whether a change was recorded, if that is due.
    fn next_crash_check(
        &mut self,
        now: Instant,
        changed: Instant,
        rank: usize,
        revision: u64,
    ) -> Option<StreamLogCall> {
        let log = &mut self.crash_log;
        let Some(delays) = u32::try_from(rank).ok().filter(|_| rank < MAX_WRITERS) else {
            // Others record it. Ranks are not computed again for each event until then.
            log.recorded = revision;
            return None;
        };
        let due = changed + CHECK_DELAY * delays;
        if now < due {
            log.calls.set_next(due);
            return None;
        }
        Some(StreamLogCall::ReadCrashes)
    }

    /// Handles what came of a read: the record of crashes, and where the log ends.
    pub(crate) fn end_crash_read(
        &mut self,
        now: Instant,
        read: Option<(Option<CrashRecord>, Offset)>,
    ) {
        self.crash_log.calls.end(now, read.is_some());
        self.crash_log.asked = true;
        if let Some((record, end)) = read {
            self.crash_log.end = Some(end);
            self.inherit_crashes(now, record.unwrap_or_default());
        }
        self.serve_with_grants();
    }

    fn inherit_crashes(&mut self, now: Instant, record: CrashRecord) {
        let before = self.crash_history.revision();
        let wall = self.tuning.clock.at(now).wall;
        let passed = wall.saturating_sub(record.written);
        let lacks = self.crash_history.inherit(now, record.report, passed);
        let revision = self.crash_history.revision();
        match lacks {
            true => self.crash_log.lacking = Some(revision),
            false => {
                self.crash_log.recorded = revision;
                self.crash_log.calls.set_next(now + CALL_INTERVAL);
            }
        }
        if revision != before {
            let crashes = self.crash_history.unexplained();
            let quarantined = self.crash_history.quarantined(now).count();
            info!(event = "crashes-inherited", crashes, quarantined);
            self.refuse_quarantined(now);
            self.review_crashes(now);
        }
    }

    /// Handles what came of a write of the record of crashes: where the log ends now, if it was written.
    pub(crate) fn end_crash_write(&mut self, now: Instant, end: Option<Offset>) {
        let log = &mut self.crash_log;
        log.calls.end(now, end.is_some());
        // What another router wrote meanwhile is to be read before this one writes again.
        log.end = end;
        if end.is_some() {
            log.recorded = log.written;
            log.calls.set_next(now + CALL_INTERVAL);
        }
    }
}
