//! What the log remembers of streams and versions, so that it outlives a kill of all routers.
//!
//! Two things are recorded: for each pool the versions that its endpoints ran lately, whenever that changes; and, while a
//! pool has several of them, which version began each stream. Streams are read only to find one that no router knows.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use tracing::info;

use crate::decide::CallPace;
use crate::decide::Confirmation;
use crate::decide::PoolVersions;
use crate::decide::StreamDigest;
use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::decide::StreamOutbox;
use crate::decide::VERSION_RETENTION;
use crate::decide::ranked;
use crate::decide::stretch;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::SoftwareVersion;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::request::State;

/// How many routers write each change of a pool's versions, so that it is recorded if one of them dies.
const WRITERS: usize = 2;

/// The pause between two calls that failed, and between two reads of streams in a small fleet.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// How many streams one record has at most.
const MAX_RECORD: usize = 512;

/// How many recorded streams are kept at most in each half.
const MAX_HALF: usize = 131_072;

/// A version of the endpoints' software, if their entries list one.
type Version = Option<SoftwareVersion>;

/// Streams that endpoints of one version began in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamRecord {
    pub(crate) origin: StreamOrigin,
    pub(crate) streams: Vec<StreamDigest>,
}

/// The versions that endpoints of a pool ran lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionRecord {
    pub(crate) pool: PoolId,
    pub(crate) versions: Vec<Version>,
}

/// A call to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamLogCall {
    /// To append streams.
    Append(Vec<StreamRecord>),
    /// To read streams from an offset on, or all that are retained.
    Read(Option<Offset>),
    /// To write the versions of a pool.
    WriteVersions(VersionRecord),
    /// To read the versions of all pools.
    ReadVersions,
}

/// What came of a call to the log.
#[derive(Clone, Debug)]
pub(crate) enum StreamLogEvent {
    /// Streams were appended, or may not have been.
    Appended(bool),
    /// The streams that were read, and where the next read begins; `None` means that the log did not answer.
    Read(Option<(Vec<StreamRecord>, Offset)>),
    /// The versions of a pool were written, or may not have been.
    VersionsWritten(VersionRecord, bool),
    /// The versions of all pools; `None` means that the log did not answer.
    VersionsRead(Option<Vec<VersionRecord>>),
}

/// What a router knows of the log, and its calls.
#[derive(Debug)]
pub(crate) struct StreamLog {
    outbox: StreamOutbox,
    /// The streams that were read in the current period, and those of the one before.
    current: IndexMap<StreamDigest, StreamOrigin>,
    previous: IndexMap<StreamDigest, StreamOrigin>,
    period_began: Instant,
    /// Where the next read begins.
    next: Option<Offset>,
    /// Requests for which the log is to be read, and those for which it is being read.
    seekers: Vec<RequestId>,
    served: Vec<RequestId>,
    reading: bool,
    read_pace: CallPace,
    /// The versions of each pool in the log as far as this router knows; `None` if they are to be read.
    recorded: Option<IndexMap<PoolId, IndexSet<Version>>>,
    /// The versions that the log had when they were last read, and when that was. They count for a while from then on: their
    /// last endpoints may have been there until then.
    inherited_at: Option<Instant>,
    inherited: IndexMap<PoolId, IndexSet<Version>>,
    /// Whether the versions are being read or written, and when they may be again.
    busy: bool,
    next_version: Instant,
}

