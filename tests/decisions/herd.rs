//! Callers that choose their router by advice, when one dies and another leaves.

use jasmineridge::Peer;
use jasmineridge::advise;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::name;
use crate::rng;

const CALLERS: usize = 3000;
const ROUTERS: usize = 6;

struct Caller {
    router: usize,
    alternates: Vec<usize>,
    valid_until: f64,
}

/// What became of the callers: the most that one router had after a death, of an equal share; the most questions in a
/// second; and how long a leaving router still had callers.
#[derive(Debug)]
struct Measured {
    max_share: f64,
    peak_queries: usize,
    drain_secs: f64,
}

fn peers(callers: &[Caller], dead: Option<usize>, leaving: Option<usize>) -> Vec<Peer> {
    let alive = (0..ROUTERS).filter(|r| Some(*r) != dead);
    alive
        .map(|r| Peer {
            vm: name(&format!("r{r}")),
            domain: name(&format!("d{}", r % 3)),
            address: r.to_string(),
            load: caller_count(callers, r) as f64 / (CALLERS as f64 / 4.0),
            leaving: Some(r) == leaving,
        })
        .collect()
}

fn caller_count(callers: &[Caller], router: usize) -> usize {
    callers.iter().filter(|c| c.router == router).count()
}

/// Asks for advice; the plain answer is the first router, and all others in order, for a minute.
fn request_advice(
    caller: &mut Caller,
    now: f64,
    peers: &[Peer],
    baseline: bool,
    rng: &mut ChaCha8Rng,
) {
    let index = |address: &str| address.parse::<usize>().expect("a number");
    if baseline {
        let mut order: Vec<_> = peers
            .iter()
            .filter(|p| !p.leaving)
            .map(|p| index(&p.address))
            .collect();
        // Its generous side: callers start evenly spread, and stay where they are while they can.
        if let Some(at) = order.iter().position(|r| *r >= caller.router) {
            order.rotate_left(at);
        }
        caller.router = order[0];
        caller.alternates = order[1..].to_vec();
        caller.valid_until = now + 60.0;
        return;
    }
    let advice = advise(peers, None, rng).expect("some are alive");
    caller.router = index(&advice.address);
    caller.alternates = advice.alternates.iter().map(|a| index(a)).collect();
    caller.valid_until = now + advice.ttl.as_secs_f64();
}

fn simulate(baseline: bool) -> Measured {
    let mut rng = rng();
    let mut callers: Vec<_> = (0..CALLERS)
        .map(|n| Caller {
            router: n % ROUTERS,
            alternates: Vec::new(),
            valid_until: 0.0,
        })
        .collect();
    let mut measured = Measured {
        max_share: 0.0,
        peak_queries: 0,
        drain_secs: 0.0,
    };
    let mut known = peers(&callers, None, None);
    for now in 0..300 {
        let dead = (now >= 100).then_some(0);
        let leaving = (now >= 200).then_some(1);
        // The VM list and the loads are known two seconds late.
        if now % 2 == 0 {
            known = peers(&callers, (now >= 102).then_some(0), leaving);
        }
        let mut queries = 0;
        for caller in &mut callers {
            // Each calls every other second on average.
            if rng.random_range(0..2) > 0 {
                continue;
            }
            if f64::from(now) >= caller.valid_until {
                request_advice(caller, f64::from(now), &known, baseline, &mut rng);
                queries += 1;
            }
            if Some(caller.router) == dead && !caller.alternates.is_empty() {
                caller.router = caller.alternates.remove(0);
            }
        }
        let even_share = CALLERS as f64 / (ROUTERS - 1) as f64;
        if (101..200).contains(&now) {
            let max = (1..ROUTERS).map(|r| caller_count(&callers, r)).max();
            measured.max_share = measured
                .max_share
                .max(max.unwrap_or_default() as f64 / even_share);
        }
        if now > 60 {
            measured.peak_queries = measured.peak_queries.max(queries);
        }
        if now >= 200 && caller_count(&callers, 1) > 0 {
            measured.drain_secs = f64::from(now - 200);
        }
    }
    measured
}

/// A router dies and its callers go to their alternates; later another leaves. If all of them have the same next one, that
/// one falls over in its turn.
#[test]
fn callers_spread_after_a_router_crash() {
    let library = simulate(false);
    let baseline = simulate(true);
    println!("herd: library {library:?}\nherd: baseline {baseline:?}");
    assert!(library.max_share < 1.2 && baseline.max_share > 1.5);
    // An answer is kept for 45 s at most, is 2 s old, and is only missed at the next call, up to some seconds later.
    assert!(library.drain_secs <= 55.0 && library.drain_secs <= baseline.drain_secs);
    assert!(library.peak_queries < baseline.peak_queries);
}
