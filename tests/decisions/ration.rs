//! Budgets that run out before there is more, judged by which callers are served.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use jasmineridge::PriorityDemand;
use jasmineridge::Remainder;
use jasmineridge::Tokens;
use rand::RngExt;

use crate::ms;
use crate::rng;
use crate::start;

/// The time over which demand is averaged.
const WINDOW: Duration = Duration::from_secs(5);

/// How long a cut from the log is thought to last.
const CUT: Duration = Duration::from_secs(9);

/// A kind of requests: its priority, how many come a second, and what one uses.
struct Kind {
    priority: u8,
    rate: f64,
    size: u64,
}

/// Many small urgent ones, few that use most of the tokens, and many that can wait.
const KINDS: [Kind; 3] = [
    Kind {
        priority: 0,
        rate: 38.0,
        size: 1_100,
    },
    Kind {
        priority: 1,
        rate: 24.0,
        size: 12_000,
    },
    Kind {
        priority: 2,
        rate: 38.0,
        size: 2_400,
    },
];

/// How the rest of a budget is given out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Paid {
    /// To whoever comes first.
    InOrder,
    /// To the most urgent first.
    ByUrgency,
}

/// Plays a cut in which so many seconds of demand are held, and returns the part of each priority's requests that was
/// served.
fn play(paid: Paid, held: f64) -> IndexMap<u8, f64> {
    let mut rng = rng();
    let mut now = start();
    let mut ration = PriorityDemand::new(WINDOW);
    let demand: f64 = KINDS.iter().map(|kind| kind.rate * kind.size as f64).sum();
    let mut left = Tokens((demand * held) as u64);
    let warm = now + Duration::from_secs(15);
    let end = warm + CUT;
    let mut served: IndexMap<u8, (u32, u32)> = IndexMap::new();
    while now < end {
        now += ms(1);
        for kind in &KINDS {
            if !rng.random_bool(kind.rate / 1000.0) {
                continue;
            }
            let size = Tokens(rng.random_range(kind.size / 2..kind.size * 3 / 2));
            ration.record(now, kind.priority, size);
            if now < warm {
                continue;
            }
            let rest = rest(left, &ration, now, end);
            let pays = paid == Paid::InOrder || ration.admits(now, &rest, kind.priority, size);
            let (asked, had) = served.entry(kind.priority).or_default();
            *asked += 1;
            if pays && size <= left {
                left -= size;
                *had += 1;
            }
        }
    }
    served
        .into_iter()
        .map(|(priority, (asked, had))| (priority, f64::from(had) / f64::from(asked)))
        .collect()
}

fn rest(left: Tokens, ration: &PriorityDemand, now: Instant, end: Instant) -> Remainder {
    Remainder {
        left,
        demand: ration.rate(now),
        lasts: end.saturating_duration_since(now),
    }
}

/// All routers are cut off from the log for nine seconds and hold what they need for five. In the order in which they come,
/// callers of all kinds are served for five seconds and then none, whatever hangs on it; paid by urgency, all of the most
/// urgent are served, and nearly as many of the next as if the least urgent had not asked.
#[test]
fn the_most_urgent_are_served_through_a_cut() {
    let in_order = play(Paid::InOrder, 5.0);
    let by_urgency = play(Paid::ByUrgency, 5.0);
    println!("in order {in_order:?}; by urgency {by_urgency:?}");
    assert!(in_order[&0] < 0.8, "{in_order:?}");
    assert!(by_urgency[&0] > 0.99, "{by_urgency:?}");
    assert!(by_urgency[&1] > in_order[&1], "{by_urgency:?}");
}

/// The same cut, and enough is held for all of it. Nobody may be refused for the sake of others then.
#[test]
fn nobody_is_refused_where_there_is_enough() {
    let served = play(Paid::ByUrgency, 11.0);
    println!("{served:?}");
    assert!(served.values().all(|part| *part > 0.98), "{served:?}");
}

/// A team's first request of all meets a budget that is nearly used up. Nothing is known of more urgent ones, so that it
/// is served.
#[test]
fn a_lone_request_is_served() {
    let now = start();
    let mut ration = PriorityDemand::new(WINDOW);
    ration.record(now, 2, Tokens(100));
    let rest = Remainder {
        left: Tokens(100),
        demand: ration.rate(now),
        lasts: CUT,
    };
    assert!(ration.admits(now, &rest, 2, Tokens(100)));
}
