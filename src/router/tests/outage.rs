//! Log outages.

use crate::decide::ConsistencyMode;
use crate::ids::Sequence;
use crate::router::Event;
use crate::router::KeptBatches;
use crate::router::PeerFailure;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::Tuning;
use crate::router::members::Members;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::LogState;
use crate::router::tests::cluster::tuning;
use crate::settings::EndMarker;

/// Starts two cores that hold budget, the first of which has detected that the log is down.
fn start_in_outage(change: impl Fn(Tuning) -> Tuning) -> Cluster {
    let mut cluster = Cluster::with_tuning(vec![change(tuning(0)), change(tuning(1))]);
    for at in 0..2 {
        let ask = cluster.chat(&format!("before-{at}"), 1);
        let id = cluster.submit_and_dispatch(at, &ask);
        cluster.complete(at, id);
    }
    cluster.advance(2000);
    cluster.log = LogState::Down;
    // The first request waits until the outage is detected.
    let ask = cluster.chat("first", 1);
    cluster.submit(0, &ask);
    cluster.advance(800);
    assert!(cluster.nodes[0].core.in_outage(cluster.now));
    cluster
}

/// The log is down for a while. A completion is still served: a peer keeps its claim and then its bill, so that neither
/// is lost if this router fails, and the caller gets the complete answer before the log is back.
#[test]
fn a_completion_is_served_whole_while_a_peer_keeps_its_records() {
    let mut cluster = start_in_outage(|tuning| tuning);
    let ask = cluster.chat("o1", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    cluster.complete(0, id);
    cluster.advance(200);
    assert!(cluster.nodes[0].released(id));
    assert_eq!(cluster.bill("o1"), None);
    cluster.log = LogState::Up;
    cluster.advance(2000);
    assert_eq!(cluster.bill("o1"), Some(23));
}

#[test]
fn with_hold_the_end_marker_waits_for_the_log() {
    let mut cluster = start_in_outage(|tuning| Tuning {
        end_marker: EndMarker::Hold,
        ..tuning
    });
    let ask = cluster.chat("o2", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    cluster.complete(0, id);
    cluster.advance(1000);
    assert!(!cluster.nodes[0].released(id));
    cluster.log = LogState::Up;
    cluster.advance(2000);
    assert!(cluster.nodes[0].released(id));
    assert_eq!(cluster.bill("o2"), Some(23));
}

/// A call that may not be repeated could also be claimed by another router that reaches the log. It is refused, and
/// does not run later.
#[test]
fn a_call_that_may_not_be_repeated_is_refused() {
    let mut cluster = start_in_outage(|tuning| tuning);
    let ask = cluster.call("o3", 1);
    let id = cluster.submit(0, &ask);
    cluster.advance(100);
    let refusal = cluster.nodes[0].refusal(id).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::LogOutage, Ran::No)
    );
    // The caller does not state that this is the first attempt, so nothing proves that it did not run.
    let again = cluster.call("o3", 2);
    let again = cluster.submit(0, &again);
    cluster.advance(100);
    let refusal = cluster.nodes[0].refusal(again).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::LogOutage, Ran::Unknown)
    );
    cluster.log = LogState::Up;
    cluster.advance(2000);
    assert!(cluster.nodes[0].runs(id).is_empty() && cluster.nodes[0].runs(again).is_empty());
}

/// The router has no contact with any peer in the outage. No peer would keep its records, so no answer could be
/// completed: it refuses requests instead of spending tokens on them.
#[test]
fn a_completion_is_refused_without_a_peer() {
    for lean in [ConsistencyMode::Strict, ConsistencyMode::Available] {
        let mut cluster = start_in_outage(|tuning| Tuning { lean, ..tuning });
        cluster.connected = false;
        cluster.advance(4000);
        let ask = cluster.chat("o4", 1);
        let id = cluster.submit(0, &ask);
        cluster.advance(200);
        let refusal = cluster.nodes[0].refusal(id).expect("a refusal");
        assert_eq!(refusal.kind, ProblemKind::LogOutage);
        assert!(cluster.nodes[0].runs(id).is_empty());
        cluster.log = LogState::Up;
        cluster.connected = true;
        cluster.advance(3000);
        assert!(cluster.nodes[0].runs(id).is_empty());
        assert_eq!(cluster.bill("o4"), None);
    }
}

