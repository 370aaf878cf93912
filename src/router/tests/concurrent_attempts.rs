//! Concurrent and repeated attempts of one request.

use crate::ids::Fingerprint;
use crate::router::Event;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::tests::cluster::CALL_TOKENS;
use crate::router::tests::cluster::Cluster;

fn answered() -> RunEnd {
    RunEnd::Answered {
        status: 201,
        body: Some(b"receipt".to_vec()),
    }
}

#[test]
fn a_second_attempt_here_waits_and_gets_the_first_ones_answer() {
    let mut cluster = Cluster::start(1);
    let first = cluster.call("c1", 1);
    let first = cluster.submit_and_dispatch(0, &first);
    let second = cluster.call("c1", 2);
    let second = cluster.submit(0, &second);
    cluster.advance(500);
    assert!(cluster.nodes[0].runs(second).is_empty());
    assert!(cluster.nodes[0].refusal(second).is_none());
    cluster.handle(0, Event::RunEnded(first, answered()));
    cluster.advance(200);
    assert!(cluster.nodes[0].released(first));
    assert_eq!(
        cluster.nodes[0].replayed(second),
        Some((201, &b"receipt"[..]))
    );
    assert_eq!(cluster.spent(), CALL_TOKENS);
}

/// A caller sends its call again to another router, which has not yet read the first router's claim. Both append a
/// claim; the order of the log decides, and only one router dispatches.
#[test]
fn of_two_claims_at_once_one_is_dispatched() {
    let mut cluster = Cluster::start(2);
    for round in 0..20 {
        let key = format!("both-{round}");
        let ids: Vec<_> = (0..2)
            .map(|at| {
                let ask = cluster.call(&key, at as u64 + 1);
                cluster.submit(at, &ask)
            })
            .collect();
        cluster.advance(300);
        let runs: Vec<_> = (0..2)
            .map(|at| cluster.nodes[at].runs(ids[at]).len())
            .collect();
        assert_eq!(runs.iter().sum::<usize>(), 1, "{key}: {runs:?}");
        let winner = runs.iter().position(|r| *r == 1).expect("one ran");
        cluster.handle(winner, Event::RunEnded(ids[winner], answered()));
        cluster.advance(300);
        assert!(cluster.nodes[winner].released(ids[winner]));
        let other = 1 - winner;
        let replayed = cluster.nodes[other].replayed(ids[other]);
        assert_eq!(replayed, Some((201, &b"receipt"[..])), "{key}");
    }
    assert_eq!(cluster.spent(), 20 * CALL_TOKENS);
}

#[test]
fn a_second_attempt_that_waits_past_its_deadline_is_told_that_it_is_in_progress() {
    let mut cluster = Cluster::start(2);
    let first = cluster.call("c2", 1);
    cluster.submit_and_dispatch(0, &first);
    for at in 0..2 {
        let mut second = cluster.call("c2", 2);
        second.timeout = Some(std::time::Duration::from_millis(300));
        let second = cluster.submit(at, &second);
        cluster.advance(600);
        let refusal = cluster.nodes[at].refusal(second).expect("a refusal");
        assert_eq!(refusal.kind, ProblemKind::InProgress);
        assert_eq!(refusal.ran, Ran::Unknown);
    }
}

#[test]
fn another_request_under_the_key_is_refused_whatever_the_first_ones_state() {
    let mut cluster = Cluster::start(2);
    let first = cluster.call("c3", 1);
    let id = cluster.submit(0, &first);
    let refuse = |cluster: &mut Cluster, at: usize| {
        let mut other = cluster.call("c3", 1);
        other.fingerprint = Fingerprint(8);
        let other = cluster.submit(at, &other);
        cluster.advance(100);
        let refusal = cluster.nodes[at].refusal(other).expect("a refusal");
        assert_eq!(refusal.kind, ProblemKind::OtherRequest);
        // `ran` refers to the key, and a request under this key has run or is about to.
        assert_eq!(refusal.ran, Ran::Unknown);
    };
    refuse(&mut cluster, 0);
    cluster.advance(200);
    refuse(&mut cluster, 0);
    refuse(&mut cluster, 1);
    cluster.handle(0, Event::RunEnded(id, answered()));
    cluster.advance(200);
    refuse(&mut cluster, 0);
    refuse(&mut cluster, 1);
    assert_eq!(cluster.spent(), CALL_TOKENS);
}

/// A caller that lost its completion's answer retries repeatedly. Without a limit, one paid key would yield any number
/// of answers.
#[test]
fn a_billed_completion_runs_again_three_times_and_is_billed_once() {
    let mut cluster = Cluster::start(2);
    for try_number in 0..4 {
        let ask = cluster.chat("again", try_number + 1);
        let at = try_number as usize % 2;
        let id = cluster.submit_and_dispatch(at, &ask);
        cluster.complete(at, id);
        cluster.advance(200);
        assert!(cluster.nodes[at].released(id));
    }
    let over = cluster.chat("again", 5);
    let over = cluster.submit(0, &over);
    cluster.advance(200);
    let refusal = cluster.nodes[0].refusal(over).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::Finished, Ran::Yes)
    );
    assert_eq!(cluster.spent(), 23);
}
