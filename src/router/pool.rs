//! A pool's endpoints, and the requests that are on their way to them.

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
use crate::decide::CacheEvent;
use crate::decide::Choice;
use crate::decide::Evidence;
use crate::decide::FairQueue;
use crate::decide::Load;
use crate::decide::Place;
use crate::decide::Sample;
use crate::decide::Usage;
use crate::ids::DomainId;
use crate::ids::ModelId;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::drained::DrainedDomains;
use crate::router::effect::Effect;
use crate::router::event::EndpointLoad;
use crate::router::event::RunEnd;
use crate::router::picker::Picker;
use crate::router::picker::Site;
use crate::router::picker::blocks;
use crate::router::relay::table_pools;
use crate::router::request::State;
use crate::vms::VmEntry;
use crate::vms::VmState;

/// How often an endpoint is asked for its load and its cache's events.
const PROBE: Duration = Duration::from_secs(1);

/// The label that says how many requests an endpoint runs at once.
const SLOTS: &str = "slots";

/// The label that tells an endpoint's lives apart, where it may come back under its name.
pub(crate) const BORN: &str = "born";

/// A pool's endpoints and its queue.
pub(crate) struct Pool {
    pub(crate) picker: Picker,
    pub(crate) queue: FairQueue<RequestId>,
    pub(crate) places: IndexMap<RequestId, Place>,
    pub(crate) addresses: IndexMap<VmId, SocketAddr>,
    /// When the life of each endpoint began, if it says so.
    lives: IndexMap<VmId, Option<String>>,
    /// The models that each endpoint last said it has.
    pub(crate) loaded: IndexMap<VmId, Vec<ModelId>>,
    /// The failure domain of each endpoint.
    domains: IndexMap<VmId, DomainId>,
    /// Whether all endpoints are in drained failure domains.
    drained: bool,
    engines: bool,
    probed: Option<Instant>,
}

impl Pool {
    pub(crate) fn new(router: &VmId, length: usize, rng: ChaCha8Rng) -> Self {
        Self {
            picker: Picker::new(router),
            queue: FairQueue::new(length, rng),
            places: IndexMap::new(),
            addresses: IndexMap::new(),
            lives: IndexMap::new(),
            loaded: IndexMap::new(),
            domains: IndexMap::new(),
            drained: false,
            engines: false,
            probed: None,
        }
    }

    /// Brings the endpoints in line with the configuration and the VM list.
    fn refresh(
        &mut self,
        now: Instant,
        spec: &PoolSpec,
        vms: &[VmEntry],
        fixed: bool,
        drained: &DrainedDomains,
    ) {
        let models: &[ModelId] = match &spec.kind {
            PoolKind::Engine { models, .. } => models,
            PoolKind::Service { .. } => &[],
        };
        self.engines = matches!(spec.kind, PoolKind::Engine { .. });
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
            self.forget(&vm);
        }
        for entry in &listed {
            let life = entry.labels.get(BORN).map(str::to_owned);
            let known = self.lives.get(&entry.vm);
            if known.is_some_and(|known| *known != life) {
                info!(event = "reborn", endpoint = %entry.vm, life);
                self.forget(&entry.vm);
            }
            self.lives.insert(entry.vm.clone(), life);
        }
        for entry in listed {
            let vm = &entry.vm;
            let slots = entry.labels.get(SLOTS).and_then(|slots| slots.parse().ok());
            let limit = slots.unwrap_or(spec.concurrency);
            self.picker.chooser.put(vm, &entry.domain, models, limit);
            if fixed {
                self.picker.chooser.fix(vm);
            }
            let leaving = entry.state == VmState::Leaving;
            let leaving = leaving || drained.domains.contains(&entry.domain);
            self.picker.chooser.leave(vm, leaving);
            self.picker.health.put(now, vm, &entry.domain);
            self.addresses.insert(vm.clone(), entry.address);
            self.domains.insert(vm.clone(), entry.domain.clone());
        }
        let mut domains = self.domains.values();
        self.drained =
            !self.domains.is_empty() && domains.all(|domain| drained.domains.contains(domain));
    }

    /// Returns whether all endpoints are in drained failure domains.
    pub(crate) fn is_drained(&self) -> bool {
        self.drained
    }

    /// Returns the endpoints in a failure domain.
    pub(crate) fn endpoints_in(&self, domain: &DomainId) -> impl Iterator<Item = &VmId> {
        let domains = self.domains.iter();
        domains.filter_map(move |(vm, of)| (of == domain).then_some(vm))
    }
}

