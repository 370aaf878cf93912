//! A small discrete-event simulation of callers, routers and engines. It covers the decisions only: no processes and no
//! network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use jasmineridge::AccountId;
use jasmineridge::BlockHash;
use jasmineridge::CacheEvent;
use jasmineridge::EjectionLimits;
use jasmineridge::Limits;
use jasmineridge::Load;
use jasmineridge::TeamId;
use jasmineridge::Usage;
use jasmineridge::VmId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::SEED;
use crate::engine::Engine;
use crate::engine::SLOTS;
use crate::engine::nominal_secs;
use crate::name;
use crate::router::Dispatch;
use crate::router::End;
use crate::router::Router;
use crate::router::RouterKind;
use crate::start;

/// Requests of one client account.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) team: &'static str,
    pub(crate) account: &'static str,
    /// Start times in seconds, and the requests per second from each of them on.
    pub(crate) rate_steps: Vec<(f64, f64)>,
    pub(crate) tokens: u32,
    /// Number of concurrent conversations, and blocks that each turn adds to the prompt. If zero, prompts are empty.
    pub(crate) sessions: (u64, usize),
    /// Time that a caller waits for the first token.
    pub(crate) timeout_s: f64,
    /// Number of times that a caller tries in total.
    pub(crate) max_attempts: u32,
    pub(crate) limits: Limits,
}

impl Workload {
    pub(crate) fn new(team: &'static str, account: &'static str, rate: f64) -> Self {
        Self {
            team,
            account,
            rate_steps: vec![(0.0, rate)],
            tokens: 100,
            sessions: (0, 0),
            timeout_s: 10.0,
            max_attempts: 1,
            limits: Limits {
                rate: 100_000,
                burst: 100_000,
                concurrency: 100_000,
                weight: 1,
            },
        }
    }
}

/// Fault of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Requests take longer by this factor.
    Slow(f64),
    /// All running, waiting and new requests fail.
    Down,
    /// Health checks fail at random, although the engine works.
    Flap,
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) kind: RouterKind,
    pub(crate) ejection_limits: EjectionLimits,
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) workloads: Vec<Workload>,
    pub(crate) faults: Vec<(usize, f64, f64, Fault)>,
    /// Time at which callers stop. Requests that arrive before `warmup_s` are not counted.
    pub(crate) duration_s: f64,
    pub(crate) warmup_s: f64,
}

impl Scenario {
    pub(crate) fn new(kind: RouterKind, workloads: Vec<Workload>) -> Self {
        Self {
            kind,
            ejection_limits: EjectionLimits::default(),
            routers: 6,
            engines: 12,
            workloads,
            faults: Vec::new(),
            duration_s: 120.0,
            warmup_s: 20.0,
        }
    }

    /// Returns the capacity of all engines in requests per second, with `tokens` tokens in each answer.
    pub(crate) fn capacity(&self, tokens: u32) -> f64 {
        (self.engines * SLOTS) as f64 / nominal_secs(0, tokens)
    }
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) workload: usize,
    pub(crate) team: TeamId,
    pub(crate) account: AccountId,
    pub(crate) tokens: u32,
    pub(crate) session: u64,
    pub(crate) prompt: Vec<BlockHash>,
    pub(crate) deadline: Instant,
    pub(crate) excluded: Vec<VmId>,
    /// Whether its caller has its final answer or has given up.
    finished: bool,
    /// Whether its caller waits before the next attempt.
    backing_off: bool,
    arrived_s: f64,
    pub(crate) attempts: u32,
    router: usize,
    /// The engine where it runs or waits. `sent_s` and `started_s` are the times of its last dispatch and start.
    engine: Option<usize>,
    sent_s: f64,
    started_s: f64,
    dispatches: u32,
    pub(crate) expected_cached: usize,
    first_token_s: Option<f64>,
    cached_blocks: usize,
}

impl Job {
    /// Returns whether the caller no longer waits for this attempt.
    pub(crate) fn is_stale(&self, attempt: u32) -> bool {
        self.finished || self.backing_off || self.attempts != attempt
    }
}

/// What callers of one workload received.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerStats {
    pub(crate) sent: usize,
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    pub(crate) timed_out: usize,
    pub(crate) failed: usize,
    /// Seconds to the first token of answered requests, sorted.
    pub(crate) waits_s: Vec<f64>,
    /// Time of the first token of each answered request, and the seconds that its caller waited for it.
    pub(crate) first_tokens: Vec<(f64, f64)>,
    /// Slot time of answered requests after the warm-up.
    pub(crate) slot_seconds: f64,
}

