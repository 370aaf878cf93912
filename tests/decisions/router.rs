//! A router made of the decisions, and the plain one that it is compared with.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use jasmineridge::AccountId;
use jasmineridge::AccountLimit;
use jasmineridge::CacheEvent;
use jasmineridge::Chooser;
use jasmineridge::Criteria;
use jasmineridge::DomainId;
use jasmineridge::Ejector;
use jasmineridge::FairQueue;
use jasmineridge::Load;
use jasmineridge::Observation;
use jasmineridge::PrefixIndex;
use jasmineridge::QueueTicket;
use jasmineridge::RetryBudget;
use jasmineridge::Sample;
use jasmineridge::Tokens;
use jasmineridge::Usage;
use jasmineridge::VmId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::engine::SLOTS;
use crate::name;
use crate::sim::Job;
use crate::sim::Scenario;

/// What both kinds of router hold at most in their queues.
const QUEUE: usize = 1000;

/// Which router is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The decisions of the library.
    Ours,
    /// First in, first out; round robin over endpoints with room by its own count and the last report; three tries
    /// at once; out at the first failed check and in at the first that passes. Its generous side: it is told the true
    /// slots of each engine, and drops requests whose callers hung up.
    Plain,
}

pub(crate) enum Router {
    Ours(Box<Ours>),
    Plain(Plain),
}

pub(crate) struct Ours {
    limits: IndexMap<AccountId, AccountLimit>,
    queue: FairQueue<usize>,
    chooser: Chooser,
    index: PrefixIndex,
    ejector: Ejector,
    budget: RetryBudget,
    vms: Vec<VmId>,
    domain: DomainId,
    rng: ChaCha8Rng,
}

pub(crate) struct Plain {
    queue: VecDeque<(usize, u32)>,
    own: Vec<usize>,
    reported: Vec<usize>,
    out: Vec<bool>,
    next: usize,
}

/// Returns the failure domain of an engine or a router: three of them, in turn.
pub(crate) fn domain(at: usize) -> DomainId {
    name(&format!("d{}", at % 3))
}

impl Router {
    pub(crate) fn new(at: usize, now: Instant, setup: &Scenario, rng: ChaCha8Rng) -> Self {
        match setup.kind {
            Kind::Ours => Self::Ours(Box::new(Ours::new(at, now, setup, rng))),
            Kind::Plain => Self::Plain(Plain {
                queue: VecDeque::new(),
                own: vec![0; setup.engines],
                reported: vec![0; setup.engines],
                out: vec![false; setup.engines],
                next: at,
            }),
        }
    }

    /// Takes a request, or says when to come back.
    pub(crate) fn arrive(&mut self, now: Instant, id: usize, job: &Job) -> Result<(), Duration> {
        match self {
            Self::Ours(ours) => ours.arrive(now, id, job),
            Self::Plain(plain) if plain.queue.len() >= QUEUE => Err(Duration::from_secs(1)),
            Self::Plain(plain) => {
                plain.queue.push_back((id, job.attempts));
                Ok(())
            }
        }
    }

    /// Returns the next request to dispatch and its engine.
    pub(crate) fn next(&mut self, now: Instant, jobs: &[Job]) -> Option<Sent> {
        match self {
            Self::Ours(ours) => ours.next(now, jobs),
            Self::Plain(plain) => plain.next(jobs),
        }
    }

    /// Returns those that the router gives up on.
    pub(crate) fn given_up(&mut self, now: Instant) -> Vec<usize> {
        match self {
            Self::Ours(ours) => ours.queue.take_expired(now),
            Self::Plain(_) => Vec::new(),
        }
    }

    /// Ends a request; it tells whether the router lets it have another try, and when.
    pub(crate) fn end(
        &mut self,
        now: Instant,
        engine: usize,
        job: &Job,
        end: End,
    ) -> Option<Duration> {
        match self {
            Self::Ours(ours) => ours.end(now, engine, job, end),
            Self::Plain(plain) => {
                plain.own[engine] -= 1;
                (end != End::Cancelled && !matches!(end, End::Whole(..)) && job.excluded.len() < 3)
                    .then_some(Duration::ZERO)
            }
        }
    }

    /// Ends a request's stay at the router.
    pub(crate) fn leave(&mut self, job: &Job) {
        if let Self::Ours(ours) = self
            && let Some(limit) = ours.limits.get_mut(&job.account)
        {
            limit.release();
        }
    }

    pub(crate) fn first_token(&mut self, now: Instant, engine: usize, time: Duration) {
        if let Self::Ours(ours) = self {
            let vm = ours.vms[engine].clone();
            ours.ejector
                .record(now, &vm, Observation::Answered(time), &mut ours.rng);
        }
    }

    pub(crate) fn report(&mut self, now: Instant, engine: usize, load: Load) {
        match self {
            Self::Ours(ours) => ours.chooser.report(now, &ours.vms[engine], load),
            Self::Plain(plain) => plain.reported[engine] = (load.running + load.waiting) as usize,
        }
    }

    pub(crate) fn cache(&mut self, engine: usize, event: &CacheEvent) {
        if let Self::Ours(ours) = self {
            ours.index.apply_event(&ours.vms[engine], event);
        }
    }

