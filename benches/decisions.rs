//! What one decision costs with 4,100 endpoints known; prints microseconds and fails nothing.
#![expect(
    clippy::disallowed_methods,
    reason = "a benchmark measures time by the clock"
)]

use std::hint::black_box;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use jasmineridge::BlockHash;
use jasmineridge::Chooser;
use jasmineridge::Criteria;
use jasmineridge::DomainId;
use jasmineridge::EjectionLimits;
use jasmineridge::Ejector;
use jasmineridge::FairQueue;
use jasmineridge::Load;
use jasmineridge::ModelId;
use jasmineridge::Observation;
use jasmineridge::Peer;
use jasmineridge::PrefixIndex;
use jasmineridge::Quarantine;
use jasmineridge::QueueTicket;
use jasmineridge::Tokens;
use jasmineridge::Usage;
use jasmineridge::VmId;
use jasmineridge::advise;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The sizes that the project is designed for.
const ENDPOINTS: usize = 4100;
const ROUTERS: usize = 370;
const MODELS: usize = 35;
const DOMAINS: usize = 5;

/// Blocks of a prompt of 4,800 tokens.
const PROMPT: u64 = 300;

/// Requests waiting in the queue, and teams that they are of.
const WAITING: usize = 1000;
const TEAMS: usize = 430;

const ROUNDS: u32 = 20_000;

fn name<T>(prefix: &str, at: usize) -> T
where
    T: FromStr,
    T::Err: std::fmt::Debug,
{
    format!("{prefix}{at}").parse().expect("a name")
}

/// Prints the mean of many rounds and the 99th of 100 of their times.
fn measure<F>(what: &str, mut round: F)
where
    F: FnMut(u32),
{
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|n| {
            let begin = Instant::now();
            round(n);
            begin.elapsed()
        })
        .collect();
    let mean = times.iter().sum::<Duration>() / ROUNDS;
    times.sort();
    let worst = times[times.len() * 99 / 100];
    println!(
        "{what:44} {:8.2} us mean {:8.2} us p99",
        mean.as_secs_f64() * 1e6,
        worst.as_secs_f64() * 1e6
    );
}

struct Fleet {
    vms: Vec<VmId>,
    chooser: Chooser,
    ejector: Ejector,
    index: PrefixIndex,
    rng: ChaCha8Rng,
}

/// Knows 4,100 endpoints, each with two of 35 models, a load report and some prefixes.
fn fleet(now: Instant) -> Fleet {
    let mut fleet = Fleet {
        vms: (0..ENDPOINTS).map(|n| name("endpoint-", n)).collect(),
        chooser: Chooser::new(&name("router-", 0)),
        ejector: Ejector::new(EjectionLimits::default()),
        index: PrefixIndex::new(),
        rng: ChaCha8Rng::seed_from_u64(1),
    };
    for (n, vm) in fleet.vms.iter().enumerate() {
        let domain: DomainId = name("domain-", n % DOMAINS);
        let models: [ModelId; 2] = [name("model-", n % MODELS), name("model-", (n + 1) % MODELS)];
        fleet.chooser.put(vm, &domain, &models, 32);
        fleet.ejector.put(now, vm, &domain);
        let load = Load {
            running: (n % 16) as u32,
            waiting: 0,
            measured: now,
        };
        fleet.chooser.report(now, vm, load);
        let time = Duration::from_millis(100 + n as u64 % 50);
        for _ in 0..8 {
            let evidence = Observation::Answered(time);
            fleet.ejector.record(now, vm, evidence, &mut fleet.rng);
        }
        fleet.index.record_cached(vm, &prompt(n as u64 % 1300));
    }
    fleet
}

