//! Random interleavings of events: nothing panics, no budget is exceeded, each request is billed once, and a call that
//! must not be repeated reaches its service at most once.

use std::time::Duration;

use indexmap::IndexMap;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::ids::RequestId;
use crate::ledger::Ledger;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Failure;
use crate::router::PeerFailure;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::router::request::State;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::LogState;
use crate::router::tests::cluster::tuning;
use crate::tokens::Tokens;

/// The team's prepaid budget: enough for only some of the requests.
const BUDGET_TOKENS: u64 = 1_500;

/// Seed of the random steps.
const SEED: u64 = 1;

/// One random event; the numbers select the router, the key and other parameters.
#[derive(Clone, Debug)]
enum Step {
    Chat(usize, u8, u8),
    Call(usize, u8, u8),
    HungUp(usize, usize),
    Ended(usize, usize, u8),
    Log(u8),
    Link(bool),
    Advance(u16),
    ClockJump(u16),
    Paused(usize),
    Unheard(usize, u8),
    TopUp(u8, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g) % 2;
        let index = usize::arbitrary(g);
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 24 {
            0..=4 => Self::Chat(at, a, b),
            5..=8 => Self::Call(at, a, b),
            9 => Self::HungUp(at, index),
            10..=13 => Self::Ended(at, index, a),
            14 => Self::Log(a),
            15 => Self::Link(a % 3 > 0),
            16..=20 => Self::Advance(u16::from(a)),
            21 => match b % 4 {
                0 => Self::ClockJump(u16::from(a) * 40),
                1 => Self::Paused(at),
                _ => Self::Advance(u16::from(a) * 4),
            },
            22 => Self::Unheard(at, a),
            _ => Self::TopUp(a, b),
        }
    }
}

/// A cluster under test and what the test has recorded about its calls.
struct Trial {
    cluster: Cluster,
    /// The key of each call and the router that it was submitted to.
    calls: IndexMap<RequestId, (String, usize)>,
    /// The number of each call's dispatches that are known not to have reached the service.
    undelivered: IndexMap<RequestId, usize>,
}

