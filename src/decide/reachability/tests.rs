//! Tests of when a path counts as lost and found.

#![expect(
    clippy::disallowed_methods,
    reason = "a test reads its start time from the system clock"
)]

use std::time::Duration;
use std::time::Instant;

use crate::decide::reachability::Loss;
use crate::decide::reachability::PathChange;
use crate::decide::reachability::Reachability;
use crate::ids::VmId;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoints(count: usize) -> Vec<VmId> {
    let names = (0..count).map(|number| format!("endpoint-{number}"));
    names.map(|name| name.parse().expect("a name")).collect()
}

/// Returns a path of which all endpoints accept no connection.
fn cut(now: Instant, vms: &[VmId]) -> Reachability {
    let mut path = Reachability::default();
    for vm in vms {
        path.record_loss(now, vm, Loss::Connection, vms.len());
    }
    assert!(path.is_cut());
    path
}

/// Guards against a cut that is noticed late, or not at all in a pool of few endpoints.
#[test]
fn a_path_is_lost_once_several_endpoints_fail_in_a_row() {
    for (count, losses) in [(1, 1), (2, 2), (3, 3), (12, 3)] {
        let vms = endpoints(count);
        let mut path = Reachability::default();
        for (number, vm) in vms.iter().take(losses).enumerate() {
            let change = path.record_loss(Instant::now(), vm, Loss::Answer, count);
            assert_eq!(change.is_some(), number + 1 == losses, "{count}");
        }
        assert!(path.is_cut(), "{count}");
    }
}

/// Guards against a burst of failures, or one endpoint that fails again and again, being taken for a cut.
#[test]
fn failures_between_answers_are_no_cut() {
    let vms = endpoints(12);
    let now = Instant::now();
    let mut path = Reachability::default();
    for _ in 0..20 {
        path.record_loss(now, &vms[0], Loss::Connection, 12);
    }
    for step in 0..100 {
        path.record_loss(now, &vms[step % 5], Loss::Answer, 12);
        path.record_loss(now, &vms[(step + 1) % 5], Loss::Answer, 12);
        path.record_answer(now, &vms[11], 12);
    }
    for (step, vm) in vms.iter().enumerate() {
        path.record_loss(now + ms(6000 * step as u64), vm, Loss::Answer, 12);
    }
    assert!(!path.is_cut());
}

/// Guards against endpoints that crash together, so that all of their requests fail at once, being taken for a cut.
#[test]
fn losses_just_after_an_answer_are_no_cut() {
    let vms = endpoints(12);
    let now = Instant::now();
    let mut path = Reachability::default();
    path.record_answer(now, &vms[0], 12);
    for vm in &vms[1..5] {
        let change = path.record_loss(now + ms(5), vm, Loss::Answer, 12);
        assert_eq!(change, None);
    }
    let change = path.record_loss(now + ms(400), &vms[5], Loss::Answer, 12);
    assert_eq!(change, Some(PathChange::Lost));
}

/// Guards against requests that go on failing at most endpoints because a few still answer.
#[test]
fn a_path_is_lost_if_most_endpoints_accept_no_connection() {
    let vms = endpoints(12);
    let now = Instant::now();
    let mut path = Reachability::default();
    for vm in &vms[..7] {
        assert!(!path.is_cut());
        path.record_loss(now, vm, Loss::Connection, 12);
        path.record_answer(now, &vms[11], 12);
        path.record_loss(now, vm, Loss::Connection, 12);
    }
    assert!(path.is_cut());
    assert_eq!(path.record_answer(now, &vms[11], 12), None);
    assert_eq!(path.unconnected().count(), 7);
    assert_eq!(
        path.record_answer(now, &vms[0], 12),
        Some(PathChange::Found)
    );
}

/// Guards against a VM that stays cut for want of requests that could try the path.
#[test]
fn a_path_without_requests_is_found_by_checks() {
    let vms = endpoints(12);
    let start = Instant::now();
    let mut path = cut(start, &vms);
    let mut found = None;
    for step in 1..100 {
        let now = start + ms(100 * step);
        for vm in path.take_checks(now, vms.iter()) {
            let heals = now >= start + ms(3000);
            let change = path.record_check(now, &vm, heals, 12);
            found = found.or(change.map(|change| (change, now - start)));
        }
    }
    let (change, after) = found.expect("a change");
    assert_eq!(change, PathChange::Found);
    assert!(after <= ms(6500), "{after:?}");
}

/// Guards against a path that flaps because connections are accepted, but nothing answers.
#[test]
fn a_path_that_only_accepts_is_found_more_and_more_seldom() {
    let vms = endpoints(12);
    let start = Instant::now();
    let mut path = Reachability::default();
    let (mut found, mut tried) = (0, 0);
    for step in 0..6000 {
        let now = start + ms(100 * step);
        if !path.is_cut() {
            let vm = &vms[step as usize % 12];
            path.record_loss(now, vm, Loss::Answer, 12);
        } else if step % 300 < 100 && path.try_acquire(now) {
            tried += 1;
            path.record_loss(now, &vms[0], Loss::Answer, 12);
        }
        for vm in path.take_checks(now, vms.iter()) {
            let change = path.record_check(now, &vm, true, 12);
            found += usize::from(change == Some(PathChange::Found));
        }
    }
    assert!((1..=30).contains(&found), "{found}");
    assert!((1..=60).contains(&tried), "{tried}");
}

/// Guards against checks that cost connections where nothing is wrong, and against many of them in a large pool.
#[test]
fn checks_are_few() {
    let vms = endpoints(120);
    let now = Instant::now();
    let mut path = Reachability::default();
    assert!(path.take_checks(now, vms.iter()).is_empty());
    path.record_answer(now, &vms[0], 120);
    path.record_loss(now, &vms[1], Loss::Answer, 120);
    assert!(path.take_checks(now + ms(100), vms.iter()).is_empty());
    assert_eq!(path.take_checks(now + ms(400), vms.iter()).len(), 2);
    assert!(path.take_checks(now + ms(500), vms.iter()).is_empty());
    let mut path = cut(now, &vms);
    assert_eq!(path.take_checks(now, vms.iter()).len(), 20);
}
