//! Streams that go on at the version of the endpoints' software that began them.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use tracing::info;

use crate::config::RepeatPolicy;
use crate::decide::EndpointLife;
use crate::decide::PoolVersions;
use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::decide::StreamOrigins;
use crate::decide::ranked;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::SoftwareVersion;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::Work;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::State;
use crate::router::route_history::RouteHistory;

/// How many routers keep a replica of a stream besides the one where it began.
const REPLICAS: usize = 2;

/// The age up to which streams are told to others when a second version appears. Older ones are hardly taken up.
const MAX_TOLD_AGE: Duration = Duration::from_secs(30);

/// How often the versions of the listed endpoints are recorded.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The retry delay for a caller whose stream can't go on here now.
const RETRY: Duration = Duration::from_millis(500);

pub(crate) const UNKNOWN_VERSION: &str = "the software version that began the stream is not known";
const NO_ENDPOINT: &str = "no endpoint runs the software version that began the stream";
const VERSION_CHANGED: &str = "the endpoint's software version changed before its first event";

/// The version of the endpoints' software that a request is bound to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum StreamVersion {
    /// None: its caller has no event yet.
    #[default]
    Any,
    /// The version that brought the first event; `None` if its endpoint listed none.
    Known(Option<SoftwareVersion>),
    /// Its endpoint changed while it was running the request.
    Unknown,
}

/// How a router knows what began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// It began or went on here, or another router told this one.
    Memory,
    /// No other version can have begun it.
    Only,
    /// Another router answered.
    Peer,
    /// The log has it.
    Log,
}

/// A stream and what began it, as routers tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamRow {
    pub(crate) key: StreamKey,
    pub(crate) origin: StreamOrigin,
}

/// A version that endpoints of a pool with several versions have run lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionRow {
    pub(crate) pool: PoolId,
    pub(crate) version: Option<SoftwareVersion>,
    /// How long ago such an endpoint was last listed.
    pub(crate) age: Duration,
}

/// What a router knows of streams and versions.
#[derive(Debug)]
pub(crate) struct Streams {
    pub(crate) origins: StreamOrigins,
    versions: IndexMap<PoolId, PoolVersions>,
    pub(crate) routes: RouteHistory,
    /// The pools with several versions, and those that share a route with another pool.
    mixed: IndexSet<PoolId>,
    /// What other routers are to be told.
    outbox: IndexMap<VmId, Vec<StreamRow>>,
    recorded_at: Option<Instant>,
}

impl Streams {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            origins: StreamOrigins::new(now),
            versions: IndexMap::new(),
            routes: RouteHistory::default(),
            mixed: IndexSet::new(),
            outbox: IndexMap::new(),
            recorded_at: None,
        }
    }

    /// Returns the versions that each pool had lately.
    pub(crate) fn versions(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&PoolId, IndexSet<Option<SoftwareVersion>>)> {
        let pools = self.versions.iter();
        pools.map(move |(pool, versions)| {
            let versions = versions.ages(now).map(|(version, _)| version.clone());
            (pool, versions.collect())
        })
    }

    /// Returns the versions of the pools of which other routers are told.
    pub(crate) fn rows(&self, now: Instant) -> Vec<VersionRow> {
        let mut rows = self.all_rows(now);
        rows.retain(|row| self.mixed.contains(&row.pool));
        rows
    }

    /// Returns the versions of all pools.
    pub(crate) fn all_rows(&self, now: Instant) -> Vec<VersionRow> {
        let rows = self.versions.iter().flat_map(|(pool, versions)| {
            versions.ages(now).map(|(version, age)| VersionRow {
                pool: pool.clone(),
                version: version.clone(),
                age,
            })
        });
        rows.collect()
    }
}

impl Core {
    /// Records the versions of all endpoints that are listed now.
    pub(crate) fn record_versions(&mut self, now: Instant) {
        self.streams.recorded_at = Some(now);
        let pools = &self.pools;
        self.streams
            .versions
            .retain(|name, _| pools.contains_key(name));
        for (name, pool) in pools {
            let versions = self.streams.versions.entry(name.clone()).or_default();
            for version in pool.picker.versions.values() {
                versions.record(now, version.clone());
            }
            self.version_log.add_inherited(name, versions);
        }
        self.review_mixed_pools(now);
        self.review_recorded_versions(now);
    }

    /// Records the versions again if that is due.
    pub(crate) fn review_versions(&mut self, now: Instant) {
        let recorded = self.streams.recorded_at;
        if recorded.is_none_or(|at| now >= at + RECORD_INTERVAL) {
            self.record_versions(now);
        }
    }

