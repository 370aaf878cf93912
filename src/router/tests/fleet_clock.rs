//! The time span that most clocks of the fleet agree on.

use std::time::Duration;
use std::time::Instant;

use crate::moment::Span;
use crate::router::fleet_clock::FleetClock;
use crate::router::tests::cluster::boot_clock;
use crate::router::tests::site::START_TIME;

const OTHER_ROUTERS: usize = 8;

/// Returns a fleet clock with readings of other routers that are off by the given numbers of seconds.
fn clock(now: Instant, off: &[i64]) -> FleetClock {
    let mut clock = FleetClock::new(boot_clock(1, START_TIME, now));
    clock.set_peer_count(OTHER_ROUTERS);
    for (number, off) in off.iter().enumerate() {
        let vm = format!("router-{number}").parse().expect("a name");
        let wall = START_TIME.as_secs().saturating_add_signed(*off);
        clock.record_reading(now, &vm, Duration::from_secs(wall));
    }
    clock
}

fn exact(wall: Duration) -> Option<Span> {
    Some(Span {
        earliest: wall,
        latest: wall,
    })
}

/// Two of nine clocks are far behind, like those of VMs that were suspended, and two are ahead. If they counted, each
/// power loss would strand as many seconds of every team's demand as they are off.
#[test]
fn a_few_wrong_clocks_change_nothing() {
    let now = Instant::now();
    let clock = clock(now, &[-4, -4, 7, 7, 0, 0, 0, 0]);
    assert_eq!(clock.reading(now).fleet, exact(START_TIME));
    let later = Duration::from_secs(3);
    assert_eq!(clock.reading(now + later).fleet, exact(START_TIME + later));
}

/// More than a quarter of the clocks are wrong in one direction. They count, so that the span is too wide rather than
/// too narrow.
#[test]
fn many_wrong_clocks_widen_the_span() {
    let now = Instant::now();
    let span = clock(now, &[-4, -4, -4, 0, 0, 0, 0, 0]).reading(now).fleet;
    let span = span.expect("enough clocks are known");
    assert_eq!(span.earliest + Duration::from_secs(4), START_TIME);
    assert_eq!(span.latest, START_TIME);
}

/// Half of the other routers have not been heard from, and their clocks may be the correct ones.
#[test]
fn half_of_the_clocks_are_not_enough() {
    let now = Instant::now();
    assert_eq!(clock(now, &[0; 4]).reading(now).fleet, None);
    assert!(clock(now, &[0; 5]).reading(now).fleet.is_some());
}

/// Two routers of a large fleet report their time before the VM list shows how large the fleet is. Their clocks may be
/// the wrong ones.
#[test]
fn no_clocks_are_enough_before_the_routers_are_listed() {
    let now = Instant::now();
    let mut clock = FleetClock::new(boot_clock(1, START_TIME, now));
    for vm in ["router-1", "router-2"] {
        let vm = vm.parse().expect("a name");
        assert!(!clock.record_reading(now, &vm, START_TIME));
    }
    assert_eq!(clock.start_reading(now).fleet, None);
    clock.set_peer_count(OTHER_ROUTERS);
    assert_eq!(clock.reading(now).fleet, None);
}

/// The reading at the start does not change when more routers are heard from: tokens that were given back because of it
/// may already have been drawn.
#[test]
fn the_start_reading_does_not_change() {
    let start = Instant::now();
    let mut clock = clock(start, &[0; 5]);
    let now = start + Duration::from_secs(1);
    assert_eq!(clock.start_reading(now).fleet, exact(START_TIME));
    for number in 0..OTHER_ROUTERS {
        let vm = format!("router-{number}").parse().expect("a name");
        clock.record_reading(now, &vm, START_TIME);
    }
    assert_eq!(clock.start_reading(now).fleet, exact(START_TIME));
}