fn prompt(session: u64) -> Vec<BlockHash> {
    let hash =
        |block: u64| BlockHash((session * PROMPT + block).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    (0..PROMPT).map(hash).collect()
}

fn choices(now: Instant) {
    let mut fleet = fleet(now);
    let domain: DomainId = name("domain-", 0);
    let models: Vec<ModelId> = (0..MODELS).map(|n| name("model-", n)).collect();
    let prompts: Vec<_> = (0..1300).map(prompt).collect();
    let mut choose = |what: &str, model: Option<usize>, known: bool| {
        measure(what, |n| {
            let wish = Criteria {
                model: model.map(|_| &models[n as usize % MODELS]),
                prefix: if known {
                    &prompts[n as usize % 1300]
                } else {
                    &[]
                },
                domain: &domain,
                excluded: &[],
                usage: Usage::Heavy,
                prompt: None,
            };
            let chosen =
                fleet
                    .chooser
                    .choose(now, &wish, &fleet.index, &fleet.ejector, &mut fleet.rng);
            black_box(chosen);
        });
    };
    choose("choose, any model, no prompt", None, false);
    choose("choose, one of 35 models, no prompt", Some(0), false);
    choose("choose, one of 35 models, prompt of 300", Some(0), true);
    let mut fleet = self::fleet(now);
    measure("start and end at an endpoint", |n| {
        let vm = &fleet.vms[n as usize % ENDPOINTS];
        fleet.chooser.start(now, vm);
        fleet.chooser.end(now, vm, jasmineridge::Sample::Other);
    });
    measure("learn a prompt of 300 blocks", |n| {
        let vm = &fleet.vms[n as usize % ENDPOINTS];
        fleet.index.record_cached(vm, &prompts[n as usize % 1300]);
    });
    measure("record an answer of an endpoint", |n| {
        let vm = &fleet.vms[n as usize % ENDPOINTS];
        let now = now + Duration::from_millis(u64::from(n));
        let evidence = Observation::Answered(Duration::from_millis(100));
        fleet.ejector.record(now, vm, evidence, &mut fleet.rng);
    });
}

fn ticket(n: usize, now: Instant) -> QueueTicket {
    QueueTicket {
        team: name("team-", n % TEAMS),
        account: name("account-", n % 320),
        priority: (n % 10) as u8,
        weight: 1,
        cost: Tokens(1000),
        deadline: now + Duration::from_secs(3600),
    }
}

fn queues(now: Instant) {
    let mut queue = FairQueue::new(WAITING * 2, ChaCha8Rng::seed_from_u64(1));
    for n in 0..WAITING {
        queue.push(now, n, ticket(n, now)).expect("it has room");
    }
    measure("push and pop, 1000 waiting of 430 teams", |n| {
        let n = n as usize;
        let now = now + Duration::from_micros(n as u64);
        black_box(queue.push(now, n, ticket(n, now)).is_ok());
        black_box(queue.pop(now));
    });
}

fn rest(now: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let peers: Vec<_> = (0..ROUTERS)
        .map(|n| Peer {
            vm: name("router-", n),
            domain: name("domain-", n % DOMAINS),
            address: format!("10.0.0.{n}:80"),
            load: 0.5,
            leaving: false,
        })
        .collect();
    measure("advise among 370 routers", |_| {
        black_box(advise(&peers, None, &mut rng));
    });
    let mut quarantine = Quarantine::new();
    let vms: Vec<VmId> = (0..ENDPOINTS).map(|n| name("endpoint-", n)).collect();
    for (n, vm) in vms.iter().take(32).enumerate() {
        quarantine.start(jasmineridge::Fingerprint(n as u64), vm);
    }
    quarantine.add_suspect(now, jasmineridge::Fingerprint(3), &vms[40]);
    measure("avoid, 32 endpoints running, one suspect", |n| {
        black_box(quarantine.avoided_endpoints(jasmineridge::Fingerprint(u64::from(n) + 100)));
    });
}

/// Returns how much memory the process has, in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or_default() * 4096
}

/// Prints what one of `count` things takes.
fn weigh<T, F>(what: &str, count: usize, make: F)
where
    F: FnOnce() -> T,
{
    let before = resident();
    let made = make();
    let taken = resident().saturating_sub(before);
    println!(
        "{what:44} {:8.2} MB, {:6} bytes each",
        taken as f64 / 1e6,
        taken / count
    );
    // What is given back would be used by the next one, and not be seen.
    std::mem::forget(made);
}

fn memory(now: Instant) {
    let vms: Vec<VmId> = (0..ENDPOINTS).map(|n| name("endpoint-", n)).collect();
    weigh("1,000 requests waiting, of 430 teams", WAITING, || {
        let mut queue = FairQueue::new(WAITING * 2, ChaCha8Rng::seed_from_u64(1));
        for n in 0..WAITING {
            queue.push(now, n, ticket(n, now)).expect("it has room");
        }
        queue
    });
    weigh("4,100 endpoints, chooser and ejector", ENDPOINTS, || {
        let mut chooser = Chooser::new(&name("router-", 0));
        let mut ejector = Ejector::new(EjectionLimits::default());
        for (n, vm) in vms.iter().enumerate() {
            let domain: DomainId = name("domain-", n % DOMAINS);
            chooser.put(vm, &domain, &[name("model-", n % MODELS)], 32);
            ejector.put(now, vm, &domain);
        }
        (chooser, ejector)
    });
    weigh("400,000 blocks with one holder", 400_000, || {
        let mut index = PrefixIndex::new();
        for (session, vm) in vms.iter().take(1334).enumerate() {
            index.record_cached(vm, &prompt(session as u64));
        }
        index
    });
}

fn main() {
    let now = Instant::now();
    memory(now);
    choices(now);
    queues(now);
    rest(now);
}
