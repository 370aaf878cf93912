//! Pools of endpoints, and the assignment of requests to them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tracing::info;

use crate::config::PoolKind;
use crate::config::PoolSpec;
use crate::decide::Announcements;
use crate::decide::CacheEvent;
use crate::decide::Choice;
use crate::decide::FairQueue;
use crate::decide::Load;
use crate::decide::Observation;
use crate::decide::Reachability;
use crate::decide::Sample;
use crate::decide::Usage;
use crate::decide::WaitingId;
use crate::ids::DomainId;
use crate::ids::ModelId;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::SoftwareVersion;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::drained::DrainedDomains;
use crate::router::effect::Effect;
use crate::router::event::EndpointLoad;
use crate::router::picker::PickContext;
use crate::router::picker::Picker;
use crate::router::picker::prompt_blocks;
use crate::router::relay::table_pools;
use crate::router::request::State;
use crate::router::run_end::Failure;
use crate::router::run_end::RunEnd;
use crate::vms::VmEntry;
use crate::vms::VmState;

/// How often an endpoint is asked for its load and its cache events.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The label for the number of requests that an endpoint runs at once.
pub(crate) const SLOTS_LABEL: &str = "slots";

/// The label for the version of an endpoint's software.
pub(crate) const VERSION_LABEL: &str = "version";

/// The label that changes when an endpoint restarts under the same name.
pub(crate) const BORN_LABEL: &str = "born";

/// A pool's endpoints and its queue.
pub(crate) struct Pool {
    pub(crate) picker: Picker,
    pub(crate) queue: FairQueue<RequestId>,
    pub(crate) places: IndexMap<RequestId, WaitingId>,
    pub(crate) addresses: IndexMap<VmId, SocketAddr>,
    /// Value of each endpoint's `born` label, if it has one.
    births: IndexMap<VmId, Option<String>>,
    /// The models that each endpoint last reported as loaded.
    pub(crate) loaded_models: IndexMap<VmId, Vec<ModelId>>,
    /// The failure domain of each endpoint.
    domains: IndexMap<VmId, DomainId>,
    /// Whether all endpoints are in drained failure domains.
    all_drained: bool,
    pub(crate) reachability: Reachability,
    is_engine: bool,
    last_probe: Option<Instant>,
}

impl Pool {
    pub(crate) fn new(router: &VmId, length: usize, rng: ChaCha8Rng) -> Self {
        Self {
            picker: Picker::new(router),
            queue: FairQueue::new(length, rng),
            places: IndexMap::new(),
            addresses: IndexMap::new(),
            births: IndexMap::new(),
            loaded_models: IndexMap::new(),
            domains: IndexMap::new(),
            all_drained: false,
            reachability: Reachability::default(),
            is_engine: false,
            last_probe: None,
        }
    }

    /// Updates the endpoints to match the configuration and the VM list.
    fn refresh(
        &mut self,
        now: Instant,
        spec: &PoolSpec,
        vms: &[VmEntry],
        fixed: bool,
        drained: &DrainedDomains,
        announcements: &Announcements,
    ) {
        let models: &[ModelId] = match &spec.kind {
            PoolKind::Engine { models, .. } => models,
            PoolKind::Service { .. } => &[],
        };
        self.is_engine = matches!(spec.kind, PoolKind::Engine { .. });
        let listed: Vec<_> = vms
            .iter()
            .filter(|entry| spec.select.matches(&entry.labels))
            .collect();
        let gone: Vec<_> = self
            .addresses
            .keys()
            .filter(|vm| !listed.iter().any(|entry| entry.vm == **vm))
            .cloned()
            .collect();
        for vm in gone {
            self.remove_endpoint(&vm);
        }
        for entry in &listed {
            let life = entry.labels.get(BORN_LABEL).map(str::to_owned);
            let known = self.births.get(&entry.vm);
            if known.is_some_and(|known| *known != life) {
                info!(event = "reborn", endpoint = %entry.vm, life);
                self.remove_endpoint(&entry.vm);
            }
            self.births.insert(entry.vm.clone(), life);
        }
        for entry in listed {
            let vm = &entry.vm;
            let slots = entry
                .labels
                .get(SLOTS_LABEL)
                .and_then(|slots| slots.parse().ok());
            let limit = slots.unwrap_or(spec.concurrency);
            self.picker.chooser.put(vm, &entry.domain, models, limit);
            self.picker.versions.insert(vm.clone(), version(entry));
            if fixed {
                self.picker.chooser.fix_limit(vm);
            }
            let leaving = entry.state == VmState::Leaving || announcements.is_leaving(vm);
            let drained = drained.domains.contains(&entry.domain);
            self.picker.chooser.set_leaving(vm, leaving || drained);
            self.picker.health.put(now, vm, &entry.domain);
            self.addresses.insert(vm.clone(), entry.address);
            self.domains.insert(vm.clone(), entry.domain.clone());
        }
        let mut domains = self.domains.values();
        self.all_drained =
            !self.domains.is_empty() && domains.all(|domain| drained.domains.contains(domain));
    }