impl CallerStats {
    pub(crate) fn wait_quantile(&self, quantile: f64) -> f64 {
        let at = (self.waits_s.len() as f64 * quantile) as usize;
        self.waits_s.get(at).copied().unwrap_or(f64::NAN)
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) workloads: Vec<CallerStats>,
    /// Dispatches; blocks found in caches, out of all prompt blocks.
    pub(crate) dispatches: usize,
    pub(crate) cached_blocks: usize,
    pub(crate) prompt_blocks: usize,
    /// Blocks that an oracle would have found that knows all caches and chooses among the engines with a free slot.
    pub(crate) oracle_blocks: usize,
    /// Running and waiting requests of an engine, at each load report.
    pub(crate) load_samples: Vec<(usize, usize)>,
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Arrive(usize),
    Retry(usize, u32),
    Timeout(usize, u32),
    FirstToken(usize, u32),
    Done(usize, u32),
    SendReports,
    LoadReport(usize, Load),
    CacheUpdate(usize, CacheEvent),
    Fault(usize, bool),
    HealthCheck,
}

struct Simulation {
    scenario: Scenario,
    start_time: Instant,
    now_s: f64,
    event_queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    jobs: Vec<Job>,
    turns: Vec<Vec<usize>>,
    outcome: Outcome,
    rng: ChaCha8Rng,
}

/// Runs a scenario to its end.
pub(crate) fn run(scenario: Scenario) -> Outcome {
    let start_time = start();
    let routers = (0..scenario.routers)
        .map(|at| {
            Router::new(
                at,
                start_time,
                &scenario,
                ChaCha8Rng::seed_from_u64(SEED + at as u64),
            )
        })
        .collect();
    let mut simulation = Simulation {
        start_time,
        now_s: 0.0,
        event_queue: BinaryHeap::new(),
        events: Vec::new(),
        engines: (0..scenario.engines).map(|_| Engine::new()).collect(),
        routers,
        jobs: Vec::new(),
        turns: scenario
            .workloads
            .iter()
            .map(|g| vec![1; g.sessions.0 as usize])
            .collect(),
        outcome: Outcome {
            workloads: vec![CallerStats::default(); scenario.workloads.len()],
            ..Outcome::default()
        },
        rng: ChaCha8Rng::seed_from_u64(SEED),
        scenario,
    };
    simulation.schedule_initial();
    while let Some(Reverse((at, event))) = simulation.event_queue.pop() {
        simulation.now_s = at as f64 / 1e6;
        if let Some(event) = simulation.events[event].take() {
            simulation.handle(event);
        }
    }
    for stats in &mut simulation.outcome.workloads {
        stats.waits_s.sort_by(f64::total_cmp);
    }
    simulation.outcome
}

impl Simulation {
    fn instant(&self) -> Instant {
        self.start_time + Duration::from_secs_f64(self.now_s)
    }

    fn schedule(&mut self, seconds: f64, event: Event) {
        let at = ((self.now_s + seconds) * 1e6) as u64;
        self.event_queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn schedule_initial(&mut self) {
        for workload in 0..self.scenario.workloads.len() {
            self.schedule(0.0, Event::Arrive(workload));
        }
        for (at, (_, from, to, _)) in self.scenario.faults.clone().into_iter().enumerate() {
            self.schedule(from, Event::Fault(at, true));
            self.schedule(to, Event::Fault(at, false));
        }
        self.schedule(0.0, Event::SendReports);
        self.schedule(0.5, Event::HealthCheck);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(workload) => self.arrive(workload),
            Event::Retry(job, attempt) => self.submit(job, attempt),
            Event::Timeout(job, attempt) => self.time_out(job, attempt),
            Event::FirstToken(job, dispatch) => self.handle_first_token(job, dispatch),
            Event::Done(job, dispatch) => self.complete(job, dispatch),
            Event::SendReports => self.send_reports(),
            Event::LoadReport(engine, load) => self.deliver_report(engine, load),
            Event::CacheUpdate(engine, event) => {
                let event = &event;
                self.routers
                    .iter_mut()
                    .for_each(|r| r.apply_cache_event(engine, event));
            }
            Event::Fault(at, on) => self.apply_fault(at, on),
            Event::HealthCheck => self.check_health(),
        }
    }

