//! An in-memory cluster of one or two router cores that share a log. Time advances and the log answers only when a test
//! asks for it; nothing is simulated in between.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::decide::ConsistencyMode;
use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::Offset;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::key_hash::KeyHash;
use crate::labels::Labels;
use crate::ledger::KeyState;
use crate::ledger::Ledger;
use crate::ledger::decode;
use crate::moment::BootClock;
use crate::moment::BootId;
use crate::moment::HostId;
use crate::moment::Moment;
use crate::router::AdminRequest;
use crate::router::AppendTiming;
use crate::router::Arrival;
use crate::router::Core;
use crate::router::Effect;
use crate::router::Entry;
use crate::router::Event;
use crate::router::Problem;
use crate::router::ReplyId;
use crate::router::Run;
use crate::router::RunEnd;
use crate::router::Secret;
use crate::router::Tuning;
use crate::router::Usage;
use crate::router::Work;
use crate::router::tests::site::START_TIME;
use crate::settings::EndMarker;
use crate::tokens::Tokens;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

/// The group commit interval of the cores.
pub(crate) const COMMIT_INTERVAL: Duration = Duration::from_millis(25);

/// How long a batch may wait for its verdict before the log counts as unavailable.
pub(crate) const OUTAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// The price of one service call.
pub(crate) const CALL_TOKENS: u64 = 5;

/// The team's prepaid budget, unless a test sets another one.
pub(crate) const BUDGET_TOKENS: u64 = 100_000;

/// How the log service answers appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogState {
    /// Appends are stored and answered.
    Up,
    /// Appends are stored, but the responses are lost.
    LosesResponses,
    /// Appends are neither stored nor answered.
    Down,
}

/// One router.
pub(crate) struct Node {
    pub(crate) core: Core,
    /// Effects that concern neither the log nor the peers.
    pub(crate) effects: Vec<Effect>,
    /// The batches it sent, one entry per attempt.
    pub(crate) sent: Vec<Vec<u8>>,
    next_offset: usize,
}

/// One or two router cores and a shared in-memory log.
pub(crate) struct Cluster {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) log: LogState,
    /// Whether the routers can reach each other.
    pub(crate) connected: bool,
    pub(crate) records: Vec<Vec<u8>>,
    /// Total size of the batches that the routers have replicated to each other.
    pub(crate) replicated_bytes: usize,
    started: Instant,
    next_id: u64,
}

pub(crate) fn tuning(at: usize) -> Tuning {
    Tuning {
        vm: format!("router-{at}").parse().expect("a name"),
        domain: format!("domain-{at}").parse().expect("a name"),
        address: format!("127.0.0.1:{}", 8000 + at),
        lean: ConsistencyMode::Strict,
        pace: AppendTiming {
            interval: COMMIT_INTERVAL,
            timeout: OUTAGE_TIMEOUT,
        },
        outage_after: OUTAGE_TIMEOUT,
        end_marker: EndMarker::Peers,
        heartbeat_interval: Duration::from_millis(100),
        silence_timeout: Duration::from_secs(4),
        default_timeout: Duration::from_secs(60),
        queue_limit: 512,
        log_retention: Duration::from_secs(3600),
        queue_timeout: Duration::from_secs(10),
        address_ttl: Duration::from_secs(30),
        partition_timeout: Duration::from_secs(3600),
        drain_timeout: Duration::from_secs(60),
        accounting: crate::router::Accounting::Ledger,
        clock: boot_clock(1, START_TIME, Instant::now()),
    }
}

/// Returns the clock of a process that started one hour after its VM booted, at the given wall-clock time.
pub(crate) fn boot_clock(boot: u64, wall: Duration, started: Instant) -> BootClock {
    let start = Moment {
        host: HostId(1),
        boot: BootId(boot),
        uptime: Duration::from_secs(3600),
        wall,
    };
    BootClock::new(start, started)
}

impl Cluster {
    /// Starts the given number of cores, checks that they serve, and funds the team.
    pub(crate) fn start(routers: usize) -> Self {
        Self::with_tuning((0..routers).map(tuning).collect())
    }

