//! What proves that a refused request was not run, in each case.

use std::time::Duration;

use crate::decide::ConsistencyMode;
use crate::ids::RequestId;
use crate::router::Event;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::Tuning;
use crate::router::tests::cluster::Bench;
use crate::router::tests::cluster::Log;
use crate::router::tests::cluster::tuning;

fn told(bench: &Bench, at: usize, id: RequestId) -> (ProblemKind, Ran) {
    let refusal = bench.nodes[at].refusal(id).expect("a refusal");
    (refusal.kind, refusal.ran)
}

/// Has an attempt of a completion refused for the team's spent budget, and returns what its caller is told.
fn refused(bench: &mut Bench, key: &str, attempt: u64) -> (ProblemKind, Ran) {
    let ask = bench.chat(key, attempt);
    let id = bench.arrive(0, &ask);
    bench.pass(800);
    assert!(bench.nodes[0].runs(id).is_empty());
    told(bench, 0, id)
}

#[test]
fn a_refused_first_attempt_takes_no_record() {
    let mut bench = Bench::unfunded(vec![tuning(0)]);
    let records = bench.records.len();
    let told = refused(&mut bench, "p1", 1);
    assert_eq!(told, (ProblemKind::BudgetSpent, Ran::No));
    assert_eq!(bench.records.len(), records, "it takes no record");
}

/// A later attempt is refused. An earlier one may be on its way to another router, so a record has to settle that it will
/// not run: a claim of it that comes behind is void.
#[test]
fn a_later_attempt_takes_a_record() {
    let mut bench = Bench::unfunded(vec![tuning(0)]);
    assert_eq!(
        refused(&mut bench, "p2", 2),
        (ProblemKind::BudgetSpent, Ran::No)
    );
    let state = bench.key_state("p2").expect("it stands in the log");
    assert!(state.is_unrun());
    bench.top_up("later", 10_000);
    // The first attempt arrives only now, and may not run any more; a third one may.
    let late = bench.chat("p2", 1);
    let late = bench.arrive(0, &late);
    bench.pass(500);
    assert!(bench.nodes[0].runs(late).is_empty());
    let third = bench.chat("p2", 3);
    bench.dispatched(0, &third);
}

#[test]
fn an_attempt_without_a_number_proves_nothing() {
    let mut bench = Bench::unfunded(vec![tuning(0)]);
    assert_eq!(
        refused(&mut bench, "p3", 0),
        (ProblemKind::BudgetSpent, Ran::Unknown)
    );
}

#[test]
fn without_the_log_there_is_no_record() {
    let mut bench = Bench::start(1);
    bench.log = Log::Down;
    let ask = bench.call("p4", 2);
    let id = bench.arrive(0, &ask);
    bench.pass(4000);
    assert_eq!(told(&bench, 0, id), (ProblemKind::LogOutage, Ran::Unknown));
    bench.log = Log::Up;
    bench.pass(1500);
    assert!(bench.nodes[0].runs(id).is_empty());
}

/// Every endpoint refuses the request. Its claim is held, and releasing it is the proof.
#[test]
fn a_claim_that_no_endpoint_took_is_released() {
    for attempt in [1, 2] {
        let mut bench = Bench::start(1);
        let ask = bench.chat("p5", attempt);
        let id = bench.arrive(0, &ask);
        bench.pass(200);
        for _ in 0..5 {
            bench.tell(0, Event::Ended(id, RunEnd::NotRun { retry: None }));
        }
        bench.pass(300);
        assert_eq!(told(&bench, 0, id), (ProblemKind::NoEndpoint, Ran::No));
        let state = bench.key_state("p5").expect("it stands in the log");
        assert!(state.is_unrun());
        assert_eq!(bench.spent(), 0);
    }
}

#[test]
fn a_broken_run_has_an_unknown_outcome() {
    let mut bench = Bench::start(1);
    let ask = bench.call("p6", 1);
    let id = bench.dispatched(0, &ask);
    let broken = RunEnd::Broken {
        usage: None,
        begun: false,
        died: false,
    };
    bench.tell(0, Event::Ended(id, broken));
    bench.pass(300);
    assert_eq!(
        told(&bench, 0, id),
        (ProblemKind::OutcomeUnknown, Ran::Unknown)
    );
    let retry = bench.call("p6", 2);
    let retry = bench.arrive(0, &retry);
    bench.pass(300);
    assert_eq!(
        told(&bench, 0, retry),
        (ProblemKind::OutcomeUnknown, Ran::Unknown)
    );
    assert!(bench.nodes[0].runs(retry).is_empty());
}

/// Another router runs the request when this one refuses its retry. "No" would have the caller send it once more under a
/// new key.
#[test]
fn a_request_running_elsewhere_is_never_reported_as_not_run() {
    let mut bench = Bench::start(2);
    let first = bench.call("p7", 1);
    bench.dispatched(1, &first);
    for attempt in [1, 2, 3] {
        let mut again = bench.call("p7", attempt);
        again.patience = Some(Duration::from_millis(100));
        let again = bench.arrive(0, &again);
        bench.pass(400);
        assert_eq!(
            told(&bench, 0, again),
            (ProblemKind::InProgress, Ran::Unknown)
        );
    }
}

/// Where one keeper is enough in an outage, a router may run what this one has no word of.
#[test]
fn in_available_mode_a_record_proves_nothing() {
    let tuning = Tuning {
        lean: ConsistencyMode::Available,
        ..tuning(0)
    };
    let mut bench = Bench::unfunded(vec![tuning]);
    assert_eq!(
        refused(&mut bench, "p8", 2),
        (ProblemKind::BudgetSpent, Ran::Unknown)
    );
    assert_eq!(
        refused(&mut bench, "p9", 1),
        (ProblemKind::BudgetSpent, Ran::No)
    );
}

/// Thousands of retries a second are refused. Each proof is a record, and proving them all would take what serving needs.
#[test]
fn refusal_records_are_rate_limited() {
    let mut bench = Bench::unfunded(vec![tuning(0)]);
    let ids: Vec<_> = (0..250)
        .map(|number| {
            let ask = bench.chat(&format!("n{number}"), 2);
            bench.arrive(0, &ask)
        })
        .collect();
    bench.pass(800);
    let words: Vec<_> = ids.iter().map(|id| told(&bench, 0, *id).1).collect();
    let proved = words.iter().filter(|ran| **ran == Ran::No).count();
    assert!((100..=210).contains(&proved), "{proved}");
}
