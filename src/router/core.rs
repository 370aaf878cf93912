//! The core of a router: its state, and the way from an event to what answers it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::config::Config;
use crate::config::RouteTable;
use crate::decide::AccountLimit;
use crate::decide::Demand;
use crate::decide::HoldingPolicy;
use crate::decide::Lean;
use crate::decide::Quarantine;
use crate::decide::RetryBudget;
use crate::ids::AccountId;
use crate::ids::DomainId;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::ledger::Ledger;
use crate::ledger::Record;
use crate::moment::BootClock;
use crate::router::appender::Appender;
use crate::router::appender::Pace;
use crate::router::cold::ColdEndpoints;
use crate::router::configure::ConfigStream;
use crate::router::drained::DrainedDomains;
use crate::router::effect::Effect;
use crate::router::event::Event;
use crate::router::event::ReplyId;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::ledger_budget::LedgerBudget;
use crate::router::members::Members;
use crate::router::orders::Orders;
use crate::router::outage::Outage;
use crate::router::pool::Pool;
use crate::router::request::Request;
use crate::router::table_watch::TableWatch;
use crate::settings::EndMarker;
use crate::tokens::Tokens;

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub(crate) struct Tuning {
    /// Its VM.
    pub(crate) vm: VmId,
    /// Its failure domain.
    pub(crate) domain: DomainId,
    /// Where callers reach it, `ip:port`.
    pub(crate) address: String,
    /// Which user's measure its policies lean to.
    pub(crate) lean: Lean,
    /// How records are gathered into appends.
    pub(crate) pace: Pace,
    /// How long a batch may go without its verdict before the log counts as down.
    pub(crate) outage_after: Duration,
    /// When the end of an answer goes out while the log is down.
    pub(crate) end_marker: EndMarker,
    /// How often peers hear from it.
    pub(crate) heartbeat_interval: Duration,
    /// How long a router that the VM list no longer shows may be silent before it is closed.
    pub(crate) silence_timeout: Duration,
    /// How long a caller waits where it does not say.
    pub(crate) default_deadline: Duration,
    /// How many requests may wait for each pool's endpoints.
    pub(crate) queue_limit: usize,
    /// How long the log keeps records.
    pub(crate) log_retention: Duration,
    /// How long a request may wait for an endpoint.
    pub(crate) queue_timeout: Duration,
    /// How long a caller may keep an advised address.
    pub(crate) address_ttl: Duration,
    /// How long a router that the VM list shows may be out of reach before it is closed.
    pub(crate) partition_timeout: Duration,
    /// How long a planned stop waits for the requests in progress.
    pub(crate) drain_timeout: Duration,
    /// How budgets are kept.
    pub(crate) accounting: Accounting,
    /// The VM's clock, by which moments outlast the process.
    pub(crate) clock: BootClock,
}

/// How budgets are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Accounting {
    /// By the ledger: claims and bills under the callers' keys.
    Ledger,
    /// By grants to each router, written on a condition to a log that keeps the newest of each.
    Grants(GrantTuning),
}

/// What a router that lives by grants is told at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GrantTuning {
    /// How long the platform's word that there is no newer configuration holds: how late a change may be in force.
    pub(crate) config_max_age: Duration,
    /// How long a planned stop goes on serving though nothing is in progress: callers keep addresses that long.
    pub(crate) min_drain: Duration,
    /// Runs beyond the first that all routers together may make for each request.
    pub(crate) retry_ratio: f64,
    /// Runs beyond that which all routers together may make a second.
    pub(crate) retries_per_sec: f64,
}

/// What a router does with new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It has not read the log yet.
    CatchingUp,
    /// Its opening record is on its way.
    Opening,
    /// It takes requests.
    Serving,
    /// It takes none and ends when those in progress are over.
    Draining {
        /// Since when.
        since: Instant,
        /// Whether its closing record is on its way.
        closing: bool,
    },
}

/// What comes back with a record's verdict.
#[derive(Clone, Debug)]
pub(crate) enum Ticket {
    Open,
    Claim(RequestId),
    Release(RequestId),
    Refuse(RequestId),
    Bill {
        request: RequestId,
        team: TeamId,
        credit: Tokens,
    },
    Draw(TeamId),
    Return(TeamId, Tokens),
    TopUp(ReplyId, Record),
    CloseSelf,
    Other,
}

