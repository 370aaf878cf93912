//! Callers that choose a router by advice, while one router crashes and another one leaves.

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

/// Results of a simulation: the largest number of callers on one router after the crash, relative to an equal share;
/// the most requests for advice in one second; and how long the leaving router still had callers.
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

/// Requests advice for a caller. The baseline advice is the first router with all others as alternates, in order, valid
/// for a minute.
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
        // Simplified in favor of the baseline: callers start evenly spread, and stay on their router while they can.
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
        // Advice follows the VM list and the loads with a delay of two seconds.
        if now % 2 == 0 {
            known = peers(&callers, (now >= 102).then_some(0), leaving);
        }
        let mut queries = 0;
        for caller in &mut callers {
            // Each caller sends a request every other second on average.
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

/// A router crashes and its callers switch to their alternates; later another router leaves. Guards against advice that
/// names the same alternate to all callers, which would overload that router next.
#[test]
fn callers_spread_after_a_router_crash() {
    let library = simulate(false);
    let baseline = simulate(true);
    println!("herd: library {library:?}\nherd: baseline {baseline:?}");
    assert!(library.max_share < 1.2 && baseline.max_share > 1.5);
    // Advice is valid for 45 s at most and based on data 2 s old. A caller notices the expiry at its next request, up
    // to some seconds later.
    assert!(library.drain_secs <= 55.0 && library.drain_secs <= baseline.drain_secs);
    assert!(library.peak_queries < baseline.peak_queries);
}
