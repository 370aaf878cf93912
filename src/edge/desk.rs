//! Where the tasks of callers and the core meet: events go in, and commands come back by request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde_json::Value;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::config::RouteTable;
use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::edge::engine;
use crate::edge::metrics::Metrics;
use crate::http_client::HttpClient;
use crate::ids::Offset;
use crate::ids::RequestId;
use crate::key_hash::KeyHash;
use crate::router::AdminRequest;
use crate::router::BudgetTransfer;
use crate::router::Event;
use crate::router::Forwarding;
use crate::router::Heartbeat;
use crate::router::KeptBatches;
use crate::router::KnownVersions;
use crate::router::LoanRequest;
use crate::router::Problem;
use crate::router::Replay;
use crate::router::ReplyId;
use crate::router::Run;
use crate::router::RunEnd;
use crate::settings::RequestLimits;
use crate::tokens::Tokens;

/// How often metrics that have gathered are sent; statsd servers commonly sum up over ten seconds.
const METRICS: Duration = Duration::from_secs(1);

/// What the core tells the task that serves a request.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// To refuse it.
    Refuse(Box<Problem>),
    /// To answer with what its first run brought.
    Replay(Replay),
    /// To send it to an endpoint.
    Run(Box<Run>),
    /// To have another router carry it out.
    Forward(Box<Forwarding>),
    /// To let the end of the answer go out.
    Release,
    /// To leave the endpoint, which says nothing, if its answer has not begun.
    Leave,
    /// To break the answer off, or to refuse the request if nothing went out yet.
    Cut(Box<Problem>),
}

