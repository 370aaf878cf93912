//! A budget whose last tokens are spread over several routers.

use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::tuning;

/// Two routers hold 87 tokens each, nothing is left to draw, and each has a caller whose request may cost 110. If each
/// kept its part for its own caller, both would be refused although the team has 174 left.
#[test]
fn one_of_two_routers_with_a_part_each_is_served() {
    let mut cluster = Cluster::without_budget(vec![tuning(0), tuning(1)]);
    cluster.top_up("small", 220);
    for at in 0..2 {
        let ask = cluster.chat(&format!("first-{at}"), 1);
        cluster.submit_and_dispatch(at, &ask);
    }
    for at in 0..2 {
        cluster.complete_all(at);
    }
    cluster.advance(60);
    let ids = [0, 1].map(|at| {
        let ask = cluster.chat(&format!("second-{at}"), 1);
        cluster.submit(at, &ask)
    });
    cluster.advance(1500);
    let served = (0..2).filter(|at| cluster.nodes[*at].runs(ids[*at]).len() == 1);
    assert_eq!(served.count(), 1);
}