    /// Makes all endpoints count as healthy again.
    pub(crate) fn forget_failures(&mut self, now: Instant) {
        for (vm, domain) in &self.domains {
            self.picker.health.remove(vm);
            self.picker.health.put(now, vm, domain);
        }
    }

    /// Returns the endpoints that are avoided while the path to most of them is lost.
    fn unconnected(&self) -> impl Iterator<Item = &VmId> {
        let unconnected = self.reachability.unconnected();
        unconnected.filter(|_| self.reachability.is_cut())
    }

    /// Returns whether all endpoints are in drained failure domains.
    pub(crate) fn is_drained(&self) -> bool {
        self.all_drained
    }

    /// Returns the endpoints in a failure domain.
    pub(crate) fn endpoints_in(&self, domain: &DomainId) -> impl Iterator<Item = &VmId> {
        let domains = self.domains.iter();
        domains.filter_map(move |(vm, of)| (of == domain).then_some(vm))
    }
}

impl Pool {
    /// Removes an endpoint that is gone, or that restarted, so that its cached prompts and its health no longer apply.
    fn remove_endpoint(&mut self, vm: &VmId) {
        self.addresses.shift_remove(vm);
        self.domains.shift_remove(vm);
        self.births.shift_remove(vm);
        self.loaded_models.shift_remove(vm);
        self.picker.chooser.remove(vm);
        self.picker.health.remove(vm);
        self.picker.versions.swap_remove(vm);
        self.reachability.remove(vm);
    }
}

fn version(entry: &VmEntry) -> Option<SoftwareVersion> {
    entry.labels.get(VERSION_LABEL)?.parse().ok()
}

impl Core {
    /// Updates all pools to match the configuration and the VM list.
    pub(crate) fn rebuild_pools(&mut self, now: Instant) {
        let specs: Vec<_> = self
            .config
            .pools()
            .map(|(id, spec)| (id, spec.clone()))
            .chain(self.route_table.iter().flat_map(|table| table_pools(table)))
            .collect();
        let fixed = self.route_table.is_some();
        let routers = self.members.vm_index.serving_vms();
        self.pools
            .retain(|id, _| specs.iter().any(|(kept, _)| kept == id));
        for (id, spec) in specs {
            let seed = self.rng.next_u64();
            let tuning = &self.tuning;
            let pool = self.pools.entry(id).or_insert_with(|| {
                Pool::new(
                    &tuning.vm,
                    tuning.queue_limit,
                    ChaCha8Rng::seed_from_u64(seed),
                )
            });
            let vms = &self.members.vm_index.list().vms;
            let announcements = &self.announcements;
            pool.refresh(now, &spec, vms, fixed, &self.drained_domains, announcements);
            pool.picker.chooser.set_router_count(routers.len());
        }
        self.update_retry_limits(now);
        self.update_cold_shares(now);
        self.update_brittle_pools(now);
        self.record_versions(now);
        self.refuse_drained_pools(now);
        self.refuse_unresumable(now);
        self.serve_all_queues(now);
    }

    /// Returns the version of a listed endpoint's software, if its entry says so.
    pub(crate) fn listed_version(&self, vm: &VmId) -> Option<Option<SoftwareVersion>> {
        self.members.vm_index.entry(vm).map(version)
    }

    /// Returns the address at which an endpoint listens.
    pub(crate) fn endpoint_address(&self, pool: &PoolId, endpoint: &VmId) -> Option<String> {
        let address = self.pools.get(pool)?.addresses.get(endpoint)?;
        Some(address.to_string())
    }

    /// Returns the endpoints of a pool to which this router may not send a request now.
    fn closed_endpoints(&self, now: Instant, name: &PoolId) -> Vec<VmId> {
        let mut closed = self.announcements.closed(now);
        closed.extend(self.without_slot(now, name));
        closed
    }

