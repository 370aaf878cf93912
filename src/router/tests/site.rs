//! A router that lives by grants, with a log, peers and endpoints that answer as a test says.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::config::ConnectionLimits;
use crate::config::PathRoute;
use crate::config::Payer;
use crate::config::RepeatPolicy;
use crate::config::RouteTable;
use crate::config::TablePool;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::escrow::Proposal;
use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
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
use crate::router::Tuning;
use crate::router::Usage;
use crate::router::Work;
use crate::router::event::PurseWord;
use crate::router::tests::bench::boot_clock;
use crate::router::tests::bench::tuning;
use crate::tokens::Tokens;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

pub(crate) const TIMEOUT: Duration = Duration::from_millis(2000);
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(200);
/// How many answers of the log one event may bring about, each of them being the ground for the next call.
const MOST_TURNS: usize = 100;

/// What time of day it is when a site starts, since the Unix epoch.
pub(crate) const WALL: Duration = Duration::from_secs(1_800_000_000);
/// How long an endpoint is cold, and how many requests a second it bears then.
pub(crate) const WARMUP: Duration = Duration::from_secs(3);
pub(crate) const COLD_RATE: u32 = 4;
/// How long the log's word that there is no newer configuration holds.
pub(crate) const CONFIRM: Duration = Duration::from_millis(2500);
pub(crate) const LINGER: Duration = Duration::from_millis(5500);

/// How the log answers a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Log {
    /// It carries it out.
    Up,
    /// Nothing comes back, and nothing was done.
    Away,
}

pub(crate) struct Site {
    pub(crate) core: Core,
    pub(crate) now: Instant,
    pub(crate) started: Instant,
    pub(crate) log: Log,
    pub(crate) effects: Vec<Effect>,
    pub(crate) end: u64,
    /// What the log holds of this router.
    pub(crate) rows: Vec<(Offset, GrantKey, GrantRow)>,
    next: u64,
}

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

/// A table with one route for each kind of repetition, and one payer.
pub(crate) fn table(version: u64, prepaid: u64) -> Arc<RouteTable> {
    table_of(version, vec![payer("loans", "key", prepaid)])
}

/// Returns a payer whose callers have a key.
pub(crate) fn payer(team: &str, key: &str, prepaid: u64) -> Payer {
    Payer {
        account: name(team),
        team: name(team),
        keys: vec![KeyHash::of(key)],
        priority: 0,
        prepaid: Some(Tokens(prepaid)),
    }
}

/// The same with other payers.
pub(crate) fn table_of(version: u64, payers: Vec<Payer>) -> Arc<RouteTable> {
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
        route("stream", RepeatPolicy::Resume, 2),
        PathRoute {
            priority: 0,
            ..route("urgent", RepeatPolicy::Never, 1)
        },
    ];
    let pool = TablePool {
        name: name("pool"),
        connections: 100,
        slots: Some(8),
        stride: 7,
        warmup: WARMUP,
        cold_rate: COLD_RATE,
    };
    let version = TableVersion(version);
    Arc::new(RouteTable::new(version, intake, routes, vec![pool], payers))
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

/// Returns the end of a run whose answer came whole and has so many tokens.
pub(crate) fn whole(answer: u64) -> RunEnd {
    let usage = Usage {
        prompt: Tokens::ZERO,
        answer: Tokens(answer),
    };
    RunEnd::Whole { usage }
}

fn site_tuning(clock: BootClock) -> Tuning {
    Tuning {
        drain: Duration::from_millis(7700),
        accounting: Accounting::Grants(GrantTuning {
            confirm: CONFIRM,
            linger: LINGER,
            retries: 0.2,
            spare: 5.0,
        }),
        clock,
        ..tuning(0)
    }
}

impl Site {
    /// Brings up a router that serves; its team prepaid so much.
    pub(crate) fn start(prepaid: u64) -> Self {
        let role = [("role", "router"), ("peer", "127.0.0.1:8101")];
        let vms = vec![
            entry("engine-0", 9100, &[("pool", "pool")]),
            entry("engine-1", 9101, &[("pool", "pool")]),
            entry("router-1", 8001, &role),
        ];
        Self::start_among(prepaid, vms)
    }

    /// Brings up a router that serves among these VMs; its team prepaid so much.
    pub(crate) fn start_among(prepaid: u64, vms: Vec<VmEntry>) -> Self {
        Self::start_ahead(prepaid, vms, Duration::ZERO)
    }

    /// Brings up a router whose VM's time of day is ahead of that of all others.
    pub(crate) fn start_ahead(prepaid: u64, vms: Vec<VmEntry>, ahead: Duration) -> Self {
        let now = Instant::now();
        let clock = boot_clock(1, WALL + ahead, now);
        let mut site = Self {
            core: Core::new(now, site_tuning(clock), 7),
            now,
            started: now,
            log: Log::Up,
            effects: Vec::new(),
            end: 0,
            rows: Vec::new(),
            next: 1,
        };
        site.tell(Event::Table(table(1, prepaid)));
        site.tell(Event::VmList(VmList { as_of: 1, vms }));
        site.pass(100);
        site
    }

