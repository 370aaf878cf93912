//! The queue by itself.

use std::time::Duration;
use std::time::Instant;

use jasmineridge::FairQueue;
use jasmineridge::PushError;
use jasmineridge::QueueTicket;
use jasmineridge::Tokens;

use crate::ms;
use crate::name;
use crate::rng;
use crate::start;

fn ticket(team: &str, account: &str, deadline: Instant) -> QueueTicket {
    QueueTicket {
        team: name(team),
        account: name(account),
        priority: 5,
        weight: 1,
        cost: Tokens(100),
        deadline,
    }
}

/// One account sends a hundred requests, then another sends two. The second waits for two turns, not for a hundred.
#[test]
fn queue_is_fair_to_light_accounts() {
    let now = start();
    let deadline = now + Duration::from_secs(60);
    for (hot, light) in [
        (("a", "x"), ("b", "y")),
        (("a", "x"), ("a", "y")),
        (("a", "x"), ("b", "x")),
    ] {
        let mut queue = FairQueue::new(1000, rng());
        for _ in 0..100 {
            queue
                .push(now, "hot", ticket(hot.0, hot.1, deadline))
                .unwrap();
        }
        for _ in 0..2 {
            queue
                .push(now, "light", ticket(light.0, light.1, deadline))
                .unwrap();
        }
        let first: Vec<_> = (0..5).filter_map(|_| queue.pop(now)).collect();
        let served = first.iter().filter(|w| **w == "light").count();
        // One account gets no more by naming two teams than by naming one.
        let expected = if hot.1 == light.1 { 0..=2 } else { 2..=2 };
        assert!(expected.contains(&served), "{hot:?} {light:?}: {first:?}");
    }
}

/// Requests wait past their deadlines, or fill the queue. Each gets its final answer, and none is served after it.
#[test]
fn queue_expires_requests_at_their_deadlines() {
    let now = start();
    let mut queue = FairQueue::new(8, rng());
    queue.push(now, 0, ticket("a", "x", now + ms(10))).unwrap();
    queue.push(now, 1, ticket("a", "x", now + ms(500))).unwrap();
    assert_eq!(
        queue
            .push(now, 2, ticket("a", "x", now + ms(500)))
            .map_err(|f| matches!(f, PushError::Account { .. })),
        Err(true)
    );
    assert_eq!(queue.next_deadline(), Some(now + ms(10)));
    assert_eq!(queue.take_expired(now + ms(10)), [0]);
    assert_eq!(queue.pop(now + ms(20)), Some(1));
    assert_eq!(queue.pop(now + ms(20)), None);
}

/// Four accounts fill the queue and a fifth comes. The newest request of a larger one makes room for it.
#[test]
fn full_queue_evicts_from_the_largest_account() {
    let now = start();
    let deadline = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(8, rng());
    for n in 0..8 {
        let account = format!("x{}", n % 4);
        queue.push(now, n, ticket("a", &account, deadline)).unwrap();
    }
    queue.push(now, 8, ticket("a", "y", deadline)).unwrap();
    assert_eq!(queue.take_expired(now).len(), 1);
    assert_eq!(queue.len(), 8);
}

/// The queue drains slowly. Whoever would wait past the deadline is told so at once, with a time that the drain grounds.
#[test]
fn queue_refuses_requests_that_would_expire() {
    let now = start();
    let deadline = now + Duration::from_secs(600);
    let mut queue = FairQueue::new(100, rng());
    for n in 0..20 {
        queue.push(now, n, ticket("a", "x", deadline)).unwrap();
    }
    for n in 1..=10 {
        queue.pop(now + ms(n * 1000)).unwrap();
    }
    let now = now + ms(10_000);
    let refused = queue.push(now, 99, ticket("a", "x", now + ms(5000)));
    let Err(PushError::Deadline { retry_after }) = refused else {
        panic!("{refused:?}");
    };
    assert!(
        (ms(10_000)..ms(20_000)).contains(&retry_after),
        "{retry_after:?}"
    );
    queue
        .push(now, 99, ticket("b", "y", now + ms(5000)))
        .unwrap();
}

/// Any order of requests, turns and hang-ups. Each request leaves the queue once, and it remembers no team that left.
#[test]
fn each_request_leaves_the_queue_once() {
    fn leaves_once(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut now = start();
        let mut queue = FairQueue::new(16, rng());
        let mut ids = Vec::new();
        let (mut entered, mut left) = (Vec::new(), Vec::new());
        for (at, (step, team, account)) in steps.into_iter().enumerate() {
            now += ms(u64::from(step));
            let (team, account) = (format!("t{}", team % 5), format!("a{}", account % 3));
            match step % 4 {
                0 | 1 => {
                    let ticket = ticket(&team, &account, now + ms(300));
                    if let Ok(id) = queue.push(now, at, ticket) {
                        entered.push(at);
                        ids.push(id);
                    }
                }
                2 => left.extend(queue.pop(now)),
                _ => left.extend(ids.pop().and_then(|id| queue.cancel(now, id))),
            }
            left.extend(queue.take_expired(now));
        }
        left.extend(std::iter::from_fn(|| queue.pop(now)));
        left.sort_unstable();
        queue.is_empty() && queue.flow_count() == 0 && left == entered
    }
    quickcheck::QuickCheck::new()
        .tests(500)
        .quickcheck(leaves_once as fn(Vec<(u8, u8, u8)>) -> bool);
}