    /// Removes from a pool's queue the next request for which an endpoint has capacity.
    pub(crate) fn pop_dispatchable(
        &mut self,
        now: Instant,
        name: &PoolId,
    ) -> Option<(RequestId, Choice)> {
        if self.pools.get(name)?.queue.is_empty() {
            return None;
        }
        let routers = self.members.vm_index.serving_vms();
        let closed = self.closed_endpoints(now, name);
        let slot_choice = self.slot_choice(now, name);
        let mut avoided = self.announcements.avoided(now);
        avoided.extend(self.pools.get(name)?.unconnected().cloned());
        let Self {
            pools,
            requests,
            quarantine,
            rng,
            tuning,
            ..
        } = self;
        let pool = pools.get_mut(name)?;
        let Pool { queue, picker, .. } = pool;
        let mut chosen = None;
        let mut missing = None;
        let id = queue.pop_where(now, |id, usage| {
            let Some(request) = requests.get(id) else {
                return false;
            };
            let context = PickContext {
                router: &tuning.vm,
                domain: &tuning.domain,
                routers: &routers,
                closed: &closed,
                avoided: &avoided,
            };
            chosen = picker.pick(now, request, usage, quarantine, &context, rng);
            if let Some(slots) = &slot_choice
                && missing.is_none()
                && slots.prefers_other(chosen.as_ref())
            {
                let context = PickContext {
                    closed: &slots.unaskable,
                    ..context
                };
                missing = picker.pick(now, request, usage, quarantine, &context, rng);
            }
            chosen.is_some()
        });
        match missing {
            Some(choice) if id.is_some() => self.ask_for_spare_slot(now, name, &choice.endpoint),
            Some(choice) => self.ask_for_slot(now, name, &choice.endpoint),
            None => {}
        }
        let id = id?;
        self.pools.get_mut(name)?.places.swap_remove(&id);
        Some((id, chosen?))
    }

    /// Picks another endpoint for a request whose run failed, and assigns the request to it.
    pub(crate) fn pick_endpoint(&mut self, now: Instant, id: RequestId) -> Option<VmId> {
        let routers = self.members.vm_index.serving_vms();
        let request = self.requests.get(&id)?;
        let pool = self.pools.get(&request.pool)?;
        let mut avoided = self.announcements.avoided(now);
        avoided.extend(pool.picker.health.unreliable().cloned());
        avoided.extend(pool.unconnected().cloned());
        let context = PickContext {
            router: &self.tuning.vm,
            domain: &self.tuning.domain,
            routers: &routers,
            closed: &self.closed_endpoints(now, &request.pool),
            avoided: &avoided,
        };
        let choice = pool.picker.pick(
            now,
            request,
            Usage::Heavy,
            &self.quarantine,
            &context,
            &mut self.rng,
        )?;
        self.assign_endpoint(now, id, &choice);
        Some(choice.endpoint)
    }