    /// Has the router's VM lose its power and be back after a while, its time of day set right: a process that knows nothing
    /// starts on it.
    pub(crate) fn lose_power(&mut self, down: Duration) {
        let list = self.core.members.roster.list().clone();
        let table = self.core.table.clone().expect("a table");
        self.now += down;
        let started = self.now;
        let clock = boot_clock(2, self.wall(), started);
        self.core = Core::new(started, site_tuning(clock), 8);
        self.tell(Event::Table(table));
        self.tell(Event::VmList(list));
    }

    /// Returns what time of day it is.
    fn wall(&self) -> Duration {
        WALL + (self.now - self.started)
    }

    /// Tells the core something, and answers what it asks the log.
    pub(crate) fn tell(&mut self, event: Event) {
        let mut events = vec![event];
        let mut turns = 0;
        while let Some(event) = events.pop() {
            turns += 1;
            assert!(turns <= MOST_TURNS, "it calls the log without end");
            for effect in self.core.handle(self.now, event) {
                let answer = match &effect {
                    Effect::ProposeGrants(proposal) => Some(self.propose(proposal)),
                    Effect::ReadGrants(_) => Some(self.read()),
                    _ => None,
                };
                events.extend(answer.map(Event::Grants));
                self.effects.push(effect);
            }
        }
    }

    fn propose(&mut self, proposal: &Proposal) -> GrantEvent {
        if self.log == Log::Away {
            return GrantEvent::Lost(proposal.at);
        }
        for (key, row) in &proposal.records {
            self.rows.push((Offset(self.end), key.clone(), *row));
            self.end += 1;
        }
        GrantEvent::Landed(proposal.at)
    }

    fn read(&self) -> GrantEvent {
        match self.log {
            Log::Away => GrantEvent::Unread,
            Log::Up => GrantEvent::Read {
                rows: self.rows.clone(),
                end: Offset(self.end),
            },
        }
    }

    /// Lets so many milliseconds pass.
    pub(crate) fn pass(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(20) {
            self.now += Duration::from_millis(20);
            if self.log == Log::Up {
                self.tell(Event::TableConfirmed(self.now));
            }
            self.tell(Event::Tick);
        }
    }

    /// Sends a request for a route, whose prompt and answer have at most so many tokens.
    pub(crate) fn ask(&mut self, route: &str, input: u64, output: u64) -> RequestId {
        self.ask_as("key", route, input, output)
    }

    /// The same for the payer whose key it is.
    pub(crate) fn ask_as(&mut self, key: &str, route: &str, input: u64, output: u64) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        self.tell(Event::Arrived(Box::new(Arrival {
            id,
            bearer: Secret(key.to_owned()),
            key: None,
            attempt: Attempt(1),
            labels: Labels::default(),
            work: Work::Relay(Relay {
                host: "maps.example".to_owned(),
                path: format!("/{route}/1"),
                input: Tokens(input),
                output: Tokens(output),
                prompt: None,
            }),
            request: Fingerprint(id.0),
            patience: None,
            priority: None,
        })));
        id
    }

    /// Has so many other routers say that they live; each of their clocks is right.
    pub(crate) fn hear_routers(&mut self, count: usize) {
        for number in 0..count {
            self.tell(Event::Heard(Heartbeat {
                vm: name(&format!("router-{}", number + 1)),
                router: Incarnation(100 + number as u64),
                serving: true,
                load: 0,
                config: Offset(0),
                table: TableVersion(0),
                drained: DrainedDomains::default(),
                clock: self.wall(),
                purses: Vec::new(),
            }));
        }
    }

    /// Has the list show so many other routers.
    pub(crate) fn list_routers(&mut self, count: usize) {
        let routers = (0..count).map(|n| {
            let peer = format!("127.0.0.1:{}", 20_000 + n);
            let role = [("role", "router"), ("peer", peer.as_str())];
            entry(&format!("peer-{n}"), 8001, &role)
        });
        self.tell(Event::VmList(VmList {
            as_of: 2,
            vms: routers.collect(),
        }));
    }

    /// Has another router say that so much of the team's budget lies idle there.
    pub(crate) fn hear_peer(&mut self, free: u64) {
        let beat = self.peer_beat(free);
        self.tell(Event::Heard(beat));
    }

    /// Returns what another router says of itself: so much of the team's budget lies idle there.
    pub(crate) fn peer_beat(&self, free: u64) -> Heartbeat {
        Heartbeat {
            vm: name("router-1"),
            router: Incarnation(99),
            serving: true,
            load: 0,
            config: Offset(0),
            table: TableVersion(0),
            drained: DrainedDomains::default(),
            clock: self.wall(),
            purses: vec![PurseWord {
                team: name("loans"),
                free: Tokens(free),
                demand: 0,
            }],
        }
    }

    /// Returns the runs of a request, in their order.
    pub(crate) fn runs(&self, id: RequestId) -> Vec<&Run> {
        let runs = self.effects.iter().filter_map(|effect| match effect {
            Effect::Run(of, run) if *of == id => Some(&**run),
            _ => None,
        });
        runs.collect()
    }

    /// Returns how a request was refused, or its answer broken off.
    pub(crate) fn refusal(&self, id: RequestId) -> Option<&Problem> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Refuse(of, problem) | Effect::Cut(of, problem) if *of == id => Some(&**problem),
            _ => None,
        })
    }
}
