//! Test fixture: one router that accounts by grants, with a simulated log, peers and endpoints.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::config::ConnectionLimits;
use crate::config::PathRoute;
use crate::config::Payer;
use crate::config::RepeatPolicy;
use crate::config::RouteTable;
use crate::config::TablePool;
use crate::decide::RetryLimit;
use crate::decide::RoundId;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::escrow::Proposal;
use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::TableVersion;
use crate::key_hash::KeyHash;
use crate::labels::Labels;
use crate::moment::BootClock;
use crate::router::Accounting;
use crate::router::Arrival;
use crate::router::Core;
use crate::router::DrainedDomains;
use crate::router::Effect;
use crate::router::Event;
use crate::router::GrantEvent;
use crate::router::GrantTuning;
use crate::router::Heartbeat;
use crate::router::Problem;
use crate::router::Relay;
use crate::router::Run;
use crate::router::RunEnd;
use crate::router::Secret;
use crate::router::StreamLogCall;
use crate::router::StreamLogEvent;
use crate::router::StreamRecord;
use crate::router::Tuning;
use crate::router::Usage;
use crate::router::VersionRecord;
use crate::router::Work;
use crate::router::crash_log::CrashRecord;
use crate::router::heartbeat::TeamBudget;
use crate::router::request::State;
use crate::router::tests::cluster::boot_clock;
use crate::router::tests::cluster::tuning;
use crate::tokens::Tokens;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

pub(crate) const TIMEOUT: Duration = Duration::from_millis(2000);
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(200);
/// The maximum number of events, the first one and the log's answers, that are handled in a row; guards against a
/// router that calls the log on each answer without end.
const MAX_EVENTS: usize = 100;

/// The wall clock time at which a site starts, since the Unix epoch.
pub(crate) const START_TIME: Duration = Duration::from_secs(1_800_000_000);
/// How long an endpoint is cold, and how many requests per second it can take during that time.
pub(crate) const WARMUP: Duration = Duration::from_secs(3);
pub(crate) const COLD_RATE: u32 = 4;
/// How long the log's confirmation that there is no newer configuration is valid.
pub(crate) const CONFIRM: Duration = Duration::from_millis(2500);
pub(crate) const LINGER: Duration = Duration::from_millis(5500);

/// The retries allowed at each pool, in a window: a share of its requests, and more regardless of these.
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SPARE: f64 = 50.0;
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// How long after their first announcement brittle endpoints hold fewer requests.
pub(crate) const BRITTLE_GRACE: Duration = Duration::from_secs(3);

/// Whether the log is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Log {
    /// Proposals take effect and are answered.
    Up,
    /// Proposals neither take effect nor are answered.
    Down,
}

pub(crate) struct Site {
    pub(crate) core: Core,
    pub(crate) now: Instant,
    pub(crate) started: Instant,
    pub(crate) log: Log,
    pub(crate) effects: Vec<Effect>,
    pub(crate) log_end: u64,
    /// The grant rows in the log.
    pub(crate) rows: Vec<(Offset, GrantKey, GrantRow)>,
    /// What the log has of streams and versions.
    pub(crate) streams: Vec<StreamRecord>,
    pub(crate) versions: IndexMap<PoolId, VersionRecord>,
    /// What the log has of crashes, and how often that was written.
    pub(crate) crashes: Option<CrashRecord>,
    pub(crate) crash_writes: u64,
    /// Whether the log answers calls about crashes.
    pub(crate) crash_log: Log,
    /// What the log has and this router has not read yet.
    pub(crate) unread: Vec<Event>,
    next_id: u64,
}

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

/// Returns a table with a route for each kind of repetition, an urgent one, and one payer.
pub(crate) fn table(version: u64, prepaid: u64) -> Arc<RouteTable> {
    table_with_payers(version, vec![payer("loans", "key", prepaid)])
}

/// Returns a payer whose callers authenticate with `key`.
pub(crate) fn payer(team: &str, key: &str, prepaid: u64) -> Payer {
    Payer {
        account: name(team),
        team: name(team),
        keys: vec![KeyHash::of(key)],
        priority: 0,
        prepaid: Some(Tokens(prepaid)),
    }
}

