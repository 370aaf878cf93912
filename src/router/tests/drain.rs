//! Draining a router before a planned stop.

use std::time::Duration;

use crate::router::Effect;
use crate::router::Event;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::LogState;
use crate::router::tests::cluster::tuning;

fn exits(cluster: &Cluster) -> Vec<bool> {
    let out = cluster.nodes[0].effects.iter();
    let exits = out.filter_map(|effect| match effect {
        Effect::Exit { cut } => Some(*cut),
        _ => None,
    });
    exits.collect()
}

#[test]
fn a_drain_finishes_requests_redirects_new_ones_and_returns_holdings() {
    let mut cluster = Cluster::start(2);
    let running = cluster.chat("d1", 1);
    let running = cluster.submit_and_dispatch(0, &running);
    let claiming = cluster.chat("d2", 1);
    let claiming = cluster.submit(0, &claiming);
    cluster.handle(0, Event::Drain);
    let late = cluster.chat("d3", 1);
    let late = cluster.submit(0, &late);
    let refusal = cluster.nodes[0].refusal(late).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::NotServing, Ran::No)
    );
    assert_eq!(refusal.instead.as_deref(), Some("127.0.0.1:8001"));
    cluster.advance(300);
    assert!(exits(&cluster).is_empty());
    for id in [running, claiming] {
        assert_eq!(cluster.nodes[0].runs(id).len(), 1);
        cluster.complete(0, id);
    }
    cluster.advance(300);
    assert!(cluster.nodes[0].released(running) && cluster.nodes[0].released(claiming));
    assert_eq!(exits(&cluster), [false]);
    let me = cluster.nodes[0].core.me;
    let ledger = cluster.ledger();
    assert!(!ledger.is_open(me));
    let holding = ledger.holding(me, &"loans".parse().expect("a name"));
    assert_eq!((holding.free.0, holding.claimed.0), (0, 0));
    assert_eq!(cluster.spent(), 46);
}

#[test]
fn the_drain_limit_exits_and_reports_a_cut_request() {
    let mut cluster = Cluster::with_tuning(vec![crate::router::Tuning {
        drain_timeout: Duration::from_millis(500),
        ..tuning(0)
    }]);
    let running = cluster.chat("d4", 1);
    cluster.submit_and_dispatch(0, &running);
    cluster.handle(0, Event::Drain);
    cluster.advance(400);
    assert!(exits(&cluster).is_empty());
    cluster.advance(200);
    assert_eq!(exits(&cluster).first(), Some(&true));
}

/// A drain begins while the log is down. The router can neither return its holdings nor bill finished requests, so it
/// waits for the log until the drain limit.
#[test]
fn a_drain_waits_for_the_log_in_an_outage() {
    let mut cluster = Cluster::start(1);
    let running = cluster.chat("d5", 1);
    let running = cluster.submit_and_dispatch(0, &running);
    cluster.log = LogState::Down;
    cluster.complete(0, running);
    cluster.handle(0, Event::Drain);
    cluster.advance(5000);
    assert!(exits(&cluster).is_empty());
    cluster.log = LogState::Up;
    cluster.advance(3000);
    assert_eq!(exits(&cluster), [false]);
    assert_eq!(cluster.bill("d5"), Some(23));
}
