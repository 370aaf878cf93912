//! Detection of a VM whose own link or processor is slow, as opposed to slow peers.

use jasmineridge::RoundTrips;

use crate::ms;
use crate::start;

/// Number of peers that answer each half second.
const PEERS: usize = 12;

/// Samples round trips of `most_ms` for all peers but one, and of `one_ms` for that one.
fn measure(most_ms: u64, one_ms: u64) -> RoundTrips {
    let mut round_trips = RoundTrips::default();
    for step in 0..10 {
        let now = start() + ms(500 * step);
        round_trips.sample(now, ms(one_ms));
        (1..PEERS).for_each(|_| round_trips.sample(now, ms(most_ms)));
    }
    round_trips
}

/// Guards against missing that a VM's own link is saturated.
#[test]
fn a_vm_is_late_if_all_answers_are_late() {
    let round_trips = measure(400, 300);
    assert!(round_trips.is_late());
    assert!(round_trips.shortest() >= ms(300));
}

/// Guards against attributing the delay of slow peers to the VM.
#[test]
fn slow_peers_do_not_make_a_vm_late() {
    assert!(!measure(900, 5).is_late());
}

/// Guards against a VM that stays late for ever after a burst.
#[test]
fn a_vm_recovers_after_a_burst() {
    let mut round_trips = measure(900, 900);
    let now = start() + ms(10_000);
    (0..PEERS).for_each(|_| round_trips.sample(now, ms(5)));
    assert!(!round_trips.is_late());
}

/// Guards against deciding on a single round trip.
#[test]
fn one_sample_is_not_enough() {
    let mut round_trips = RoundTrips::default();
    round_trips.sample(start(), ms(900));
    assert!(!round_trips.is_late());
}

/// Guards against giving up on answers that a late VM would still receive.
#[test]
fn a_late_vm_has_longer_timeouts() {
    let usual = ms(100);
    assert_eq!(RoundTrips::default().timeout(usual), usual);
    assert_eq!(measure(5, 5).timeout(usual), usual);
    assert_eq!(measure(150, 150).timeout(usual), ms(450));
    assert_eq!(measure(900, 900).timeout(usual), ms(600));
}
