//! Which versions the log has of each pool, so that they outlive a kill of all routers.
//!
//! The versions that the endpoints of a pool ran lately are recorded whenever they change, by the first two routers by
//! rendezvous hashing. These may be out of the log's reach while others see a version come and go. Each other router
//! therefore reads, a while after a change, whether it was recorded, and records it if not.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tracing::info;

use crate::decide::PoolVersions;
use crate::decide::VERSION_RETENTION;
use crate::decide::ranked;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::log_calls::LogCalls;
use crate::router::stream_log::StreamLogCall;
use crate::router::stream_log::Version;
use crate::router::stream_log::VersionRecord;

/// How many routers write each change of a pool's versions at once, so that it is recorded if one of them dies.
const WRITERS: usize = 2;

/// How long the next router waits until it checks that a change was recorded, and the one after it longer than that.
const CHECK_DELAY: Duration = Duration::from_millis(250);

/// How many times that delay a router waits at most.
const MAX_DELAYS: usize = 16;

/// What a router knows of the versions in the log, and its calls.
#[derive(Debug)]
pub(crate) struct VersionLog {
    /// The versions that the log has of each pool, as far as this router knows; `None` before the first read. What others
    /// may have written since is not in it.
    recorded: Option<IndexMap<PoolId, IndexSet<Version>>>,
    /// The versions of each pool that this router has read or seen listed since it followed the list without a gap.
    known: IndexMap<PoolId, IndexSet<Version>>,
    /// Versions of which this router learnt from the log, and when. They count for a while from then on: their last
    /// endpoints may have been there until then.
    inherited: IndexMap<PoolId, IndexMap<Version, Instant>>,
    /// The pools whose versions others are to record, and when they changed.
    unchecked: IndexMap<PoolId, Instant>,
    /// The pools that this router is to record, since the log lacks a version.
    missing: IndexSet<PoolId>,
    /// Whether the versions are to be read again before any are written.
    outdated: bool,
    calls: LogCalls,
    /// Whether the call in progress was made before the versions were to be read anew.
    stale: bool,
}

impl VersionLog {
    /// Creates a state of which nothing has been read.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            recorded: None,
            known: IndexMap::new(),
            inherited: IndexMap::new(),
            unchecked: IndexMap::new(),
            missing: IndexSet::new(),
            outdated: false,
            calls: LogCalls::new(now),
            stale: false,
        }
    }

    /// Returns whether it is known which versions were in use while this router did not follow the list.
    pub(crate) fn is_loaded(&self) -> bool {
        self.recorded.is_some()
    }

    /// Has the versions read again: one may have come and gone without this router's knowing.
    pub(crate) fn reload(&mut self, now: Instant) {
        self.stale = self.calls.is_busy();
        self.recorded = None;
        self.known.clear();
        self.calls.set_next(now);
    }

    /// Adds the versions that the log told to those that a pool had lately.
    pub(crate) fn add_inherited(&self, pool: &PoolId, versions: &mut PoolVersions) {
        for (version, at) in self.inherited.get(pool).into_iter().flatten() {
            versions.record(*at, version.clone());
        }
    }

    /// Takes over what the log has. A version that was known before is not news, and expires as usual.
    fn inherit(&mut self, now: Instant, all: IndexMap<PoolId, IndexSet<Version>>) {
        for (pool, versions) in &all {
            let known = self.known.insert(pool.clone(), versions.clone());
            let known = known.unwrap_or_default();
            let is_news = |version: &&Version| !known.contains(*version);
            let inherited = self.inherited.entry(pool.clone()).or_default();
            inherited.retain(|_, at| now < *at + VERSION_RETENTION);
            let news = versions.iter().filter(is_news);
            inherited.extend(news.map(|version| (version.clone(), now)));
        }
        self.recorded = Some(all);
        self.outdated = false;
    }
}

impl Core {
    /// Reads the versions if that is due, or writes those of a pool that have changed.
    pub(crate) fn step_versions(&mut self, now: Instant) {
        if !self.version_log.calls.may_begin(now) {
            return;
        }
        let reads = !self.version_log.is_loaded() || self.version_log.outdated;
        let call = match reads || self.is_check_due(now) {
            true => Some(StreamLogCall::ReadVersions),
            false => self.changed_versions(now).map(StreamLogCall::WriteVersions),
        };
        if let Some(call) = call {
            self.version_log.calls.begin();
            self.effects.push(Effect::CallStreamLog(call));
        }
    }

    fn is_check_due(&self, now: Instant) -> bool {
        let mut unchecked = self.version_log.unchecked.iter();
        unchecked.any(|(pool, changed)| {
            let delays = self
                .log_writer_rank(now, pool.as_str())
                .clamp(WRITERS, MAX_DELAYS)
                - 1;
            let delays = u32::try_from(delays).unwrap_or(u32::MAX);
            now >= *changed + CHECK_DELAY * delays
        })
    }

