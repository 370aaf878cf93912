//! Selection of the endpoint for a request.
//!
//! Many routers choose among the same endpoints by load reports that lag: the least loaded endpoint of the last report
//! receives all requests until the next report, and is then the most loaded, so that the load of the fleet oscillates.
//! A router corrects each report by what it has sent itself since, averages the rest, draws a few endpoints at random
//! and takes the best of these and of those that have the prompt's prefix cached. In a large fleet it uses a stable
//! subset of the endpoints, selected by rendezvous hashing with its own name, so that prefixes and reports stay few and
//! useful. A prompt whose parts are identified by name may go to any endpoint: where its shared prefix is cached is
//! computed, not learned (see [`crate::decide::homes`]).

use std::collections::BTreeSet;
use std::hash::BuildHasherDefault;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::concurrency::Sample;
use crate::decide::endpoint::Endpoint;
use crate::decide::hasher::FastHasher;
use crate::decide::health::Ejector;
use crate::decide::homes;
use crate::decide::homes::Homes;
use crate::decide::prefill::Prompt;
use crate::decide::prefix::PrefixIndex;
use crate::decide::recent::Usage;
use crate::ids::DomainId;
use crate::ids::ModelId;
use crate::ids::VmId;
use crate::prompt::BlockHash;

/// Endpoints of one model that a router chooses among by their load reports. This includes all of today's 12 and 18; at
/// 35 models, 1,120 load reports of 30 bytes every 5 seconds are just within the 7 KB/s that a node may use for
/// control.
const SUBSET_SIZE: usize = 32;

/// Number of random endpoints that are compared. With two, or with reports taken at face value, waits are longer; with
/// all of them, routers with the same reports choose the same endpoint too often.
const SAMPLE_SIZE: usize = 6;

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// When the requests were counted.
    pub measured: Instant,
}

/// What the choice of an endpoint depends on.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Model that must be loaded, if any.
    pub model: Option<&'a ModelId>,
    /// Blocks of the prompt, from the first.
    pub prefix: &'a [BlockHash],
    /// Failure domain in which the request arrived.
    pub domain: &'a DomainId,
    /// Endpoints to avoid, because the request failed there before.
    pub excluded: &'a [VmId],
    /// Recent usage of the endpoints by the account.
    pub usage: Usage,
    /// Prompt whose parts are identified by name, if they are.
    pub prompt: Option<Prompt>,
}

/// The endpoint chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: VmId,
    /// Estimated number of leading blocks of the prompt that it has cached.
    pub cached: usize,
    /// Whether it is a home of the prompt's shared prefix, which it is assumed to have cached without a report.
    pub home: bool,
}

/// Chooses among the endpoints of one pool.
#[derive(Debug)]
pub struct Chooser {
    seed: u64,
    endpoints: IndexMap<VmId, Endpoint, BuildHasherDefault<FastHasher>>,
    /// Endpoints of each model, and all of them under `None`, in this router's order of preference.
    ranked: IndexMap<Option<ModelId>, BTreeSet<(u64, VmId)>>,
    homes: Homes,
}

impl Chooser {
    /// Creates a chooser without endpoints, for the router on this VM.
    pub fn new(router: &VmId) -> Self {
        Self {
            seed: xxh3_64_with_seed(router.as_str().as_bytes(), 0),
            endpoints: IndexMap::default(),
            ranked: IndexMap::new(),
            homes: Homes::new(),
        }
    }

    /// Sets the number of routers that choose among these endpoints for similar callers.
    pub fn set_router_count(&mut self, routers: usize) {
        self.homes.set_router_count(routers);
    }

    /// Adds an endpoint, or updates its models and limit.
    pub fn put(&mut self, vm: &VmId, domain: &DomainId, models: &[ModelId], limit: u32) {
        let rank = self.rank(vm);
        self.unrank(vm);
        let keys = models.iter().cloned().map(Some).chain([None]);
        for key in keys {
            self.ranked
                .entry(key)
                .or_default()
                .insert((rank, vm.clone()));
        }
        let endpoint = self
            .endpoints
            .entry(vm.clone())
            .or_insert_with(|| Endpoint::new(domain, limit));
        endpoint.domain = domain.clone();
        endpoint.models = models.to_vec();
        endpoint.limit = limit;
        endpoint.own_limit.set_max(limit);
    }