/// A router's core.
pub(crate) struct Core {
    pub(crate) tuning: Tuning,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) phase: Phase,
    pub(crate) me: Incarnation,
    pub(crate) ledger: Ledger,
    pub(crate) config: Config,
    pub(crate) appender: Appender<Ticket>,
    pub(crate) requests: IndexMap<RequestId, Request>,
    /// The request that has each key here.
    pub(crate) request_by_key: IndexMap<RequestKey, RequestId>,
    /// Requests that wait for another attempt's end.
    pub(crate) contended: Vec<RequestId>,
    pub(crate) ledger_budgets: IndexMap<TeamId, LedgerBudget>,
    pub(crate) holding_policy: HoldingPolicy,
    /// What was asked for here.
    pub(crate) own_demand: IndexMap<TeamId, Demand>,
    /// What the whole fleet claimed.
    pub(crate) fleet_demand: IndexMap<TeamId, Demand>,
    pub(crate) account_limits: IndexMap<AccountId, AccountLimit>,
    pub(crate) pools: IndexMap<PoolId, Pool>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) members: Members,
    pub(crate) effects: Vec<Effect>,
    pub(crate) outage: Outage,
    pub(crate) refuse_limiter: RefuseLimiter,
    /// Until when requests may be ones that lay in a socket while the process was stopped.
    pub(crate) stale_until: Option<Instant>,
    /// When the router started.
    pub(crate) started_at: Instant,
    /// Since when all of the log is folded, while the router waits to open.
    pub(crate) caught_up_at: Option<Instant>,
    /// When a state of the ledger was last asked for.
    pub(crate) ledger_fetched_at: Option<Instant>,
    /// When a record was last folded.
    pub(crate) last_folded_at: Option<Instant>,
    /// When holdings were last looked over.
    pub(crate) rebalanced_at: Option<Instant>,
    /// Before this a router writes no checkpoint.
    pub(crate) checkpoint_not_before: Instant,
    /// When a checkpoint was last written.
    pub(crate) checkpointed_at: Option<Instant>,
    pub(crate) config_stream: ConfigStream,
    pub(crate) quarantine: Quarantine,
    pub(crate) orders: Orders,
    /// The configuration, where a platform hands it over whole.
    pub(crate) route_table: Option<Arc<RouteTable>>,
    pub(crate) table_watch: TableWatch,
    /// Failure domains whose endpoints get nothing new.
    pub(crate) drained_domains: DrainedDomains,
    pub(crate) cold_endpoints: ColdEndpoints,
    /// What may be spent, where budgets are kept by grants.
    pub(crate) grant_budgets: GrantBudgets,
}

/// What part of the retries that all routers may make together they take: routers that start or end are counted late.
const RETRY_SHARE: f64 = 0.8;

/// How long a router leaves checkpoints to others at its start, once to thrice: in a fleet that starts together all would
/// find that there is none, and write one at once.
const CHECKPOINT_DELAY: Duration = Duration::from_secs(10);

/// How long after a pause requests count as stale: what lay in the sockets is read within a few turns of the loop, each of
/// which a machine that is busy after the pause may take hundreds of milliseconds for.
const STALE_PERIOD: Duration = Duration::from_secs(2);

/// Bounds the refuse records of a router, so that under overload the proofs cost less than serving would.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefuseLimiter {
    available: f64,
    refilled_at: Option<Instant>,
}

/// Refuse records a second at one router: at 60 bytes each, a tenth of what a batch may carry.
const REFUSES_PER_SEC: f64 = 200.0;

