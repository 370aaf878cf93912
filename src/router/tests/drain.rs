//! Planned stops.

use std::time::Duration;

use crate::router::Effect;
use crate::router::Event;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::tests::cluster::Bench;
use crate::router::tests::cluster::Log;
use crate::router::tests::cluster::tuning;

fn exits(bench: &Bench) -> Vec<bool> {
    let out = bench.nodes[0].out.iter();
    let exits = out.filter_map(|effect| match effect {
        Effect::Exit { cut } => Some(*cut),
        _ => None,
    });
    exits.collect()
}

#[test]
fn a_drain_finishes_requests_redirects_new_ones_and_returns_holdings() {
    let mut bench = Bench::start(2);
    let running = bench.chat("d1", 1);
    let running = bench.dispatched(0, &running);
    let claiming = bench.chat("d2", 1);
    let claiming = bench.arrive(0, &claiming);
    bench.tell(0, Event::Drain);
    let late = bench.chat("d3", 1);
    let late = bench.arrive(0, &late);
    let refusal = bench.nodes[0].refusal(late).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::NotServing, Ran::No)
    );
    assert_eq!(refusal.instead.as_deref(), Some("127.0.0.1:8001"));
    bench.pass(300);
    assert!(exits(&bench).is_empty());
    for id in [running, claiming] {
        assert_eq!(bench.nodes[0].runs(id).len(), 1);
        bench.whole(0, id);
    }
    bench.pass(300);
    assert!(bench.nodes[0].released(running) && bench.nodes[0].released(claiming));
    assert_eq!(exits(&bench), [false]);
    let me = bench.nodes[0].core.me;
    let ledger = bench.ledger();
    assert!(!ledger.is_open(me));
    let holding = ledger.holding(me, &"loans".parse().expect("a name"));
    assert_eq!((holding.free.0, holding.claimed.0), (0, 0));
    assert_eq!(bench.spent(), 46);
}

#[test]
fn the_drain_limit_exits_and_reports_a_cut_request() {
    let mut bench = Bench::tuned(vec![crate::router::Tuning {
        drain: Duration::from_millis(500),
        ..tuning(0)
    }]);
    let running = bench.chat("d4", 1);
    bench.dispatched(0, &running);
    bench.tell(0, Event::Drain);
    bench.pass(400);
    assert!(exits(&bench).is_empty());
    bench.pass(200);
    assert_eq!(exits(&bench).first(), Some(&true));
}

/// A stop begins while the log is down. The router can't give back what it holds, nor bill what ended; it waits for the log
/// until the limit.
#[test]
fn a_drain_waits_for_the_log_in_an_outage() {
    let mut bench = Bench::start(1);
    let running = bench.chat("d5", 1);
    let running = bench.dispatched(0, &running);
    bench.log = Log::Down;
    bench.whole(0, running);
    bench.tell(0, Event::Drain);
    bench.pass(5000);
    assert!(exits(&bench).is_empty());
    bench.log = Log::Up;
    bench.pass(3000);
    assert_eq!(exits(&bench), [false]);
    assert_eq!(bench.bill("d5"), Some(23));
}
