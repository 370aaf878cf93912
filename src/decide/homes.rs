//! Which engines keep the shared parts of prompts.
//!
//! Answers many routers whose callers share parts of their prompts, each of which sees a small share of them. An engine
//! reads a part once and keeps it; read at another engine as well, it costs that one's time and pushes another part out.
//! The engines are ranked for each part by a hash of both, which all routers reckon alike, and the first is the part's
//! home. A part that very many ask for would overload its home; it gets as many homes as its prompts need to be read.
//! Nobody tells a router how often the others are asked for a part: callers spread over all routers alike, so it takes
//! its own share of the requests for that of each.

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

/// The time over which requests for a part are counted: one of two hundred routers sees one in ten seconds of the twenty a
/// second that overload a home, and ten of a part that would overload ten. Over half the time so few are seen that routers
/// differ by twice in the number of homes, and the part is read at as many more engines.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// What part of its time a home may spend on reading the prompts of one part: beyond that, they queue behind each other for
/// long.
const MAX_PREFILL_SHARE: f64 = 0.6;

/// How many parts are counted. Most are asked for once and have one home whether they are counted or not.
const MAX_TRACKED: usize = 2048;

/// Counts requests for shared parts, and tells how many homes each part needs.
#[derive(Debug)]
pub(crate) struct Homes {
    routers: usize,
    demands: IndexMap<u64, PrefixDemand, BuildHasherDefault<FastHasher>>,
}

/// How fast the prompts that share a part come to this router.
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

    /// Returns how many tokens they have a second, apart from the part. A demand that just began is known within a second,
    /// before its home is seconds behind.
    fn rate(&self, now: Instant) -> f64 {
        self.demand.rate(now) / observed_fraction(now, self.first_seen, DEMAND_WINDOW)
    }
}

impl Homes {
    /// Makes one that has counted nothing, of a router that is the only one.
    pub(crate) fn new() -> Self {
        Self {
            routers: 1,
            demands: IndexMap::default(),
        }
    }

    /// Takes note of how many routers share the callers.
    pub(crate) fn set_router_count(&mut self, routers: usize) {
        self.routers = routers.max(1);
    }

    /// Counts a request.
    pub(crate) fn record(&mut self, now: Instant, prompt: &Prompt) {
        let entry = self.demands.entry(prompt.shared);
        let tracked = entry.or_insert_with(|| PrefixDemand::new(now));
        tracked.demand.add(now, Tokens(prompt.own_tokens));
        if self.demands.len() > MAX_TRACKED {
            self.evict(now);
        }
    }

    /// Returns how many homes a prompt's shared parts have.
    pub(crate) fn count(&self, now: Instant, prompt: &Prompt) -> usize {
        let Some(tracked) = self.demands.get(&prompt.shared) else {
            return 1;
        };
        let token_rate = tracked.rate(now) * self.routers as f64;
        let prefill = Prefill::default().time(token_rate as u64);
        1 + (prefill.as_secs_f64() / MAX_PREFILL_SHARE) as usize
    }

    /// Forgets the parts that were asked for least.
    fn evict(&mut self, now: Instant) {
        self.demands
            .sort_by(|_, a, _, b| b.rate(now).total_cmp(&a.rate(now)));
        self.demands.truncate(MAX_TRACKED / 2);
    }
}

/// Returns where an engine stands among all for a part; the highest is first.
pub(crate) fn rank(vm: &VmId, shared: u64) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), shared)
}