    /// Takes over what another router knows of versions.
    pub(crate) fn merge_versions(&mut self, now: Instant, rows: &[VersionRow]) {
        if rows.is_empty() {
            return;
        }
        for row in rows {
            let known = self.streams.versions.get_mut(&row.pool);
            if let Some((versions, at)) = known.zip(now.checked_sub(row.age)) {
                versions.record(at, row.version.clone());
            }
        }
        self.review_mixed_pools(now);
    }

    /// Updates which pools have several versions or share a route, and tells other routers of streams that began before.
    fn review_mixed_pools(&mut self, now: Instant) {
        self.streams.routes.expire(now);
        let mut begun = Vec::new();
        for (name, versions) in &mut self.streams.versions {
            versions.expire(now);
            let shared = self.streams.routes.is_shared(name);
            let changed = match versions.is_mixed() || shared {
                true => self.streams.mixed.insert(name.clone()),
                false => self.streams.mixed.swap_remove(name),
            };
            if changed {
                let versions = versions.ages(now).count();
                info!(event = "pool-versions", pool = %name, versions, shared);
                begun.push(name.clone());
            }
        }
        for name in begun {
            if self.streams.mixed.contains(&name) {
                self.members.request_heartbeat();
                self.tell_recent_streams(now, &name);
            }
        }
    }

    fn tell_recent_streams(&mut self, now: Instant, pool: &PoolId) {
        let since = now.checked_sub(MAX_TOLD_AGE);
        let recent = self.streams.origins.of_pool(pool, since);
        let rows: Vec<_> = recent
            .map(|(key, origin)| StreamRow {
                key: key.clone(),
                origin: origin.clone(),
            })
            .collect();
        for row in rows {
            self.replicate_stream(now, &row);
            self.stream_log.push(now, &row.key, &row.origin);
        }
    }

    /// Tells a stream to the routers that keep a replica of it.
    fn replicate_stream(&mut self, now: Instant, row: &StreamRow) {
        for peer in self.replicas(now, &row.key, REPLICAS) {
            let rows = self.streams.outbox.entry(peer.vm).or_default();
            rows.push(row.clone());
        }
    }

    /// Returns up to so many routers that remember a stream, of those that this one reaches. This one may be among the
    /// first, and is not returned.
    pub(crate) fn replicas(&self, now: Instant, key: &StreamKey, count: usize) -> Vec<Peer> {
        let routers = self.members.vm_index.serving_vms();
        let reached = |vm: &VmId| self.members.peer_failure(now, vm).is_none();
        let replicas = ranked(&routers, &key.to_string(), reached);
        let first = replicas.into_iter().take(count);
        let peers = first.filter_map(|vm| self.members.vm_index.peer(vm).cloned());
        peers.collect()
    }

    /// Records the version that a request is bound to from its first event on. The answer is cut if a further run's endpoint
    /// has another one by then.
    pub(crate) fn record_stream_begin(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let State::Running {
            endpoint,
            birth,
            version,
            ..
        } = &request.state
        else {
            return;
        };
        let life = EndpointLife {
            vm: endpoint.clone(),
            birth: birth.clone(),
        };
        let listed = self.listed_version(endpoint);
        let unchanged = listed.is_none_or(|listed| listed == *version);
        let begun = match self.is_current(&life) && unchanged {
            true => StreamVersion::Known(version.clone()),
            false => StreamVersion::Unknown,
        };
        let terms = self.requests[&id].relay.as_mut();
        let Some(terms) = terms.filter(|terms| terms.repeat == RepeatPolicy::Resume) else {
            return;
        };
        match &terms.stream {
            StreamVersion::Any => terms.stream = begun,
            StreamVersion::Known(_) if terms.stream != begun => {
                let kind = ProblemKind::EndpointFailed;
                let problem = Problem::new(kind, Ran::Unknown, VERSION_CHANGED);
                return self.break_off(id, "version-changed", problem.with_retry(RETRY));
            }
            StreamVersion::Known(_) | StreamVersion::Unknown => {}
        }
        self.remember_stream(now, id);
    }

