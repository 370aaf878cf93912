//! How fast what is held of a budget opens for use.

use std::time::Duration;

use jasmineridge::Tokens;
use jasmineridge::release_limit;

/// All routers are cut off for ten seconds, and then lose their power for a second. What they held lasts for the cut, and
/// where the power goes at its beginning most of it is still there.
#[test]
fn what_is_held_opens_over_a_cut() {
    let cut = Duration::from_secs(10);
    for (demand, held) in [(1000.0, 8000), (1000.0, 30_000), (0.0, 8000)] {
        let open = release_limit(demand, Tokens(held), cut);
        let after = |time| open.burst.0 + open.rate.over(time).0;
        let asked = (demand * cut.as_secs_f64()) as u64;
        assert!(after(cut) >= asked.min(held), "{demand} {held}");
        assert!(after(Duration::from_secs(1)) <= held / 5, "{demand} {held}");
    }
    let moved = release_limit(0.0, Tokens(8000), cut);
    assert!(moved.rate.over(Duration::from_secs(40)) >= Tokens(8000));
}
