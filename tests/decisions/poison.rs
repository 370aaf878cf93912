//! A request that crashes each endpoint that runs it, among others that do nothing wrong.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use jasmineridge::Fingerprint;
use jasmineridge::Isolation;
use jasmineridge::Quarantine;
use jasmineridge::VmId;
use jasmineridge::suspect_router;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::name;
use crate::start;

const POISON: Fingerprint = Fingerprint(0);
const ROUTERS: usize = 3;
const ENDPOINTS: usize = 12;

/// Steps of a tenth of a second: what an answer takes, until a poisoned endpoint dies, until a dead one is back, and until
/// a record is known everywhere.
const ANSWER: u32 = 20;
const DEATH: u32 = 5;
const RESTART: u32 = 50;
const RECORD: u32 = 2;

/// How often the poison's caller sends it.
const TRIES: usize = 10;

struct Run {
    router: usize,
    endpoint: usize,
    request: Fingerprint,
    end: u32,
}

#[derive(Debug, Default, Clone, Copy)]
struct Toll {
    crashes: usize,
    innocent: usize,
    refused: usize,
}

struct World {
    now: u32,
    base: Instant,
    vms: Vec<VmId>,
    names: Vec<VmId>,
    back: [u32; ENDPOINTS],
    runs: Vec<Run>,
    queues: Vec<VecDeque<Fingerprint>>,
    routers: Vec<Quarantine>,
    /// The ledger: which endpoints died of what, and when each record is known.
    records: Vec<(u32, Fingerprint, usize)>,
    ledger: IndexMap<Fingerprint, IndexSet<usize>>,
    toll: Toll,
    quarantine: bool,
    rng: ChaCha8Rng,
}

impl World {
    fn at(&self) -> Instant {
        self.base + Duration::from_millis(100) * self.now
    }

    fn refuses(&self, router: usize, request: Fingerprint) -> bool {
        let known = self.ledger.get(&request).is_some_and(|e| e.len() >= 2);
        known || self.routers[router].isolation(request) == Isolation::Refused
    }

    fn place(&mut self, router: usize, request: Fingerprint) -> Option<usize> {
        let quarantine = &self.routers[router];
        let (avoid, forbid) = match self.quarantine {
            true => (
                quarantine.avoided_endpoints(request),
                quarantine.forbidden_endpoints(request),
            ),
            false => Default::default(),
        };
        let up: Vec<_> = (0..ENDPOINTS)
            .filter(|e| self.back[*e] <= self.now && !forbid.contains(&self.vms[*e]))
            .collect();
        let suspect = quarantine.isolation(request) == Isolation::Isolated && self.quarantine;
        let mine = |e: &usize| {
            !suspect || suspect_router(&self.names, &self.vms[*e]) == self.names.get(router)
        };
        let free: Vec<_> = up
            .iter()
            .copied()
            .filter(|e| mine(e) && !avoid.contains(&self.vms[*e]))
            .collect();
        let mine: Vec<_> = up.iter().copied().filter(mine).collect();
        // A suspect rather waits for an endpoint of its own router's, if there is any.
        let owns = (0..ENDPOINTS)
            .any(|e| suspect_router(&self.names, &self.vms[e]) == self.names.get(router));
        let rest = if suspect && owns { Vec::new() } else { up };
        let from = [free, mine, rest]
            .into_iter()
            .find(|f| !f.is_empty())
            .unwrap_or_default();
        (!from.is_empty()).then(|| from[self.rng.random_range(0..from.len())])
    }

    fn dispatch(&mut self, router: usize) {
        for _ in 0..self.queues[router].len() {
            let Some(request) = self.queues[router].pop_front() else {
                return;
            };
            if self.quarantine && self.refuses(router, request) {
                self.toll.refused += usize::from(request != POISON);
                continue;
            }
            let Some(endpoint) = self.place(router, request) else {
                self.queues[router].push_back(request);
                continue;
            };
            let takes = if request == POISON { DEATH } else { ANSWER };
            self.routers[router].start(request, &self.vms[endpoint]);
            self.runs.push(Run {
                router,
                endpoint,
                request,
                end: self.now + takes,
            });
        }
    }

