//! A budget whose last tokens lie scattered over the routers.

use crate::router::tests::cluster::Bench;
use crate::router::tests::cluster::tuning;

/// Two routers hold 87 tokens each, nothing is left to draw, and each has a caller whose request can cost 110. Were each to
/// keep its part for its own caller, both would be refused though the team has 174 left.
#[test]
fn one_of_two_that_each_hold_a_part_is_served() {
    let mut bench = Bench::unfunded(vec![tuning(0), tuning(1)]);
    bench.top_up("small", 220);
    for at in 0..2 {
        let ask = bench.chat(&format!("first-{at}"), 1);
        bench.dispatched(at, &ask);
    }
    for at in 0..2 {
        bench.end_all(at);
    }
    bench.pass(60);
    let ids = [0, 1].map(|at| {
        let ask = bench.chat(&format!("second-{at}"), 1);
        bench.arrive(at, &ask)
    });
    bench.pass(1500);
    let served = (0..2).filter(|at| bench.nodes[*at].runs(ids[*at]).len() == 1);
    assert_eq!(served.count(), 1);
}
