//! What most clocks of a fleet read.

use std::time::Duration;
use std::time::Instant;

use crate::moment::Span;
use crate::router::fleet_clock::FleetClock;
use crate::router::tests::cluster::boot_clock;
use crate::router::tests::site::WALL;

const OTHER_ROUTERS: usize = 8;

/// Returns a clock that knows those of other routers, which are so many seconds off.
fn clock(now: Instant, off: &[i64]) -> FleetClock {
    let mut clock = FleetClock::new(boot_clock(1, WALL, now));
    clock.set_peer_count(OTHER_ROUTERS);
    for (number, off) in off.iter().enumerate() {
        let vm = format!("router-{number}").parse().expect("a name");
        let wall = WALL.as_secs().saturating_add_signed(*off);
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

/// Two of nine clocks are far behind, as those of VMs that were suspended, and two are ahead. Let in, they would strand as many
/// seconds of each team's demand at each loss of power as they are off.
#[test]
fn a_few_wrong_clocks_change_nothing() {
    let now = Instant::now();
    let clock = clock(now, &[-4, -4, 7, 7, 0, 0, 0, 0]);
    assert_eq!(clock.reading(now).fleet, exact(WALL));
    let later = Duration::from_secs(3);
    assert_eq!(clock.reading(now + later).fleet, exact(WALL + later));
}

/// Clocks that were set wrong in one direction are more than a quarter. They count, so that the span is too wide rather than
/// too narrow.
#[test]
fn many_wrong_clocks_widen_the_span() {
    let now = Instant::now();
    let span = clock(now, &[-4, -4, -4, 0, 0, 0, 0, 0]).reading(now).fleet;
    let span = span.expect("enough of them are known");
    assert_eq!(span.earliest + Duration::from_secs(4), WALL);
    assert_eq!(span.latest, WALL);
}

/// Of half of the other routers nothing was heard: theirs may be the right ones.
#[test]
fn half_of_the_clocks_are_not_enough() {
    let now = Instant::now();
    assert_eq!(clock(now, &[0; 4]).reading(now).fleet, None);
    assert!(clock(now, &[0; 5]).reading(now).fleet.is_some());
}

/// Two routers of a large fleet say what time it is before the list has come that shows how large it is. Theirs may be the wrong
/// ones.
#[test]
fn no_clocks_are_enough_before_the_routers_are_listed() {
    let now = Instant::now();
    let mut clock = FleetClock::new(boot_clock(1, WALL, now));
    for vm in ["router-1", "router-2"] {
        let vm = vm.parse().expect("a name");
        assert!(!clock.record_reading(now, &vm, WALL));
    }
    assert_eq!(clock.start_reading(now).fleet, None);
    clock.set_peer_count(OTHER_ROUTERS);
    assert_eq!(clock.reading(now).fleet, None);
}

/// What the clocks read at the start stays, whoever is heard of later: what was given back by it may be drawn already.
#[test]
fn the_start_reading_does_not_change() {
    let start = Instant::now();
    let mut clock = clock(start, &[0; 5]);
    let now = start + Duration::from_secs(1);
    assert_eq!(clock.start_reading(now).fleet, exact(WALL));
    for number in 0..OTHER_ROUTERS {
        let vm = format!("router-{number}").parse().expect("a name");
        clock.record_reading(now, &vm, WALL);
    }
    assert_eq!(clock.start_reading(now).fleet, exact(WALL));
}
