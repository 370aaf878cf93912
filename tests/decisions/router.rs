//! Simulated routers: one built from the library's decisions, and a simple baseline.

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
use jasmineridge::RetryLimit;
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

/// Maximum queue length of either router.
const QUEUE_LIMIT: usize = 1000;

/// Router under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouterKind {
    /// Uses the library's decisions.
    Library,
    /// FIFO queue; round robin over endpoints that have a free slot by its own count and by the last load report;
    /// three attempts without backoff; ejects an endpoint at the first failed check and readmits it at the first
    /// passed one. Simplified in its favor: it knows the actual number of slots of each engine, and drops requests
    /// whose callers hung up.
    Baseline,
}

pub(crate) enum Router {
    Library(Box<LibraryRouter>),
    Baseline(BaselineRouter),
}

pub(crate) struct LibraryRouter {
    limits: IndexMap<AccountId, AccountLimit>,
    queue: FairQueue<usize>,
    chooser: Chooser,
    index: PrefixIndex,
    ejector: Ejector,
    retry_budget: RetryBudget,
    vms: Vec<VmId>,
    domain: DomainId,
    rng: ChaCha8Rng,
}

pub(crate) struct BaselineRouter {
    queue: VecDeque<(usize, u32)>,
    in_flight: Vec<usize>,
    reported_load: Vec<usize>,
    ejected: Vec<bool>,
    next_engine: usize,
}

/// Returns the failure domain of an engine or a router, assigned round robin over three domains.
pub(crate) fn domain(index: usize) -> DomainId {
    name(&format!("d{}", index % 3))
}

impl Router {
    pub(crate) fn new(index: usize, now: Instant, setup: &Scenario, rng: ChaCha8Rng) -> Self {
        match setup.kind {
            RouterKind::Library => {
                Self::Library(Box::new(LibraryRouter::new(index, now, setup, rng)))
            }
            RouterKind::Baseline => Self::Baseline(BaselineRouter {
                queue: VecDeque::new(),
                in_flight: vec![0; setup.engines],
                reported_load: vec![0; setup.engines],
                ejected: vec![false; setup.engines],
                next_engine: index,
            }),
        }
    }

    /// Queues a request. If it is refused, returns the delay before the caller may retry.
    pub(crate) fn admit(&mut self, now: Instant, id: usize, job: &Job) -> Result<(), Duration> {
        match self {
            Self::Library(library) => library.admit(now, id, job),
            Self::Baseline(baseline) if baseline.queue.len() >= QUEUE_LIMIT => {
                Err(Duration::from_secs(1))
            }
            Self::Baseline(baseline) => {
                baseline.queue.push_back((id, job.attempts));
                Ok(())
            }
        }
    }

    /// Returns the next dispatch, if a request waits and an engine has a free slot.
    pub(crate) fn next_dispatch(&mut self, now: Instant, jobs: &[Job]) -> Option<Dispatch> {
        match self {
            Self::Library(library) => library.next_dispatch(now, jobs),
            Self::Baseline(baseline) => baseline.next_dispatch(jobs),
        }
    }

