//! Timeouts of calls over a saturated link to the store.

use jasmineridge::CallTimes;

use crate::ms;

/// Guards against abandoning each write before its answer when packets queue for most of a second on the link.
#[test]
fn timeout_grows_with_connection_time() {
    let mut times = CallTimes::default();
    assert_eq!(times.timeout(ms(500)), ms(500));
    times.sample(ms(700));
    assert_eq!(times.timeout(ms(500)), ms(1400));
}

/// Guards against a router that takes many seconds to notice that the store is unreachable.
#[test]
fn timeout_is_bounded() {
    let mut times = CallTimes::default();
    times.sample(ms(30_000));
    assert_eq!(times.timeout(ms(500)), ms(2000));
}

/// Guards against a timeout that stays high after a burst.
#[test]
fn timeout_falls_after_a_burst() {
    let mut times = CallTimes::default();
    times.sample(ms(900));
    (0..10).for_each(|_| times.sample(ms(4)));
    assert_eq!(times.timeout(ms(500)), ms(500));
}
