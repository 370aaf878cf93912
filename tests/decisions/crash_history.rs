//! What is found to crash endpoints, by routers that each see a part of the crashes.

use std::time::Duration;
use std::time::Instant;

use jasmineridge::CrashHistory;
use jasmineridge::EndpointLife;
use jasmineridge::Fingerprint;
use jasmineridge::Suspect;
use jasmineridge::VmId;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ms;
use crate::start;

/// How many endpoints a request may crash.
pub(crate) const LIMIT: usize = 3;

/// How long the first quarantine lasts.
const QUARANTINE: Duration = Duration::from_secs(600);

pub(crate) fn request(number: u64) -> Suspect {
    Suspect::Request(Fingerprint(number))
}

pub(crate) fn life(endpoint: usize, birth: u64) -> EndpointLife {
    EndpointLife {
        vm: vm(endpoint),
        birth: Some(birth.to_string()),
    }
}

fn vm(endpoint: usize) -> VmId {
    format!("endpoint-{endpoint}").parse().expect("a name")
}

/// Has a router notice that an endpoint crashed while it was running suspects for 50 ms.
pub(crate) fn crash(
    router: &mut CrashHistory,
    now: Instant,
    endpoint: usize,
    suspects: &[Suspect],
) {
    let life = life(endpoint, 1);
    router.record_closed(now, &life, now - ms(50), None, suspects);
    router.record_gone(now + ms(1), &life.vm);
    router.review(now + ms(1));
}

/// Has a router tell another one what it knows.
fn tell(from: &mut CrashHistory, to: &mut CrashHistory, now: Instant) {
    let mut report = from.report(now);
    from.advance(now);
    report.grow_older(ms(1));
    to.merge(now + ms(2), &report);
    to.review(now + ms(2));
}

fn is_quarantined(router: &CrashHistory, now: Instant, suspect: Suspect) -> bool {
    router.quarantine_left(now, suspect).is_some()
}

/// Guards against a request that crashes more endpoints because each router waits until it has seen enough crashes itself.
#[test]
fn crashes_at_different_routers_add_up() {
    let start = start();
    let mut routers: Vec<_> = (0..LIMIT + 1).map(|_| CrashHistory::new()).collect();
    for crashes in 0..LIMIT {
        let now = start + ms(400 * crashes as u64);
        assert!(!is_quarantined(&routers[LIMIT], now, request(1)));
        let [router, last] = routers.get_disjoint_mut([crashes, LIMIT]).expect("two");
        crash(router, now, crashes, &[request(1)]);
        tell(router, last, now + ms(10));
    }
    let now = start + ms(2000);
    assert!(is_quarantined(&routers[LIMIT], now, request(1)));
}

/// Guards against crashes that were counted on both sides of a partition and never add up after it.
#[test]
fn two_parts_of_a_fleet_add_up_their_crashes_after_a_partition() {
    let start = start();
    let mut left = CrashHistory::new();
    let mut right = CrashHistory::new();
    for n in 0..2 {
        let now = start + ms(500 * n as u64);
        crash(&mut left, now, n, &[request(1)]);
        crash(&mut right, now, 10 + n, &[request(1)]);
    }
    let healed = start + Duration::from_secs(60);
    assert!(!is_quarantined(&left, healed, request(1)));
    tell(&mut left, &mut right, healed);
    tell(&mut right, &mut left, healed + ms(10));
    for router in [&left, &right] {
        assert!(is_quarantined(router, healed + ms(100), request(1)));
    }
}

/// Guards against a router that starts later and has endpoints crash again.
#[test]
fn a_router_that_starts_later_learns_what_is_quarantined() {
    let start = start();
    let mut old = CrashHistory::new();
    for n in 0..LIMIT {
        crash(&mut old, start + ms(100 * n as u64), n, &[request(1)]);
    }
    let later = start + Duration::from_secs(300);
    let mut new = CrashHistory::new();
    for _ in 0..50 {
        old.advance(later);
    }
    tell(&mut old, &mut new, later);
    assert!(is_quarantined(&new, later + ms(10), request(1)));
}

/// Guards against the refusal of what ran beside a request that crashes endpoints, and died with it each time.
#[test]
fn what_ran_beside_the_cause_is_not_quarantined() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..2 * LIMIT {
        let now = start + ms(300 * n as u64);
        // One of the others is retried until it meets two crashes in a row.
        let beside = [request(100 + n as u64), request(101 + n as u64)];
        let suspects = [beside[0], request(1), beside[1]];
        crash(&mut router, now, n, &suspects);
    }
    let now = start + ms(5000);
    let quarantined: Vec<_> = router.quarantined(now).collect();
    assert_eq!(quarantined, [request(1)]);
}

/// Guards against the refusal of a request that was at the same crashes as the cause and was answered since.
#[test]
fn a_request_that_was_at_the_same_crashes_is_cleared_by_its_answer() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..LIMIT {
        crash(
            &mut router,
            start + ms(20 * n as u64),
            n,
            &[request(1), request(2)],
        );
    }
    let now = start + ms(300);
    assert_eq!(router.quarantined(now).count(), 0);
    router.record_sound(now, start + ms(200), &[request(2)]);
    router.review(now);
    assert_eq!(router.quarantined(now).collect::<Vec<_>>(), [request(1)]);
}

