//! Tests of the fair queue.

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

/// One account queues a hundred requests, then another queues two. The second account waits for two turns, not for a
/// hundred.
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
        // An account that sends for two teams gets no larger share than with one.
        let expected = if hot.1 == light.1 { 0..=2 } else { 2..=2 };
        assert!(expected.contains(&served), "{hot:?} {light:?}: {first:?}");
    }
}

/// Requests reach their deadlines in the queue, or exceed the account's part of it. Each is returned once as expired or
/// refused, and none is served afterwards.
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

/// Four accounts fill the queue and a fifth sends a request. The newest request of an account with more waiting
/// is evicted to make room.
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

/// The queue drains slowly. A request that would wait past its deadline is refused at once, with a retry time that is
/// derived from the drain rate.
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

/// Applies random sequences of pushes, pops and cancellations. Each request leaves the queue once, and an empty queue
/// keeps no state of teams or accounts.
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