    /// Fixes the limit of an endpoint at its configured value.
    pub fn fix_limit(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.own_limit.fix();
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, vm: &VmId) {
        self.unrank(vm);
        self.endpoints.swap_remove(vm);
    }

    /// Sets whether an endpoint is leaving. A leaving endpoint receives no new requests.
    pub fn set_leaving(&mut self, vm: &VmId, leaving: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.leaving = leaving;
        }
    }

    /// Sets until when an endpoint is cold, `None` if it is warm, and how many requests per second this router may send
    /// it until then.
    pub fn set_cold(&mut self, vm: &VmId, until: Option<Instant>, share: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.set_cold(until, share);
        }
    }

    /// Records an endpoint's load report, which includes this router's own requests at that time.
    pub fn report(&mut self, now: Instant, vm: &VmId, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.report(now, load);
        }
    }

    /// Counts a request that is sent to an endpoint, and returns whether its limit allows it.
    pub fn start(&mut self, now: Instant, vm: &VmId) -> bool {
        self.endpoints.get_mut(vm).is_some_and(|endpoint| {
            let started = endpoint.own_limit.try_acquire();
            endpoint.record_change(now);
            if let Some(cold) = &mut endpoint.cold {
                cold.record_send(now);
            }
            started
        })
    }

    /// Counts a request that ended at an endpoint, and updates the endpoint's limit by the outcome.
    pub fn end(&mut self, now: Instant, vm: &VmId, sample: Sample) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.own_limit.release(now, sample);
            endpoint.record_change(now);
        }
    }

    /// Records a prompt that is sent to the endpoint chosen for it. Returns how many of its tokens are not cached
    /// there, and when its first token is expected.
    pub fn record_prompt(
        &mut self,
        now: Instant,
        choice: &Choice,
        prompt: &Prompt,
    ) -> Option<(u64, Instant)> {
        self.homes.record(now, prompt);
        let prefill = &mut self.endpoints.get_mut(&choice.endpoint)?.prefill;
        let uncached = prefill.uncached_tokens(now, prompt, choice.home);
        Some((uncached, prefill.record_sent(now, prompt.shared, uncached)))
    }

    /// Records a prompt with `uncached` tokens to process that another router sent to an endpoint.
    pub fn record_remote_prompt(&mut self, now: Instant, vm: &VmId, shared: u64, uncached: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.prefill.record_sent(now, shared, uncached);
        }
    }

    /// Updates an endpoint's prefill estimates from a first token.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        vm: &VmId,
        sent: Instant,
        expected: Instant,
        uncached: u64,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint
                .prefill
                .record_first_token(now, sent, expected, uncached);
        }
    }

    /// Returns all endpoints.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.endpoints.keys()
    }

    /// Returns the endpoints that are not leaving.
    pub fn staying(&self) -> impl Iterator<Item = &VmId> {
        let staying = self.endpoints.iter().filter(|(_, e)| !e.leaving);
        staying.map(|(vm, _)| vm)
    }

    /// Returns the estimated number of requests at an endpoint.
    pub fn load(&self, now: Instant, vm: &VmId) -> Option<u32> {
        self.endpoints.get(vm).map(|e| e.load(now) as u32)
    }

    /// Returns the number of this router's requests at an endpoint.
    pub fn active(&self, vm: &VmId) -> Option<u32> {
        self.endpoints.get(vm).map(|e| e.own_limit.active())
    }

    /// Chooses an endpoint; `None` if all suitable ones are full, leaving, ejected or excluded.
    pub fn choose<R>(
        &self,
        now: Instant,
        criteria: &Criteria<'_>,
        index: &PrefixIndex,
        health: &Ejector,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng,
    {
        let candidates = self.candidates(now, criteria, health);
        if let Some(prompt) = &criteria.prompt {
            return self.choose_by_first_token(now, prompt, criteria.domain, &candidates, rng);
        }
        let cached = index.matches(criteria.prefix);
        let found = |vm: &VmId| cached.iter().find(|m| m.endpoint == *vm);
        let sampled = random_indices(candidates.len(), rng);
        candidates
            .iter()
            .enumerate()
            .map(|(at, (vm, endpoint))| (at, *vm, *endpoint, found(vm)))
            .filter(|(at, _, _, found)| sampled.contains(at) || found.is_some())
            .map(|(_, vm, endpoint, found)| {
                let slow = health.slowness(vm);
                (endpoint.score(now, criteria, found, slow), vm, found)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, vm, found)| Choice {
                endpoint: vm.clone(),
                cached: found.map_or(0, |m| m.blocks),
                home: false,
            })
    }

    /// Chooses the engine with the earliest expected first token.
    ///
    /// All routers compute the same homes of a shared prefix, so that few engines process it however many routers there
    /// are. Ties are broken at random: if each router had a fixed preference, a few of the homes of a popular prefix
    /// would receive most of its requests.
    fn choose_by_first_token<R>(
        &self,
        now: Instant,
        prompt: &Prompt,
        domain: &DomainId,
        candidates: &[(&VmId, &Endpoint)],
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng,
    {
        let homes = self.homes_among(now, prompt, candidates);
        let is_home = |vm: &VmId| homes.contains(&homes::rank(vm, prompt.shared));
        let times = candidates.iter().map(|(vm, endpoint)| {
            let home = is_home(vm);
            let time = endpoint.first_token_time(now, prompt, domain, home);
            ((time, rng.random::<u32>()), *vm, home)
        });
        let (_, vm, home) = times.min_by_key(|(order, _, _)| *order)?;
        Some(Choice {
            endpoint: vm.clone(),
            cached: 0,
            home,
        })
    }

    /// Returns the ranks of the engines that are homes of a prompt's shared prefix.
    fn homes_among(
        &self,
        now: Instant,
        prompt: &Prompt,
        candidates: &[(&VmId, &Endpoint)],
    ) -> Vec<u64> {
        let ranks = candidates
            .iter()
            .map(|(vm, _)| homes::rank(vm, prompt.shared));
        let mut ranks: Vec<_> = ranks.collect();
        ranks.sort_unstable_by(|a, b| b.cmp(a));
        ranks.truncate(self.homes.count(now, prompt));
        ranks
    }

    fn candidates<'a>(
        &'a self,
        now: Instant,
        criteria: &Criteria<'_>,
        health: &Ejector,
    ) -> Vec<(&'a VmId, &'a Endpoint)> {
        let Some(ranked) = self.ranked.get(&criteria.model.cloned()) else {
            return Vec::new();
        };
        let subset = match criteria.prompt {
            Some(_) => usize::MAX,
            None => SUBSET_SIZE,
        };
        let mut candidates: Vec<_> = ranked
            .iter()
            .filter_map(|(_, vm)| Some((vm, self.endpoints.get(vm)?)))
            .filter(|(_, endpoint)| !endpoint.leaving)
            .take(subset)
            .filter(|(vm, endpoint)| endpoint.admits(now, health.health(now, vm), criteria.usage))
            .filter(|(vm, _)| !criteria.excluded.contains(vm))
            .collect();
        // Cold endpoints receive only requests for which the warm ones have no room.
        if candidates
            .iter()
            .any(|(_, endpoint)| !endpoint.is_cold(now))
        {
            candidates.retain(|(_, endpoint)| !endpoint.is_cold(now));
        }
        candidates
    }

    fn rank(&self, vm: &VmId) -> u64 {
        xxh3_64_with_seed(vm.as_str().as_bytes(), self.seed)
    }

    fn unrank(&mut self, vm: &VmId) {
        let rank = self.rank(vm);
        let Some(endpoint) = self.endpoints.get(vm) else {
            return;
        };
        let keys = endpoint.models.iter().cloned().map(Some).chain([None]);
        for key in keys {
            if let Some(ranked) = self.ranked.get_mut(&key) {
                ranked.remove(&(rank, vm.clone()));
            }
        }
    }
}

/// Draws `SAMPLE_SIZE` random indices below `len`.
fn random_indices<R>(len: usize, rng: &mut R) -> [usize; SAMPLE_SIZE]
where
    R: Rng,
{
    [(); SAMPLE_SIZE].map(|()| rng.random_range(0..len.max(1)))
}