impl StreamLog {
    /// Creates a state of which nothing has been read.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            outbox: StreamOutbox::new(now),
            current: IndexMap::new(),
            previous: IndexMap::new(),
            period_began: now,
            next: None,
            seekers: Vec::new(),
            served: Vec::new(),
            reading: false,
            read_pace: CallPace::new(now),
            recorded: None,
            inherited_at: None,
            inherited: IndexMap::new(),
            busy: false,
            next_version: now,
        }
    }

    /// Returns whether it is known which versions were in use while this router did not follow the list.
    pub(crate) fn is_loaded(&self) -> bool {
        self.recorded.is_some()
    }

    /// Has the versions read again: one may have come and gone without this router's knowing.
    pub(crate) fn reload_versions(&mut self, now: Instant) {
        self.recorded = None;
        self.next_version = now;
    }

    /// Adds a stream to those that are to be recorded.
    pub(crate) fn push(&mut self, now: Instant, key: &StreamKey, origin: &StreamOrigin) {
        let digest = StreamDigest::of(key);
        self.outbox.push(now, digest, origin.clone());
    }

    /// Adds the versions that the log had at the start to those that a pool had lately.
    pub(crate) fn add_inherited(&self, pool: &PoolId, versions: &mut PoolVersions) {
        let Some((inherited, at)) = self.inherited.get(pool).zip(self.inherited_at) else {
            return;
        };
        for version in inherited {
            versions.record(at, version.clone());
        }
    }

    fn find(&self, key: &StreamKey) -> Option<&StreamOrigin> {
        let digest = StreamDigest::of(key);
        let current = self.current.get(&digest);
        current.or_else(|| self.previous.get(&digest))
    }

    fn keep(&mut self, now: Instant, records: Vec<StreamRecord>) {
        if now >= self.period_began + VERSION_RETENTION || self.current.len() >= MAX_HALF {
            self.previous = std::mem::take(&mut self.current);
            self.period_began = now;
        }
        for record in records {
            for digest in record.streams {
                self.current.insert(digest, record.origin.clone());
            }
        }
    }
}

impl Core {
    /// Has the log searched for the stream that a request takes up.
    pub(crate) fn seek_in_log(&mut self, id: RequestId, confirmed: Option<Confirmation>) {
        self.requests[&id].state = State::Seeking { confirmed };
        self.stream_log.seekers.push(id);
    }

    /// Begins the calls to the log that are due.
    pub(crate) fn step_stream_log(&mut self, now: Instant) {
        self.write_streams(now);
        self.read_streams(now);
    }

    fn write_streams(&mut self, now: Instant) {
        if !self.stream_log.outbox.is_due(now) {
            return;
        }
        let routers = self.members.vm_index.serving_vms().len();
        let streams = self.stream_log.outbox.begin_write(now, routers);
        if streams.is_empty() {
            return;
        }
        let mut records: Vec<StreamRecord> = Vec::new();
        for (digest, origin) in streams {
            let fits = |record: &&mut StreamRecord| {
                record.origin == origin && record.streams.len() < MAX_RECORD
            };
            match records.iter_mut().find(fits) {
                Some(record) => record.streams.push(digest),
                None => records.push(StreamRecord {
                    origin,
                    streams: vec![digest],
                }),
            }
        }
        let call = StreamLogCall::Append(records);
        self.effects.push(Effect::CallStreamLog(call));
    }

    fn read_streams(&mut self, now: Instant) {
        let log = &mut self.stream_log;
        if log.seekers.is_empty() || log.reading || !log.is_loaded() {
            return;
        }
        let routers = self.members.vm_index.serving_vms().len();
        let interval = READ_INTERVAL * stretch(routers);
        if !log.read_pace.try_begin(now, interval) {
            return;
        }
        log.reading = true;
        log.served = std::mem::take(&mut log.seekers);
        let call = StreamLogCall::Read(log.next);
        self.effects.push(Effect::CallStreamLog(call));
    }

    /// Reads the versions if that is due, and then writes those of a pool that have changed.
    pub(crate) fn step_versions(&mut self, now: Instant) {
        if self.stream_log.busy || now < self.stream_log.next_version {
            return;
        }
        let call = match self.stream_log.is_loaded() {
            false => Some(StreamLogCall::ReadVersions),
            true => self.changed_versions(now).map(StreamLogCall::WriteVersions),
        };
        if let Some(call) = call {
            self.stream_log.busy = true;
            self.effects.push(Effect::CallStreamLog(call));
        }
    }

    /// Forgets what the log had for the pools whose versions changed and are recorded by other routers: it is not known what
    /// they wrote, should this one have to record them later.
    pub(crate) fn forget_records_of_others(&mut self, now: Instant) {
        let Some(recorded) = &self.stream_log.recorded else {
            return;
        };
        let mut pools: Vec<_> = self.streams.versions(now).collect();
        pools.retain(|(pool, versions)| {
            let changed = recorded.get(*pool).is_some_and(|known| known != versions);
            changed && !self.writes_versions(now, pool)
        });
        let forgotten: Vec<_> = pools.into_iter().map(|(pool, _)| pool.clone()).collect();
        for pool in forgotten {
            let recorded = self.stream_log.recorded.as_mut();
            recorded.and_then(|recorded| recorded.swap_remove(&pool));
        }
    }