    pub(crate) fn with_tuning(tunings: Vec<Tuning>) -> Self {
        let mut cluster = Self::without_budget(tunings);
        cluster.top_up("first", BUDGET_TOKENS);
        cluster
    }

    pub(crate) fn without_budget(tunings: Vec<Tuning>) -> Self {
        let now = Instant::now();
        let nodes = tunings.into_iter().enumerate();
        let nodes = nodes.map(|(at, tuning)| Node {
            core: Core::new(now, tuning, at as u64 + 1),
            effects: Vec::new(),
            sent: Vec::new(),
            next_offset: 0,
        });
        let mut cluster = Self {
            now,
            nodes: nodes.collect(),
            log: LogState::Up,
            connected: true,
            records: Vec::new(),
            replicated_bytes: 0,
            started: now,
            next_id: 1,
        };
        let list = vm_list(cluster.nodes.len());
        for at in 0..cluster.nodes.len() {
            cluster.configure(at, 0, &config());
            cluster.handle(at, Event::VmList(list.clone()));
            cluster.handle(at, Event::CaughtUp);
        }
        cluster.advance(200);
        for node in &cluster.nodes {
            assert!(node.core.is_serving());
        }
        cluster
    }

    pub(crate) fn top_up(&mut self, id: &str, amount: u64) {
        let request = AdminRequest::TopUp {
            id: id.parse().expect("a name"),
            team: "loans".parse().expect("a name"),
            amount: Tokens(amount),
        };
        self.handle(0, Event::Admin(ReplyId(u64::MAX), request));
        self.advance(200);
    }

    /// Delivers a record of the configuration's stream to a core.
    pub(crate) fn configure(&mut self, at: usize, offset: u64, changes: &Value) {
        let entry = Entry {
            offset: Offset(offset),
            at: 1 + offset,
            data: changes.to_string().into_bytes(),
        };
        self.handle(at, Event::ConfigEntries(vec![entry]));
    }

    /// Passes an event to a core and carries out the effects that concern the log and the other core.
    pub(crate) fn handle(&mut self, at: usize, event: Event) {
        let effects = self.nodes[at].core.handle(self.now, event);
        for effect in effects {
            self.perform(at, effect);
        }
    }

