//! The state of a router and the dispatch of events to their handlers.

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
use crate::decide::Announcements;
use crate::decide::Confirmations;
use crate::decide::ConsistencyMode;
use crate::decide::CrashHistory;
use crate::decide::Demand;
use crate::decide::FormerLives;
use crate::decide::HoldingPolicy;
use crate::decide::Quarantine;
use crate::decide::RetryBudget;
use crate::decide::RetryLimit;
use crate::decide::UnreadRequests;
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
use crate::router::appender::AppendTiming;
use crate::router::appender::Appender;
use crate::router::cold::ColdEndpoints;
use crate::router::config_stream::ConfigStream;
use crate::router::crash_log::CrashLog;
use crate::router::drained::DrainedDomains;
use crate::router::effect::Effect;
use crate::router::event::Event;
use crate::router::event::ReplyId;
use crate::router::examine::Examinations;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::ledger_budget::LedgerBudget;
use crate::router::members::Members;
use crate::router::orders::Orders;
use crate::router::outage::Outage;
use crate::router::pool::Pool;
use crate::router::request::Request;
use crate::router::slots::Slots;
use crate::router::stream_log::StreamLog;
use crate::router::streams::Streams;
use crate::router::table_watch::TableWatch;
use crate::router::version_log::VersionLog;
use crate::settings::EndMarker;
use crate::tokens::Tokens;

/// Identity, time-outs and limits of a router, from its settings.
#[derive(Clone, Debug)]
pub(crate) struct Tuning {
    pub(crate) vm: VmId,
    pub(crate) domain: DomainId,
    /// Address that callers use, `ip:port`.
    pub(crate) address: String,
    /// Whether the policies favour an exact view of budgets or availability during a partition.
    pub(crate) lean: ConsistencyMode,
    /// How records are batched into appends to the log.
    pub(crate) pace: AppendTiming,
    /// Time after which an unacknowledged batch counts as an outage of the log.
    pub(crate) outage_after: Duration,
    /// When the end of an answer is sent during an outage of the log.
    pub(crate) end_marker: EndMarker,
    /// Interval between heartbeats to peers.
    pub(crate) heartbeat_interval: Duration,
    /// Silence after which a router that is no longer in the VM list is closed.
    pub(crate) silence_timeout: Duration,
    /// Timeout of a request whose caller sets none; also the maximum, except for relayed requests.
    pub(crate) default_timeout: Duration,
    /// Maximum number of requests queued for each pool.
    pub(crate) queue_limit: usize,
    /// How long the log retains records.
    pub(crate) log_retention: Duration,
    /// Maximum time that a request is queued for an endpoint.
    pub(crate) queue_timeout: Duration,
    /// How long a caller may cache an advised address.
    pub(crate) address_ttl: Duration,
    /// How long a router that is still in the VM list may be unreachable before it is closed.
    pub(crate) partition_timeout: Duration,
    /// How long a planned stop waits for requests in progress.
    pub(crate) drain_timeout: Duration,
    /// How budgets are accounted for.
    pub(crate) accounting: Accounting,
    /// Clock of the VM's boot; its time stamps remain valid after a restart of the process.
    pub(crate) clock: BootClock,
}

/// How budgets are accounted for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Accounting {
    /// Through the ledger, with claims and bills for each request key.
    Ledger,
    /// Through grants to each router, written conditionally to a log that retains the newest record of each key.
    Grants(GrantTuning),
}

/// Settings of a router whose budgets are granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GrantTuning {
    /// How long the platform's confirmation that there is no newer configuration is valid, and so the longest delay
    /// until a change is in force.
    pub(crate) config_max_age: Duration,
    /// Minimum time for which a planned stop goes on serving, even when idle: callers cache addresses for that long.
    pub(crate) min_drain: Duration,
    /// The retries at each pool that all routers together may make.
    pub(crate) retries: RetryLimit,
    /// How long after their first announcement brittle endpoints may hold fewer requests than before.
    pub(crate) brittle_grace: Duration,
}

/// Stage of a router's life, which decides whether it accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The log has not been read up to its end yet.
    CatchingUp,
    /// The record that opens the router has been sent and is not acknowledged yet.
    Opening,
    /// New requests are accepted.
    Serving,
    /// No new requests are accepted; the process exits once those in progress have finished.
    Draining {
        /// When draining began.
        since: Instant,
        /// Whether the record that closes the router has been sent.
        closing: bool,
    },
}

/// What a record was written for; returned together with its verdict.
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