    /// Returns the versions of a pool that are not recorded yet, if this router is to record them.
    fn changed_versions(&self, now: Instant) -> Option<VersionRecord> {
        let recorded = self.stream_log.recorded.as_ref()?;
        let mut pools = self.streams.versions(now);
        let (pool, versions) = pools.find(|(pool, versions)| {
            let known = recorded.get(*pool);
            !versions.is_empty() && known != Some(versions) && self.writes_versions(now, pool)
        })?;
        Some(VersionRecord {
            pool: pool.clone(),
            versions: versions.into_iter().collect(),
        })
    }

    fn writes_versions(&self, now: Instant, pool: &PoolId) -> bool {
        let routers = self.members.vm_index.serving_vms();
        let reached = |vm: &VmId| self.members.peer_failure(now, vm).is_none();
        let writers = ranked(&routers, pool.as_str(), reached);
        let listed = routers.contains(&self.tuning.vm);
        !listed
            || writers
                .into_iter()
                .take(WRITERS)
                .any(|vm| *vm == self.tuning.vm)
    }

    /// Handles what came of a call to the log.
    pub(crate) fn handle_stream_log(&mut self, now: Instant, event: StreamLogEvent) {
        match event {
            StreamLogEvent::Appended(written) => self.stream_log.outbox.end_write(written),
            StreamLogEvent::Read(read) => self.end_stream_read(now, read),
            StreamLogEvent::VersionsWritten(record, written) => {
                self.end_version_call(now, written);
                if let Some(recorded) = self.stream_log.recorded.as_mut().filter(|_| written) {
                    let versions = record.versions.into_iter().collect();
                    info!(event = "versions-recorded", pool = %record.pool, ?versions);
                    recorded.insert(record.pool, versions);
                }
            }
            StreamLogEvent::VersionsRead(read) => {
                self.end_version_call(now, read.is_some());
                if let Some(records) = read {
                    self.inherit_versions(now, records);
                }
            }
        }
    }

    fn end_version_call(&mut self, now: Instant, answered: bool) {
        let log = &mut self.stream_log;
        log.busy = false;
        if answered {
            return;
        }
        log.next_version = now + RETRY_INTERVAL;
        if !log.is_loaded() {
            log.served.append(&mut log.seekers);
            self.end_seeks(now, false);
            self.end_waiting_confirmations(now);
        }
    }

    fn inherit_versions(&mut self, now: Instant, records: Vec<VersionRecord>) {
        let rows = records.into_iter();
        let rows = rows.map(|record| (record.pool, record.versions.into_iter().collect()));
        let all: IndexMap<PoolId, IndexSet<Version>> = rows.collect();
        let log = &mut self.stream_log;
        log.inherited = all.clone();
        log.inherited_at = Some(now);
        log.recorded = Some(all);
        self.record_versions(now);
    }

    fn end_stream_read(&mut self, now: Instant, read: Option<(Vec<StreamRecord>, Offset)>) {
        let log = &mut self.stream_log;
        log.reading = false;
        let answered = read.is_some();
        if let Some((records, next)) = read {
            log.next = Some(next);
            log.keep(now, records);
        }
        self.end_seeks(now, answered);
    }

    fn end_seeks(&mut self, now: Instant, answered: bool) {
        for id in std::mem::take(&mut self.stream_log.served) {
            self.end_seek(now, id, answered);
        }
    }

    fn end_seek(&mut self, now: Instant, id: RequestId, answered: bool) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let State::Seeking { confirmed } = request.state else {
            return;
        };
        let key = request.resumed_stream();
        let found = key.and_then(|key| self.stream_log.find(&key)).cloned();
        info!(event = "stream-sought", request = %id, answered, found = found.is_some());
        self.resume_sought(now, id, found.as_ref(), confirmed);
    }
}
