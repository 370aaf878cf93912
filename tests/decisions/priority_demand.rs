//! Budgets that run out before there is more: which priorities are served.

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

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// Expected length of a log outage.
const OUTAGE: Duration = Duration::from_secs(9);

/// Requests of one priority: how many arrive per second, and the mean number of tokens that each uses.
struct RequestClass {
    priority: u8,
    rate: f64,
    tokens: u64,
}

/// Many small requests of the highest priority, fewer that use most of the tokens, and many of the lowest priority.
const CLASSES: [RequestClass; 3] = [
    RequestClass {
        priority: 0,
        rate: 38.0,
        tokens: 1_100,
    },
    RequestClass {
        priority: 1,
        rate: 24.0,
        tokens: 12_000,
    },
    RequestClass {
        priority: 2,
        rate: 38.0,
        tokens: 2_400,
    },
];

/// How the remaining budget is spent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// In order of arrival.
    FirstCome,
    /// Higher priorities first.
    ByPriority,
}

/// Simulates a log outage in which `held_s` seconds of demand are held. Returns the served share of requests for each
/// priority.
fn simulate(admission: Admission, held_s: f64) -> IndexMap<u8, f64> {
    let mut rng = rng();
    let mut now = start();
    let mut demand_by_priority = PriorityDemand::new(DEMAND_WINDOW);
    let demand: f64 = CLASSES
        .iter()
        .map(|class| class.rate * class.tokens as f64)
        .sum();
    let mut left = Tokens((demand * held_s) as u64);
    let measured_from = now + Duration::from_secs(15);
    let end = measured_from + OUTAGE;
    let mut served: IndexMap<u8, (u32, u32)> = IndexMap::new();
    while now < end {
        now += ms(1);
        for class in &CLASSES {
            if !rng.random_bool(class.rate / 1000.0) {
                continue;
            }
            let tokens = Tokens(rng.random_range(class.tokens / 2..class.tokens * 3 / 2));
            demand_by_priority.record(now, class.priority, tokens);
            if now < measured_from {
                continue;
            }
            let remainder = remainder(left, &demand_by_priority, now, end);
            let admitted = admission == Admission::FirstCome
                || demand_by_priority.admits(now, &remainder, class.priority, tokens);
            let (requested, granted) = served.entry(class.priority).or_default();
            *requested += 1;
            if admitted && tokens <= left {
                left -= tokens;
                *granted += 1;
            }
        }
    }
    served
        .into_iter()
        .map(|(priority, (requested, granted))| {
            (priority, f64::from(granted) / f64::from(requested))
        })
        .collect()
}

fn remainder(
    left: Tokens,
    demand_by_priority: &PriorityDemand,
    now: Instant,
    end: Instant,
) -> Remainder {
    Remainder {
        left,
        demand: demand_by_priority.rate(now),
        lasts: end.saturating_duration_since(now),
    }
}

/// All routers are cut off from the log for nine seconds and hold five seconds of demand. In order of arrival, requests
/// of all priorities are served for five seconds and none afterwards, however urgent. By priority, all requests of the
/// highest priority are served, and nearly as many of the next as if the lowest had not asked.
#[test]
fn the_highest_priority_is_served_through_an_outage() {
    let first_come = simulate(Admission::FirstCome, 5.0);
    let by_priority = simulate(Admission::ByPriority, 5.0);
    println!("first come {first_come:?}; by priority {by_priority:?}");
    assert!(first_come[&0] < 0.8, "{first_come:?}");
    assert!(by_priority[&0] > 0.99, "{by_priority:?}");
    assert!(by_priority[&1] > first_come[&1], "{by_priority:?}");
}

/// The same outage, with enough held for all of it. No request may be refused in favor of others then.
#[test]
fn no_request_is_refused_if_the_budget_suffices() {
    let served = simulate(Admission::ByPriority, 11.0);
    println!("{served:?}");
    assert!(served.values().all(|part| *part > 0.98), "{served:?}");
}

/// A team's first request meets a budget that is nearly used up. No demand of higher priorities is known, so it is
/// served.
#[test]
fn the_first_request_of_a_team_is_admitted() {
    let now = start();
    let mut demand_by_priority = PriorityDemand::new(DEMAND_WINDOW);
    demand_by_priority.record(now, 2, Tokens(100));
    let remainder = Remainder {
        left: Tokens(100),
        demand: demand_by_priority.rate(now),
        lasts: OUTAGE,
    };
    assert!(demand_by_priority.admits(now, &remainder, 2, Tokens(100)));
}
