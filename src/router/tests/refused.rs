//! When a refusal proves that the request was not run, case by case.

use std::time::Duration;

use crate::decide::ConsistencyMode;
use crate::ids::RequestId;
use crate::router::Event;
use crate::router::Failure;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::Tuning;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::LogState;
use crate::router::tests::cluster::tuning;

fn refusal(cluster: &Cluster, at: usize, id: RequestId) -> (ProblemKind, Ran) {
    let refusal = cluster.nodes[at].refusal(id).expect("a refusal");
    (refusal.kind, refusal.ran)
}

/// Submits a completion that is refused because the team's budget is spent, and returns what the caller is told.
fn refuse_attempt(cluster: &mut Cluster, key: &str, attempt: u64) -> (ProblemKind, Ran) {
    let ask = cluster.chat(key, attempt);
    let id = cluster.submit(0, &ask);
    cluster.advance(800);
    assert!(cluster.nodes[0].runs(id).is_empty());
    refusal(cluster, 0, id)
}

#[test]
fn a_refused_first_attempt_takes_no_record() {
    let mut cluster = Cluster::without_budget(vec![tuning(0)]);
    let records = cluster.records.len();
    let told = refuse_attempt(&mut cluster, "p1", 1);
    assert_eq!(told, (ProblemKind::BudgetSpent, Ran::No));
    assert_eq!(
        cluster.records.len(),
        records,
        "a first attempt needs no record"
    );
}

/// A later attempt is refused while an earlier one may still be in transit to another router. A record must ensure that
/// the earlier one will not run: any claim for it that follows in the log is void.
#[test]
fn a_later_attempt_takes_a_record() {
    let mut cluster = Cluster::without_budget(vec![tuning(0)]);
    assert_eq!(
        refuse_attempt(&mut cluster, "p2", 2),
        (ProblemKind::BudgetSpent, Ran::No)
    );
    let state = cluster.key_state("p2").expect("the key is in the log");
    assert!(state.never_ran());
    cluster.top_up("later", 10_000);
    // The first attempt arrives only now and must not run any more; a third one may.
    let late = cluster.chat("p2", 1);
    let late = cluster.submit(0, &late);
    cluster.advance(500);
    assert!(cluster.nodes[0].runs(late).is_empty());
    let third = cluster.chat("p2", 3);
    cluster.submit_and_dispatch(0, &third);
}

#[test]
fn an_attempt_without_a_number_proves_nothing() {
    let mut cluster = Cluster::without_budget(vec![tuning(0)]);
    assert_eq!(
        refuse_attempt(&mut cluster, "p3", 0),
        (ProblemKind::BudgetSpent, Ran::Unknown)
    );
}

#[test]
fn without_the_log_there_is_no_record() {
    let mut cluster = Cluster::start(1);
    cluster.log = LogState::Down;
    let ask = cluster.call("p4", 2);
    let id = cluster.submit(0, &ask);
    cluster.advance(4000);
    assert_eq!(
        refusal(&cluster, 0, id),
        (ProblemKind::LogOutage, Ran::Unknown)
    );
    cluster.log = LogState::Up;
    cluster.advance(1500);
    assert!(cluster.nodes[0].runs(id).is_empty());
}

/// Every endpoint refuses the request. The router holds its claim, and the release of the claim is the proof.
#[test]
fn a_claim_that_no_endpoint_took_is_released() {
    for attempt in [1, 2] {
        let mut cluster = Cluster::start(1);
        let ask = cluster.chat("p5", attempt);
        let id = cluster.submit(0, &ask);
        cluster.advance(200);
        for _ in 0..5 {
            cluster.handle(0, Event::RunEnded(id, RunEnd::NotRun { retry: None }));
        }
        cluster.advance(300);
        assert_eq!(refusal(&cluster, 0, id), (ProblemKind::NoEndpoint, Ran::No));
        let state = cluster.key_state("p5").expect("the key is in the log");
        assert!(state.never_ran());
        assert_eq!(cluster.spent(), 0);
    }
}

#[test]
fn a_broken_run_has_an_unknown_outcome() {
    let mut cluster = Cluster::start(1);
    let ask = cluster.call("p6", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    let broken = RunEnd::Failed {
        usage: None,
        answer_begun: false,
        failure: Failure::Answered,
    };
    cluster.handle(0, Event::RunEnded(id, broken));
    cluster.advance(300);
    assert_eq!(
        refusal(&cluster, 0, id),
        (ProblemKind::OutcomeUnknown, Ran::Unknown)
    );
    let retry = cluster.call("p6", 2);
    let retry = cluster.submit(0, &retry);
    cluster.advance(300);
    assert_eq!(
        refusal(&cluster, 0, retry),
        (ProblemKind::OutcomeUnknown, Ran::Unknown)
    );
    assert!(cluster.nodes[0].runs(retry).is_empty());
}

/// Another router is running the request when this one refuses its retry. Reporting "not run" would make the caller
/// send it once more under a new key.
#[test]
fn a_request_running_elsewhere_is_never_reported_as_not_run() {
    let mut cluster = Cluster::start(2);
    let first = cluster.call("p7", 1);
    cluster.submit_and_dispatch(1, &first);
    for attempt in [1, 2, 3] {
        let mut again = cluster.call("p7", attempt);
        again.timeout = Some(Duration::from_millis(100));
        let again = cluster.submit(0, &again);
        cluster.advance(400);
        assert_eq!(
            refusal(&cluster, 0, again),
            (ProblemKind::InProgress, Ran::Unknown)
        );
    }
}

/// In available mode, one replica is enough during an outage, so another router may run a request that this one knows
/// nothing about.
#[test]
fn in_available_mode_a_record_proves_nothing() {
    let tuning = Tuning {
        lean: ConsistencyMode::Available,
        ..tuning(0)
    };
    let mut cluster = Cluster::without_budget(vec![tuning]);
    assert_eq!(
        refuse_attempt(&mut cluster, "p8", 2),
        (ProblemKind::BudgetSpent, Ran::Unknown)
    );
    assert_eq!(
        refuse_attempt(&mut cluster, "p9", 1),
        (ProblemKind::BudgetSpent, Ran::No)
    );
}

/// Thousands of retries per second are refused. Each proof takes a record, and proving them all would use up the append
/// capacity that serving needs.
#[test]
fn refusal_records_are_rate_limited() {
    let mut cluster = Cluster::without_budget(vec![tuning(0)]);
    let ids: Vec<_> = (0..250)
        .map(|number| {
            let ask = cluster.chat(&format!("n{number}"), 2);
            cluster.submit(0, &ask)
        })
        .collect();
    cluster.advance(800);
    let outcomes: Vec<_> = ids.iter().map(|id| refusal(&cluster, 0, *id).1).collect();
    let proved = outcomes.iter().filter(|ran| **ran == Ran::No).count();
    assert!((100..=210).contains(&proved), "{proved}");
}