impl RefuseLimiter {
    /// Takes one proof, if one is left.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = self
            .refilled_at
            .map_or(Duration::from_secs(1), |at| now - at);
        self.available =
            (self.available + elapsed.as_secs_f64() * REFUSES_PER_SEC).min(REFUSES_PER_SEC);
        self.refilled_at = Some(now);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

impl Core {
    /// Makes the core of a router that starts now; `seed` makes its random choices.
    pub(crate) fn new(now: Instant, tuning: Tuning, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let me = Incarnation(rng.next_u64());
        Self {
            appender: Appender::new(me, tuning.pace),
            holding_policy: HoldingPolicy::new(tuning.lean),
            phase: Phase::CatchingUp,
            me,
            ledger: Ledger::default(),
            config: Config::default(),
            requests: IndexMap::new(),
            request_by_key: IndexMap::new(),
            contended: Vec::new(),
            ledger_budgets: IndexMap::new(),
            own_demand: IndexMap::new(),
            fleet_demand: IndexMap::new(),
            account_limits: IndexMap::new(),
            pools: IndexMap::new(),
            retry_budget: RetryBudget::new(now),
            members: Members::new(now, tuning.vm.clone()),
            effects: Vec::new(),
            outage: Outage::default(),
            refuse_limiter: RefuseLimiter {
                available: 0.0,
                refilled_at: None,
            },
            stale_until: None,
            checkpoint_not_before: now + CHECKPOINT_DELAY.mul_f64(rng.random_range(1.0..3.0)),
            rebalanced_at: None,
            started_at: now,
            caught_up_at: None,
            ledger_fetched_at: None,
            last_folded_at: None,
            checkpointed_at: None,
            config_stream: ConfigStream::default(),
            quarantine: Quarantine::new(),
            orders: Orders::default(),
            route_table: None,
            table_watch: TableWatch::default(),
            drained_domains: DrainedDomains::default(),
            cold_endpoints: ColdEndpoints::default(),
            grant_budgets: GrantBudgets::new(now, tuning.vm.clone(), me, tuning.lean, tuning.clock),
            tuning,
            rng,
        }
    }

    /// Takes one event and returns what is to be done about it.
    pub(crate) fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::RequestArrived(arrival) => self.handle_arrival(now, *arrival),
            Event::CallerGone(id) => self.hung_up(now, id),
            Event::AnswerStarted(id) => self.started(now, id),
            Event::RunEnded(id, end) => self.ended(now, id, end),
            Event::Appended {
                router,
                sequence,
                landed,
            } => self.appended(now, router, sequence, landed),
            Event::LedgerEntries(entries) => self.fold_ledger(now, entries),
            Event::ConfigEntries(entries) => self.fold_config(now, entries),
            Event::LedgerTruncated => self.fetch_ledger(now),
            Event::CheckpointWritten { as_of, first } => self.checkpoint_written(as_of, first),
            Event::CaughtUp => self.caught_up(now),
            Event::LedgerSnapshot(ledger) => self.adopt_ledger(now, *ledger),
            Event::ConfigSnapshot(snapshot) => self.adopt_config(now, *snapshot),
            Event::VmList(list) => self.handle_vm_list(now, list),
            Event::HeartbeatReceived(beat) => self.handle_heartbeat(now, beat),
            Event::HeartbeatFailed(vm, failure) => self.members.record_failure(now, vm, failure),
            Event::KeepBatches(id, batches) => self.keep(id, batches),
            Event::BatchesKept {
                peer,
                router,
                last,
                records,
            } => self.kept(now, peer, router, (last, records)),
            Event::BatchesRejected(peer) => self.unkept(&peer),
            Event::HealthChecked(vm, passed) => self.endpoint_checked(now, &vm, passed),
            Event::EndpointLoad(vm, load) => self.endpoint_load(now, &vm, &load),
            Event::CacheEvents(vm, events) => self.endpoint_cache(&vm, &events),
            Event::Admin(id, request) => self.admin(now, id, request),
            Event::Table(table) => self.apply_table(now, table),
            Event::DrainedDomains(drained) => self.take_drained(now, &drained),
            Event::ColdEndpoints(periods) => self.endpoints_cold(now, &periods),
            Event::TableFetchFailed(vm) => self.table_unsent(now, &vm),
            Event::TableConfirmed(at) => self.table_confirmed(now, at),
            Event::Grants(event) => self.handle_grant_event(now, event),
            Event::PromptNotice(notice) => self.reads(now, &notice),
            Event::TransferReceived(id, transfer) => self.accept_gift(id, &transfer),
            Event::TransferAnswered(transfer, taken) => {
                self.grant_budgets.finish_transfer(&transfer, taken)
            }
            Event::LoanRequested(id, request) => self.handle_loan_ask(now, id, &request),
            Event::LoanAnswered(request, amount) => {
                self.grant_budgets.record_loan_answer(now, &request, amount)
            }
            Event::SettingsChanged(tuning) => self.apply_tuning(*tuning),
            Event::Drain => self.drain(now),
            Event::Paused => self.handle_pause(now),
            Event::Tick => self.tick(now),
        }
        self.flush(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns whether the log leaves this router's records without a verdict.
    pub(crate) fn in_outage(&self, now: Instant) -> bool {
        self.appender
            .stalled_since()
            .is_some_and(|since| now >= since + self.tuning.outage_after)
    }

    /// Returns whether new requests are taken.
    pub(crate) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns when it must be called though nothing happens.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.appender.wake()
    }