    fn crash(&mut self, endpoint: usize) {
        let now = self.at();
        self.toll.crashes += 1;
        self.back[endpoint] = self.now + RESTART;
        for router in 0..ROUTERS {
            for request in self.routers[router].record_crash(now, &self.vms[endpoint]) {
                self.records.push((self.now + RECORD, request, endpoint));
            }
        }
        for run in self.runs.extract_if(.., |r| r.endpoint == endpoint) {
            // What was lost runs again; the poison's caller sends it again itself.
            if run.request != POISON {
                self.queues[run.router].push_back(run.request);
            }
        }
    }

    fn step(&mut self) {
        let known = self.records.extract_if(.., |r| r.0 <= self.now);
        let now = self.base + Duration::from_millis(100) * self.now;
        for (_, request, endpoint) in known {
            self.ledger.entry(request).or_default().insert(endpoint);
            let vm = &self.vms[endpoint];
            let routers = self.routers.iter_mut();
            routers.for_each(|r| r.add_suspect(now, request, vm));
        }
        let ends = |r: &mut Run| r.end <= self.now;
        let ended: Vec<_> = self.runs.extract_if(.., ends).collect();
        for run in ended {
            if run.request == POISON {
                self.runs.push(Run {
                    end: u32::MAX,
                    ..run
                });
                self.crash(self.runs.last().expect("it was pushed").endpoint);
            } else if self.back[run.endpoint] <= self.now {
                self.routers[run.router].complete(run.request, &self.vms[run.endpoint]);
                self.toll.innocent += 1;
            } else {
                self.queues[run.router].push_back(run.request);
            }
        }
        (0..ROUTERS).for_each(|r| self.dispatch(r));
        self.now += 1;
    }
}

fn poison(seed: u64, quarantine: bool) -> Toll {
    let mut world = World {
        now: 0,
        base: start(),
        vms: (0..ENDPOINTS).map(|e| name(&format!("e{e}"))).collect(),
        names: (0..ROUTERS).map(|r| name(&format!("r{r}"))).collect(),
        back: [0; ENDPOINTS],
        runs: Vec::new(),
        queues: vec![VecDeque::new(); ROUTERS],
        routers: (0..ROUTERS).map(|_| Quarantine::new()).collect(),
        records: Vec::new(),
        ledger: IndexMap::new(),
        toll: Toll::default(),
        quarantine,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    let mut next = 1;
    let mut tries = 0;
    while world.now < 600 {
        if world.now < 500 {
            for router in 0..ROUTERS {
                world.queues[router].push_back(Fingerprint(next));
                next += 1;
            }
        }
        // The caller has its failure and goes to the next router.
        if world.now % 10 == 9 && world.now > 30 && tries < TRIES {
            world.queues[tries % ROUTERS].push_back(POISON);
            tries += 1;
        }
        world.step();
    }
    world.toll
}

/// One request crashes each endpoint that runs it, and its caller sends it ten times, each time to another router. What
/// ran beside it must be answered, and the request refused before it has cost more than three endpoints.
#[test]
fn poison_costs_three_endpoints() {
    let tolls = |quarantine| (0..50).map(move |seed| poison(seed, quarantine));
    let most = tolls(true).map(|t| t.crashes).max().unwrap_or_default();
    let refused: usize = tolls(true).map(|t| t.refused).sum();
    let answered: usize = tolls(true).map(|t| t.innocent).sum();
    let plain = tolls(false).map(|t| t.crashes).max().unwrap_or_default();
    println!(
        "poison: most crashes {most}, plain {plain}; innocent answered {answered}, refused {refused}"
    );
}