    pub(crate) fn check(&mut self, now: Instant, engine: usize, passed: bool) {
        match self {
            Self::Ours(ours) => {
                let vm = ours.vms[engine].clone();
                ours.ejector
                    .record(now, &vm, Observation::Checked(passed), &mut ours.rng);
            }
            Self::Plain(plain) => plain.out[engine] = !passed,
        }
    }
}

/// A dispatch.
pub(crate) struct Sent {
    pub(crate) id: usize,
    pub(crate) engine: usize,
    pub(crate) usage: Usage,
    /// How many blocks the router thinks cached there.
    pub(crate) thought: usize,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// With an answer, whose first token came after this time and so many cached blocks.
    Whole(Duration, usize),
    /// Before it ran: the connection was refused.
    Refused,
    /// By the endpoint's fault, while it ran.
    Failed,
    /// By the caller.
    Cancelled,
}

impl Ours {
    fn new(at: usize, now: Instant, setup: &Scenario, rng: ChaCha8Rng) -> Self {
        let router: VmId = name(&format!("r{at}"));
        let mut chooser = Chooser::new(&router);
        let mut ejector = Ejector::new(setup.ejection_limits);
        let vms: Vec<VmId> = (0..setup.engines).map(|e| name(&format!("e{e}"))).collect();
        for (engine, vm) in vms.iter().enumerate() {
            chooser.put(vm, &domain(engine), &[], SLOTS as u32 * 2);
            ejector.put(now, vm, &domain(engine));
        }
        let limits = setup
            .workloads
            .iter()
            .map(|g| (name(g.account), AccountLimit::new(now, &g.limits)))
            .collect();
        let mut rng = rng;
        let seeded = rand::SeedableRng::seed_from_u64(rng.random_range(0..u64::MAX));
        Self {
            limits,
            queue: FairQueue::new(QUEUE, seeded),
            chooser,
            index: PrefixIndex::new(),
            ejector,
            budget: RetryBudget::new(now),
            vms,
            domain: domain(at),
            rng,
        }
    }

    fn arrive(&mut self, now: Instant, id: usize, job: &Job) -> Result<(), Duration> {
        let limit = &mut self.limits[&job.account];
        if job.excluded.is_empty() {
            limit.try_acquire(now).map_err(|r| r.retry_after())?;
            self.budget.record_request(now);
        }
        let ticket = QueueTicket {
            team: job.team.clone(),
            account: job.account.clone(),
            priority: 5,
            weight: 1,
            cost: Tokens(u64::from(job.tokens)),
            deadline: job.deadline,
        };
        self.queue.push(now, id, ticket).map(drop).map_err(|full| {
            limit.release();
            full.retry_after()
        })
    }

    fn next(&mut self, now: Instant, jobs: &[Job]) -> Option<Sent> {
        let mut chosen = None;
        let mut usage = Usage::Heavy;
        let id = self.queue.pop_where(now, |id, used| {
            usage = used;
            let wish = Criteria {
                model: None,
                prefix: &jobs[*id].prompt,
                domain: &self.domain,
                excluded: &jobs[*id].excluded,
                usage,
                prompt: None,
            };
            chosen = self
                .chooser
                .choose(now, &wish, &self.index, &self.ejector, &mut self.rng);
            chosen.is_some()
        })?;
        let choice = chosen?;
        let vm = choice.endpoint;
        self.chooser.start(now, &vm);
        self.index.record_cached(&vm, &jobs[id].prompt);
        Some(Sent {
            id,
            engine: self.vms.iter().position(|v| *v == vm)?,
            usage,
            thought: choice.cached,
        })
    }

    fn end(&mut self, now: Instant, engine: usize, job: &Job, end: End) -> Option<Duration> {
        let vm = self.vms[engine].clone();
        let sample = match end {
            End::Whole(time, cached) => {
                self.index
                    .record_served(&vm, &job.prompt, job.expected_cached, cached);
                Sample::Answered(time)
            }
            End::Failed | End::Refused => {
                self.ejector
                    .record(now, &vm, Observation::Failed, &mut self.rng);
                Sample::Other
            }
            End::Cancelled => Sample::Other,
        };
        self.chooser.end(now, &vm, sample);
        // What did not run adds no work when it is tried again, and the pause of the endpoint bounds how often.
        let retry = end == End::Refused || end == End::Failed && self.budget.try_retry(now);
        retry.then(|| {
            self.budget
                .backoff(job.excluded.len() as u32, &mut self.rng)
        })
    }
}

impl Plain {
    fn next(&mut self, jobs: &[Job]) -> Option<Sent> {
        let gone = |(id, tries): &(usize, u32)| jobs[*id].is_stale(*tries);
        while self.queue.front().is_some_and(gone) {
            self.queue.pop_front();
        }
        let count = self.own.len();
        let engine = (0..count)
            .map(|at| (self.next + at) % count)
            .find(|e| !self.out[*e] && self.own[*e].max(self.reported[*e]) < SLOTS)?;
        let (id, _) = self.queue.pop_front()?;
        self.next = engine + 1;
        self.own[engine] += 1;
        Some(Sent {
            id,
            engine,
            usage: Usage::Heavy,
            thought: 0,
        })
    }
}
