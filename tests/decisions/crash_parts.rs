//! Which parts of prompts are found to crash endpoints.

use std::time::Duration;
use std::time::Instant;

use jasmineridge::CrashHistory;
use jasmineridge::Fingerprint;
use jasmineridge::PartId;
use jasmineridge::Suspect;

use crate::crash_history::LIMIT;
use crate::crash_history::crash;
use crate::crash_history::life;
use crate::crash_history::request;
use crate::ms;
use crate::start;

fn part(number: u64) -> Suspect {
    Suspect::Part(PartId(number))
}

fn part_of(number: u64, model: u64) -> Suspect {
    Suspect::PartOfModel(PartId(number), Fingerprint(model))
}

/// Returns what a request for a model is suspected of, if its prompt has these shared parts.
fn prompt(own: u64, parts: &[u64], model: u64) -> Vec<Suspect> {
    let whole = parts.iter().map(|number| part(*number));
    let of_model = parts.iter().map(|number| part_of(*number, model));
    [request(own)]
        .into_iter()
        .chain(whole)
        .chain(of_model)
        .collect()
}

/// How many endpoints a part may crash.
const PART_LIMIT: u64 = 5;

/// The first part of all prompts, and the model of most.
const FIRST: u64 = 1;
const MODEL: u64 = 7;

/// Has a router see an answer that begins now and ends well 20 ms later.
fn answer(router: &mut CrashHistory, now: Instant, parts: &[u64], model: u64) {
    router.record_sound(now + ms(20), now, &prompt(1_000_000, parts, model));
    router.review(now + ms(20));
}

/// Guards against a part that crashes more endpoints because no request comes twice, and against the refusal of the parts
/// that its requests share with sound ones.
#[test]
fn a_part_is_found_among_those_that_sound_requests_share() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..PART_LIMIT {
        let now = start + ms(700 * n);
        assert_eq!(router.quarantined(now).count(), 0, "after {n} crashes");
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(10 + n, &[FIRST, 50, 60], MODEL),
        );
        answer(&mut router, now + ms(100), &[FIRST, 60], MODEL);
    }
    let now = start + ms(700 * PART_LIMIT);
    assert_eq!(router.quarantined(now).collect::<Vec<_>>(), [part(50)]);
}

/// Guards against the refusal of nearly all requests because many endpoints crashed at once for another reason.
#[test]
fn a_failing_rack_quarantines_no_part() {
    let start = start();
    for spread in [0, 5, 40] {
        let mut router = CrashHistory::new();
        answer(&mut router, start - ms(3000), &[FIRST], MODEL);
        for n in 0..12 {
            let now = start + ms(spread * n);
            let life = life(n as usize, 1);
            for run in 0..4 {
                let suspects = prompt(100 * n + run, &[FIRST, 50 + run], MODEL);
                let sent = start - ms(30 * (run + 1));
                router.record_closed(now, &life, sent, None, &suspects);
            }
            router.record_gone(now + ms(1), &life.vm);
            router.review(now + ms(1));
        }
        let later = start + ms(5000);
        router.review(later);
        assert_eq!(router.quarantined(later).count(), 0, "{spread} ms apart");
    }
}

/// Guards against a rack that fails while a part crashes endpoints, and hides it or has others refused.
#[test]
fn a_part_is_found_beside_a_failing_rack() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..PART_LIMIT + 1 {
        let now = start + ms(900 * n);
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(10 + n, &[FIRST, 50], MODEL),
        );
        if n == 2 {
            for other in 20..28 {
                let suspects = prompt(other, &[FIRST, 60], MODEL);
                crash(&mut router, now + ms(5), other as usize, &suspects);
            }
        }
        answer(&mut router, now + ms(300), &[FIRST, 60], MODEL);
    }
    let now = start + ms(9000);
    assert_eq!(router.quarantined(now).collect::<Vec<_>>(), [part(50)]);
}

/// Guards against a second harmful part that hides behind the first one.
#[test]
fn two_harmful_parts_are_both_found() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..2 * PART_LIMIT {
        let now = start + ms(400 * n);
        let harmful = 50 + n % 2;
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(10 + n, &[FIRST, harmful], MODEL),
        );
        answer(&mut router, now + ms(100), &[FIRST, 60], MODEL);
    }
    let mut found: Vec<_> = router.quarantined(start + ms(5000)).collect();
    found.sort_by_key(ToString::to_string);
    assert_eq!(found, [part(50), part(51)]);
}

