//! Simulates a poison request, which crashes each endpoint that runs it, among harmless requests.

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

/// Duration of an answer. A step is a tenth of a second.
const ANSWER_STEPS: u32 = 20;

/// Time from the start of the poison request to the endpoint's crash.
const CRASH_STEPS: u32 = 5;

/// Time from a crash until the endpoint is up again.
const RESTART_STEPS: u32 = 50;

/// Time until all routers have read a ledger record.
const RECORD_STEPS: u32 = 2;

/// How often the poison request is sent by its caller.
const POISON_TRIES: usize = 10;

struct Run {
    router: usize,
    endpoint: usize,
    request: Fingerprint,
    end_step: u32,
}

#[derive(Debug, Default, Clone, Copy)]
struct Totals {
    crashes: usize,
    answered: usize,
    refused: usize,
}

struct Simulation {
    step: u32,
    start_time: Instant,
    endpoint_vms: Vec<VmId>,
    router_vms: Vec<VmId>,
    /// Step from which each endpoint is up.
    up_from: [u32; ENDPOINTS],
    runs: Vec<Run>,
    queues: Vec<VecDeque<Fingerprint>>,
    routers: Vec<Quarantine>,
    /// Suspects recorded in the ledger but not read by the routers yet: step at which they read it, request and crashed
    /// endpoint.
    records: Vec<(u32, Fingerprint, usize)>,
    ledger: IndexMap<Fingerprint, IndexSet<usize>>,
    totals: Totals,
    use_quarantine: bool,
    rng: ChaCha8Rng,
}

impl Simulation {
    fn instant(&self) -> Instant {
        self.start_time + Duration::from_millis(100) * self.step
    }

    fn is_refused(&self, router: usize, request: Fingerprint) -> bool {
        let known = self.ledger.get(&request).is_some_and(|e| e.len() >= 2);
        known || self.routers[router].isolation(request) == Isolation::Refused
    }

    fn choose_endpoint(&mut self, router: usize, request: Fingerprint) -> Option<usize> {
        let quarantine = &self.routers[router];
        let (avoided, forbidden) = match self.use_quarantine {
            true => (
                quarantine.avoided_endpoints(request),
                quarantine.forbidden_endpoints(request),
            ),
            false => Default::default(),
        };
        let up: Vec<_> = (0..ENDPOINTS)
            .filter(|e| {
                self.up_from[*e] <= self.step && !forbidden.contains(&self.endpoint_vms[*e])
            })
            .collect();
        let suspect = quarantine.isolation(request) == Isolation::Isolated && self.use_quarantine;
        let assigned = |e: &usize| {
            !suspect
                || suspect_router(&self.router_vms, &self.endpoint_vms[*e])
                    == self.router_vms.get(router)
        };
        let free: Vec<_> = up
            .iter()
            .copied()
            .filter(|e| assigned(e) && !avoided.contains(&self.endpoint_vms[*e]))
            .collect();
        let own: Vec<_> = up.iter().copied().filter(assigned).collect();
        // If the router has endpoints assigned for suspects, a suspect waits for one of them.
        let has_own = (0..ENDPOINTS).any(|e| {
            suspect_router(&self.router_vms, &self.endpoint_vms[e]) == self.router_vms.get(router)
        });
        let rest = if suspect && has_own { Vec::new() } else { up };
        let candidates = [free, own, rest]
            .into_iter()
            .find(|f| !f.is_empty())
            .unwrap_or_default();
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }

    fn dispatch(&mut self, router: usize) {
        for _ in 0..self.queues[router].len() {
            let Some(request) = self.queues[router].pop_front() else {
                return;
            };
            if self.use_quarantine && self.is_refused(router, request) {
                self.totals.refused += usize::from(request != POISON);
                continue;
            }
            let Some(endpoint) = self.choose_endpoint(router, request) else {
                self.queues[router].push_back(request);
                continue;
            };
            let duration = if request == POISON {
                CRASH_STEPS
            } else {
                ANSWER_STEPS
            };
            self.routers[router].start(request, &self.endpoint_vms[endpoint]);
            self.runs.push(Run {
                router,
                endpoint,
                request,
                end_step: self.step + duration,
            });
        }
    }

