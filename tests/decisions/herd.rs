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
    until: f64,
}

/// What became of the callers: the most that one router had after a death, of an equal share; the most questions in a
/// second; and how long a leaving router still had callers.
#[derive(Debug)]
struct Herd {
    most: f64,
    asked: usize,
    left: f64,
}

fn peers(callers: &[Caller], dead: Option<usize>, leaving: Option<usize>) -> Vec<Peer> {
    let alive = (0..ROUTERS).filter(|r| Some(*r) != dead);
    alive
        .map(|r| Peer {
            vm: name(&format!("r{r}")),
            domain: name(&format!("d{}", r % 3)),
            address: r.to_string(),
            load: count(callers, r) as f64 / (CALLERS as f64 / 4.0),
            leaving: Some(r) == leaving,
        })
        .collect()
}

fn count(callers: &[Caller], router: usize) -> usize {
    callers.iter().filter(|c| c.router == router).count()
}

/// Asks for advice; the plain answer is the first router, and all others in order, for a minute.
fn ask(caller: &mut Caller, now: f64, peers: &[Peer], plain: bool, rng: &mut ChaCha8Rng) {
    let number = |address: &str| address.parse::<usize>().expect("a number");
    if plain {
        let mut order: Vec<_> = peers
            .iter()
            .filter(|p| !p.leaving)
            .map(|p| number(&p.address))
            .collect();
        // Its generous side: callers start evenly spread, and stay where they are while they can.
        if let Some(at) = order.iter().position(|r| *r >= caller.router) {
            order.rotate_left(at);
        }
        caller.router = order[0];
        caller.alternates = order[1..].to_vec();
        caller.until = now + 60.0;
        return;
    }
    let advice = advise(peers, None, rng).expect("some are alive");
    caller.router = number(&advice.address);
    caller.alternates = advice.alternates.iter().map(|a| number(a)).collect();
    caller.until = now + advice.ttl.as_secs_f64();
}

fn herd(plain: bool) -> Herd {
    let mut rng = rng();
    let mut callers: Vec<_> = (0..CALLERS)
        .map(|n| Caller {
            router: n % ROUTERS,
            alternates: Vec::new(),
            until: 0.0,
        })
        .collect();
    let mut herd = Herd {
        most: 0.0,
        asked: 0,
        left: 0.0,
    };
    let mut known = peers(&callers, None, None);
    for now in 0..300 {
        let dead = (now >= 100).then_some(0);
        let leaving = (now >= 200).then_some(1);
        // The VM list and the loads are known two seconds late.
        if now % 2 == 0 {
            known = peers(&callers, (now >= 102).then_some(0), leaving);
        }
        let mut asked = 0;
        for caller in &mut callers {
            // Each calls every other second on average.
            if rng.random_range(0..2) > 0 {
                continue;
            }
            if f64::from(now) >= caller.until {
                ask(caller, f64::from(now), &known, plain, &mut rng);
                asked += 1;
            }
            if Some(caller.router) == dead && !caller.alternates.is_empty() {
                caller.router = caller.alternates.remove(0);
            }
        }
        let even = CALLERS as f64 / (ROUTERS - 1) as f64;
        if (101..200).contains(&now) {
            let most = (1..ROUTERS).map(|r| count(&callers, r)).max();
            herd.most = herd.most.max(most.unwrap_or_default() as f64 / even);
        }
        if now > 60 {
            herd.asked = herd.asked.max(asked);
        }
        if now >= 200 && count(&callers, 1) > 0 {
            herd.left = f64::from(now - 200);
        }
    }
    herd
}

/// A router dies and its callers go to their alternates; later another leaves. If all of them have the same next one, that
/// one falls over in its turn.
#[test]
fn herd_after_a_death() {
    let ours = herd(false);
    let plain = herd(true);
    println!("herd: ours {ours:?}\nherd: plain {plain:?}");
    assert!(ours.most < 1.2 && plain.most > 1.5);
    // An answer is kept for 45 s at most, is 2 s old, and is only missed at the next call, up to some seconds later.
    assert!(ours.left <= 55.0 && ours.left <= plain.left);
    assert!(ours.asked < plain.asked);
}
