//! Two attempts of one request.

use crate::ids::Fingerprint;
use crate::router::Event;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::tests::cluster::Bench;
use crate::router::tests::cluster::PRICE;

fn answered() -> RunEnd {
    RunEnd::Answered {
        status: 201,
        body: Some(b"receipt".to_vec()),
    }
}

#[test]
fn a_second_attempt_here_waits_and_gets_the_first_ones_answer() {
    let mut bench = Bench::start(1);
    let first = bench.call("c1", 1);
    let first = bench.dispatched(0, &first);
    let second = bench.call("c1", 2);
    let second = bench.arrive(0, &second);
    bench.pass(500);
    assert!(bench.nodes[0].runs(second).is_empty());
    assert!(bench.nodes[0].refusal(second).is_none());
    bench.tell(0, Event::Ended(first, answered()));
    bench.pass(200);
    assert!(bench.nodes[0].released(first));
    assert_eq!(
        bench.nodes[0].replayed(second),
        Some((201, &b"receipt"[..]))
    );
    assert_eq!(bench.spent(), PRICE);
}

/// A caller's phone changes its cell and sends its call again, to another router, while the first router's claim is not
/// folded there yet. Both append a claim; the log's order decides, and one alone dispatches.
#[test]
fn of_two_claims_at_once_one_is_dispatched() {
    let mut bench = Bench::start(2);
    for round in 0..20 {
        let key = format!("both-{round}");
        let ids: Vec<_> = (0..2)
            .map(|at| {
                let ask = bench.call(&key, at as u64 + 1);
                bench.arrive(at, &ask)
            })
            .collect();
        bench.pass(300);
        let runs: Vec<_> = (0..2)
            .map(|at| bench.nodes[at].runs(ids[at]).len())
            .collect();
        assert_eq!(runs.iter().sum::<usize>(), 1, "{key}: {runs:?}");
        let winner = runs.iter().position(|r| *r == 1).expect("one ran");
        bench.tell(winner, Event::Ended(ids[winner], answered()));
        bench.pass(300);
        assert!(bench.nodes[winner].released(ids[winner]));
        let other = 1 - winner;
        let replayed = bench.nodes[other].replayed(ids[other]);
        assert_eq!(replayed, Some((201, &b"receipt"[..])), "{key}");
    }
    assert_eq!(bench.spent(), 20 * PRICE);
}

#[test]
fn a_second_attempt_that_waits_past_its_deadline_is_told_that_it_is_in_progress() {
    let mut bench = Bench::start(2);
    let first = bench.call("c2", 1);
    bench.dispatched(0, &first);
    for at in 0..2 {
        let mut second = bench.call("c2", 2);
        second.patience = Some(std::time::Duration::from_millis(300));
        let second = bench.arrive(at, &second);
        bench.pass(600);
        let refusal = bench.nodes[at].refusal(second).expect("a refusal");
        assert_eq!(refusal.kind, ProblemKind::InProgress);
        assert_eq!(refusal.ran, Ran::Unknown);
    }
}

#[test]
fn another_request_under_the_key_is_refused_whatever_the_first_ones_state() {
    let mut bench = Bench::start(2);
    let first = bench.call("c3", 1);
    let id = bench.arrive(0, &first);
    let refuse = |bench: &mut Bench, at: usize| {
        let mut other = bench.call("c3", 1);
        other.request = Fingerprint(8);
        let other = bench.arrive(at, &other);
        bench.pass(100);
        let refusal = bench.nodes[at].refusal(other).expect("a refusal");
        assert_eq!(refusal.kind, ProblemKind::OtherRequest);
        // It speaks of the key, and under the key something ran or is about to.
        assert_eq!(refusal.ran, Ran::Unknown);
    };
    refuse(&mut bench, 0);
    bench.pass(200);
    refuse(&mut bench, 0);
    refuse(&mut bench, 1);
    bench.tell(0, Event::Ended(id, answered()));
    bench.pass(200);
    refuse(&mut bench, 0);
    refuse(&mut bench, 1);
    assert_eq!(bench.spent(), PRICE);
}

/// A completion's caller lost its answer and comes back again and again. Without a bound one paid key would buy any number
/// of answers.
#[test]
fn a_billed_completion_runs_again_three_times_and_is_billed_once() {
    let mut bench = Bench::start(2);
    for try_number in 0..4 {
        let ask = bench.chat("again", try_number + 1);
        let at = try_number as usize % 2;
        let id = bench.dispatched(at, &ask);
        bench.whole(at, id);
        bench.pass(200);
        assert!(bench.nodes[at].released(id));
    }
    let over = bench.chat("again", 5);
    let over = bench.arrive(0, &over);
    bench.pass(200);
    let refusal = bench.nodes[0].refusal(over).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::Finished, Ran::Yes)
    );
    assert_eq!(bench.spent(), 23);
}