    /// Returns the versions of a pool that are not recorded yet, if this router is to record them.
    fn changed_versions(&self, now: Instant) -> Option<VersionRecord> {
        let recorded = self.version_log.recorded.as_ref()?;
        let mut pools = self.streams.versions(now);
        let (pool, versions) = pools.find(|(pool, versions)| {
            let known = recorded.get(*pool);
            let writes = || self.version_log.missing.contains(*pool) || self.is_writer(now, pool);
            !versions.is_empty() && known != Some(versions) && writes()
        })?;
        Some(VersionRecord {
            pool: pool.clone(),
            versions: versions.into_iter().collect(),
        })
    }

    fn is_writer(&self, now: Instant, pool: &PoolId) -> bool {
        self.log_writer_rank(now, pool.as_str()) < WRITERS
    }

    /// Returns how many routers are to record something in the log before this one.
    pub(crate) fn log_writer_rank(&self, now: Instant, subject: &str) -> usize {
        let routers = self.members.vm_index.serving_vms();
        let reached = |vm: &VmId| self.members.peer_failure(now, vm).is_none();
        let writers = ranked(&routers, subject, reached);
        let rank = writers.iter().position(|vm| **vm == self.tuning.vm);
        rank.unwrap_or(0)
    }

    /// Notes the pools whose versions changed and are recorded by other routers. What the log has of them is not known any
    /// more, should this one have to record them later.
    pub(crate) fn review_recorded_versions(&mut self, now: Instant) {
        let Some(recorded) = &self.version_log.recorded else {
            return;
        };
        let mut changed = IndexSet::new();
        for (pool, versions) in self.streams.versions(now) {
            let known = self.version_log.known.entry(pool.clone()).or_default();
            known.extend(versions.iter().cloned());
            let differs = !versions.is_empty() && recorded.get(pool) != Some(&versions);
            if differs && !self.is_writer(now, pool) {
                changed.insert(pool.clone());
            }
        }
        let log = &mut self.version_log;
        log.unchecked.retain(|pool, _| changed.contains(pool));
        for pool in changed {
            if let Some(recorded) = &mut log.recorded {
                recorded.swap_remove(&pool);
            }
            log.unchecked.entry(pool).or_insert(now);
        }
    }

    /// Handles what came of a write of versions. A router that can't write may have missed what others wrote meanwhile.
    pub(crate) fn end_version_write(&mut self, now: Instant, record: VersionRecord, written: bool) {
        self.end_version_call(now, written);
        let log = &mut self.version_log;
        log.outdated |= !written;
        if let Some(recorded) = log.recorded.as_mut().filter(|_| written) {
            let versions = record.versions.into_iter().collect();
            info!(event = "versions-recorded", pool = %record.pool, ?versions);
            log.missing.swap_remove(&record.pool);
            recorded.insert(record.pool, versions);
        }
    }

    /// Handles what came of a read of the versions.
    pub(crate) fn end_version_read(&mut self, now: Instant, read: Option<Vec<VersionRecord>>) {
        let stale = self.version_log.stale;
        self.end_version_call(now, read.is_some());
        if let Some(records) = read.filter(|_| !stale) {
            let rows = records.into_iter();
            let rows = rows.map(|record| (record.pool, record.versions.into_iter().collect()));
            self.version_log.inherit(now, rows.collect());
            self.check_recorded(now);
            self.record_versions(now);
        }
    }

    fn end_version_call(&mut self, now: Instant, answered: bool) {
        let log = &mut self.version_log;
        log.calls.end(now, answered);
        log.stale = false;
        if !answered && !log.is_loaded() {
            self.end_waiting_seeks(now);
            self.end_waiting_confirmations(now);
        }
    }

    /// Decides for the pools that other routers are to record whether that was done.
    fn check_recorded(&mut self, now: Instant) {
        let unchecked = std::mem::take(&mut self.version_log.unchecked);
        let all = self.streams.versions(now);
        let own: IndexMap<_, _> = all.map(|(pool, of)| (pool.clone(), of)).collect();
        let Some(recorded) = &mut self.version_log.recorded else {
            return;
        };
        for pool in unchecked.into_keys() {
            let Some(versions) = own.get(&pool) else {
                continue;
            };
            let known = recorded.get(&pool);
            if known.is_some_and(|known| versions.is_subset(known)) {
                self.version_log.missing.swap_remove(&pool);
                recorded.insert(pool, versions.clone());
            } else {
                self.version_log.missing.insert(pool);
            }
        }
    }
}