/// Returns the same table with other payers.
pub(crate) fn table_with_payers(version: u64, payers: Vec<Payer>) -> Arc<RouteTable> {
    table_with_split(version, payers, &["pool"])
}

/// Returns the same table with a route for streams that leads to the given pools.
pub(crate) fn table_with_split(
    version: u64,
    payers: Vec<Payer>,
    stream: &[&str],
) -> Arc<RouteTable> {
    let route = |prefix: &str, repeat, attempts| PathRoute {
        name: name(prefix),
        host: "maps.example".to_owned(),
        prefix: format!("/{prefix}/"),
        repeat,
        timeout: TIMEOUT,
        objective: OBJECTIVE,
        priority: 1,
        split: vec![(name("pool"), 1)],
        attempts,
        public: false,
    };
    let intake = ConnectionLimits {
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let routes = vec![
        route("once", RepeatPolicy::Never, 1),
        route("again", RepeatPolicy::Whole, 2),
        PathRoute {
            split: stream.iter().map(|pool| (name(pool), 1)).collect(),
            ..route("stream", RepeatPolicy::Resume, 2)
        },
        PathRoute {
            priority: 0,
            ..route("urgent", RepeatPolicy::Never, 1)
        },
        PathRoute {
            split: vec![(name("app"), 1)],
            ..route("app", RepeatPolicy::Whole, 2)
        },
        PathRoute {
            split: vec![(name("pool"), 1), (name("app"), 1)],
            ..route("split", RepeatPolicy::Whole, 2)
        },
    ];
    let pool = |pool: &str| TablePool {
        name: name(pool),
        connections: 100,
        slots: Some(8),
        stride: 7,
        memory: Some(1_000_000),
        warmup: WARMUP,
        cold_rate: COLD_RATE,
    };
    let pools = vec![pool("pool"), pool("app")];
    let version = TableVersion(version);
    Arc::new(RouteTable::new(version, intake, routes, pools, payers))
}

pub(crate) fn entry(vm: &str, port: u16, role: &[(&str, &str)]) -> VmEntry {
    let mut labels = Labels::default();
    role.iter()
        .for_each(|(name, value)| labels.set(name, value));
    VmEntry {
        vm: name(vm),
        address: ([127, 0, 0, 1], port).into(),
        domain: name("domain-0"),
        labels,
        state: VmState::Live,
    }
}

/// Returns the end of a run whose answer is complete and has `answer` tokens.
pub(crate) fn whole(answer: u64) -> RunEnd {
    let usage = Usage {
        prompt: Tokens::ZERO,
        answer: Tokens(answer),
    };
    RunEnd::Completed { usage }
}

/// Returns the end of a run whose endpoint failed.
pub(crate) fn broken_run(answer_begun: bool) -> RunEnd {
    match answer_begun {
        true => RunEnd::broken_off(None),
        false => RunEnd::broken(),
    }
}

fn site_tuning(clock: BootClock) -> Tuning {
    Tuning {
        drain_timeout: Duration::from_millis(7700),
        accounting: Accounting::Grants(GrantTuning {
            config_max_age: CONFIRM,
            min_drain: LINGER,
            retries: RetryLimit::between_callers_and_endpoints(
                RETRY_RATIO,
                RETRY_SPARE,
                RETRY_WINDOW,
            ),
            brittle_grace: BRITTLE_GRACE,
        }),
        clock,
        ..tuning(0)
    }
}

impl Site {
    /// Starts a serving router whose team prepaid `prepaid` tokens.
    pub(crate) fn start(prepaid: u64) -> Self {
        let role = [("role", "router"), ("peer", "127.0.0.1:8101")];
        let vms = vec![
            entry("engine-0", 9100, &[("pool", "pool")]),
            entry("engine-1", 9101, &[("pool", "pool")]),
            entry("router-1", 8001, &role),
        ];
        Self::start_with_vms(prepaid, vms)
    }

    /// Starts a serving router with the given VM list.
    pub(crate) fn start_with_vms(prepaid: u64, vms: Vec<VmEntry>) -> Self {
        Self::start_with_clock_ahead(prepaid, vms, Duration::ZERO)
    }

    /// Starts a serving router whose VM's wall clock is `ahead` of all others.
    pub(crate) fn start_with_clock_ahead(prepaid: u64, vms: Vec<VmEntry>, ahead: Duration) -> Self {
        let now = Instant::now();
        let clock = boot_clock(1, START_TIME + ahead, now);
        Self::start_with_tuning(prepaid, vms, site_tuning(clock), now)
    }

    /// Starts one of the serving routers of a fleet; its VM is named `router-` and its number.
    pub(crate) fn start_member(number: usize, prepaid: u64, vms: Vec<VmEntry>) -> Self {
        let now = Instant::now();
        let tuning = Tuning {
            vm: name(&format!("router-{number}")),
            heartbeat_interval: Duration::from_millis(500),
            ..site_tuning(boot_clock(1, START_TIME, now))
        };
        Self::start_with_tuning(prepaid, vms, tuning, now)
    }

    fn start_with_tuning(prepaid: u64, vms: Vec<VmEntry>, tuning: Tuning, now: Instant) -> Self {
        let mut site = Self {
            core: Core::new(now, tuning, 7),
            now,
            started: now,
            log: Log::Up,
            effects: Vec::new(),
            log_end: 0,
            rows: Vec::new(),
            streams: Vec::new(),
            versions: IndexMap::new(),
            crashes: None,
            crash_writes: 0,
            crash_log: Log::Up,
            unread: Vec::new(),
            next_id: 1,
        };
        site.handle(Event::Table(table(1, prepaid)));
        site.handle(Event::VmList(VmList { as_of: 1, vms }));
        site.advance(100);
        site
    }

    /// Lists this router itself, and waits until it may retry a request: a router that has just started may not.
    pub(crate) fn wait_for_retries(&mut self) {
        let me = self.core.tuning.vm.clone();
        let mut list = self.core.members.vm_index.list().clone();
        if list.vms.iter().all(|entry| entry.vm != me) {
            let role = [("role", "router"), ("peer", "127.0.0.1:8100")];
            list.vms.push(entry(me.as_str(), 8000, &role));
        }
        self.handle(Event::VmList(list));
        self.advance(3000);
    }

    /// Simulates a power loss of the router's VM for `down`. The VM boots with a correct wall clock and starts a new
    /// process without any state.
    pub(crate) fn power_cycle(&mut self, down: Duration) {
        let list = self.core.members.vm_index.list().clone();
        let table = self.core.route_table.clone().expect("a table");
        self.now += down;
        let started = self.now;
        let clock = boot_clock(2, self.wall_clock(), started);
        self.core = Core::new(started, site_tuning(clock), 8);
        self.handle(Event::Table(table));
        self.handle(Event::VmList(list));
    }

    /// Kills all routers, and starts this one anew under the same VM with the given VM list, which the others are missing
    /// from until they have started as well.
    pub(crate) fn restart_member(&mut self, vms: Vec<VmEntry>) {
        let table = self.core.route_table.clone().expect("a table");
        let vm = self.core.tuning.vm.clone();
        self.now += Duration::from_millis(500);
        let clock = boot_clock(1, self.wall_clock(), self.now);
        let tuning = Tuning {
            vm,
            heartbeat_interval: Duration::from_millis(500),
            ..site_tuning(clock)
        };
        self.core = Core::new(self.now, tuning, 8);
        self.handle(Event::Table(table));
        self.handle(Event::VmList(VmList { as_of: 1, vms }));
        self.advance(100);
    }

    /// Returns the true wall clock time.
    fn wall_clock(&self) -> Duration {
        START_TIME + (self.now - self.started)
    }

    /// Passes an event to the core, and the log's answers to the calls that follow.
    pub(crate) fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        let mut handled = 0;
        while let Some(event) = events.pop() {
            handled += 1;
            assert!(handled <= MAX_EVENTS, "the core calls the log without end");
            for effect in self.core.handle(self.now, event) {
                let answers = match &effect {
                    Effect::ProposeGrants(proposal) => vec![Event::Grants(self.propose(proposal))],
                    Effect::ReadGrants(_) => vec![Event::Grants(self.read())],
                    Effect::CallStreamLog(call) => vec![Event::StreamLog(self.call_streams(call))],
                    Effect::RefreshLists(round) => self.refresh_lists(*round),
                    _ => Vec::new(),
                };
                events.extend(answers);
                self.effects.push(effect);
            }
        }
    }

    /// Returns the answer to a refresh, and what the log tells before it, last first.
    fn refresh_lists(&mut self, round: RoundId) -> Vec<Event> {
        let up = self.log == Log::Up;
        let mut events = vec![Event::ListsRefreshed(round, up)];
        if up {
            events.extend(self.unread.drain(..).rev());
        }
        events
    }

    fn call_streams(&mut self, call: &StreamLogCall) -> StreamLogEvent {
        let up = self.log == Log::Up;
        let crashes_up = up && self.crash_log == Log::Up;
        match call {
            StreamLogCall::Append(records) => {
                if up {
                    self.streams.extend(records.iter().cloned());
                }
                StreamLogEvent::Appended(up)
            }
            StreamLogCall::Read(from) => {
                let from = from.map_or(0, |from| from.0 as usize);
                let read = self.streams[from..].to_vec();
                let end = Offset(self.streams.len() as u64);
                StreamLogEvent::Read(up.then_some((read, end)))
            }
            StreamLogCall::WriteVersions(record) => {
                if up {
                    self.versions.insert(record.pool.clone(), record.clone());
                }
                StreamLogEvent::VersionsWritten(record.clone(), up)
            }
            StreamLogCall::WriteCrashes(record, at) => {
                let written = crashes_up && at.0 == self.crash_writes;
                if written {
                    self.crash_writes += 1;
                    self.crashes = Some(record.clone());
                }
                StreamLogEvent::CrashesWritten(written.then_some(Offset(self.crash_writes)))
            }
            StreamLogCall::ReadCrashes => {
                let read = (self.crashes.clone(), Offset(self.crash_writes));
                StreamLogEvent::CrashesRead(crashes_up.then_some(read))
            }
            StreamLogCall::ReadVersions => {
                let all = self.versions.values().cloned().collect();
                StreamLogEvent::VersionsRead(up.then_some(all))
            }
        }
    }

    fn propose(&mut self, proposal: &Proposal) -> GrantEvent {
        if self.log == Log::Down {
            return GrantEvent::Lost(proposal.at);
        }
        for (key, row) in &proposal.records {
            self.rows.push((Offset(self.log_end), key.clone(), *row));
            self.log_end += 1;
        }
        GrantEvent::Landed(proposal.at)
    }

    fn read(&self) -> GrantEvent {
        match self.log {
            Log::Down => GrantEvent::ReadFailed,
            Log::Up => GrantEvent::Read {
                rows: self.rows.clone(),
                end: Offset(self.log_end),
            },
        }
    }

    /// Advances the clock in ticks of 20 ms; while the log is up, each tick confirms the table.
    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(20) {
            self.now += Duration::from_millis(20);
            if self.log == Log::Up {
                self.handle(Event::TableConfirmed(self.now));
            }
            self.handle(Event::Tick);
        }
    }

    /// Sends a request to a route, with at most `input` prompt tokens and `output` answer tokens.
    pub(crate) fn send(&mut self, route: &str, input: u64, output: u64) -> RequestId {
        self.send_as("key", route, input, output)
    }

    /// Sends a request as the payer that owns `key`.
    pub(crate) fn send_as(&mut self, key: &str, route: &str, input: u64, output: u64) -> RequestId {
        self.send_from(None, key, route, input, output)
    }

    /// Sends a request that a router with this version of the table forwarded, if one did.
    pub(crate) fn send_from(
        &mut self,
        forwarded: Option<TableVersion>,
        key: &str,
        route: &str,
        input: u64,
        output: u64,
    ) -> RequestId {
        let relay = Relay {
            input: Tokens(input),
            output: Tokens(output),
            forwarded,
            ..Relay::default()
        };
        self.send_relay(key, route, relay)
    }

    /// Sends a request of which some is given to a route.
    pub(crate) fn send_relay(&mut self, key: &str, route: &str, relay: Relay) -> RequestId {
        let fingerprint = Fingerprint(self.next_id);
        self.send_again(key, route, fingerprint, relay)
    }

    /// Sends a request that may have been sent before.
    pub(crate) fn send_again(
        &mut self,
        key: &str,
        route: &str,
        fingerprint: Fingerprint,
        relay: Relay,
    ) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.handle(Event::RequestArrived(Box::new(Arrival {
            id,
            bearer: Secret(key.to_owned()),
            key: None,
            attempt: Attempt(1),
            labels: Labels::default(),
            work: Work::Relay(Relay {
                host: "maps.example".to_owned(),
                path: format!("/{route}/1"),
                ..relay
            }),
            fingerprint,
            timeout: None,
            priority: None,
        })));
        id
    }

    /// Delivers a heartbeat from each of `count` other routers, whose clocks are correct.
    pub(crate) fn receive_heartbeats(&mut self, count: usize) {
        for beat in self.heartbeats(count) {
            self.handle(Event::HeartbeatReceived(beat));
        }
    }

    /// Returns a heartbeat that each of `count` other routers sends now.
    pub(crate) fn heartbeats(&self, count: usize) -> Vec<Heartbeat> {
        let beat = |number: usize| Heartbeat {
            vm: name(&format!("router-{}", number + 1)),
            router: Incarnation(100 + number as u64),
            purses: Vec::new(),
            ..self.peer_heartbeat(0)
        };
        (0..count).map(beat).collect()
    }

    /// Replaces the VM list with one of `count` other routers.
    pub(crate) fn list_peers(&mut self, count: usize) {
        let routers = (0..count).map(|n| {
            let peer = format!("127.0.0.1:{}", 20_000 + n);
            let role = [("role", "router"), ("peer", peer.as_str())];
            entry(&format!("peer-{n}"), 8001, &role)
        });
        self.handle(Event::VmList(VmList {
            as_of: 2,
            vms: routers.collect(),
        }));
    }

    /// Delivers a heartbeat from another router that reports `free` idle tokens of the team's budget.
    pub(crate) fn receive_peer_heartbeat(&mut self, free: u64) {
        let beat = self.peer_heartbeat(free);
        self.handle(Event::HeartbeatReceived(beat));
    }

    /// Returns a heartbeat of another router that reports `free` idle tokens of the team's budget.
    pub(crate) fn peer_heartbeat(&self, free: u64) -> Heartbeat {
        Heartbeat {
            vm: name("router-1"),
            router: Incarnation(99),
            serving: true,
            load: 0,
            config: Offset(0),
            table: TableVersion(0),
            drained: DrainedDomains::default(),
            clock: self.wall_clock(),
            purses: vec![TeamBudget {
                team: name("loans"),
                free: Tokens(free),
                demand: 0,
            }],
            announced: Vec::new(),
            crashes: Box::default(),
            cut: Vec::new(),
            versions: Vec::new(),
        }
    }

    /// Returns whether a request waits until the lists are known to be current.
    pub(crate) fn is_confirming(&self, id: RequestId) -> bool {
        let request = self.core.requests.get(&id);
        request.is_some_and(|request| matches!(request.state, State::Confirming))
    }

    /// Returns the runs of a request in order.
    pub(crate) fn runs(&self, id: RequestId) -> Vec<&Run> {
        let runs = self.effects.iter().filter_map(|effect| match effect {
            Effect::Run(of, run) if *of == id => Some(&**run),
            _ => None,
        });
        runs.collect()
    }

    /// Returns the problem with which a request was refused or its answer cut off.
    pub(crate) fn refusal(&self, id: RequestId) -> Option<&Problem> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Refuse(of, problem) | Effect::Abort(of, problem) if *of == id => {
                Some(&**problem)
            }
            _ => None,
        })
    }
}