/// State of a router.
pub(crate) struct Core {
    pub(crate) tuning: Tuning,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) phase: Phase,
    pub(crate) me: Incarnation,
    pub(crate) ledger: Ledger,
    pub(crate) config: Config,
    pub(crate) appender: Appender<Ticket>,
    pub(crate) requests: IndexMap<RequestId, Request>,
    /// The request in progress at this router for each key.
    pub(crate) request_by_key: IndexMap<RequestKey, RequestId>,
    /// Requests that wait until another attempt with their key ends.
    pub(crate) contended: Vec<RequestId>,
    pub(crate) ledger_budgets: IndexMap<TeamId, LedgerBudget>,
    pub(crate) holding_policy: HoldingPolicy,
    /// Demand for each team's budget at this router.
    pub(crate) own_demand: IndexMap<TeamId, Demand>,
    /// Demand for each team's budget in all routers, taken from their claims.
    pub(crate) fleet_demand: IndexMap<TeamId, Demand>,
    pub(crate) account_limits: IndexMap<AccountId, AccountLimit>,
    pub(crate) pools: IndexMap<PoolId, Pool>,
    /// Each pool has its own, so that requests to one do not pay for retries at another.
    pub(crate) retry_budgets: IndexMap<PoolId, RetryBudget>,
    /// Requests that were given up at endpoints which may still read them.
    pub(crate) unread: UnreadRequests,
    /// Routers' lives that ended, and whose requests endpoints may still read.
    pub(crate) former_lives: FormerLives,
    pub(crate) members: Members,
    pub(crate) effects: Vec<Effect>,
    pub(crate) outage: Outage,
    pub(crate) refuse_limiter: RefuseLimiter,
    /// A request that arrives now was not waiting in the sockets at this time, if it is known.
    pub(crate) idle_at: Option<Instant>,
    /// Requests that arrive before this time may have been in a socket buffer while the process was suspended.
    pub(crate) stale_until: Option<Instant>,
    pub(crate) started_at: Instant,
    /// How many connections of callers are open that are to be closed before the router ends.
    pub(crate) connections: usize,
    /// When the log was read up to its end, while the router waits to open.
    pub(crate) caught_up_at: Option<Instant>,
    /// When the ledger's state was last requested.
    pub(crate) ledger_fetched_at: Option<Instant>,
    pub(crate) last_folded_at: Option<Instant>,
    /// When the holdings of each team were last rebalanced.
    pub(crate) rebalanced_at: Option<Instant>,
    /// Earliest time at which this router writes a checkpoint.
    pub(crate) checkpoint_not_before: Instant,
    pub(crate) checkpointed_at: Option<Instant>,
    pub(crate) config_stream: ConfigStream,
    pub(crate) quarantine: Quarantine,
    pub(crate) examinations: Examinations,
    /// What is known of crashes of endpoints on a platform without a ledger.
    pub(crate) crash_history: CrashHistory,
    pub(crate) orders: Orders,
    /// The route table, on a platform that delivers the configuration as a whole.
    pub(crate) route_table: Option<Arc<RouteTable>>,
    pub(crate) table_watch: TableWatch,
    /// Failure domains whose endpoints receive no new requests.
    pub(crate) drained_domains: DrainedDomains,
    pub(crate) cold_endpoints: ColdEndpoints,
    /// What endpoints announced about themselves.
    pub(crate) announcements: Announcements,
    /// Slots of brittle endpoints.
    pub(crate) slots: Slots,
    /// Which versions of the endpoints' software began streams.
    pub(crate) streams: Streams,
    /// What the log remembers of streams.
    pub(crate) stream_log: StreamLog,
    /// Which versions the log has of each pool.
    pub(crate) version_log: VersionLog,
    /// What the log remembers of crashes of endpoints.
    pub(crate) crash_log: CrashLog,
    /// Requests that wait until the lists are known to be current.
    pub(crate) confirmations: Confirmations,
    /// Budgets granted to this router, unless the ledger accounts for them.
    pub(crate) grant_budgets: GrantBudgets,
}

/// Minimum delay before a router's first checkpoint; the actual delay is random, up to three times as long. In a fleet
/// that starts all at once, every router would otherwise find no checkpoint and write one.
const CHECKPOINT_DELAY: Duration = Duration::from_secs(10);

/// How long requests count as stale after the process was suspended. What was in the socket buffers is read within a
/// few iterations of the event loop, each of which may take hundreds of milliseconds on a machine that is busy after
/// the pause.
const STALE_PERIOD: Duration = Duration::from_secs(2);

/// Limits the rate of refuse records, so that under overload refusing costs less than serving would.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefuseLimiter {
    available: f64,
    refilled_at: Option<Instant>,
}

/// Refuse records per second of one router: at 60 bytes each, a tenth of what a batch can hold.
const REFUSES_PER_SEC: f64 = 200.0;

