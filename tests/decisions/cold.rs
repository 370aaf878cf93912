//! Cold endpoints behind many routers: requests that each endpoint receives in one second.

use std::time::Duration;
use std::time::Instant;

use jasmineridge::Chooser;
use jasmineridge::Criteria;
use jasmineridge::EjectionLimits;
use jasmineridge::Ejector;
use jasmineridge::PrefixIndex;
use jasmineridge::Prompt;
use jasmineridge::Sample;
use jasmineridge::Usage;
use jasmineridge::VmId;
use jasmineridge::cold_share;
use rand::Rng;
use rand::RngExt;

use crate::ms;
use crate::name;
use crate::rng;
use crate::start;

/// Requests per second that a cold endpoint can take from all routers together.
const COLD_RATE_PER_SEC: u32 = 14;

/// How long an endpoint stays cold.
const WARMUP: Duration = Duration::from_secs(3);

/// Duration of a request.
const RUN_TIME: Duration = Duration::from_millis(400);

/// Routers that choose among the same endpoints without communicating.
struct Fleet {
    routers: Vec<VmId>,
    choosers: Vec<Chooser>,
    health: Ejector,
    /// End, router and endpoint of each request in progress.
    runs: Vec<(Instant, usize, VmId)>,
}

impl Fleet {
    /// Creates a fleet of `routers` routers and `endpoints` endpoints with `slots` slots each.
    fn new(now: Instant, routers: usize, endpoints: usize, slots: u32) -> Self {
        let routers: Vec<VmId> = (0..routers).map(|n| name(&format!("vm-{n}"))).collect();
        let mut health = Ejector::new(EjectionLimits::default());
        let vms: Vec<_> = (0..endpoints).map(endpoint).collect();
        for vm in &vms {
            health.put(now, vm, &name("domain-0"));
        }
        let choosers = routers.iter().map(|router| {
            let mut chooser = Chooser::new(router);
            chooser.set_router_count(routers.len());
            for vm in &vms {
                chooser.put(vm, &name("domain-0"), &[], slots);
                chooser.fix_limit(vm);
            }
            chooser
        });
        Self {
            choosers: choosers.collect(),
            routers,
            health,
            runs: Vec::new(),
        }
    }

    /// Marks endpoints as cold until the given time, at all routers.
    fn set_cold(&mut self, until: Instant, endpoints: std::ops::Range<usize>) {
        for vm in endpoints.map(endpoint) {
            for (router, chooser) in self.routers.iter().zip(&mut self.choosers) {
                let share = cold_share(COLD_RATE_PER_SEC, &self.routers, router, &vm);
                chooser.set_cold(&vm, Some(until), share);
            }
        }
    }

    /// Sends a request through a router, and returns the endpoint chosen.
    fn send<R>(&mut self, now: Instant, router: usize, rng: &mut R) -> Option<VmId>
    where
        R: Rng,
    {
        for (_, at, vm) in self.runs.extract_if(.., |(end, ..)| *end <= now) {
            self.choosers[at].end(now, &vm, Sample::Other);
        }
        let prompt = Prompt {
            shared: rng.random_range(0..1000),
            shared_tokens: 2000,
            own_tokens: 500,
        };
        let criteria = Criteria {
            model: None,
            prefix: &[],
            domain: &name("domain-0"),
            excluded: &[],
            usage: Usage::Heavy,
            prompt: Some(prompt),
        };
        let chooser = &mut self.choosers[router];
        let index = PrefixIndex::new();
        let choice = chooser.choose(now, &criteria, &index, &self.health, rng)?;
        chooser.start(now, &choice.endpoint);
        chooser.record_prompt(now, &choice, &prompt);
        self.runs
            .push((now + RUN_TIME, router, choice.endpoint.clone()));
        Some(choice.endpoint)
    }
}

fn endpoint(n: usize) -> VmId {
    name(&format!("endpoint-{n}"))
}

/// Returns the largest number of `times` that lie within one second.
fn max_in_one_second(times: &[Instant]) -> usize {
    let count_from = |from: &Instant| {
        let second = Duration::from_secs(1);
        let in_second = |at: &&Instant| **at >= *from && **at < *from + second;
        times.iter().filter(in_second).count()
    };
    times.iter().map(count_from).max().unwrap_or(0)
}