impl Trial {
    fn new() -> Self {
        let mut cluster = Cluster::without_budget(vec![tuning(0), tuning(1)]);
        cluster.top_up("first", BUDGET_TOKENS);
        Self {
            cluster,
            calls: IndexMap::new(),
            undelivered: IndexMap::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        let cluster = &mut self.cluster;
        match *step {
            Step::Chat(at, key, attempt) => {
                let ask = cluster.chat(&format!("chat-{}", key % 12), u64::from(attempt % 4));
                cluster.submit(at, &ask);
            }
            Step::Call(at, key, attempt) => {
                let key = format!("call-{}", key % 12);
                let ask = cluster.call(&key, u64::from(attempt % 4));
                let id = cluster.submit(at, &ask);
                self.calls.insert(id, (key, at));
            }
            Step::HungUp(at, index) => {
                if let Some(id) = self.pick(at, index) {
                    self.cluster.handle(at, Event::CallerGone(id));
                }
            }
            Step::Ended(at, index, how) => {
                if let Some(id) = self.pick(at, index) {
                    let end = self.end(id, how);
                    let state = &self.cluster.nodes[at].core.requests[&id].state;
                    let running = matches!(state, State::Running { .. });
                    if running && matches!(end, RunEnd::NotRun { .. } | RunEnd::Unsent) {
                        *self.undelivered.entry(id).or_default() += 1;
                    }
                    self.cluster.handle(at, Event::RunEnded(id, end));
                }
            }
            Step::Log(how) => {
                cluster.log = match how % 4 {
                    0 => LogState::Down,
                    1 => LogState::LosesResponses,
                    _ => LogState::Up,
                }
            }
            Step::Link(linked) => cluster.connected = linked,
            Step::Advance(millis) => cluster.advance(u64::from(millis)),
            Step::ClockJump(millis) => cluster.now += Duration::from_millis(u64::from(millis)),
            Step::Paused(at) => {
                cluster.now += Duration::from_secs(5);
                cluster.handle(at, Event::Paused);
            }
            Step::Unheard(at, kind) => {
                let vm = format!("router-{}", 1 - at).parse().expect("a name");
                let silence = match kind % 3 {
                    0 => PeerFailure::Refused,
                    1 => PeerFailure::Mute,
                    _ => PeerFailure::Unreachable,
                };
                cluster.handle(at, Event::HeartbeatFailed(vm, silence));
            }
            Step::TopUp(id, amount) => cluster.top_up(&format!("t{}", id % 4), u64::from(amount)),
        }
    }

    /// Selects one of a router's requests in progress.
    fn pick(&self, at: usize, index: usize) -> Option<RequestId> {
        let requests = &self.cluster.nodes[at].core.requests;
        let count = requests.len();
        let (id, _) = requests.get_index(index.checked_rem(count)?)?;
        Some(*id)
    }

    fn end(&self, id: RequestId, how: u8) -> RunEnd {
        let usage = Usage {
            prompt: Tokens(3),
            answer: Tokens(u64::from(how)),
        };
        let known = how.is_multiple_of(2).then_some(usage);
        match (how % 7, self.calls.contains_key(&id)) {
            (0, _) => RunEnd::NotRun { retry: None },
            (1, _) => RunEnd::Failed {
                usage: known,
                answer_begun: false,
                failure: match how > 128 {
                    true => Failure::Died,
                    false => Failure::Answered,
                },
            },
            (2, _) => RunEnd::Unsent,
            (_, true) => RunEnd::Answered {
                status: 201,
                body: Some(vec![how]),
            },
            (3, _) => RunEnd::Failed {
                usage: known,
                answer_begun: true,
                failure: Failure::Answered,
            },
            (4, _) => RunEnd::CallerGone { usage: known },
            _ => RunEnd::Completed { usage },
        }
    }

    /// Restores the log and the link, then runs until the cluster has settled.
    fn recover(&mut self) {
        self.cluster.log = LogState::Up;
        self.cluster.connected = true;
        self.cluster.advance(3000);
    }

    fn check(&self) -> Result<(), String> {
        let ledger = self.cluster.ledger();
        let team = "loans".parse().expect("a name");
        let state = ledger.team(&team).ok_or("no team")?;
        let held: Tokens = ledger
            .routers()
            .map(|(router, _)| ledger.holding(router, &team))
            .map(|holding| holding.free + holding.claimed)
            .sum();
        if state.spent + state.lost + held > state.prepaid {
            return Err(format!("budget exceeded: {state:?}"));
        }
        let bills: Tokens = ledger
            .keys()
            .filter_map(|(_, key)| key.bill.as_ref())
            .map(|bill| bill.amount)
            .sum();
        if bills != state.spent {
            return Err(format!(
                "bills add up to {bills}, but {} was spent",
                state.spent
            ));
        }
        self.check_ledger_budgets(&ledger)?;
        self.check_calls()
    }

    /// With no appends pending, a router must not have more available for reservations than the ledger grants it.
    fn check_ledger_budgets(&self, ledger: &Ledger) -> Result<(), String> {
        for node in &self.cluster.nodes {
            let core = &node.core;
            for (team, budget) in &core.ledger_budgets {
                let free = ledger.holding(core.me, team).free;
                let credit = core.appender.waiting() > 0;
                if !credit && budget.available(free) > free {
                    return Err(format!(
                        "ledger budget offers {} of {free} free tokens",
                        budget.available(free)
                    ));
                }
            }
        }
        Ok(())
    }

    /// A call reaches its service at most once per key, and one that did is never refused as not run.
    fn check_calls(&self) -> Result<(), String> {
        let mut ran: IndexMap<&str, usize> = IndexMap::new();
        for (id, (key, at)) in &self.calls {
            let node = &self.cluster.nodes[*at];
            let undelivered = self.undelivered.get(id).copied().unwrap_or_default();
            let reached = node.runs(*id).len() - undelivered;
            let refused = node.refusal(*id);
            if reached > 0 && refused.is_some_and(|problem| problem.ran == Ran::No) {
                return Err(format!("{key} was refused as not run and ran"));
            }
            *ran.entry(key).or_default() += reached;
        }
        match ran.iter().find(|(_, times)| **times > 1) {
            Some((key, times)) => Err(format!("{key} reached its service {times} times")),
            None => Ok(()),
        }
    }
}

fn invariants_hold(steps: Vec<Step>) -> Result<(), String> {
    let mut trial = Trial::new();
    for step in &steps {
        trial.step(step);
    }
    trial.recover();
    let exits = |effect: &Effect| matches!(effect, Effect::Exit { .. });
    if trial
        .cluster
        .nodes
        .iter()
        .any(|node| node.effects.iter().any(exits))
    {
        return Err("a router exited".to_owned());
    }
    trial.check()
}

#[test]
fn no_interleaving_breaks_an_invariant() {
    println!("seed={SEED}");
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(120, SEED))
        .quickcheck(invariants_hold as fn(Vec<Step>) -> Result<(), String>);
}
