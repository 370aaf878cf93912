//! Brittle endpoints, as a fleet of routers treats them.

use std::time::Duration;

use crate::router::tests::fleet::Fleet;
use crate::router::tests::fleet::endpoint;
use crate::router::tests::site::BRITTLE_GRACE;

const ENDPOINTS: usize = 4;
const ROOM: usize = 6;
const TOLERANCE: u32 = 4;
/// What the endpoints can serve in a second: a request takes 100 ms, and a step of 20 ms passes until its slot is used again.
const CAPACITY: f64 = (ENDPOINTS * ROOM) as f64 / 0.12;
/// The part of it that has to be served.
const MIN_USE: f64 = 0.8;

/// Starts a fleet whose endpoints hold few requests, and have announced for a time that they are brittle.
fn start_brittle(routers: usize, rate: f64) -> Fleet {
    let mut fleet = Fleet::start(routers, ENDPOINTS);
    fleet.answers_beats = true;
    fleet.room = Some(ROOM);
    fleet.run(2.0, rate);
    set_brittle(&mut fleet);
    fleet.run(BRITTLE_GRACE.as_secs_f64(), rate);
    fleet
}

fn set_brittle(fleet: &mut Fleet) {
    for n in 0..ENDPOINTS {
        fleet.tolerances.insert(endpoint(n), TOLERANCE);
    }
}

/// Checks that no endpoint has rejected more than it tolerates since a time.
fn check_rejections(fleet: &Fleet, since: Duration) {
    let most = fleet.most_rejections(since);
    let routers = fleet.sites.len();
    assert!(most <= TOLERANCE as usize, "{routers} routers: {most}");
}

/// Runs a fleet, and returns what part of what its endpoints can serve was served.
fn use_of(fleet: &mut Fleet, secs: f64, rate: f64) -> f64 {
    let before = fleet.served;
    fleet.run(secs, rate);
    (fleet.served - before) as f64 / (secs * CAPACITY)
}

/// Guards against routers that each fill a brittle endpoint by themselves.
#[test]
fn routers_together_keep_within_the_room_of_brittle_endpoints() {
    for routers in [1, 3, 7, 30] {
        let mut fleet = start_brittle(routers, 1.5 * CAPACITY);
        let since = fleet.elapsed;
        let used = use_of(&mut fleet, 6.0, 1.5 * CAPACITY);
        check_rejections(&fleet, since);
        assert!(used > MIN_USE, "{routers} routers used {used:.2}");
    }
}

/// Guards against endpoints that fail under the first burst, since nothing was rejected before.
#[test]
fn a_burst_after_quiet_times_is_not_sent_at_once() {
    let mut fleet = start_brittle(7, 0.3 * CAPACITY);
    let since = fleet.elapsed;
    for _ in 0..5 {
        for n in 0..100 {
            fleet.send(n % 7, "again");
        }
        fleet.run(1.0, 0.3 * CAPACITY);
    }
    check_rejections(&fleet, since);
}

/// Guards against requests that are not served although endpoints have room, because slots are held or asked for in vain.
#[test]
fn a_moderate_load_is_served_by_brittle_endpoints() {
    for routers in [1, 7, 30] {
        let rate = 0.5 * CAPACITY;
        let mut fleet = start_brittle(routers, rate);
        let since = fleet.elapsed;
        let before = fleet.served;
        fleet.run(6.0, rate);
        fleet.run(1.0, 0.0);
        let share = (fleet.served - before) as f64 / (6.0 * rate);
        check_rejections(&fleet, since);
        assert!(share > 0.99, "{routers} routers served {share:.3}");
    }
}

/// Guards against requests that were given up at a paused brittle endpoint, and that it has to reject when it goes on.
#[test]
fn paused_brittle_endpoints_are_sent_no_more_than_they_hold_and_tolerate() {
    let rate = 0.5 * CAPACITY;
    for routers in [1, 3, 7] {
        for route in ["again", "once"] {
            let mut fleet = start_brittle(routers, rate);
            fleet.routes = vec![route];
            fleet.run(1.0, rate);
            fleet.paused = (0..ENDPOINTS).map(endpoint).collect();
            fleet.run(3.0, rate);
            let unread = (0..ENDPOINTS).map(|n| fleet.unread_at(&endpoint(n)));
            let most = unread.max().unwrap_or(0);
            let allowed = ROOM + TOLERANCE as usize;
            assert!(
                most <= allowed,
                "{routers} routers, {route}: {most} of {allowed}"
            );
        }
    }
}