/// Simulates a failure domain that comes back cold, in a fleet where one router receives a fifth of all requests.
/// Returns the most requests that a cold endpoint receives in one second, and the total that cold endpoints receive.
fn cold_domain_load(routers: usize, warm: usize) -> (usize, usize) {
    let mut rng = rng();
    let mut now = start();
    let cold = 20;
    let mut fleet = Fleet::new(now, routers, cold + warm, 64);
    let until = now + WARMUP;
    fleet.set_cold(until, 0..cold);
    let mut sent: Vec<Vec<Instant>> = vec![Vec::new(); cold];
    while now + ms(1) < until {
        now += ms(1);
        let router = match rng.random_bool(0.2) {
            true => 0,
            false => rng.random_range(0..routers),
        };
        let Some(vm) = fleet.send(now, router, &mut rng) else {
            continue;
        };
        if let Some(at) = (0..cold).find(|n| endpoint(*n) == vm) {
            sent[at].push(now);
        }
    }
    let peak = sent.iter().map(|times| max_in_one_second(times)).max();
    (peak.unwrap_or(0), sent.iter().map(Vec::len).sum::<usize>())
}

/// Guards against a failure domain that comes back cold and crashes under the combined load of all routers.
#[test]
fn cold_endpoints_stay_within_their_rate() {
    for routers in [1, 6, 14, 86, 300] {
        let (peak, total) = cold_domain_load(routers, 0);
        assert!(
            peak <= COLD_RATE_PER_SEC as usize,
            "{routers} routers: {peak}"
        );
        // At least half of the capacity is used. Not all of it is: one router receives requests beyond its share of
        // the rate, while others leave part of theirs unused.
        let capacity = 20 * COLD_RATE_PER_SEC as usize * WARMUP.as_secs() as usize;
        assert!(
            total * 2 > capacity,
            "{routers} routers: {total} of {capacity}"
        );
    }
}

/// Guards against preferring cold endpoints because they are idle.
#[test]
fn warm_endpoints_are_preferred() {
    assert_eq!(cold_domain_load(86, 40).1, 0);
}

/// Guards against refusing a request that a cold endpoint could run when the warm ones are full.
#[test]
fn cold_endpoints_take_overflow_of_full_warm_ones() {
    let mut rng = rng();
    let now = start();
    let mut fleet = Fleet::new(now, 4, 3, 1);
    fleet.set_cold(now + WARMUP, 0..2);
    let first = fleet.send(now, 0, &mut rng);
    assert_eq!(first, Some(endpoint(2)));
    assert!(fleet.send(now, 0, &mut rng).is_some());
}

/// Guards against limiting an endpoint to its cold rate after it has warmed up.
#[test]
fn endpoint_is_warm_after_warmup() {
    let mut rng = rng();
    let now = start();
    let mut fleet = Fleet::new(now, 300, 1, 64);
    fleet.set_cold(now + WARMUP, 0..1);
    let later = now + WARMUP;
    let served = (0..300).filter(|router| fleet.send(later, *router, &mut rng).is_some());
    assert_eq!(served.count(), 300);
}

/// Guards against overloading a cold endpoint while routers know different parts of the fleet, as when VMs are added or
/// lost. The sum of their shares may exceed the rate by half, which an endpoint can take.
#[test]
fn cold_rate_holds_when_routers_know_different_fleets() {
    let mut rng = rng();
    let routers: Vec<VmId> = (0..86).map(|n| name(&format!("vm-{n}"))).collect();
    for n in 0..60 {
        let vm = endpoint(n);
        let shares = routers.iter().map(|router| {
            let known = routers
                .iter()
                .filter(|other| *other == router || rng.random_bool(0.9));
            let known: Vec<_> = known.cloned().collect();
            cold_share(COLD_RATE_PER_SEC, &known, router, &vm)
        });
        let total: u32 = shares.sum();
        assert!(
            total <= COLD_RATE_PER_SEC * 3 / 2,
            "{total} per second at {vm}"
        );
    }
}