/// Guards against endpoints that go on crashing because two requests can't be told apart.
#[test]
fn requests_that_nothing_tells_apart_are_both_quarantined() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..LIMIT {
        crash(&mut router, start, n, &[request(1), request(2)]);
    }
    assert!(!router.is_review_due(start + ms(500)));
    let now = start + ms(1200);
    assert!(router.is_review_due(now));
    assert_eq!(router.review(now).len(), 2);
}

/// Guards against the refusal of requests whose connections were reset while their endpoints went on.
#[test]
fn closed_connections_to_listening_endpoints_are_no_crashes() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..20 {
        let now = start + ms(200 * n);
        let life = life(n as usize % 3, 1);
        router.record_closed(now, &life, now - ms(50), None, &[request(1)]);
        router.record_listening(&life.vm, now);
        assert_eq!(router.record_gone(now + ms(100), &life.vm), None);
    }
    assert_eq!(router.review(start + ms(5000)), []);
}

/// Guards against the refusal of a request that was sent to endpoints which had just crashed.
#[test]
fn a_request_that_was_sent_after_a_crash_did_not_cause_it() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..2 * LIMIT {
        let now = start + ms(20 * n as u64);
        crash(&mut router, now, n, &[request(100 + n as u64)]);
        let sent = now + ms(1);
        router.record_closed(now + ms(2), &life(n, 1), sent, None, &[request(1)]);
    }
    router.review(start + ms(1000));
    assert!(!is_quarantined(&router, start + ms(1000), request(1)));
}

/// Guards against two crashes of an endpoint that is back under its name counting as one, and reports of one as several.
#[test]
fn crashes_of_one_endpoint_are_told_apart_by_their_times() {
    let start = start();
    let mut router = CrashHistory::new();
    for reports in 0..5 {
        crash(&mut router, start + ms(100 * reports), 0, &[request(1)]);
    }
    assert!(!is_quarantined(&router, start + ms(600), request(1)));
    for n in 1..LIMIT as u64 {
        crash(&mut router, start + ms(1300 * n), 0, &[request(1)]);
    }
    assert!(is_quarantined(&router, start + ms(5000), request(1)));
}

/// Guards against a run that began before a request became harmful and clears it of later crashes, and against a late
/// report of a crash that undoes what a sound run has cleared.
#[test]
fn a_sound_run_clears_crashes_before_it_and_no_others() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..LIMIT {
        crash(&mut router, start + ms(100 * n as u64), n, &[request(1)]);
    }
    let now = start + ms(400);
    router.record_sound(now, start - ms(100), &[request(1)]);
    assert!(is_quarantined(&router, now, request(1)));

    let mut other = CrashHistory::new();
    other.record_sound(now, now - ms(20), &[request(1)]);
    tell(&mut router, &mut other, now);
    assert!(!is_quarantined(&other, now + ms(10), request(1)));
}

/// Guards against a request that stays refused although an endpoint ran it well.
#[test]
fn a_sound_run_ends_a_quarantine_at_all_routers() {
    let start = start();
    let mut first = CrashHistory::new();
    let mut second = CrashHistory::new();
    for n in 0..LIMIT {
        let now = start + ms(100 * n as u64);
        crash(&mut first, now, n, &[request(1)]);
        tell(&mut first, &mut second, now + ms(10));
    }
    let now = start + ms(3000);
    assert!(is_quarantined(&second, now, request(1)));
    first.record_sound(now, now - ms(500), &[request(1)]);
    assert!(!is_quarantined(&first, now, request(1)));
    tell(&mut first, &mut second, now + ms(10));
    assert!(!is_quarantined(&second, now + ms(50), request(1)));
}

/// Guards against the refusal of long answers that several crashes of other causes broke off.
#[test]
fn an_answer_that_goes_on_is_not_the_cause_of_a_crash() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..2 * LIMIT {
        let now = start + ms(3000 * n as u64);
        let (sent, begun) = (now - ms(2500), now - ms(2400));
        let life = life(n, 1);
        router.record_closed(now, &life, sent, Some(begun), &[request(1)]);
        router.record_gone(now + ms(1), &life.vm);
        assert_eq!(router.review(now + ms(1)), []);
    }
}

/// Guards against the refusal of long answers because none of them has ended yet.
#[test]
fn an_answer_that_goes_on_clears_what_it_is_about() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..LIMIT {
        crash(&mut router, start, n, &[request(1)]);
    }
    let begun = start + ms(100);
    router.record_progress(begun + ms(400), begun, &[request(1)]);
    assert!(is_quarantined(&router, begun + ms(400), request(1)));
    router.record_progress(begun + ms(500), begun, &[request(1)]);
    assert!(!is_quarantined(&router, begun + ms(500), request(1)));
}

