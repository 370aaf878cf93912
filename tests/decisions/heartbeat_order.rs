//! Heartbeats of endpoints that come late, and records with numbers that are too high.

use std::time::Instant;

use jasmineridge::HeartbeatNumber;
use jasmineridge::HeartbeatOrder;

use crate::ms;
use crate::start;

const NAME: &str = "endpoint-0";

/// The heartbeat interval in milliseconds.
const INTERVAL_MS: u64 = 1200;

/// How many heartbeats it may take until a number that is too high no longer counts.
const MAX_PASSED_OVER: u64 = 4;

fn number(born: Option<u64>, sequence: u64) -> HeartbeatNumber {
    HeartbeatNumber { born, sequence }
}

/// Reads a heartbeat of an endpoint that lists no start, and returns whether it is the newest.
fn read(order: &mut HeartbeatOrder, at: Instant, sequence: u64) -> bool {
    order.advance(at, NAME, number(None, sequence))
}

/// Guards against an endpoint whose heartbeats all count as late, because one record had a number or a start that is too high.
#[test]
fn a_number_that_is_too_high_is_overtaken() {
    let start = start();
    for odd in [
        number(Some(7), u64::MAX),
        number(Some(7), 1000),
        number(Some(u64::MAX), 1),
        number(Some(u64::MAX), u64::MAX),
    ] {
        let mut order = HeartbeatOrder::default();
        assert!(order.advance(start, NAME, number(Some(7), 41)));
        assert!(order.advance(start, NAME, odd));
        let beat = |order: &mut HeartbeatOrder, count| {
            let at = start + ms(count * INTERVAL_MS);
            order.advance(at, NAME, number(Some(7), 41 + count))
        };
        let newest = (1..20).find(|count| beat(&mut order, *count));
        assert!(newest.is_some_and(|count| count <= MAX_PASSED_OVER));
        assert!((20..40).all(|count| beat(&mut order, count)), "{odd:?}");
    }
}

/// Guards against two odd records, the second of which keeps the endpoint's heartbeats from counting as a series.
#[test]
fn two_numbers_that_are_too_high_are_overtaken() {
    let start = start();
    let mut order = HeartbeatOrder::default();
    for odd in [u64::MAX, 1 << 63] {
        read(&mut order, start, odd);
    }
    let beat = |count: &u64| read(&mut order, start + ms(count * INTERVAL_MS), *count);
    let newest = (1..20).find(beat);
    assert!(newest.is_some_and(|count| count <= MAX_PASSED_OVER));
}

/// Guards against late heartbeats that replace a later one, because many of them arrive at once after an outage.
#[test]
fn late_heartbeats_that_arrive_at_once_stay_late() {
    let start = start();
    let mut order = HeartbeatOrder::default();
    assert!(read(&mut order, start, 100));
    for sequence in 1..100 {
        assert!(!read(&mut order, start + ms(sequence), sequence));
    }
}

/// Guards against late heartbeats that replace a later one, because they add up over minutes beside current ones.
#[test]
fn late_heartbeats_beside_current_ones_stay_late() {
    let start = start();
    let mut order = HeartbeatOrder::default();
    for count in 1..100 {
        let at = start + ms(count * INTERVAL_MS);
        assert!(read(&mut order, at, 1000 + count));
        assert!(!read(&mut order, at, 900 + count));
    }
}

/// Guards against a single late heartbeat that counts as several, because the list is read again.
#[test]
fn a_late_heartbeat_that_is_read_again_stays_late() {
    let start = start();
    let mut order = HeartbeatOrder::default();
    assert!(read(&mut order, start, 6));
    for count in 1..100 {
        assert!(!read(&mut order, start + ms(count * INTERVAL_MS), 5));
    }
}

/// Guards against an endpoint that starts again under its name and whose former life is taken for the newer one.
#[test]
fn heartbeats_of_a_former_life_stay_late() {
    let start = start();
    let mut order = HeartbeatOrder::default();
    assert!(order.advance(start, NAME, number(Some(1000), 400)));
    for count in 1..20 {
        let at = start + ms(count * INTERVAL_MS);
        assert!(order.advance(at, NAME, number(Some(9000), count)));
        assert!(!order.advance(at, NAME, number(Some(1000), 400 + count)));
    }
}
