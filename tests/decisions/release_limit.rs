//! How fast a held part of a budget is released for spending.

use std::time::Duration;

use jasmineridge::Tokens;
use jasmineridge::release_limit;

/// All routers are cut off from the log for ten seconds, and then lose power for a second. The holding must last for
/// the outage, and most of it must be left if power fails at the start of the outage.
#[test]
fn a_holding_is_released_over_an_outage() {
    let outage = Duration::from_secs(10);
    for (demand, held) in [(1000.0, 8000), (1000.0, 30_000), (0.0, 8000)] {
        let limit = release_limit(demand, Tokens(held), outage);
        let after = |time| limit.burst.0 + limit.rate.over(time).0;
        let needed = (demand * outage.as_secs_f64()) as u64;
        assert!(after(outage) >= needed.min(held), "{demand} {held}");
        assert!(after(Duration::from_secs(1)) <= held / 5, "{demand} {held}");
    }
    let no_demand = release_limit(0.0, Tokens(8000), outage);
    assert!(no_demand.rate.over(Duration::from_secs(40)) >= Tokens(8000));
}