    fn perform(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Append {
                router,
                sequence,
                bytes,
            } => {
                self.nodes[at].sent.push(bytes.clone());
                if self.log != LogState::Down {
                    self.records.push(bytes);
                }
                if self.log != LogState::Down {
                    let landed = self.log == LogState::Up;
                    let event = Event::Appended {
                        router,
                        sequence,
                        landed,
                    };
                    self.handle(at, event);
                }
            }
            Effect::AppendKept(bytes) if self.log != LogState::Down => self.records.push(bytes),
            Effect::SendHeartbeat(beat, _) if self.connected => {
                for other in (0..self.nodes.len()).filter(|other| *other != at) {
                    self.handle(other, Event::HeartbeatReceived(beat.clone()));
                }
            }
            Effect::KeepBatches(batches, peers) if self.connected && !peers.is_empty() => {
                let other = 1 - at;
                self.replicated_bytes += batches.batches.iter().map(Vec::len).sum::<usize>();
                let event = Event::KeepBatches(ReplyId(0), batches.clone());
                let answers = self.nodes[other].core.handle(self.now, event);
                let keeps = |e: &Effect| matches!(e, Effect::Answer(ReplyId(0), 200, _));
                if answers.iter().any(keeps) {
                    let event = Event::BatchesKept {
                        peer: peers[0].vm.clone(),
                        router: batches.router,
                        last: batches.last,
                        records: batches.records,
                    };
                    self.handle(at, event);
                } else {
                    self.handle(at, Event::BatchesRejected(peers[0].vm.clone()));
                }
            }
            Effect::SendHeartbeat(..) | Effect::KeepBatches(..) | Effect::AppendKept(_) => {}
            other => self.nodes[at].effects.push(other),
        }
    }

    /// Delivers to a core the log entries that it has not read yet.
    pub(crate) fn read_log(&mut self, at: usize) {
        if self.log == LogState::Down {
            return;
        }
        let from = self.nodes[at].next_offset;
        let millis = u64::try_from((self.now - self.started).as_millis()).expect("it fits");
        let entries: Vec<_> = (from..self.records.len())
            .map(|offset| Entry {
                offset: Offset(offset as u64),
                at: 1 + millis,
                data: self.records[offset].clone(),
            })
            .collect();
        self.nodes[at].next_offset = self.records.len();
        // A long poll for records also returns, empty, when there are none.
        self.handle(at, Event::LedgerEntries(entries));
    }

    /// Advances the time in 5 ms ticks; each core reads the log at every tick.
    pub(crate) fn advance(&mut self, millis: u64) {
        let step = 5;
        for _ in 0..millis.div_ceil(step) {
            self.now += Duration::from_millis(step);
            for at in 0..self.nodes.len() {
                self.read_log(at);
                self.handle(at, Event::Tick);
            }
        }
    }

    /// Returns a request ID that was not used before.
    pub(crate) fn next_request_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    /// Returns a request for a completion of at most 100 tokens.
    pub(crate) fn chat(&mut self, key: &str, attempt: u64) -> Arrival {
        Arrival {
            id: self.next_request_id(),
            bearer: Secret("yard-key".to_owned()),
            key: Some(key.parse().expect("a name")),
            attempt: Attempt(attempt),
            labels: Labels::default(),
            work: Work::Completion {
                model: "demo".parse().expect("a name"),
                prompt: 10,
                limit: Some(Tokens(100)),
                blocks: Vec::new(),
            },
            fingerprint: Fingerprint(7),
            timeout: None,
            priority: None,
        }
    }

    /// Returns a call to a service whose calls must not be repeated.
    pub(crate) fn call(&mut self, key: &str, attempt: u64) -> Arrival {
        Arrival {
            work: Work::Call {
                service: "records".to_owned(),
                method: "POST".to_owned(),
            },
            ..self.chat(key, attempt)
        }
    }

    /// Submits a request to a router.
    pub(crate) fn submit(&mut self, at: usize, arrival: &Arrival) -> RequestId {
        self.handle(at, Event::RequestArrived(Box::new(arrival.clone())));
        arrival.id
    }

    /// Submits a request and waits until it is dispatched.
    pub(crate) fn submit_and_dispatch(&mut self, at: usize, arrival: &Arrival) -> RequestId {
        let id = self.submit(at, arrival);
        self.advance(200);
        assert_eq!(
            self.nodes[at].runs(id).len(),
            1,
            "{:?}",
            self.nodes[at].effects
        );
        id
    }

    /// Ends a completion's run with its full answer.
    pub(crate) fn complete(&mut self, at: usize, id: RequestId) {
        let usage = Usage {
            prompt: Tokens(3),
            answer: Tokens(20),
        };
        self.handle(at, Event::RunEnded(id, RunEnd::Completed { usage }));
    }

    /// Ends all of a router's runs with their full answers.
    pub(crate) fn complete_all(&mut self, at: usize) {
        let ids: Vec<_> = self.nodes[at].core.requests.keys().copied().collect();
        ids.into_iter().for_each(|id| self.complete(at, id));
    }

    /// Builds the ledger from all records of the log.
    pub(crate) fn ledger(&self) -> Ledger {
        let mut ledger = Ledger::default();
        for (offset, bytes) in self.records.iter().enumerate() {
            let batch = decode(bytes).expect("a batch");
            ledger.apply(Offset(offset as u64), offset as u64, &batch);
        }
        ledger
    }

    pub(crate) fn key_state(&self, key: &str) -> Option<KeyState> {
        let key = RequestKey {
            account: "yard".parse().expect("a name"),
            key: key.parse().expect("a name"),
        };
        self.ledger().key(&key).cloned()
    }

    /// Returns the amount billed for a request, by the log.
    pub(crate) fn bill(&self, key: &str) -> Option<u64> {
        Some(self.key_state(key)?.bill?.amount.0)
    }

    /// Returns the amount that the team has spent, by the log.
    pub(crate) fn spent(&self) -> u64 {
        let team = "loans".parse().expect("a name");
        self.ledger().team(&team).map_or(0, |team| team.spent.0)
    }
}

