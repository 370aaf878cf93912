//! Shared prompt prefixes in a large fleet: how many engines compute them and how long first tokens take.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use jasmineridge::Chooser;
use jasmineridge::Criteria;
use jasmineridge::EjectionLimits;
use jasmineridge::Ejector;
use jasmineridge::PrefixIndex;
use jasmineridge::Prompt;
use jasmineridge::Usage;
use jasmineridge::VmId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::ms;
use crate::name;
use crate::rng;
use crate::start;

const ROUTERS: usize = 60;
const ENGINES: usize = 90;

/// Prefill speed of an engine.
const PREFILL_TOKENS_PER_S: f64 = 85_000.0;

/// A fleet whose routers exchange no information.
struct Fleet {
    now: Instant,
    rng: ChaCha8Rng,
    routers: Vec<Chooser>,
    health: Ejector,
    /// For each engine, the time at which it has processed all prompts sent to it.
    busy_until: Vec<Instant>,
    /// First tokens that are still to come.
    pending: Vec<PendingToken>,
}

struct PendingToken {
    due: Instant,
    router: usize,
    engine: VmId,
    sent: Instant,
    expected: Instant,
    unread: u64,
}

impl Fleet {
    fn new() -> Self {
        let now = start();
        let mut health = Ejector::new(EjectionLimits::default());
        let engines: Vec<VmId> = (0..ENGINES).map(engine).collect();
        let routers = (0..ROUTERS).map(|n| {
            let mut router = Chooser::new(&name(&format!("router-{n}")));
            for vm in &engines {
                router.put(vm, &name("domain-0"), &[], 32);
                router.fix_limit(vm);
            }
            router.set_router_count(ROUTERS);
            router
        });
        let routers = routers.collect();
        for vm in &engines {
            health.put(now, vm, &name("domain-0"));
        }
        Self {
            now,
            rng: rng(),
            routers,
            health,
            busy_until: vec![now; ENGINES],
            pending: Vec::new(),
        }
    }

    /// Sends a prompt from a random router. Returns the chosen engine and the time to the first token.
    fn send(&mut self, prompt: Prompt) -> (VmId, Duration) {
        self.record_first_tokens();
        let at = self.rng.random_range(0..ROUTERS);
        let domain = name("domain-0");
        let criteria = Criteria {
            model: None,
            prefix: &[],
            domain: &domain,
            excluded: &[],
            usage: Usage::Heavy,
            prompt: Some(prompt),
        };
        let index = PrefixIndex::new();
        let choice =
            self.routers[at].choose(self.now, &criteria, &index, &self.health, &mut self.rng);
        let choice = choice.expect("all endpoints have room");
        let sent = self.routers[at].record_prompt(self.now, &choice, &prompt);
        let (unread, expected) = sent.expect("the endpoint is known");
        let vm = choice.endpoint;
        let position = (0..ENGINES).find(|n| engine(*n) == vm);
        let busy_until = &mut self.busy_until[position.expect("the chosen endpoint exists")];
        *busy_until = (*busy_until).max(self.now)
            + Duration::from_secs_f64(unread as f64 / PREFILL_TOKENS_PER_S);
        self.pending.push(PendingToken {
            due: *busy_until,
            router: at,
            engine: vm.clone(),
            sent: self.now,
            expected,
            unread,
        });
        (vm, *busy_until - self.now)
    }

    fn record_first_tokens(&mut self) {
        let now = self.now;
        for token in self.pending.extract_if(.., |token| token.due <= now) {
            let PendingToken {
                due,
                router,
                engine,
                sent,
                expected,
                unread,
            } = token;
            self.routers[router].record_first_token(due, &engine, sent, expected, unread);
        }
    }
}

fn engine(at: usize) -> VmId {
    name(&format!("engine-{at}"))
}

/// Sixty routers and ninety engines, with the same prefixes in use at all routers. When each router chose among engines
/// of its own, nearly every router had a prefix computed again on another engine: callers waited for prefixes that were
/// cached elsewhere, and the engines were busy with prefill.
#[test]
fn routers_agree_on_the_engine_of_a_shared_prefix() {
    let mut fleet = Fleet::new();
    let mut engine_counts = Vec::new();
    for shared in 0..100 {
        let mut engines = IndexSet::new();
        for _ in 0..8 {
            fleet.now += ms(40);
            let prompt = Prompt {
                shared,
                shared_tokens: 5000,
                own_tokens: 1000,
            };
            engines.insert(fleet.send(prompt).0);
        }
        engine_counts.push(engines.len());
    }
    let mean = engine_counts.iter().sum::<usize>() as f64 / engine_counts.len() as f64;
    println!("a shared prefix is prefilled on {mean} engines");
    assert!(mean < 2.0, "a shared prefix is prefilled on {mean} engines");
}

/// One prefix is in use two hundred times a second, eleven times as often as one engine can process the prompts. Each
/// router sees three of these requests a second and does not know about the others. On one engine, waits would grow
/// without bound; with it on every engine, all engines would be kept from serving their other prefixes.
#[test]
fn a_prefix_in_high_demand_is_kept_on_several_engines() {
    let mut fleet = Fleet::new();
    let mut engines = IndexSet::new();
    let mut waits = Vec::new();
    for n in 0..4000 {
        fleet.now += ms(5);
        let prompt = Prompt {
            shared: 7,
            shared_tokens: 5000,
            own_tokens: 5000,
        };
        let (vm, wait) = fleet.send(prompt);
        // Routers have measured the demand after five seconds.
        if n >= 1000 {
            engines.insert(vm);
            waits.push(wait);
        }
    }
    waits.sort();
    let p95 = waits[waits.len() * 95 / 100];
    println!("{} engines, 95% within {p95:?}", engines.len());
    assert!(p95 < ms(600), "95% within {p95:?}");
    assert!(
        engines.len() <= 45,
        "{} engines prefilled the shared prefix",
        engines.len()
    );
}