    fn arrive(&mut self, workload: usize) {
        let spec = self.scenario.workloads[workload].clone();
        let steps = spec.rate_steps.iter().rev();
        let rate = steps.clone().find(|(from, _)| *from <= self.now_s);
        let rate = rate.map_or(0.0, |(_, rate)| *rate);
        let gap = -(1.0 - self.rng.random_range(0.0..1.0f64)).ln() / rate.max(0.1);
        if self.now_s + gap < self.scenario.duration_s {
            self.schedule(gap, Event::Arrive(workload));
        }
        if rate == 0.0 {
            return;
        }
        let (session, prompt) = self.next_prompt(workload, &spec);
        let job = Job {
            workload,
            team: name(spec.team),
            account: name(spec.account),
            tokens: (f64::from(spec.tokens) * self.rng.random_range(0.2..1.8)) as u32,
            session,
            prompt,
            deadline: self.instant() + Duration::from_secs_f64(spec.timeout_s),
            excluded: Vec::new(),
            finished: false,
            backing_off: false,
            arrived_s: self.now_s,
            attempts: 0,
            router: 0,
            engine: None,
            sent_s: 0.0,
            started_s: 0.0,
            dispatches: 0,
            expected_cached: 0,
            first_token_s: None,
            cached_blocks: 0,
        };
        self.jobs.push(job);
        self.record(self.jobs.len() - 1, |stats| stats.sent += 1);
        self.submit(self.jobs.len() - 1, 0);
    }

    /// Returns the next turn of one of the workload's conversations. A conversation ends after eight turns and a new
    /// one replaces it.
    fn next_prompt(&mut self, workload: usize, spec: &Workload) -> (u64, Vec<BlockHash>) {
        let (sessions, blocks) = spec.sessions;
        if sessions == 0 {
            return (0, Vec::new());
        }
        let session = self.rng.random_range(0..sessions);
        let turns = &mut self.turns[workload][session as usize];
        *turns += 1;
        let turn = *turns % 8 + 1;
        let session = (workload as u64) << 48 | session << 24 | (*turns / 8) as u64;
        let hash =
            |block| BlockHash(session.wrapping_mul(0x9e37_79b9) ^ block as u64 ^ session << 20);
        (session, (0..turn * blocks).map(hash).collect())
    }

    fn record<F>(&mut self, job: usize, update: F)
    where
        F: FnOnce(&mut CallerStats),
    {
        if self.jobs[job].arrived_s >= self.scenario.warmup_s {
            update(&mut self.outcome.workloads[self.jobs[job].workload]);
        }
    }

    fn submit(&mut self, id: usize, attempt: u32) {
        if self.jobs[id].finished || self.jobs[id].attempts != attempt {
            return;
        }
        self.jobs[id].backing_off = false;
        // Retries by a router stay at that router; retries by a caller go to any router.
        if self.jobs[id].excluded.is_empty() {
            let router = self.pick_router(id);
            self.jobs[id].router = router;
            self.jobs[id].attempts += 1;
            let timeout_s = self.scenario.workloads[self.jobs[id].workload].timeout_s;
            self.jobs[id].deadline = self.instant() + Duration::from_secs_f64(timeout_s);
            // Just after the deadline, regardless of rounding.
            self.schedule(timeout_s + 1e-5, Event::Timeout(id, self.jobs[id].attempts));
        }
        let (now, router) = (self.instant(), self.jobs[id].router);
        match self.routers[router].admit(now, id, &self.jobs[id]) {
            Ok(()) => self.dispatch_ready(router),
            Err(after) => self.handle_refusal(id, after),
        }
    }

    /// Returns the router that a caller connects to. Callers in a conversation keep their router for half a minute.
    fn pick_router(&mut self, id: usize) -> usize {
        let job = &self.jobs[id];
        let count = self.routers.len();
        match (job.session, job.attempts) {
            (0, _) | (_, 1..) => self.rng.random_range(0..count),
            (session, 0) => {
                let mut rng =
                    ChaCha8Rng::seed_from_u64((session >> 24) ^ (self.now_s / 30.0) as u64);
                rng.random_range(0..count)
            }
        }
    }

    fn handle_refusal(&mut self, id: usize, after: Duration) {
        self.jobs[id].excluded.clear();
        if self.jobs[id].attempts < self.scenario.workloads[self.jobs[id].workload].max_attempts {
            self.jobs[id].backing_off = true;
            self.schedule(
                after.as_secs_f64(),
                Event::Retry(id, self.jobs[id].attempts),
            );
        } else {
            self.jobs[id].finished = true;
            self.record(id, |stats| stats.refused += 1);
        }
    }