/// Demand in the outage exceeds the budget that the router holds. It cannot draw, so it serves no more than it holds
/// and refuses the rest.
#[test]
fn no_more_is_served_than_is_held() {
    let mut cluster = start_in_outage(|tuning| tuning);
    let me = cluster.nodes[0].core.me;
    let team = "loans".parse().expect("a name");
    let held = cluster.ledger().holding(me, &team);
    let held = held.free.0 + held.claimed.0;
    let before = cluster.nodes[0].dispatches();
    for number in 0..1500 {
        let ask = cluster.chat(&format!("much-{number}"), 1);
        cluster.submit(0, &ask);
        cluster.advance(10);
        cluster.complete_all(0);
    }
    cluster.advance(3000);
    cluster.complete_all(0);
    let served = cluster.nodes[0].dispatches() - before;
    // Each reserved 110 tokens and released the 87 that it did not use.
    assert!(served > 256, "{served} were served out of {held}");
    assert!(served * 23 <= held, "{served} of 23 out of {held}");
    let last = cluster.chat("last", 1);
    let last = cluster.submit(0, &last);
    cluster.advance(3000);
    assert_eq!(
        cluster.nodes[0].refusal(last).map(|p| p.kind),
        Some(ProblemKind::LogOutage)
    );
    cluster.log = LogState::Up;
    cluster.advance(5000);
    let all = cluster.nodes[0].dispatches() + cluster.nodes[1].dispatches();
    assert_eq!(
        cluster.spent(),
        all * 23,
        "each request that was served is billed"
    );
}

/// The router fails in the outage with bills that only its peer keeps. When the log is back, the peer appends them
/// before it closes the failed router, so that the answers that callers received are billed.
#[test]
fn a_dead_routers_bills_are_brought_by_its_peer() {
    let mut cluster = start_in_outage(|tuning| tuning);
    let ask = cluster.chat("o5", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    cluster.complete(0, id);
    cluster.advance(200);
    assert!(cluster.nodes[0].released(id));
    let dead = cluster.nodes[0].core.me;
    cluster.nodes.remove(0);
    cluster.log = LogState::Up;
    for _ in 0..80 {
        let vm = "router-0".parse().expect("a name");
        cluster.handle(0, Event::HeartbeatFailed(vm, PeerFailure::Refused));
        cluster.advance(100);
    }
    assert!(!cluster.ledger().is_open(dead));
    assert_eq!(cluster.bill("o5"), Some(23));
}

/// The log is down for long, and a router replicates each record to its peers. If all pending records were sent again
/// with each new one, an outage of an hour would saturate the network between the routers, and callers would wait
/// longer and longer for the end of their answers.
#[test]
fn replicated_records_are_not_resent() {
    const REQUESTS: usize = 600;
    let mut cluster = start_in_outage(|tuning| tuning);
    let before = cluster.replicated_bytes;
    for number in 0..REQUESTS {
        let ask = cluster.chat(&format!("long-{number}"), 1);
        let id = cluster.submit_and_dispatch(0, &ask);
        cluster.complete(0, id);
        cluster.advance(100);
        assert!(cluster.nodes[0].released(id), "{number}");
    }
    let each = (cluster.replicated_bytes - before) / REQUESTS;
    assert!(each < 10_000, "{each} bytes a request");
    cluster.log = LogState::Up;
    cluster.advance(5000);
    for number in 0..REQUESTS {
        assert_eq!(
            cluster.bill(&format!("long-{number}")),
            Some(23),
            "{number}"
        );
    }
}

/// A router restarts in the middle of an outage, and a peer continues to send it only new batches. Batches after a gap
/// could not be used if the peer failed, so the router reports that it lacks the earlier ones, and gets all.
#[test]
fn batches_after_a_gap_are_not_kept() {
    let cluster = start_in_outage(|tuning| tuning);
    let router = cluster.nodes[0].core.me;
    let folded = cluster.nodes[1].core.ledger.router(router);
    let folded = folded.expect("it is open").sequence;
    let left = |after: u64, count: usize| KeptBatches {
        router,
        after: Sequence(after),
        last: Sequence(after + count as u64),
        records: 1,
        batches: vec![vec![1]; count],
    };
    let fresh = || Members::new(cluster.now, tuning(0).vm);
    assert!(!fresh().keep_batches(left(folded.0 + 5, 1), folded));
    assert!(fresh().keep_batches(left(folded.0, 2), folded));
    let mut members = fresh();
    assert!(members.keep_batches(left(folded.0, 3), folded));
    assert!(members.keep_batches(left(folded.0 + 2, 2), folded));
    assert_eq!(members.kept_batches[&router].batches.len(), 4);
    assert_eq!(members.kept_batches[&router].last, Sequence(folded.0 + 4));
}
