//! Home engines of shared prompt prefixes.
//!
//! Many routers have callers that share prefixes of their prompts, and each router sees a small share of the requests.
//! An engine computes a prefix once and keeps it cached; computed on another engine as well, it takes time there and
//! evicts another prefix. For each prefix, the engines are ranked by a hash of both, which all routers compute alike,
//! and the first one is the home of the prefix. A very popular prefix would overload its home, so that it gets as many
//! homes as the prefill of its prompts needs. Routers do not exchange how often they are asked for a prefix: callers
//! spread over all routers alike, so that each router takes its own share of the requests for that of each other.

use std::hash::BuildHasherDefault;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::demand::Demand;
use crate::decide::demand::observed_fraction;
use crate::decide::hasher::FastHasher;
use crate::decide::prefill::Prefill;
use crate::decide::prefill::Prompt;
use crate::ids::VmId;
use crate::tokens::Tokens;

/// Window over which the requests for a prefix are counted. Of the twenty requests a second that overload a home, one
/// of two hundred routers sees one in ten seconds, and ten of a prefix that would overload ten homes. With half the
/// window the counts are so low that routers differ by a factor of two in the number of homes, and the prefix is
/// computed on as many more engines.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// Maximum share of its time that a home may spend on the prefill of one prefix's prompts. Above it, they queue behind
/// each other for long.
const MAX_PREFILL_SHARE: f64 = 0.6;

/// Number of prefixes that are tracked. Most are requested once and have one home whether they are tracked or not.
const MAX_TRACKED: usize = 2048;

/// Counts requests for shared prefixes, and derives the number of homes of each.
#[derive(Debug)]
pub(crate) struct Homes {
    routers: usize,
    demands: IndexMap<u64, PrefixDemand, BuildHasherDefault<FastHasher>>,
}

/// Demand of the prompts that share a prefix, at this router.
#[derive(Clone, Copy, Debug)]
struct PrefixDemand {
    first_seen: Instant,
    demand: Demand,
}

impl PrefixDemand {
    fn new(now: Instant) -> Self {
        Self {
            first_seen: now,
            demand: Demand::new(now, DEMAND_WINDOW),
        }
    }

    /// Returns the demand in tokens per second, without the shared prefix. New demand is recognized within a second,
    /// before its home is seconds behind.
    fn rate(&self, now: Instant) -> f64 {
        self.demand.rate(now) / observed_fraction(now, self.first_seen, DEMAND_WINDOW)
    }
}

impl Homes {
    /// Creates an empty counter, for a single router.
    pub(crate) fn new() -> Self {
        Self {
            routers: 1,
            demands: IndexMap::default(),
        }
    }

    /// Sets the number of routers that share the callers.
    pub(crate) fn set_router_count(&mut self, routers: usize) {
        self.routers = routers.max(1);
    }

    /// Records a request.
    pub(crate) fn record(&mut self, now: Instant, prompt: &Prompt) {
        let entry = self.demands.entry(prompt.shared);
        let tracked = entry.or_insert_with(|| PrefixDemand::new(now));
        tracked.demand.add(now, Tokens(prompt.own_tokens));
        if self.demands.len() > MAX_TRACKED {
            self.evict(now);
        }
    }

    /// Returns the number of homes of a prompt's shared prefix.
    pub(crate) fn count(&self, now: Instant, prompt: &Prompt) -> usize {
        let Some(tracked) = self.demands.get(&prompt.shared) else {
            return 1;
        };
        let token_rate = tracked.rate(now) * self.routers as f64;
        let prefill = Prefill::default().time(token_rate as u64);
        1 + (prefill.as_secs_f64() / MAX_PREFILL_SHARE) as usize
    }

    /// Evicts the prefixes with the lowest demand.
    fn evict(&mut self, now: Instant) {
        self.demands
            .sort_by(|_, a, _, b| b.rate(now).total_cmp(&a.rate(now)));
        self.demands.truncate(MAX_TRACKED / 2);
    }
}

/// Returns the rank of an engine for a prefix; the highest is first.
pub(crate) fn rank(vm: &VmId, shared: u64) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), shared)
}