    /// Assigns a request to the endpoint that was chosen for it.
    pub(crate) fn assign_endpoint(&mut self, now: Instant, id: RequestId, choice: &Choice) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        self.quarantine.start(request.fingerprint, &choice.endpoint);
        self.announcements.record_send(now, &choice.endpoint, id);
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let blocks = prompt_blocks(request);
            pool.picker.chooser.start(now, &choice.endpoint);
            pool.picker.index.record_cached(&choice.endpoint, &blocks);
        }
        self.record_prompt(now, id, choice);
    }

    /// Removes a request whose run ended from its endpoint, and records the result.
    pub(crate) fn record_run_result(&mut self, now: Instant, id: RequestId, end: &RunEnd) {
        let request = &mut self.requests[&id];
        let silent = request.has_silent_endpoint(now);
        let State::Running {
            endpoint,
            since,
            first_token,
            ..
        } = &request.state
        else {
            return;
        };
        let endpoint = endpoint.clone();
        let first_token = first_token.map(|at| at - *since);
        let latency = first_token.unwrap_or(now - *since);
        let (sample, evidence) = match end {
            RunEnd::Completed { .. } | RunEnd::Answered { .. } => (
                Sample::Answered(latency),
                Some(Observation::Answered(latency)),
            ),
            RunEnd::NotRun { retry: Some(_) } => (Sample::Refused, None),
            RunEnd::NotRun { .. } | RunEnd::NoConnection | RunEnd::Failed { .. } => {
                (Sample::Other, Some(Observation::Failed))
            }
            // A caller that gave up on a silent endpoint counts against the endpoint; one that left early does not.
            RunEnd::CallerGone { .. } if silent => (Sample::Other, Some(Observation::Failed)),
            RunEnd::CallerGone { .. } | RunEnd::Unsent => (Sample::Other, None),
        };
        if matches!(
            end,
            RunEnd::NotRun { .. } | RunEnd::NoConnection | RunEnd::Failed { .. }
        ) {
            request.failed_endpoints.push(endpoint.clone());
        }
        if let RunEnd::NotRun { .. } = end {
            let pool = self.pools.get(&request.pool);
            let active = pool.and_then(|pool| pool.picker.chooser.active(&endpoint));
            info!(event = "endpoint-rejected", request = %id, %endpoint, active);
            // The rejected request is still counted.
            let left = active.map_or(0, |active| active.saturating_sub(1));
            self.slots.record_rejection(&endpoint, left);
        }
        let fingerprint = request.fingerprint;
        match end {
            RunEnd::Completed { .. } | RunEnd::Answered { .. } => {
                self.quarantine.complete(fingerprint, &endpoint);
                self.record_sound_run(now, id);
            }
            RunEnd::Failed {
                failure: Failure::Died,
                ..
            } => self.record_crash(now, &endpoint),
            _ if end.is_closed() => {
                self.quarantine.end(fingerprint, &endpoint);
                self.record_closed_run(now, id);
            }
            _ => self.quarantine.end(fingerprint, &endpoint),
        }
        let request = &self.requests[&id];
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            pool.picker.chooser.end(now, &endpoint, sample);
            if let Some(evidence) = evidence {
                pool.picker
                    .health
                    .record(now, &endpoint, evidence, &mut self.rng);
            }
        }
        let pool = request.pool.clone();
        if request.relay.is_some() {
            self.record_reach(now, &pool, &endpoint, end, silent);
        }
        self.serve_queue(now, &pool);
    }

    /// Removes a request from an endpoint that it never reached, or where its run is no longer of use.
    pub(crate) fn free_endpoint(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let State::Claiming { endpoint } | State::Running { endpoint, .. } = &request.state
            && let Some(pool) = self.pools.get_mut(&request.pool)
        {
            pool.picker.chooser.end(now, endpoint, Sample::Other);
            self.quarantine.end(request.fingerprint, endpoint);
            if let State::Running { .. } = request.state {
                self.announcements.record_given_up(now, endpoint, id);
            } else {
                self.announcements.record_unsent(now, endpoint, id);
            }
        }
    }

    /// Records an endpoint's load report.
    pub(crate) fn handle_endpoint_load(&mut self, now: Instant, vm: &VmId, load: &EndpointLoad) {
        for pool in self.pools.values_mut() {
            let report = Load {
                running: load.running,
                waiting: load.waiting,
                measured: now.checked_sub(load.age).unwrap_or(now),
            };
            pool.picker.chooser.report(now, vm, report);
            if pool.addresses.contains_key(vm) {
                pool.loaded_models.insert(vm.clone(), load.models.clone());
            }
        }
        self.serve_all_queues(now);
    }

    /// Applies an endpoint's prefix cache events to the index.
    pub(crate) fn handle_cache_events(&mut self, vm: &VmId, events: &[CacheEvent]) {
        for pool in self.pools.values_mut() {
            if !pool.addresses.contains_key(vm) {
                continue;
            }
            for event in events {
                pool.picker.index.apply_event(vm, event);
            }
        }
    }

    /// Refuses requests that waited too long, fills endpoints that have capacity, and probes engines.
    pub(crate) fn tick_pools(&mut self, now: Instant) {
        self.expire_queues(now);
        self.expire_unread(now);
        self.serve_all_queues(now);
        let mut probes = Vec::new();
        for pool in self.pools.values_mut().filter(|pool| pool.is_engine) {
            if pool.last_probe.is_none_or(|at| now >= at + PROBE_INTERVAL) {
                pool.last_probe = Some(now);
                probes.extend(pool.addresses.clone());
            }
        }
        for (vm, address) in probes {
            self.effects.push(Effect::Probe(vm, address.to_string()));
        }
    }

    /// Records the result of an endpoint's health check.
    pub(crate) fn handle_endpoint_check(&mut self, now: Instant, vm: &VmId, passed: bool) {
        if !passed {
            info!(event = "endpoint-check-failed", endpoint = %vm);
        }
        for pool in self.pools.values_mut() {
            pool.picker
                .health
                .record(now, vm, Observation::Checked(passed), &mut self.rng);
        }
    }
}