    fn time_out(&mut self, id: usize, attempt: u32) {
        let job = &self.jobs[id];
        if job.is_stale(attempt) || job.first_token_s.is_some() {
            return;
        }
        let again = job.attempts < self.scenario.workloads[job.workload].max_attempts;
        if job.engine.is_some() {
            self.end_dispatch(id, End::Cancelled);
        }
        let router = self.jobs[id].router;
        if !again {
            self.jobs[id].finished = true;
            self.record(id, |stats| stats.timed_out += 1);
        }
        self.dispatch_ready(router);
        if again {
            self.jobs[id].excluded.clear();
            self.jobs[id].backing_off = true;
            self.schedule(0.0, Event::Retry(id, self.jobs[id].attempts));
        }
    }

    /// Refuses the requests that the router's queue has evicted, and dispatches all that the router can place.
    fn dispatch_ready(&mut self, router: usize) {
        let now = self.instant();
        for id in self.routers[router].take_expired(now) {
            let job = &self.jobs[id];
            self.routers[router].release_account(job);
            if !job.finished && job.first_token_s.is_none() && now < job.deadline {
                self.handle_refusal(id, Duration::from_secs(2));
            }
        }
        while let Some(sent) = self.routers[router].next_dispatch(now, &self.jobs) {
            self.dispatch(sent);
        }
    }

    fn dispatch(&mut self, sent: Dispatch) {
        let Dispatch {
            id, engine, usage, ..
        } = sent;
        let now = self.now_s;
        self.outcome.oracle_blocks += self.oracle_cached(id);
        let job = &mut self.jobs[id];
        job.engine = Some(engine);
        job.sent_s = now;
        job.expected_cached = sent.expected_blocks;
        job.dispatches += 1;
        self.outcome.dispatches += 1;
        if self.engines[engine].down {
            // A refused connection takes a moment.
            let dispatch = job.dispatches;
            self.schedule(0.005, Event::Done(id, dispatch));
            return;
        }
        match usage {
            Usage::Light => self.engines[engine].waiting.push_front(id),
            Usage::Heavy => self.engines[engine].waiting.push_back(id),
        }
        self.start_waiting(engine);
    }

    fn oracle_cached(&self, id: usize) -> usize {
        let job = &self.jobs[id];
        let free = self.engines.iter().filter(|e| e.running.len() < SLOTS);
        let cached = free.map(|e| e.cached(job.session, job.prompt.len()));
        cached.max().unwrap_or(0)
    }

    fn start_waiting(&mut self, engine: usize) {
        while self.engines[engine].running.len() < SLOTS
            && let Some(id) = self.engines[engine].waiting.pop_front()
        {
            let job = &mut self.jobs[id];
            let at = &mut self.engines[engine];
            job.cached_blocks = at.cached(job.session, job.prompt.len());
            job.started_s = self.now_s;
            let (first, rest) = at.start(job.session, &job.prompt, job.tokens);
            at.running.push(id);
            self.outcome.cached_blocks += job.cached_blocks;
            self.outcome.prompt_blocks += job.prompt.len();
            let dispatch = job.dispatches;
            self.schedule(first, Event::FirstToken(id, dispatch));
            self.schedule(first + rest, Event::Done(id, dispatch));
        }
    }

    fn handle_first_token(&mut self, id: usize, dispatch: u32) {
        let job = &mut self.jobs[id];
        if job.dispatches != dispatch || job.engine.is_none() {
            return;
        }
        job.first_token_s = Some(self.now_s);
        let time = Duration::from_secs_f64(self.now_s - job.sent_s);
        let (engine, router) = (job.engine.expect("the job runs"), job.router);
        let now = self.instant();
        self.routers[router].record_first_token(now, engine, time);
    }