/// Guards against a harmful part that is never found because it is the first one, so that no sound request shares it.
#[test]
fn a_harmful_first_part_is_found() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..PART_LIMIT {
        let now = start + ms(700 * n);
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(10 + n, &[50, 60 + n], MODEL),
        );
        answer(&mut router, now + ms(100), &[FIRST, 60], MODEL);
    }
    let now = start + ms(700 * PART_LIMIT);
    assert_eq!(router.quarantined(now).collect::<Vec<_>>(), [part(50)]);
}

/// Guards against a part that is cleared by answers of other models than the one it crashes, and against its refusal there.
#[test]
fn a_part_may_be_harmful_for_one_model() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..PART_LIMIT {
        let now = start + ms(700 * n);
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(10 + n, &[FIRST, 50], MODEL),
        );
        answer(&mut router, now + ms(100), &[FIRST, 50], MODEL + 1);
        answer(&mut router, now + ms(100), &[FIRST], MODEL);
    }
    let now = start + ms(700 * PART_LIMIT);
    assert_eq!(
        router.quarantined(now).collect::<Vec<_>>(),
        [part_of(50, MODEL)]
    );
}

/// Guards against a part that may crash as many endpoints for each model.
#[test]
fn a_part_that_is_harmful_for_all_models_is_found_over_all_of_them() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..PART_LIMIT {
        let now = start + ms(700 * n);
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(10 + n, &[FIRST, 50], n),
        );
        answer(&mut router, now + ms(100), &[FIRST], n);
    }
    let now = start + ms(700 * PART_LIMIT);
    assert_eq!(router.quarantined(now).collect::<Vec<_>>(), [part(50)]);
}

/// Guards against the refusal of a part that all requests share because nothing has cleared it yet.
#[test]
fn a_part_that_ran_well_lately_is_not_quarantined_with_the_cause() {
    let start = start();
    let mut router = CrashHistory::new();
    answer(&mut router, start - ms(4000), &[FIRST], MODEL);
    for n in 0..PART_LIMIT {
        let now = start + ms(60 * n);
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(10 + n, &[FIRST, 50], MODEL),
        );
    }
    let now = start + ms(3000);
    router.review(now);
    assert_eq!(router.quarantined(now).collect::<Vec<_>>(), [part(50)]);
}

/// Guards against the refusal of a rare part whose requests met several crashes, where endpoints crash all the time.
#[test]
fn a_part_at_few_of_many_crashes_is_not_quarantined() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..100 {
        let now = start + ms(200 * n);
        let rare = if n % 8 == 0 { 50 } else { 60 + n };
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(1000 + n, &[FIRST, rare], MODEL),
        );
        answer(&mut router, now + ms(50), &[FIRST], MODEL);
    }
    assert_eq!(router.quarantined(start + ms(20_000)).count(), 0);
}

/// Guards against a harmful part that comes so rarely that its crashes are forgotten.
#[test]
fn a_harmful_part_that_is_rare_is_found() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..PART_LIMIT {
        let now = start + Duration::from_secs(60 * n);
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(10 + n, &[FIRST, 50], MODEL),
        );
        answer(&mut router, now + ms(100), &[FIRST], MODEL);
    }
    let now = start + Duration::from_secs(300);
    assert_eq!(router.quarantined(now).collect::<Vec<_>>(), [part(50)]);
}

/// Guards against a request that was refused together with a part, and hides its crashes.
#[test]
fn a_quarantined_request_does_not_speak_for_its_parts() {
    let start = start();
    let mut router = CrashHistory::new();
    for n in 0..PART_LIMIT {
        let now = start + ms(600 * n);
        let own = if n < LIMIT as u64 { 10 } else { 10 + n };
        crash(
            &mut router,
            now,
            n as usize,
            &prompt(own, &[FIRST, 50], MODEL),
        );
        answer(&mut router, now + ms(100), &[FIRST], MODEL);
    }
    let now = start + ms(3000);
    let found: Vec<_> = router.quarantined(now).collect();
    assert_eq!(found, [request(10), part(50)]);
}
