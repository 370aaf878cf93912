//! Which endpoint a request goes to.
//!
//! Answers many routers that choose among the same endpoints by load reports that lag: the least loaded endpoint of the
//! last report gets everybody's requests until the next one, and is then the most loaded. Without care the fleet swings.
//! A router corrects each report by what it sent itself since, averages what is left, draws a few endpoints at random and
//! takes the best of these and of those that have the prompt's prefix cached. It knows a stable subset of a large fleet, picked by
//! rendezvous hash over its own name, so that prefixes and reports stay few and useful. A prompt that is known by the names
//! of its parts may go to any: where its parts lie is reckoned, not learnt (see [`crate::decide::homes`]).

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

/// How many endpoints of one model a router chooses among by their load reports. All of them at today's 12 and 18; at 35 models, 1,120 load
/// reports of 30 bytes every 5 seconds are just within the 7 KB/s that a node may spend for control.
const SUBSET_SIZE: usize = 32;

/// How many random endpoints are compared. With two, as with reports taken at their word, waits are longer; with all of
/// them routers with the same reports agree too often.
const SAMPLE_SIZE: usize = 6;

/// What an endpoint says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// When it counted.
    pub measured: Instant,
}

/// What is to be run.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The model that must be loaded, if one must.
    pub model: Option<&'a ModelId>,
    /// The prompt's blocks, from the first.
    pub prefix: &'a [BlockHash],
    /// Where it is asked.
    pub domain: &'a DomainId,
    /// Endpoints that it must not go to, having failed it before.
    pub excluded: &'a [VmId],
    /// How much of the endpoints its account had lately.
    pub usage: Usage,
    /// The prompt, where it is known by the names of its parts.
    pub prompt: Option<Prompt>,
}

/// The endpoint chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: VmId,
    /// How many leading blocks of the prompt it is thought to have cached.
    pub cached: usize,
    /// Whether it is a home of the prompt's shared parts, which it is thought to keep though nobody told.
    pub home: bool,
}

/// Chooses among the endpoints of one pool.
#[derive(Debug)]
pub struct Chooser {
    seed: u64,
    endpoints: IndexMap<VmId, Endpoint, BuildHasherDefault<FastHasher>>,
    /// The endpoints of each model, and all of them under none, in the order in which this router prefers them.
    ranked: IndexMap<Option<ModelId>, BTreeSet<(u64, VmId)>>,
    homes: Homes,
}

impl Chooser {
    /// Makes one that knows no endpoint, for the router on this VM.
    pub fn new(router: &VmId) -> Self {
        Self {
            seed: xxh3_64_with_seed(router.as_str().as_bytes(), 0),
            endpoints: IndexMap::default(),
            ranked: IndexMap::new(),
            homes: Homes::new(),
        }
    }

    /// Takes note of how many routers choose among these endpoints for like callers.
    pub fn set_router_count(&mut self, routers: usize) {
        self.homes.set_router_count(routers);
    }

    /// Adds an endpoint, or changes its models and limit.
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
        endpoint.own.change(limit);
    }

    /// Keeps the limit of an endpoint at its setting.
    pub fn fix_limit(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.own.fix();
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, vm: &VmId) {
        self.unrank(vm);
        self.endpoints.swap_remove(vm);
    }

    /// Marks an endpoint as leaving: from now on it gets nothing new.
    pub fn set_leaving(&mut self, vm: &VmId, leaving: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.leaving = leaving;
        }
    }

    /// Takes over until when an endpoint is cold, nothing where it is warm, and how many requests a second this router may
    /// send it while it is.
    pub fn set_cold(&mut self, vm: &VmId, until: Option<Instant>, share: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.cool(until, share);
        }
    }

    /// Takes in an endpoint's load report, which counted this router's own requests of that time too.
    pub fn report(&mut self, now: Instant, vm: &VmId, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.report(now, load);
        }
    }

    /// Counts a request that is sent to an endpoint, and tells whether its limit allows it.
    pub fn start(&mut self, now: Instant, vm: &VmId) -> bool {
        self.endpoints.get_mut(vm).is_some_and(|endpoint| {
            let started = endpoint.own.try_acquire();
            endpoint.note(now);
            if let Some(cold) = &mut endpoint.cold {
                cold.send(now);
            }
            started
        })
    }

    /// Counts a request that ended at an endpoint, and learns from how it went.
    pub fn end(&mut self, now: Instant, vm: &VmId, sample: Sample) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.own.release(now, sample);
            endpoint.note(now);
        }
    }

    /// Counts a prompt that is sent to the endpoint that was chosen for it; returns how many of its tokens are unread there,
    /// and when its first token is expected.
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

    /// Counts a prompt that another router sent to an endpoint, of which so many tokens were unread.
    pub fn record_remote_prompt(&mut self, now: Instant, vm: &VmId, shared: u64, uncached: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.prefill.record_sent(now, shared, uncached);
        }
    }

    /// Learns from a first token.
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

    /// Returns the estimated number of requests at an endpoint.
    pub fn load(&self, now: Instant, vm: &VmId) -> Option<u32> {
        self.endpoints.get(vm).map(|e| e.load(now) as u32)
    }

    /// Chooses an endpoint, or none where all that could are full, leaving, ejected or excluded.
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

    /// Chooses the engine where a prompt's first token is expected first.
    ///
    /// All routers reckon the homes of its shared parts alike, so that these are read at few engines however many routers
    /// there are. Of several that are as good one is drawn: if each router preferred one for good, a few of the homes of a
    /// part that many ask for would have most of its requests.
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
            let time = endpoint.first_token(now, prompt, domain, home);
            ((time, rng.random::<u32>()), *vm, home)
        });
        let (_, vm, home) = times.min_by_key(|(order, _, _)| *order)?;
        Some(Choice {
            endpoint: vm.clone(),
            cached: 0,
            home,
        })
    }

    /// Returns the ranks of the engines that are the homes of a prompt's shared parts.
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
        // Cold endpoints are for what warm ones have no room for.
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

/// Draws places below `len`, as many as are compared.
fn random_indices<R>(len: usize, rng: &mut R) -> [usize; SAMPLE_SIZE]
where
    R: Rng,
{
    [(); SAMPLE_SIZE].map(|()| rng.random_range(0..len.max(1)))
}