    fn complete(&mut self, id: usize, dispatch: u32) {
        let job = &self.jobs[id];
        let Some(engine) = job.engine.filter(|_| job.dispatches == dispatch) else {
            return;
        };
        let (sent_s, cached) = (job.sent_s, job.cached_blocks);
        let Some(first_s) = job.first_token_s.filter(|_| !self.engines[engine].down) else {
            let started = self.engines[engine].running.contains(&id);
            return self.handle_failure(id, if started { End::Failed } else { End::Refused });
        };
        let (started_s, arrived_s) = (job.started_s, job.arrived_s);
        self.end_dispatch(
            id,
            End::Completed(Duration::from_secs_f64(first_s - sent_s), cached),
        );
        self.jobs[id].finished = true;
        let stats = &mut self.outcome.workloads[self.jobs[id].workload];
        let within =
            self.now_s.min(self.scenario.duration_s) - started_s.max(self.scenario.warmup_s);
        stats.slot_seconds += within.max(0.0);
        stats.first_tokens.push((first_s, first_s - arrived_s));
        self.record(id, |stats| {
            stats.answered += 1;
            stats.waits_s.push(first_s - arrived_s);
        });
        self.dispatch_ready(self.jobs[id].router);
    }

    fn handle_failure(&mut self, id: usize, end: End) {
        let engine = self.jobs[id].engine.expect("the job was dispatched");
        self.jobs[id].first_token_s = None;
        self.jobs[id].excluded.push(name(&format!("e{engine}")));
        match self.end_dispatch(id, end) {
            Some(after) => self.schedule(
                after.as_secs_f64(),
                Event::Retry(id, self.jobs[id].attempts),
            ),
            None => {
                self.jobs[id].excluded.clear();
                let job = &self.jobs[id];
                if job.attempts < self.scenario.workloads[job.workload].max_attempts {
                    self.jobs[id].backing_off = true;
                    self.schedule(1.0, Event::Retry(id, self.jobs[id].attempts));
                } else {
                    self.jobs[id].finished = true;
                    self.record(id, |stats| stats.failed += 1);
                }
            }
        }
        self.dispatch_ready(self.jobs[id].router);
    }

    /// Removes a request from its engine and reports the end to its router. Returns the delay before a retry.
    fn end_dispatch(&mut self, id: usize, end: End) -> Option<Duration> {
        let engine = self.jobs[id].engine.take().expect("the job was dispatched");
        self.engines[engine].running.retain(|j| *j != id);
        self.engines[engine].waiting.retain(|j| *j != id);
        self.start_waiting(engine);
        let now = self.instant();
        let router = &mut self.routers[self.jobs[id].router];
        let again = router.end(now, engine, &self.jobs[id], end);
        if again.is_none() {
            router.release_account(&self.jobs[id]);
        }
        again
    }

    fn send_reports(&mut self) {
        let measured = self.instant();
        for engine in 0..self.engines.len() {
            let at = &mut self.engines[engine];
            let load = Load {
                running: at.running.len() as u32,
                waiting: at.waiting.len() as u32,
                measured,
            };
            if self.now_s > self.scenario.warmup_s {
                let load = (at.running.len(), at.waiting.len());
                self.outcome.load_samples.push(load);
            }
            let event = at.take_event();
            let lag = self.rng.random_range(0.5..1.5);
            self.schedule(lag, Event::LoadReport(engine, load));
            // One cache event in twenty is lost.
            if self.rng.random_range(0..20) > 0 {
                self.schedule(lag, Event::CacheUpdate(engine, event));
            }
        }
        if self.now_s < self.scenario.duration_s {
            self.schedule(1.0, Event::SendReports);
        }
    }

    fn deliver_report(&mut self, engine: usize, load: Load) {
        let now = self.instant();
        for router in 0..self.routers.len() {
            self.routers[router].report_load(now, engine, load);
            self.dispatch_ready(router);
        }
    }

    fn apply_fault(&mut self, at: usize, on: bool) {
        let (engine, _, _, fault) = self.scenario.faults[at];
        let hit = &mut self.engines[engine];
        match fault {
            Fault::Slow(factor) => hit.slowdown = if on { factor } else { 1.0 },
            Fault::Flap => hit.flapping = on,
            Fault::Down => hit.down = on,
        }
        if hit.down {
            let lost: Vec<_> = hit.running.drain(..).chain(hit.waiting.drain(..)).collect();
            lost.into_iter()
                .for_each(|id| self.handle_failure(id, End::Failed));
        }
    }

    fn check_health(&mut self) {
        let now = self.instant();
        for router in 0..self.routers.len() {
            for engine in 0..self.engines.len() {
                let at = &self.engines[engine];
                let fails = at.down || at.flapping && self.rng.random_range(0..10) < 7;
                self.routers[router].record_check(now, engine, !fails);
            }
            self.dispatch_ready(router);
        }
        if self.now_s < self.scenario.duration_s {
            self.schedule(1.0, Event::HealthCheck);
        }
    }
}
