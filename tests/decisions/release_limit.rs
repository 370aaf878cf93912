//! How fast what is held of a budget opens for use.

use std::time::Duration;

use jasmineridge::Tokens;
use jasmineridge::release_limit;

/// All routers are cut off for ten seconds, and then lose their power for a second. What they held lasts for the cut, and
/// where the power goes at its beginning most of it is still there.
#[test]
fn a_holding_is_released_over_an_outage() {
    let outage = Duration::from_secs(10);
    for (demand, held) in [(1000.0, 8000), (1000.0, 30_000), (0.0, 8000)] {
        let limit = release_limit(demand, Tokens(held), outage);
        let released = |time| limit.burst.0 + limit.rate.over(time).0;
        let needed = (demand * outage.as_secs_f64()) as u64;
        assert!(released(outage) >= needed.min(held), "{demand} {held}");
        assert!(
            released(Duration::from_secs(1)) <= held / 5,
            "{demand} {held}"
        );
    }
    let no_demand = release_limit(0.0, Tokens(8000), outage);
    assert!(no_demand.rate.over(Duration::from_secs(40)) >= Tokens(8000));
}