    /// Returns the offset that follows the last record folded.
    pub(crate) fn ledger_next(&self) -> Offset {
        self.ledger.next()
    }

    /// Returns the ledger's state, for a peer.
    pub(crate) fn encode_ledger(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.ledger).expect("a ledger can be encoded")
    }

    /// Returns whether what arrived at a time may have lain in a socket while the process was stopped.
    pub(crate) fn is_stale(&self, arrived: Instant) -> bool {
        self.stale_until.is_some_and(|until| arrived < until)
    }

    /// Takes over settings that may change while the router runs: times and limits, but not what others know it by.
    fn apply_tuning(&mut self, tuning: Tuning) {
        self.tuning = Tuning {
            vm: self.tuning.vm.clone(),
            domain: self.tuning.domain.clone(),
            address: self.tuning.address.clone(),
            clock: self.tuning.clock,
            ..tuning
        };
        self.update_retry_limit();
    }

    /// Takes this router's part of the retries that all routers may make together, where the settings bound them.
    pub(crate) fn update_retry_limit(&mut self) {
        if let Accounting::Grants(tuning) = self.tuning.accounting {
            let routers = self.members.vm_index.serving_vms().len() as f64;
            let floor = tuning.retries_per_sec * RETRY_SHARE / routers;
            self.retry_budget
                .allow(tuning.retry_ratio * RETRY_SHARE, floor);
        }
    }

    /// Begins to refuse what lay in the sockets while the process was stopped.
    fn handle_pause(&mut self, now: Instant) {
        self.stale_until = Some(now + STALE_PERIOD);
        self.members.reset_silence(now);
    }

    /// Sends off what has gathered.
    fn flush(&mut self, now: Instant) {
        if let Accounting::Grants(_) = self.tuning.accounting {
            self.step_budgets(now);
            return;
        }
        if self.phase == Phase::CatchingUp {
            return;
        }
        if let Some(append) = self.appender.poll(now) {
            self.effects.push(Effect::Append {
                router: self.me,
                sequence: append.sequence,
                bytes: append.bytes,
            });
        }
    }

    fn tick(&mut self, now: Instant) {
        match self.tuning.accounting {
            Accounting::Ledger => self.tick_ledger(now),
            Accounting::Grants(tuning) => self.tick_grants(now, tuning),
        }
    }

    /// Does what time asks for where budgets are kept by grants.
    fn tick_grants(&mut self, now: Instant, tuning: GrantTuning) {
        self.expire_requests(now);
        self.leave_silent(now);
        self.send_heartbeat(now);
        self.fetch_table(now);
        self.tick_pools(now);
        self.continue_drain(now, tuning.min_drain);
    }

    /// Does what time asks for where budgets are kept by the ledger.
    fn tick_ledger(&mut self, now: Instant) {
        self.catch_up(now);
        self.expire_requests(now);
        self.recheck_contended(now);
        self.rebalance_holdings(now);
        self.send_heartbeat(now);
        self.close_dead(now);
        self.replicate(now);
        self.tick_pools(now);
        self.write_checkpoint(now);
        self.carry_config(now);
        self.give_orders(now);
        self.go_on_draining(now);
    }
}