/// Guards against routers that start during a brittle period, and know nothing of it.
#[test]
fn restarted_routers_keep_within_the_room() {
    let mut fleet = start_brittle(7, 1.2 * CAPACITY);
    let since = fleet.elapsed;
    for router in 0..7 {
        fleet.restart(router);
        fleet.run(1.0, 1.2 * CAPACITY);
    }
    check_rejections(&fleet, since);
}

/// Guards against slots that are lost with messages, or used twice.
#[test]
fn lost_messages_neither_block_nor_double_slots() {
    let mut fleet = start_brittle(7, 1.2 * CAPACITY);
    fleet.loss = 0.3;
    let since = fleet.elapsed;
    let used = use_of(&mut fleet, 8.0, 1.2 * CAPACITY);
    check_rejections(&fleet, since);
    assert!(used > 0.6, "used {used:.2}");
}

/// Guards against slots that nobody gives out because their owner is dead.
#[test]
fn the_slots_of_a_dead_owner_are_given_out_by_another() {
    for dead in 0..5 {
        let mut fleet = start_brittle(5, CAPACITY);
        fleet.dead.insert(dead);
        fleet.run(3.0, CAPACITY);
        let since = fleet.elapsed;
        let used = use_of(&mut fleet, 4.0, 1.5 * CAPACITY);
        check_rejections(&fleet, since);
        assert!(used > 0.7, "without {dead} used {used:.2}");
    }
}

/// Guards against a brittle period that outlives the endpoints' trouble.
#[test]
fn sound_endpoints_need_no_slots() {
    let mut fleet = start_brittle(7, 0.5 * CAPACITY);
    let needs = |fleet: &Fleet, n| {
        let pool = "pool".parse().expect("a name");
        let core = |site: usize| &fleet.sites[site].core;
        let all = 0..fleet.sites.len();
        let needing = all.filter(|site| core(*site).is_slot_limited(&pool, &endpoint(n)));
        needing.count()
    };
    assert_eq!(needs(&fleet, 0), 7);
    fleet.tolerances.swap_remove(&endpoint(0));
    fleet.run(3.0, 0.5 * CAPACITY);
    assert_eq!((needs(&fleet, 0), needs(&fleet, 1)), (0, 7));
    fleet.tolerances.clear();
    fleet.run(3.0, 0.5 * CAPACITY);
    for n in 0..ENDPOINTS {
        assert_eq!(needs(&fleet, n), 0, "{n}");
    }
}

/// Guards against an endpoint that restarts during a brittle period, and gets all that waits at once.
#[test]
fn endpoints_that_have_not_answered_count_as_brittle_while_others_are() {
    let mut fleet = Fleet::start(3, ENDPOINTS);
    fleet.room = Some(ROOM);
    fleet.run(1.0, 0.5 * CAPACITY);
    set_brittle(&mut fleet);
    let pool = "pool".parse().expect("a name");
    fleet.tolerances.swap_remove(&endpoint(3));
    fleet.silent.insert(endpoint(3));
    fleet.run(2.0, 0.5 * CAPACITY);
    let core = &fleet.sites[0].core;
    assert!(core.is_slot_limited(&pool, &endpoint(3)));
}

/// Guards against routers that grow the room at the expense of endpoints that tolerate no rejection, or only one.
#[test]
fn endpoints_that_tolerate_few_rejections_get_few() {
    for tolerance in [0, 1, 2] {
        let mut fleet = Fleet::start(7, ENDPOINTS);
        fleet.room = Some(ROOM);
        fleet.run(2.0, 1.2 * CAPACITY);
        for n in 0..ENDPOINTS {
            fleet.tolerances.insert(endpoint(n), tolerance);
        }
        fleet.run(BRITTLE_GRACE.as_secs_f64() + 1.0, 1.2 * CAPACITY);
        let since = fleet.elapsed;
        let used = use_of(&mut fleet, 6.0, 1.2 * CAPACITY);
        let most = fleet.most_rejections(since);
        assert!(most <= tolerance as usize, "{most} of {tolerance}");
        assert!(used > 0.5, "used {used:.2}");
    }
}
