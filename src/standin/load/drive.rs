//! Runs a scenario: arrivals that no slow answer holds up, and callers that wait for theirs.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::http_client::HttpClient;
use crate::standin::load::audit::Audit;
use crate::standin::load::book::Book;
use crate::standin::load::caller::Caller;
use crate::standin::load::job::Job;
use crate::standin::load::job::Maker;
use crate::standin::load::options::LoadOptions;
use crate::standin::load::outcome::Outcome;
use crate::standin::load::report::Report;
use crate::standin::load::scenario::AccountLoad;
use crate::standin::load::scenario::Phase;
use crate::standin::load::scenario::Scenario;
use crate::standin::load::summary;
use crate::standin::time::wall_ms;

/// What all of a run's callers share.
#[derive(Clone)]
struct Run {
    sink: UnboundedSender<Outcome>,
    open: Arc<AtomicUsize>,
    unsent: Arc<AtomicUsize>,
    max_open: usize,
}

/// Drives a fleet by a scenario, and tells what came of it.
pub async fn run_load(options: &LoadOptions, scenario: &Scenario) -> Report {
    let name = format!("{:x}", wall_ms());
    let origin = Instant::now();
    let (sink, mut outcomes) = mpsc::unbounded_channel();
    let run = Run {
        sink,
        open: Arc::default(),
        unsent: Arc::default(),
        max_open: scenario.max_open,
    };
    let drivers: Vec<_> = scenario
        .accounts
        .iter()
        .enumerate()
        .map(|(at, load)| {
            let maker = Maker::new(at, load, &name, scenario.seed);
            Driver::new(options, load, maker, origin, run.clone())
        })
        .collect();
    let unsent = run.unsent.clone();
    drop(run);
    let phases = tokio::spawn(join_all(drivers.into_iter().map(Driver::run)));
    let mut all = Vec::new();
    while let Some(outcome) = outcomes.recv().await {
        all.push(outcome);
    }
    // A driver that panicked took its callers with it; the report of the others would hide that.
    phases.await.expect("no driver panics");
    let lasted = origin.elapsed();
    let audit = Audit::take(options, scenario, &all).await;
    let mut report = summary::summarize(scenario, &all, &audit);
    report.run = name;
    report.seconds = lasted.as_secs_f64();
    report.not_offered = unsent.load(Ordering::Relaxed);
    report
}

/// Drives one account.
struct Driver {
    phases: Vec<Phase>,
    caller: Arc<Caller>,
    maker: Arc<Mutex<Maker>>,
    run: Run,
}

impl Driver {
    fn new(
        options: &LoadOptions,
        load: &AccountLoad,
        maker: Maker,
        origin: Instant,
        run: Run,
    ) -> Self {
        let books = (0..load.clients.max(1))
            .map(|place| Book::new(origin, &options.routers, place))
            .map(|book| Arc::new(tokio::sync::Mutex::new(book)))
            .collect();
        Self {
            phases: load.phases.clone(),
            caller: Arc::new(Caller {
                http: HttpClient::new(None),
                load: Arc::new(load.clone()),
                books,
                origin,
            }),
            maker: Arc::new(Mutex::new(maker)),
            run,
        }
    }

    async fn run(self) {
        let mut begin = self.caller.origin;
        for phase in self.phases.clone() {
            let end = begin + phase.for_ms.duration();
            let waiting = (0..phase.callers).map(|_| self.wait_for_each(&phase, end));
            tokio::join!(self.arrive(&phase, begin, end), join_all(waiting));
            begin = end;
        }
    }

    fn job(&self) -> Job {
        let maker = self.maker.lock();
        maker.unwrap_or_else(PoisonError::into_inner).job()
    }

    fn gap(&self, rate: f64) -> Duration {
        let maker = self.maker.lock();
        let gap = maker.unwrap_or_else(PoisonError::into_inner).gap(rate);
        Duration::from_secs_f64(gap)
    }

    /// Sends requests at their times. Each time follows from the one before, not from the end of a request: callers that
    /// waited for a slow fleet would spare it the very load that shows its slowness.
    async fn arrive(&self, phase: &Phase, begin: Instant, end: Instant) {
        if phase.rate > 0.0 {
            let mut next = begin + self.gap(phase.rate);
            while next < end {
                sleep_until(next.into()).await;
                self.offer();
                next += self.gap(phase.rate);
            }
        }
        sleep_until(end.into()).await;
    }

    /// Sends a request in a task of its own.
    fn offer(&self) {
        let job = self.job();
        if self.run.open.load(Ordering::Relaxed) >= self.run.max_open {
            self.run.unsent.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let caller = self.caller.clone();
        let run = self.run.clone();
        run.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let outcome = caller.call(job).await;
            run.open.fetch_sub(1, Ordering::Relaxed);
            run.tell(outcome);
        });
    }

    /// Sends one request after the other, each once the answer to the last is here.
    async fn wait_for_each(&self, phase: &Phase, end: Instant) {
        while Instant::now() < end {
            let outcome = self.caller.call(self.job()).await;
            self.run.tell(outcome);
            sleep(phase.think_ms.duration()).await;
        }
    }
}

impl Run {
    fn tell(&self, outcome: Outcome) {
        // The receiver outlives all senders.
        let _ = self.sink.send(outcome);
    }
}