    /// Remembers the version of a stream under the names by which its caller may take it up.
    fn remember_stream(&mut self, now: Instant, id: RequestId) {
        let request = &self.requests[&id];
        let Some(terms) = &request.relay else {
            return;
        };
        let StreamVersion::Known(version) = &terms.stream else {
            return;
        };
        let origin = StreamOrigin {
            pool: request.pool.clone(),
            version: version.clone(),
        };
        let taken_up = terms.resumption.as_ref();
        let taken_up = taken_up.and_then(|resumption| resumption.origin.clone());
        let names: Vec<_> = terms.attempt.clone().into_iter().chain(taken_up).collect();
        let account = request.key.account.clone();
        for attempt in names {
            let key = StreamKey {
                account: account.clone(),
                attempt,
            };
            let row = StreamRow {
                key,
                origin: origin.clone(),
            };
            if self.streams.mixed.contains(&origin.pool) {
                self.replicate_stream(now, &row);
                self.stream_log.push(now, &row.key, &row.origin);
            }
            self.streams.origins.record(now, row.key, row.origin);
        }
    }

    /// Remembers streams that began at other routers.
    pub(crate) fn keep_streams(&mut self, now: Instant, rows: Vec<StreamRow>) {
        for row in rows {
            self.streams.origins.record(now, row.key, row.origin);
        }
    }

    /// Returns what began the stream that a request takes up if this router's lists have only one version of one pool.
    pub(crate) fn only_origin(&self, id: RequestId) -> Option<StreamOrigin> {
        let request = &self.requests[&id];
        let pool = request.pool.clone();
        if let Work::Relay(relay) = &request.work {
            let pools = self.streams.routes.stream_pools(&relay.host, &relay.path);
            if pools.into_iter().any(|of| *of != pool) {
                return None;
            }
        }
        let versions = self.streams.versions.get(&pool)?;
        let version = versions.only()?.clone();
        Some(StreamOrigin { pool, version })
    }

    /// Binds a request to the version that began its stream, or refuses it; returns whether it may proceed.
    pub(crate) fn bind_to_origin(
        &mut self,
        now: Instant,
        id: RequestId,
        origin: &StreamOrigin,
        source: Source,
    ) -> bool {
        if !self.is_routed_to(id, &origin.pool) {
            self.refuse_stream(now, id, UNKNOWN_VERSION);
            return false;
        }
        let request = &mut self.requests[&id];
        request.pool = origin.pool.clone();
        if let Some(terms) = &mut request.relay {
            terms.stream = StreamVersion::Known(origin.version.clone());
        }
        let version = origin.version.as_ref().map(tracing::field::display);
        info!(event = "stream-bound", request = %id, version, ?source);
        if !self.has_endpoint_for(id) {
            self.refuse_stream(now, id, NO_ENDPOINT);
            return false;
        }
        true
    }

    /// Returns whether a request's route leads to a pool, or led there lately.
    fn is_routed_to(&self, id: RequestId, pool: &PoolId) -> bool {
        let request = &self.requests[&id];
        let routes = &self.streams.routes;
        match &request.work {
            Work::Relay(relay) => routes.leads_to(&relay.host, &relay.path, pool),
            Work::Completion { .. } | Work::Call { .. } => request.pool == *pool,
        }
    }

    /// Returns whether an endpoint that stays runs the version that a request is bound to.
    fn has_endpoint_for(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let Some(pool) = self.pools.get(&request.pool) else {
            return false;
        };
        let others = pool.picker.other_versions(request);
        let mut staying = pool.picker.chooser.staying();
        staying.any(|vm| !others.contains(vm))
    }

    /// Refuses the queued requests whose streams no listed endpoint can go on with.
    pub(crate) fn refuse_unresumable(&mut self, now: Instant) {
        let queued = self.pools.values().flat_map(|pool| pool.places.keys());
        let bound = queued.copied().filter(|id| {
            let terms = self
                .requests
                .get(id)
                .and_then(|request| request.relay.as_ref());
            terms.is_some_and(|terms| terms.stream != StreamVersion::Any)
        });
        let bound: Vec<_> = bound.collect();
        for id in bound {
            if !self.has_endpoint_for(id) {
                self.refuse_stream(now, id, NO_ENDPOINT);
            }
        }
    }

    pub(crate) fn refuse_stream(&mut self, now: Instant, id: RequestId, detail: &str) {
        let problem = Problem::new(ProblemKind::NoEndpoint, Ran::Unknown, detail);
        self.refuse_with(now, id, problem.with_retry(RETRY));
    }

    /// Sends what other routers are to remember.
    pub(crate) fn send_streams(&mut self) {
        for (vm, rows) in std::mem::take(&mut self.streams.outbox) {
            if let Some(peer) = self.members.vm_index.peer(&vm).cloned() {
                self.effects.push(Effect::KeepStreams(rows, peer));
            }
        }
    }
}
