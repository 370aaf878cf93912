//! What the log remembers of streams, so that it outlives a kill of all routers.
//!
//! While a pool has several versions, it is recorded which of them began each stream. Streams are read only to find one
//! that no router knows.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tracing::info;

use crate::decide::CallPace;
use crate::decide::Confirmation;
use crate::decide::StreamDigest;
use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::decide::StreamOutbox;
use crate::decide::VERSION_RETENTION;
use crate::decide::stretch;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::SoftwareVersion;
use crate::router::core::Core;
use crate::router::crash_log::CrashRecord;
use crate::router::effect::Effect;
use crate::router::request::State;

/// The pause between two reads of streams in a small fleet.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// How many streams one record has at most.
const MAX_RECORD: usize = 512;

/// How many recorded streams are kept at most in each half.
const MAX_HALF: usize = 131_072;

/// A version of the endpoints' software, if their entries list one.
pub(crate) type Version = Option<SoftwareVersion>;

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
    /// To write the record of crashes, if the log ends at an offset.
    WriteCrashes(CrashRecord, Offset),
    /// To read the record of crashes.
    ReadCrashes,
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
    /// The record of crashes was written, and the log ends here now; or it may not have been.
    CrashesWritten(Option<Offset>),
    /// The record of crashes, if there is one, and where the log ends; `None` means that the log did not answer.
    CrashesRead(Option<(Option<CrashRecord>, Offset)>),
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
        }
    }

    /// Adds a stream to those that are to be recorded.
    pub(crate) fn push(&mut self, now: Instant, key: &StreamKey, origin: &StreamOrigin) {
        let digest = StreamDigest::of(key);
        self.outbox.push(now, digest, origin.clone());
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
        let loaded = self.version_log.is_loaded();
        let log = &mut self.stream_log;
        if log.seekers.is_empty() || log.reading || !loaded {
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

    /// Handles what came of a call to the log.
    pub(crate) fn handle_stream_log(&mut self, now: Instant, event: StreamLogEvent) {
        match event {
            StreamLogEvent::Appended(written) => self.stream_log.outbox.end_write(written),
            StreamLogEvent::Read(read) => self.end_stream_read(now, read),
            StreamLogEvent::VersionsWritten(record, written) => {
                self.end_version_write(now, record, written);
            }
            StreamLogEvent::VersionsRead(read) => self.end_version_read(now, read),
            StreamLogEvent::CrashesWritten(end) => self.end_crash_write(now, end),
            StreamLogEvent::CrashesRead(read) => self.end_crash_read(now, read),
        }
    }

    /// Ends the searches that wait until the log can be read.
    pub(crate) fn end_waiting_seeks(&mut self, now: Instant) {
        let log = &mut self.stream_log;
        log.served.append(&mut log.seekers);
        self.end_seeks(now, false);
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