/// Shared by the tasks of one process.
pub(crate) struct Desk {
    pub(crate) limits: RequestLimits,
    pub(crate) admin_key: Option<KeyHash>,
    /// Tells this process's requests from all others' at endpoints.
    pub(crate) origin: String,
    pub(crate) http: HttpClient,
    pub(crate) metrics: Metrics,
    /// For calls that may not be repeated: on a connection that the service closed meanwhile, nobody could tell whether
    /// a call arrived, so each gets a connection of its own.
    pub(crate) once: HttpClient,
    events: mpsc::UnboundedSender<Event>,
    commands: Mutex<IndexMap<RequestId, mpsc::UnboundedSender<Command>>>,
    questions: Mutex<IndexMap<ReplyId, oneshot::Sender<(u16, Value)>>>,
    next: AtomicU64,
    ledger_next: AtomicU64,
    /// What this router last said of itself, and when.
    beat: Mutex<Option<(Instant, Heartbeat)>>,
    /// The configuration that peers may ask for.
    table: Mutex<Option<Arc<RouteTable>>>,
    snapshots: Mutex<Vec<oneshot::Sender<Vec<u8>>>>,
    leaving: AtomicBool,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Desk {
    pub(crate) fn new(
        limits: RequestLimits,
        admin_key: Option<KeyHash>,
        origin: String,
        metrics: Metrics,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        Self {
            limits,
            admin_key,
            origin,
            http: HttpClient::new(None),
            metrics,
            once: HttpClient::without_reuse(),
            events,
            commands: Mutex::default(),
            questions: Mutex::default(),
            next: AtomicU64::new(1),
            ledger_next: AtomicU64::new(0),
            beat: Mutex::default(),
            table: Mutex::default(),
            snapshots: Mutex::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Tells the core that something happened. Once the loop is over there is nobody to tell.
    pub(crate) fn tell(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Opens a request's line to the core.
    pub(crate) fn open(self: &Arc<Self>) -> Line {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, commands) = mpsc::unbounded_channel();
        self.metrics.request();
        lock(&self.commands).insert(id, sender);
        Line {
            id,
            opened: Instant::now(),
            desk: self.clone(),
            over: false,
            run: None,
            commands,
        }
    }

    /// Passes the core's command on to a request's task. One whose caller is gone has none.
    ///
    /// A run that nobody will send is told of: the core would wait for its end for ever, and so would each retry.
    pub(crate) fn command(&self, id: RequestId, command: Command) {
        self.measure(&command);
        let sender = lock(&self.commands).get(&id).cloned();
        let lost = match sender {
            Some(sender) => sender.send(command).err().map(|error| error.0),
            None => Some(command),
        };
        if let Some(Command::Run(_)) = lost {
            self.tell(Event::RunEnded(id, RunEnd::Unsent));
        }
    }

    fn measure(&self, command: &Command) {
        match command {
            Command::Refuse(problem) => self.metrics.refused(problem.kind),
            Command::Run(run) => self.metrics.claim_wait(run.claim_wait),
            Command::Release => self.metrics.whole(),
            Command::Cut(_) => self.metrics.cut(),
            Command::Forward(_) => self.metrics.forwarded(),
            Command::Replay(_) | Command::Leave => {}
        }
    }

    /// Sends the metrics that have gathered, once a second for ever.
    pub(crate) async fn send_metrics(self: Arc<Self>) {
        loop {
            sleep(METRICS).await;
            let open = lock(&self.commands).len();
            self.metrics.open(open);
        }
    }

    /// Asks the core something and waits for its answer.
    pub(crate) async fn ask(&self, request: AdminRequest) -> Option<(u16, Value)> {
        self.question(|id| Event::Admin(id, request)).await
    }

    /// Asks the core whether it keeps a peer's batches.
    pub(crate) async fn keep(&self, batches: KeptBatches) -> bool {
        let answer = self.question(|id| Event::KeepBatches(id, batches)).await;
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Asks the core to take what a peer hands over.
    pub(crate) async fn given(&self, gift: BudgetTransfer) -> bool {
        let answer = self.question(|id| Event::TransferReceived(id, gift)).await;
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Asks the core for a loan to a peer.
    pub(crate) async fn lend(&self, ask: LoanRequest) -> Option<Tokens> {
        let (_, answer) = self.question(|id| Event::LoanRequested(id, ask)).await?;
        serde_json::from_value(answer).ok()
    }

    /// Asks the core what began a stream.
    pub(crate) async fn locate_stream(&self, key: StreamKey) -> Option<StreamOrigin> {
        let answer = self.question(|id| Event::StreamQueried(id, key)).await;
        serde_json::from_value(answer?.1).ok()?
    }

    /// Asks the core which versions it knows, if it knows enough.
    pub(crate) async fn known_versions(&self) -> Option<KnownVersions> {
        let answer = self.question(Event::VersionsQueried).await;
        serde_json::from_value(answer?.1).ok()?
    }

    async fn question<F>(&self, event: F) -> Option<(u16, Value)>
    where
        F: FnOnce(ReplyId) -> Event,
    {
        let id = ReplyId(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        lock(&self.questions).insert(id, sender);
        self.tell(event(id));
        answer.await.ok()
    }

    /// Passes the core's answer on.
    pub(crate) fn answer(&self, id: ReplyId, status: u16, body: Value) {
        if let Some(sender) = lock(&self.questions).swap_remove(&id) {
            let _ = sender.send((status, body));
        }
    }

    /// Notes that a planned stop began.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop began.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether this router last said that it takes new requests.
    pub(crate) fn is_serving(&self) -> bool {
        let beat = lock(&self.beat);
        beat.as_ref().is_some_and(|(_, beat)| beat.serving)
    }

    /// Returns what this router last said of itself, with the time of day and the ages that hold now.
    pub(crate) fn beat(&self, now: Instant) -> Option<Heartbeat> {
        let (said, mut beat) = lock(&self.beat).clone()?;
        let passed = now.saturating_duration_since(said);
        beat.clock += passed;
        beat.announced
            .iter_mut()
            .for_each(|row| row.grow_older(passed));
        beat.crashes.grow_older(passed);
        Some(beat)
    }

    pub(crate) fn set_beat(&self, now: Instant, beat: Heartbeat) {
        *lock(&self.beat) = Some((now, beat));
    }

    /// Returns the configuration, where a platform handed it over whole.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.table).clone()
    }

    pub(crate) fn set_table(&self, table: Arc<RouteTable>) {
        *lock(&self.table) = Some(table);
    }

    /// Returns the offset that follows the last record folded.
    pub(crate) fn ledger_next(&self) -> Offset {
        Offset(self.ledger_next.load(Ordering::Relaxed))
    }

    pub(crate) fn set_ledger_next(&self, next: Offset) {
        self.ledger_next.store(next.0, Ordering::Relaxed);
    }

    /// Asks the loop for the ledger's state, for a peer that cannot read the log.
    pub(crate) async fn snapshot(&self) -> Option<Vec<u8>> {
        let (sender, answer) = oneshot::channel();
        lock(&self.snapshots).push(sender);
        self.tell(Event::Tick);
        answer.await.ok()
    }

    /// Returns who waits for the ledger's state.
    pub(crate) fn take_snapshots(&self) -> Vec<oneshot::Sender<Vec<u8>>> {
        std::mem::take(&mut lock(&self.snapshots))
    }
}

/// One request's line to the core. Dropped before the request is over, it tells the core that the caller is gone.
pub(crate) struct Line {
    pub(crate) id: RequestId,
    /// When the request's head and body were read.
    pub(crate) opened: Instant,
    pub(crate) desk: Arc<Desk>,
    pub(crate) over: bool,
    /// The run that is to be cancelled should the caller go away.
    pub(crate) run: Option<Run>,
    commands: mpsc::UnboundedReceiver<Command>,
}

impl Line {
    /// Waits for the core's next command; none comes once the loop is over.
    pub(crate) async fn next(&mut self) -> Option<Command> {
        self.commands.recv().await
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        lock(&self.desk.commands).swap_remove(&self.id);
        if self.over {
            return;
        }
        // A run that lies here unread has not been sent, and now won't be.
        while let Ok(command) = self.commands.try_recv() {
            if let Command::Run(_) = command {
                return self.desk.tell(Event::RunEnded(self.id, RunEnd::Unsent));
            }
        }
        match (self.run.take(), Handle::try_current()) {
            (Some(run), Ok(handle)) => {
                let desk = self.desk.clone();
                let id = self.id;
                handle.spawn(async move {
                    let usage = engine::cancel(&desk, id, &run).await;
                    desk.tell(Event::RunEnded(id, RunEnd::CallerGone { usage }));
                });
            }
            _ => self.desk.tell(Event::CallerGone(self.id)),
        }
    }
}