    /// Returns the queued requests that expired or were evicted.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<usize> {
        match self {
            Self::Library(library) => library.queue.take_expired(now),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Records the end of a dispatch. Returns the delay before the retry, or `None` if the router does not retry.
    pub(crate) fn end(
        &mut self,
        now: Instant,
        engine: usize,
        job: &Job,
        end: End,
    ) -> Option<Duration> {
        match self {
            Self::Library(library) => library.end(now, engine, job, end),
            Self::Baseline(baseline) => {
                baseline.in_flight[engine] -= 1;
                (end != End::Cancelled
                    && !matches!(end, End::Completed(..))
                    && job.excluded.len() < 3)
                    .then_some(Duration::ZERO)
            }
        }
    }

    /// Releases the request from its account's concurrency limit.
    pub(crate) fn release_account(&mut self, job: &Job) {
        if let Self::Library(library) = self
            && let Some(limit) = library.limits.get_mut(&job.account)
        {
            limit.release();
        }
    }

    pub(crate) fn record_first_token(&mut self, now: Instant, engine: usize, time: Duration) {
        if let Self::Library(library) = self {
            let vm = library.vms[engine].clone();
            library
                .ejector
                .record(now, &vm, Observation::Answered(time), &mut library.rng);
        }
    }

    pub(crate) fn report_load(&mut self, now: Instant, engine: usize, load: Load) {
        match self {
            Self::Library(library) => library.chooser.report(now, &library.vms[engine], load),
            Self::Baseline(baseline) => {
                baseline.reported_load[engine] = (load.running + load.waiting) as usize
            }
        }
    }

    pub(crate) fn apply_cache_event(&mut self, engine: usize, event: &CacheEvent) {
        if let Self::Library(library) = self {
            library.index.apply_event(&library.vms[engine], event);
        }
    }

    pub(crate) fn record_check(&mut self, now: Instant, engine: usize, passed: bool) {
        match self {
            Self::Library(library) => {
                let vm = library.vms[engine].clone();
                library
                    .ejector
                    .record(now, &vm, Observation::Checked(passed), &mut library.rng);
            }
            Self::Baseline(baseline) => baseline.ejected[engine] = !passed,
        }
    }
}

/// A request sent to an engine.
pub(crate) struct Dispatch {
    pub(crate) id: usize,
    pub(crate) engine: usize,
    pub(crate) usage: Usage,
    /// Number of prompt blocks that the router expects to be cached on the engine.
    pub(crate) expected_blocks: usize,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Answered. Holds the time to the first token and the number of cached blocks.
    Completed(Duration, usize),
    /// Connection refused, so that the request did not run.
    Refused,
    /// The endpoint failed while the request ran.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl LibraryRouter {
    fn new(index: usize, now: Instant, setup: &Scenario, rng: ChaCha8Rng) -> Self {
        let router: VmId = name(&format!("r{index}"));
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
        let queue_rng = rand::SeedableRng::seed_from_u64(rng.random_range(0..u64::MAX));
        Self {
            limits,
            queue: FairQueue::new(QUEUE_LIMIT, queue_rng),
            chooser,
            index: PrefixIndex::new(),
            ejector,
            retry_budget: RetryBudget::new(now, RetryLimit::default()),
            vms,
            domain: domain(index),
            rng,
        }
    }

    fn admit(&mut self, now: Instant, id: usize, job: &Job) -> Result<(), Duration> {
        let limit = &mut self.limits[&job.account];
        if job.excluded.is_empty() {
            limit.try_acquire(now).map_err(|r| r.retry_after())?;
            self.retry_budget.record_request(now, now);
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

    fn next_dispatch(&mut self, now: Instant, jobs: &[Job]) -> Option<Dispatch> {
        let mut choice = None;
        let mut usage = Usage::Heavy;
        let id = self.queue.pop_where(now, |id, used| {
            usage = used;
            let criteria = Criteria {
                model: None,
                prefix: &jobs[*id].prompt,
                domain: &self.domain,
                excluded: &jobs[*id].excluded,
                usage,
                prompt: None,
            };
            choice = self
                .chooser
                .choose(now, &criteria, &self.index, &self.ejector, &mut self.rng);
            choice.is_some()
        })?;
        let choice = choice?;
        let vm = choice.endpoint;
        self.chooser.start(now, &vm);
        self.index.record_cached(&vm, &jobs[id].prompt);
        Some(Dispatch {
            id,
            engine: self.vms.iter().position(|v| *v == vm)?,
            usage,
            expected_blocks: choice.cached,
        })
    }

    fn end(&mut self, now: Instant, engine: usize, job: &Job, end: End) -> Option<Duration> {
        let vm = self.vms[engine].clone();
        let sample = match end {
            End::Completed(time, cached) => {
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
        // Retrying a request that did not run adds no work, and the ejection of the endpoint limits how often that
        // happens, so such a retry is not charged to the budget.
        let retry = end == End::Refused || end == End::Failed && self.take_retry(now);
        retry.then(|| {
            self.retry_budget
                .backoff(job.excluded.len() as u32, &mut self.rng)
        })
    }

    /// Takes a retry, which arrives at once.
    fn take_retry(&mut self, now: Instant) -> bool {
        let retry = self.retry_budget.try_retry(now);
        let taken = retry.is_some();
        if let Some(retry) = retry {
            self.retry_budget.settle(now, retry);
        }
        taken
    }
}

impl BaselineRouter {
    fn next_dispatch(&mut self, jobs: &[Job]) -> Option<Dispatch> {
        let abandoned = |(id, tries): &(usize, u32)| jobs[*id].is_stale(*tries);
        while self.queue.front().is_some_and(abandoned) {
            self.queue.pop_front();
        }
        let count = self.in_flight.len();
        let engine = (0..count)
            .map(|offset| (self.next_engine + offset) % count)
            .find(|e| {
                !self.ejected[*e] && self.in_flight[*e].max(self.reported_load[*e]) < SLOTS
            })?;
        let (id, _) = self.queue.pop_front()?;
        self.next_engine = engine + 1;
        self.in_flight[engine] += 1;
        Some(Dispatch {
            id,
            engine,
            usage: Usage::Heavy,
            expected_blocks: 0,
        })
    }
}