impl Node {
    /// Returns the dispatches of a request.
    pub(crate) fn runs(&self, id: RequestId) -> Vec<&Run> {
        let runs = self.effects.iter().filter_map(|effect| match effect {
            Effect::Run(of, run) if *of == id => Some(&**run),
            _ => None,
        });
        runs.collect()
    }

    pub(crate) fn dispatches(&self) -> u64 {
        let runs = self.effects.iter().filter(|e| matches!(e, Effect::Run(..)));
        runs.count() as u64
    }

    /// Returns the problem with which a request was refused or cut.
    pub(crate) fn refusal(&self, id: RequestId) -> Option<&Problem> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Refuse(of, problem) | Effect::Abort(of, problem) if *of == id => {
                Some(&**problem)
            }
            _ => None,
        })
    }

    /// Returns whether the end of a request's answer was released to the caller.
    pub(crate) fn released(&self, id: RequestId) -> bool {
        let release = |effect: &Effect| matches!(effect, Effect::FinishAnswer(of) if *of == id);
        self.effects.iter().any(release)
    }

    /// Returns whether a request's answer was cut off.
    pub(crate) fn cut(&self, id: RequestId) -> bool {
        let cut = |effect: &Effect| matches!(effect, Effect::Abort(of, _) if *of == id);
        self.effects.iter().any(cut)
    }

    /// Returns the status and body replayed from the ledger for a request.
    pub(crate) fn replayed(&self, id: RequestId) -> Option<(u16, &[u8])> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Replay(of, replay) if *of == id => Some((replay.status, &replay.body[..])),
            _ => None,
        })
    }
}

fn vm_list(routers: usize) -> VmList {
    let entry = |vm: &str, port: u16, domain: &str, role: &str, peer: Option<u16>| {
        let mut labels = Labels::default();
        labels.set("role", role);
        if let Some(peer) = peer {
            labels.set("peer", &format!("127.0.0.1:{peer}"));
        }
        VmEntry {
            vm: vm.parse().expect("a name"),
            address: ([127, 0, 0, 1], port).into(),
            domain: domain.parse().expect("a name"),
            labels,
            state: VmState::Live,
        }
    };
    let mut vms = vec![
        entry("engine-0", 9000, "domain-0", "engine", None),
        entry("engine-1", 9001, "domain-1", "engine", None),
        entry("records-0", 9100, "domain-0", "records", None),
    ];
    for at in 0..routers as u16 {
        let vm = format!("router-{at}");
        let domain = format!("domain-{at}");
        vms.push(entry(&vm, 8000 + at, &domain, "router", Some(7000 + at)));
    }
    VmList { as_of: 1, vms }
}

fn config() -> Value {
    let change = |kind: &str, name: &str, body: Value| json!({"kind": kind, "name": name, "base": 0, "body": {kind: body}});
    let rule = |order: u64, what: &str, value: &str, pool: &str| json!({"order": order, "when": {what: [value]}, "team": "loans", "pool": pool});
    json!({"format": 1, "by": "test", "changes": [
        change("pool", "engines", json!({
            "kind": {"engine": {"models": ["demo"], "max_tokens": 1000}}, "select": {"role": ["engine"]},
        })),
        change("pool", "records", json!({
            "kind": {"service": {"name": "records", "price": CALL_TOKENS}}, "select": {"role": ["records"]},
        })),
        change("team", "loans", json!({"bearer": "team"})),
        change("account", "yard", json!({"keys": [KeyHash::of("yard-key").to_string()]})),
        change("rule", "chat", rule(10, "model", "demo", "engines")),
        change("rule", "records", rule(20, "service", "records", "records")),
    ]})
}
