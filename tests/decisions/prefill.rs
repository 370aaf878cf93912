//! Long prompts among short ones: how long the short ones wait for their first token.

use std::time::Duration;
use std::time::Instant;

use jasmineridge::Chooser;
use jasmineridge::Criteria;
use jasmineridge::EjectionLimits;
use jasmineridge::Ejector;
use jasmineridge::PrefixIndex;
use jasmineridge::Prompt;
use jasmineridge::Sample;
use jasmineridge::Usage;
use jasmineridge::VmId;
use rand::RngExt;

use crate::ms;
use crate::name;
use crate::rng;
use crate::start;

const ENGINES: usize = 6;

/// Prefill speed of an engine.
const PREFILL_TOKENS_PER_S: f64 = 85_000.0;

/// Engines that process prompts one at a time and cache the shared prefixes.
struct Engines {
    busy_until: Vec<Instant>,
    cached_prefixes: Vec<Vec<u64>>,
    recomputed_tokens: u64,
}

impl Engines {
    fn new(now: Instant) -> Self {
        Self {
            busy_until: vec![now; ENGINES],
            cached_prefixes: vec![Vec::new(); ENGINES],
            recomputed_tokens: 0,
        }
    }

    /// Queues a prompt at an engine and returns the time of its first token.
    fn prefill(&mut self, now: Instant, at: usize, prompt: &Prompt) -> Instant {
        let cached = self.cached_prefixes[at].contains(&prompt.shared);
        let elsewhere = self
            .cached_prefixes
            .iter()
            .any(|prefixes| prefixes.contains(&prompt.shared));
        let mut tokens = prompt.own_tokens;
        if !cached {
            tokens += prompt.shared_tokens;
            self.cached_prefixes[at].push(prompt.shared);
        }
        if !cached && elsewhere {
            self.recomputed_tokens += prompt.shared_tokens;
        }
        let time = Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_S);
        self.busy_until[at] = self.busy_until[at].max(now) + time;
        self.busy_until[at]
    }
}

/// How an endpoint is chosen for a prompt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Placement {
    /// By the number of requests in progress.
    ByRequestCount,
    /// By the time at which the first token is expected.
    ByFirstToken,
}

/// Sends 4000 prompts, one in five of them long. Returns the 95th percentile of the short ones' waits, and the number
/// of shared prefix tokens that were computed although another engine had them cached.
fn simulate(placement: Placement) -> (Duration, u64) {
    let mut rng = rng();
    let mut now = start();
    let mut chooser = Chooser::new(&name("router-1"));
    let mut health = Ejector::new(EjectionLimits::default());
    let index = PrefixIndex::new();
    let vms: Vec<VmId> = (0..ENGINES).map(|n| name(&format!("engine-{n}"))).collect();
    for vm in &vms {
        chooser.put(vm, &name("domain-0"), &[], 64);
        chooser.fix_limit(vm);
        health.put(now, vm, &name("domain-0"));
    }
    let mut engines = Engines::new(now);
    let mut running: Vec<(Instant, VmId)> = Vec::new();
    let mut waits = Vec::new();
    for _ in 0..4000 {
        now += ms(rng.random_range(10..30));
        let ended = running.extract_if(.., |(end, _)| *end <= now);
        for (_, vm) in ended.collect::<Vec<_>>() {
            chooser.end(now, &vm, Sample::Other);
        }
        let long = rng.random_bool(0.2);
        let prompt = Prompt {
            shared: rng.random_range(0..100),
            shared_tokens: if long { 5000 } else { 200 },
            own_tokens: if long {
                rng.random_range(1000..50_000)
            } else {
                600
            },
        };
        let criteria = Criteria {
            model: None,
            prefix: &[],
            domain: &name("domain-0"),
            excluded: &[],
            usage: Usage::Heavy,
            prompt: (placement == Placement::ByFirstToken).then_some(prompt),
        };
        let choice = chooser.choose(now, &criteria, &index, &health, &mut rng);
        let choice = choice.expect("all endpoints have room");
        let vm = choice.endpoint.clone();
        let at = vms
            .iter()
            .position(|other| *other == vm)
            .expect("the chosen endpoint exists");
        chooser.start(now, &vm);
        let expected = chooser.record_prompt(now, &choice, &prompt);
        let first = engines.prefill(now, at, &prompt);
        if let Some((unread, expected)) = expected {
            chooser.record_first_token(first, &vm, now, expected, unread);
        }
        running.push((first + ms(1000), vm));
        if !long {
            waits.push(first - now);
        }
    }
    waits.sort();
    (waits[waits.len() * 95 / 100], engines.recomputed_tokens)
}

/// One prompt in five is long. Placed by the number of requests in progress, short prompts wait until long ones before
/// them are processed. Placed by when their first token is expected, nearly all of them find an engine without a long
/// prompt, and shared prefixes are recomputed no more often.
#[test]
fn short_prompts_do_not_wait_behind_long_ones() {
    let (by_count, count_recomputed) = simulate(Placement::ByRequestCount);
    let (by_time, time_recomputed) = simulate(Placement::ByFirstToken);
    println!(
        "by count {by_count:?}, {count_recomputed} tokens recomputed; by time {by_time:?}, {time_recomputed} tokens recomputed"
    );
    assert!(by_time * 3 < by_count, "{by_time:?} against {by_count:?}");
    assert!(
        time_recomputed <= count_recomputed,
        "{time_recomputed} against {count_recomputed}"
    );
}