impl RefuseLimiter {
    /// Takes one record from the limit; returns whether one was left.
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
    /// Creates the state of a router that starts now; `seed` initializes its random number generator.
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
            retry_budgets: IndexMap::new(),
            unread: UnreadRequests::default(),
            former_lives: FormerLives::default(),
            idle_at: None,
            members: Members::new(now, tuning.vm.clone()),
            effects: Vec::new(),
            outage: Outage::default(),
            refuse_limiter: RefuseLimiter {
                available: 0.0,
                refilled_at: None,
            },
            stale_until: None,
            connections: 0,
            checkpoint_not_before: now + CHECKPOINT_DELAY.mul_f64(rng.random_range(1.0..3.0)),
            rebalanced_at: None,
            started_at: now,
            caught_up_at: None,
            ledger_fetched_at: None,
            last_folded_at: None,
            checkpointed_at: None,
            config_stream: ConfigStream::default(),
            quarantine: Quarantine::new(),
            examinations: Examinations::default(),
            crash_history: CrashHistory::new(),
            orders: Orders::default(),
            route_table: None,
            table_watch: TableWatch::default(),
            drained_domains: DrainedDomains::default(),
            cold_endpoints: ColdEndpoints::default(),
            announcements: Announcements::new(tuning.vm.clone()),
            slots: Slots::default(),
            streams: Streams::new(now),
            stream_log: StreamLog::new(now),
            version_log: VersionLog::new(now),
            crash_log: CrashLog::new(now),
            confirmations: Confirmations::new(now),
            grant_budgets: GrantBudgets::new(now, tuning.vm.clone(), me, tuning.lean, tuning.clock),
            tuning,
            rng,
        }
    }

    /// Handles one event and returns the effects to be carried out.
    pub(crate) fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::RequestArrived(arrival) => self.handle_arrival(now, *arrival),
            Event::CallerGone(id) => self.handle_disconnect(now, id),
            Event::AnswerStarted(id) => self.record_first_token(now, id),
            Event::ConnectionChecked(vm, passed) => self.handle_connection_check(now, &vm, passed),
            Event::EndpointExamined { vm, asked, found } => {
                self.handle_examination(now, &vm, asked, found)
            }
            Event::EndpointAnswered(id) => self.record_answer_head(now, id),
            Event::EndpointAnnounced(id, announcement) => {
                self.handle_announcement(now, id, announcement)
            }
            Event::RunEnded(id, end) => self.handle_run_end(now, id, end),
            Event::Appended {
                router,
                sequence,
                landed,
            } => self.handle_appended(now, router, sequence, landed),
            Event::LedgerEntries(entries) => self.fold_ledger(now, entries),
            Event::ConfigEntries(entries) => self.fold_config(now, entries),
            Event::LedgerTruncated => self.fetch_ledger(now),
            Event::CheckpointWritten { as_of, first } => {
                self.append_checkpoint_record(as_of, first)
            }
            Event::CaughtUp => self.handle_caught_up(now),
            Event::LedgerSnapshot(ledger) => self.adopt_ledger(now, *ledger),
            Event::ConfigSnapshot(snapshot) => self.adopt_config(now, *snapshot),
            Event::VmList(list) => self.handle_vm_list(now, list),
            Event::VersionsListed(rows) => self.merge_versions(now, &rows),
            Event::ListGap => self.version_log.reload(now),
            Event::FormerLife => self.handle_former_life(now),
            Event::HeartbeatReceived(beat) => self.handle_heartbeat(now, beat),
            Event::HeartbeatFailed(vm, failure) => self.members.record_failure(now, vm, failure),
            Event::KeepBatches(id, batches) => self.store_replica(id, batches),
            Event::BatchesKept {
                peer,
                router,
                last,
                records,
            } => self.handle_replica_ack(now, peer, router, (last, records)),
            Event::BatchesRejected(peer) => self.drop_replica(&peer),
            Event::HealthChecked(vm, passed) => self.handle_endpoint_check(now, &vm, passed),
            Event::EndpointLoad(vm, load) => self.handle_endpoint_load(now, &vm, &load),
            Event::CacheEvents(vm, events) => self.handle_cache_events(&vm, &events),
            Event::Admin(id, request) => self.handle_admin(now, id, request),
            Event::Table(table) => self.apply_table(now, table),
            Event::DrainedDomains(drained) => self.update_drained(now, &drained),
            Event::ColdEndpoints(periods) => self.handle_cold_reports(now, &periods),
            Event::TableFetchFailed(vm) => self.handle_table_unsent(now, &vm),
            Event::TableConfirmed(at) => self.confirm_table(now, at),
            Event::Grants(event) => self.handle_grant_event(now, event),
            Event::StreamsBegun(rows) => self.keep_streams(now, rows),
            Event::StreamQueried(id, key) => self.answer_stream_query(id, &key),
            Event::StreamLocated(id, origin) => self.handle_stream_answer(now, id, origin.as_ref()),
            Event::ListsRefreshed(round, current) => {
                self.confirmations.log_answered(round, current)
            }
            Event::VersionsQueried(id) => self.answer_versions_query(now, id),
            Event::VersionsKnown(round, vm, known) => {
                self.handle_known_versions(now, round, &vm, known)
            }
            Event::StreamLog(event) => self.handle_stream_log(now, event),
            Event::Slots(messages) => self.handle_slot_messages(now, &messages),
            Event::PromptNotice(notice) => self.record_peer_prompt(now, &notice),
            Event::TransferReceived(id, transfer) => self.accept_transfer(id, &transfer),
            Event::TransferAnswered(transfer, taken) => {
                self.grant_budgets.finish_transfer(&transfer, taken)
            }
            Event::LoanRequested(id, request) => self.handle_loan_request(now, id, &request),
            Event::LoanAnswered(request, amount) => {
                self.grant_budgets.record_loan_answer(now, &request, amount)
            }
            Event::SettingsChanged(tuning) => self.apply_tuning(now, *tuning),
            Event::Drain => self.begin_drain(now),
            Event::Paused => self.handle_pause(now),
            Event::Tick => self.tick(now),
        }
        self.step_confirmations(now);
        self.flush(now);
        self.send_slot_messages(now);
        self.send_streams();
        self.step_stream_log(now);
        self.step_crash_log(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns whether the log has left a batch unacknowledged for so long that it counts as an outage.
    pub(crate) fn in_outage(&self, now: Instant) -> bool {
        self.appender
            .stalled_since()
            .is_some_and(|since| now >= since + self.tuning.outage_after)
    }

    /// Returns whether new requests are accepted.
    pub(crate) fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Records a time at which no request was waiting in the sockets.
    pub(crate) fn record_idle(&mut self, at: Instant) {
        self.idle_at = Some(at);
    }

    /// Records how many connections of callers are open.
    pub(crate) fn record_connections(&mut self, count: usize) {
        self.connections = count;
    }

    /// Returns when the core must be called next if no event arrives before.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.appender.next_poll()
    }

    /// Returns the offset after the last ledger record applied.
    pub(crate) fn ledger_next(&self) -> Offset {
        self.ledger.next()
    }

    /// Encodes the ledger's state for a peer.
    pub(crate) fn encode_ledger(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.ledger).expect("a ledger can be encoded")
    }

    /// Returns whether a request that arrived at this time may have been in a socket buffer while the process was
    /// suspended.
    pub(crate) fn is_stale(&self, arrived: Instant) -> bool {
        self.stale_until.is_some_and(|until| arrived < until)
    }

    /// Applies changed time-outs and limits. The router's identity and address stay, since others know it by them.
    fn apply_tuning(&mut self, now: Instant, tuning: Tuning) {
        self.tuning = Tuning {
            vm: self.tuning.vm.clone(),
            domain: self.tuning.domain.clone(),
            address: self.tuning.address.clone(),
            clock: self.tuning.clock,
            ..tuning
        };
        self.update_retry_limits(now);
    }

    /// Starts to refuse requests that were in the socket buffers while the process was suspended.
    fn handle_pause(&mut self, now: Instant) {
        self.stale_until = Some(now + STALE_PERIOD);
        self.members.reset_silence(now);
    }

    /// Sends the batch or the grant proposals that are due.
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

    /// Runs the periodic tasks of a router whose budgets are granted.
    fn tick_grants(&mut self, now: Instant, tuning: GrantTuning) {
        self.expire_requests(now);
        self.count_former_lives(now);
        self.leave_silent_endpoints(now);
        self.cover_pending_retries(now);
        self.send_heartbeat(now);
        self.fetch_table(now);
        self.check_connections(now);
        self.examine_endpoints(now);
        self.tick_crashes(now);
        self.forward_queued(now);
        self.review_slots(now);
        self.review_versions(now);
        self.step_versions(now);
        self.tick_pools(now);
        self.continue_drain(now, tuning.min_drain);
    }

    /// Runs the periodic tasks of a router whose budgets are in the ledger.
    fn tick_ledger(&mut self, now: Instant) {
        self.catch_up(now);
        self.expire_requests(now);
        self.recheck_contended(now);
        self.rebalance_holdings(now);
        self.send_heartbeat(now);
        self.close_dead_routers(now);
        self.replicate(now);
        self.tick_pools(now);
        self.write_checkpoint(now);
        self.republish_config(now);
        self.issue_orders(now);
        self.finish_drain(now);
    }
}