    fn crash(&mut self, endpoint: usize) {
        let now = self.instant();
        self.totals.crashes += 1;
        self.up_from[endpoint] = self.step + RESTART_STEPS;
        for router in 0..ROUTERS {
            for request in self.routers[router].record_crash(now, &self.endpoint_vms[endpoint]) {
                self.records
                    .push((self.step + RECORD_STEPS, request, endpoint));
            }
        }
        for run in self.runs.extract_if(.., |r| r.endpoint == endpoint) {
            // Lost requests are rerun, except for the poison request, which its caller sends again.
            if run.request != POISON {
                self.queues[run.router].push_back(run.request);
            }
        }
    }

    fn advance(&mut self) {
        let visible = self.records.extract_if(.., |r| r.0 <= self.step);
        let now = self.start_time + Duration::from_millis(100) * self.step;
        for (_, request, endpoint) in visible {
            self.ledger.entry(request).or_default().insert(endpoint);
            let vm = &self.endpoint_vms[endpoint];
            let routers = self.routers.iter_mut();
            routers.for_each(|r| r.add_suspect(now, request, vm));
        }
        let has_ended = |r: &mut Run| r.end_step <= self.step;
        let ended: Vec<_> = self.runs.extract_if(.., has_ended).collect();
        for run in ended {
            if run.request == POISON {
                self.runs.push(Run {
                    end_step: u32::MAX,
                    ..run
                });
                self.crash(self.runs.last().expect("it was pushed").endpoint);
            } else if self.up_from[run.endpoint] <= self.step {
                self.routers[run.router].complete(run.request, &self.endpoint_vms[run.endpoint]);
                self.totals.answered += 1;
            } else {
                self.queues[run.router].push_back(run.request);
            }
        }
        (0..ROUTERS).for_each(|r| self.dispatch(r));
        self.step += 1;
    }
}

fn simulate(seed: u64, use_quarantine: bool) -> Totals {
    let mut sim = Simulation {
        step: 0,
        start_time: start(),
        endpoint_vms: (0..ENDPOINTS).map(|e| name(&format!("e{e}"))).collect(),
        router_vms: (0..ROUTERS).map(|r| name(&format!("r{r}"))).collect(),
        up_from: [0; ENDPOINTS],
        runs: Vec::new(),
        queues: vec![VecDeque::new(); ROUTERS],
        routers: (0..ROUTERS).map(|_| Quarantine::new()).collect(),
        records: Vec::new(),
        ledger: IndexMap::new(),
        totals: Totals::default(),
        use_quarantine,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    let mut next = 1;
    let mut tries = 0;
    while sim.step < 600 {
        if sim.step < 500 {
            for router in 0..ROUTERS {
                sim.queues[router].push_back(Fingerprint(next));
                next += 1;
            }
        }
        // The poison request's caller retries at the next router after each failure.
        if sim.step % 10 == 9 && sim.step > 30 && tries < POISON_TRIES {
            sim.queues[tries % ROUTERS].push_back(POISON);
            tries += 1;
        }
        sim.advance();
    }
    sim.totals
}

/// A poison request is sent ten times, each time to the next router. It should be refused before it has crashed more
/// than three endpoints, and the requests that ran beside it should be answered.
#[test]
fn poison_costs_three_endpoints() {
    let all_totals = |quarantine| (0..50).map(move |seed| simulate(seed, quarantine));
    let max_crashes = all_totals(true)
        .map(|t| t.crashes)
        .max()
        .unwrap_or_default();
    let refused: usize = all_totals(true).map(|t| t.refused).sum();
    let answered: usize = all_totals(true).map(|t| t.answered).sum();
    let baseline = all_totals(false)
        .map(|t| t.crashes)
        .max()
        .unwrap_or_default();
    println!(
        "poison: at most {max_crashes} crashes, {baseline} without quarantine; other requests: \
         {answered} answered, {refused} refused"
    );
}