/// Guards against a quarantine without end, and against one that ends and lets as many endpoints crash again.
#[test]
fn a_quarantine_ends_and_a_single_crash_renews_it() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..LIMIT {
        crash(&mut router, start, n, &[request(1)]);
    }
    let ended = start + QUARANTINE + ms(1);
    assert!(is_quarantined(&router, ended - ms(10), request(1)));
    assert!(!is_quarantined(&router, ended, request(1)));
    crash(&mut router, ended + ms(100), 7, &[request(1)]);
    assert!(is_quarantined(
        &router,
        ended + QUARANTINE + ms(500),
        request(1)
    ));
}

/// Guards against reports and memory that grow with what an attacker sends.
#[test]
fn many_crashes_with_many_requests_stay_bounded() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..300 {
        let suspects: Vec<_> = (0..300).map(|m| request(n * 1000 + m)).collect();
        crash(&mut router, start + ms(n), n as usize, &suspects);
    }
    let now = start + ms(500);
    let report = router.report(now);
    let rows: usize = report.crashes.iter().map(|row| row.suspects.len()).sum();
    assert!(report.crashes.len() <= 8 && rows <= 256, "{rows}");
    assert!(router.unexplained() <= 128);
    // A request that crashes endpoints beside them is still found.
    for n in 0..LIMIT {
        let now = now + ms(200 * n as u64);
        let suspects = [request(n as u64), request(u64::MAX)];
        crash(&mut router, now, 5000 + n, &suspects);
    }
    assert!(is_quarantined(&router, now + ms(2000), request(u64::MAX)));
}

/// A fleet beside whose sound requests one comes that crashes endpoints.
#[derive(Clone, Debug)]
struct Fleet {
    routers: usize,
    endpoints: usize,
    seed: u64,
}

impl Arbitrary for Fleet {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            routers: *g.choose(&[1, 3, 7, 64]).expect("there are some"),
            endpoints: *g.choose(&[3, 6, 12]).expect("there are some"),
            seed: u64::arbitrary(g),
        }
    }
}

/// Every 50 ms the harmful request reaches an endpoint, unless its router refuses it, and every 500 ms each router tells
/// twelve others.
fn plays_out(fleet: Fleet) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(fleet.seed);
    let start = start();
    let mut routers: Vec<_> = (0..fleet.routers).map(|_| CrashHistory::new()).collect();
    let mut down = vec![start; fleet.endpoints];
    let mut third = None;
    let (mut crashes, mut late) = (0, 0);
    for step in 0..240 {
        let now = start + ms(50 * step);
        for _ in down.iter().filter(|until| now >= **until) {
            let router = rng.random_range(0..fleet.routers);
            let own = request(rng.random_range(10..40));
            routers[router].record_sound(now, now - ms(20), &[own]);
        }
        let (router, endpoint) = (
            rng.random_range(0..fleet.routers),
            rng.random_range(0..fleet.endpoints),
        );
        let refused = is_quarantined(&routers[router], now, request(1));
        if !refused && now >= down[endpoint] {
            down[endpoint] = now + ms(1300);
            crashes += 1;
            late += usize::from(third.is_some_and(|third| now > third + ms(2000)));
            if crashes == LIMIT {
                third = Some(now);
            }
            crash(&mut routers[router], now, endpoint, &[request(1)]);
            for _ in 0..3 {
                let beside = rng.random_range(0..fleet.routers);
                let suspects = [request(rng.random_range(10..40))];
                crash(&mut routers[beside], now + ms(2), endpoint, &suspects);
            }
        }
        if step % 10 == 0 {
            for from in 0..fleet.routers {
                for _ in 0..12.min(fleet.routers - 1) {
                    let to = (from + rng.random_range(1..fleet.routers)) % fleet.routers;
                    let [from, to] = routers.get_disjoint_mut([from, to]).expect("two");
                    tell(from, to, now);
                }
            }
        }
    }
    let end = start + ms(50 * 240);
    let only = |router: &CrashHistory| router.quarantined(end).eq([request(1)]);
    late <= LIMIT && routers.iter().all(only)
}

/// Guards against fleets of any size in which a harmful request goes on, or a sound one is refused.
#[test]
fn fleets_find_the_harmful_request_and_no_other() {
    QuickCheck::new()
        .tests(40)
        .quickcheck(plays_out as fn(Fleet) -> bool);
}

/// Guards against the refusal of a request that runs at many endpoints at a time when these crash together.
#[test]
fn a_popular_request_is_not_quarantined_by_a_failing_rack() {
    let start = start();
    let mut router = CrashHistory::new();
    router.record_sound(start, start - ms(50), &[request(1)]);
    for n in 0..2 * LIMIT {
        let now = start + ms(30 * n as u64);
        let life = life(n, 1);
        router.record_closed(now, &life, start - ms(10), None, &[request(1)]);
        router.record_gone(now + ms(1), &life.vm);
        router.review(now + ms(1));
    }
    assert_eq!(router.quarantined(start + ms(1000)).count(), 0);
}