impl Pool {
    /// Forgets an endpoint that is gone, or of which a new life knows nothing of what it had read and how it was.
    fn forget(&mut self, vm: &VmId) {
        self.addresses.shift_remove(vm);
        self.domains.shift_remove(vm);
        self.lives.shift_remove(vm);
        self.loaded.shift_remove(vm);
        self.picker.chooser.remove(vm);
        self.picker.health.remove(vm);
    }
}

impl Core {
    /// Brings all pools in line with the configuration and the VM list.
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
            pool.refresh(now, &spec, vms, fixed, &self.drained_domains);
            pool.picker.chooser.share(routers.len());
        }
        self.share_cold(now);
        self.refuse_drained(now);
        self.serve_all_queues(now);
    }

    /// Returns where an endpoint listens.
    pub(crate) fn endpoint_address(&self, pool: &PoolId, endpoint: &VmId) -> Option<String> {
        let address = self.pools.get(pool)?.addresses.get(endpoint)?;
        Some(address.to_string())
    }

    /// Takes the next request that an endpoint has room for out of a queue.
    pub(crate) fn next_with_room(
        &mut self,
        now: Instant,
        name: &PoolId,
    ) -> Option<(RequestId, Choice)> {
        if self.pools.get(name)?.queue.is_empty() {
            return None;
        }
        let routers = self.members.vm_index.serving_vms();
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
        let id = queue.pop_where(now, |id, usage| {
            let Some(request) = requests.get(id) else {
                return false;
            };
            let site = Site {
                router: &tuning.vm,
                domain: &tuning.domain,
                routers: &routers,
            };
            chosen = picker.pick(now, request, usage, quarantine, &site, rng);
            chosen.is_some()
        })?;
        pool.places.swap_remove(&id);
        Some((id, chosen?))
    }

    /// Picks another endpoint for a request whose run failed, and counts the request there.
    pub(crate) fn pick_endpoint(&mut self, now: Instant, id: RequestId) -> Option<VmId> {
        let routers = self.members.vm_index.serving_vms();
        let request = self.requests.get(&id)?;
        let pool = self.pools.get(&request.pool)?;
        let site = Site {
            router: &self.tuning.vm,
            domain: &self.tuning.domain,
            routers: &routers,
        };
        let choice = pool.picker.pick(
            now,
            request,
            Usage::Heavy,
            &self.quarantine,
            &site,
            &mut self.rng,
        )?;
        self.enter_endpoint(now, id, &choice);
        Some(choice.endpoint)
    }

    /// Counts a request at the endpoint that was chosen for it.
    pub(crate) fn enter_endpoint(&mut self, now: Instant, id: RequestId, choice: &Choice) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        self.quarantine.start(request.fingerprint, &choice.endpoint);
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let blocks = blocks(request);
            pool.picker.chooser.start(now, &choice.endpoint);
            pool.picker.index.learn(&choice.endpoint, &blocks);
        }
        self.send_prompt(now, id, choice);
    }

    /// Takes a request off its endpoint, whose run ended.
    pub(crate) fn leave_endpoint(&mut self, now: Instant, id: RequestId, end: &RunEnd) {
        let request = &mut self.requests[&id];
        let silent = request.is_silent(now);
        let State::Running {
            endpoint,
            since,
            first_token,
        } = &request.state
        else {
            return;
        };
        let endpoint = endpoint.clone();
        let waited = first_token.map(|at| at - *since);
        let time = waited.unwrap_or(now - *since);
        let (sample, evidence) = match end {
            RunEnd::Completed { .. } | RunEnd::Answered { .. } => {
                (Sample::Answered(time), Some(Evidence::Answered(time)))
            }
            RunEnd::NotRun { retry: Some(_) } => (Sample::Refused, None),
            RunEnd::NotRun { .. } | RunEnd::Failed { .. } => {
                (Sample::Other, Some(Evidence::Failed))
            }
            // A caller that gave up on an endpoint's silence tells of the endpoint, one that left early does not.
            RunEnd::CallerGone { .. } if silent => (Sample::Other, Some(Evidence::Failed)),
            RunEnd::CallerGone { .. } | RunEnd::Unsent => (Sample::Other, None),
        };
        if matches!(end, RunEnd::NotRun { .. } | RunEnd::Failed { .. }) {
            request.failed_endpoints.push(endpoint.clone());
        }
        let fingerprint = request.fingerprint;
        match end {
            RunEnd::Completed { .. } | RunEnd::Answered { .. } => {
                self.quarantine.complete(fingerprint, &endpoint);
            }
            RunEnd::Failed {
                endpoint_died: true,
                ..
            } => self.endpoint_died(now, &endpoint),
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
        self.serve_queue(now, &pool);
    }

    /// Takes a request off its endpoint, which it never reached or whose run is of no more use.
    pub(crate) fn free_endpoint(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let State::Claiming { endpoint } | State::Running { endpoint, .. } = &request.state
            && let Some(pool) = self.pools.get_mut(&request.pool)
        {
            pool.picker.chooser.end(now, endpoint, Sample::Other);
            self.quarantine.end(request.fingerprint, endpoint);
        }
    }

    /// Takes in an endpoint's report of its load.
    pub(crate) fn endpoint_load(&mut self, now: Instant, vm: &VmId, load: &EndpointLoad) {
        for pool in self.pools.values_mut() {
            let report = Load {
                running: load.running,
                waiting: load.waiting,
                measured: now.checked_sub(load.age).unwrap_or(now),
            };
            pool.picker.chooser.report(now, vm, report);
            if pool.addresses.contains_key(vm) {
                pool.loaded.insert(vm.clone(), load.models.clone());
            }
        }
        self.serve_all_queues(now);
    }

    /// Takes in an endpoint's news of its prefix cache.
    pub(crate) fn endpoint_cache(&mut self, vm: &VmId, events: &[CacheEvent]) {
        for pool in self.pools.values_mut() {
            if !pool.addresses.contains_key(vm) {
                continue;
            }
            for event in events {
                pool.picker.index.event(vm, event);
            }
        }
    }

    /// Refuses what waited too long, fills what has room, and asks endpoints how they are.
    pub(crate) fn tick_pools(&mut self, now: Instant) {
        self.expire_queues(now);
        self.serve_all_queues(now);
        let mut probes = Vec::new();
        for pool in self.pools.values_mut().filter(|pool| pool.engines) {
            if pool.probed.is_none_or(|at| now >= at + PROBE) {
                pool.probed = Some(now);
                probes.extend(pool.addresses.clone());
            }
        }
        for (vm, address) in probes {
            self.effects.push(Effect::Probe(vm, address.to_string()));
        }
    }

    /// Takes note of a check of an endpoint.
    pub(crate) fn endpoint_checked(&mut self, now: Instant, vm: &VmId, passed: bool) {
        if !passed {
            info!(event = "endpoint-check-failed", endpoint = %vm);
        }
        for pool in self.pools.values_mut() {
            pool.picker
                .health
                .record(now, vm, Evidence::Checked(passed), &mut self.rng);
        }
    }
}
