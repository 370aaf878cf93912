//! A live router is closed by another router that considered it dead, and restarts as a new incarnation.

use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::Sequence;
use crate::ledger::Batch;
use crate::ledger::Record;
use crate::ledger::encode;
use crate::router::Effect;
use crate::router::Event;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::router::request::State;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::LogState;
use crate::tokens::Tokens;

/// Appends the records with which a third router closes the first one.
fn append_close(cluster: &mut Cluster) {
    let closer = Incarnation(99);
    let open = Record::Open {
        vm: "router-9".parse().expect("a name"),
        domain: "domain-9".parse().expect("a name"),
        address: "127.0.0.1:8009".to_owned(),
    };
    let router = cluster.nodes[0].core.me;
    let batch = Batch {
        router: closer,
        sequence: Sequence(1),
        records: vec![open, Record::Close { router }],
    };
    cluster.records.push(encode(&batch));
}

fn close_and_restart(cluster: &mut Cluster) {
    let old = cluster.nodes[0].core.me;
    append_close(cluster);
    cluster.advance(500);
    assert_ne!(cluster.nodes[0].core.me, old);
    assert!(
        cluster.nodes[0].core.is_serving(),
        "it restarts as a new incarnation"
    );
}

/// A stream is running when its router is closed by mistake. Its usage can no longer be billed, so the caller must see
/// that the answer is incomplete; the retry is served and billed once.
#[test]
fn a_running_stream_is_cut_and_its_retry_is_billed_once() {
    let mut cluster = Cluster::start(2);
    let ask = cluster.chat("r1", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    cluster.handle(0, Event::AnswerStarted(id));
    close_and_restart(&mut cluster);
    assert!(cluster.nodes[0].cut(id));
    assert_eq!(
        cluster.nodes[0].refusal(id).map(|p| p.ran),
        Some(Ran::Unknown)
    );
    // The engine still reports the end of the run, which has no effect.
    cluster.complete(0, id);
    cluster.advance(300);
    assert!(!cluster.nodes[0].released(id));
    assert_eq!(cluster.bill("r1"), None);
    let retry = cluster.chat("r1", 2);
    let retry = cluster.submit_and_dispatch(0, &retry);
    cluster.complete(0, retry);
    cluster.advance(300);
    assert!(cluster.nodes[0].released(retry));
    assert_eq!(cluster.bill("r1"), Some(23));
    assert_eq!(cluster.spent(), 23);
}

/// A call that may not be repeated is running when its router is closed. The service has received it and the outcome is
/// unknown; if the retry ran, the call could take effect twice.
#[test]
fn a_running_call_stays_unknown() {
    let mut cluster = Cluster::start(2);
    let ask = cluster.call("r2", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    close_and_restart(&mut cluster);
    assert!(cluster.nodes[0].cut(id));
    for at in 0..2 {
        let retry = cluster.call("r2", 2);
        let retry = cluster.submit(at, &retry);
        cluster.advance(300);
        let refusal = cluster.nodes[at].refusal(retry).expect("a refusal");
        assert_eq!(
            (refusal.kind, refusal.ran),
            (ProblemKind::OutcomeUnknown, Ran::Unknown)
        );
        assert!(cluster.nodes[at].runs(retry).is_empty());
    }
}

/// The router is closed while a request waits for a draw, or while its claim is being appended. Nothing was sent to an
/// endpoint, so the request continues under the new incarnation.
#[test]
fn requests_not_dispatched_are_claimed_again() {
    for (call, warm) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut cluster = Cluster::start(2);
        if warm {
            let first = cluster.chat("warm", 1);
            let first = cluster.submit_and_dispatch(0, &first);
            cluster.complete(0, first);
            cluster.advance(2000);
        }
        let before = cluster.spent();
        let mut ask = cluster.chat("r3", 1);
        if call {
            ask = cluster.call("r3", 1);
        }
        append_close(&mut cluster);
        let id = cluster.submit(0, &ask);
        let state = &cluster.nodes[0].core.requests[&id].state;
        match warm {
            true => assert!(matches!(state, State::Claiming { .. }), "{state:?}"),
            false => assert!(matches!(state, State::Funding { .. }), "{state:?}"),
        }
        cluster.advance(1000);
        assert_eq!(cluster.nodes[0].runs(id).len(), 1);
        let usage = Usage {
            prompt: Tokens(1),
            answer: Tokens(4),
        };
        let end = match call {
            true => RunEnd::Answered {
                status: 201,
                body: None,
            },
            false => RunEnd::Completed { usage },
        };
        cluster.handle(0, Event::RunEnded(id, end));
        cluster.advance(300);
        assert!(cluster.nodes[0].released(id));
        assert_eq!(cluster.spent() - before, 5);
    }
}

/// A caller disconnects while its claim is being appended, and the router is closed before the claim's verdict. The
/// request must not stay in progress, because its retry would wait for it.
#[test]
fn an_abandoned_request_is_removed() {
    let mut cluster = Cluster::start(2);
    let first = cluster.chat("warm", 1);
    let first = cluster.submit_and_dispatch(0, &first);
    cluster.complete(0, first);
    cluster.advance(2000);
    let ask = cluster.call("r7", 1);
    append_close(&mut cluster);
    let id = cluster.submit(0, &ask);
    cluster.handle(0, Event::CallerGone(id));
    let state = &cluster.nodes[0].core.requests[&id].state;
    assert!(matches!(state, State::Abandoned), "{state:?}");
    cluster.advance(1000);
    assert!(cluster.nodes[0].core.requests.is_empty());
    let retry = cluster.call("r7", 2);
    cluster.submit_and_dispatch(0, &retry);
}

/// A bill is being appended, and the close precedes it in the log. The caller has received the answer except for the
/// end marker, which must not be sent.
#[test]
fn a_bill_after_the_close_cuts_its_answer() {
    let mut cluster = Cluster::start(2);
    let ask = cluster.chat("r4", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    append_close(&mut cluster);
    cluster.complete(0, id);
    cluster.advance(500);
    assert!(cluster.nodes[0].cut(id));
    assert!(!cluster.nodes[0].released(id));
    assert_eq!(cluster.spent(), 0);
}

/// A bill that precedes the close in the log is valid.
#[test]
fn a_bill_before_the_close_counts() {
    let mut cluster = Cluster::start(2);
    let ask = cluster.chat("r5", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    cluster.complete(0, id);
    cluster.now += super::cluster::COMMIT_INTERVAL * 4;
    cluster.handle(0, Event::Tick);
    append_close(&mut cluster);
    cluster.advance(500);
    assert!(cluster.nodes[0].released(id));
    assert!(!cluster.nodes[0].cut(id));
    assert_eq!(cluster.spent(), 23);
}

/// A close does not affect requests that wait for an endpoint or for another attempt of the same request.
#[test]
fn waiting_requests_are_not_affected() {
    let mut cluster = Cluster::start(2);
    // Under the limits of the account and the endpoints, some of these run and others wait.
    let ids: Vec<RequestId> = (0..200)
        .map(|number| {
            let ask = cluster.chat(&format!("w{number}"), 1);
            cluster.submit(0, &ask)
        })
        .collect();
    let holder = cluster.call("contended", 1);
    cluster.submit_and_dispatch(1, &holder);
    let waiter = cluster.call("contended", 2);
    let waiter = cluster.submit(0, &waiter);
    cluster.advance(300);
    let waiting: Vec<_> = ids
        .iter()
        .copied()
        .filter(|id| {
            cluster.nodes[0].runs(*id).is_empty() && cluster.nodes[0].refusal(*id).is_none()
        })
        .collect();
    assert!(!waiting.is_empty());
    close_and_restart(&mut cluster);
    assert!(cluster.nodes[0].refusal(waiter).is_none());
    // The requests that were cut released their slots.
    cluster.advance(500);
    assert!(
        waiting
            .iter()
            .any(|id| cluster.nodes[0].runs(*id).len() == 1)
    );
    for id in waiting {
        assert!(cluster.nodes[0].runs(id).len() <= 1);
        assert!(!cluster.nodes[0].cut(id));
    }
}

/// The record that proves a refusal is being appended when the router is closed. It will not be folded, so the caller
/// must not be told that the request did not run.
#[test]
fn a_refusal_without_proof_is_not_reported_as_not_run() {
    let mut cluster = Cluster::start(2);
    let mut ask = cluster.chat("r6", 2);
    ask.timeout = Some(std::time::Duration::from_millis(1));
    append_close(&mut cluster);
    // Its deadline expires at the first tick, before the close is read.
    cluster.log = LogState::Down;
    let id = cluster.submit(0, &ask);
    cluster.advance(10);
    cluster.log = LogState::Up;
    cluster.advance(500);
    let refusal = cluster.nodes[0].refusal(id);
    assert!(
        refusal.is_none_or(|problem| problem.ran != Ran::No),
        "{refusal:?}"
    );
}

/// A top-up is being appended when the router is closed. Its id makes it idempotent, so it is sent again, and the
/// operator is told that it was applied.
#[test]
fn a_top_up_is_sent_again() {
    let mut cluster = Cluster::start(2);
    append_close(&mut cluster);
    let before = cluster
        .ledger()
        .team(&"loans".parse().expect("a name"))
        .map(|t| t.prepaid);
    cluster.top_up("second", 50);
    cluster.advance(500);
    let after = cluster
        .ledger()
        .team(&"loans".parse().expect("a name"))
        .map(|t| t.prepaid);
    assert_eq!(after, before.map(|tokens| tokens + Tokens(50)));
    let applied = |e: &Effect| matches!(e, Effect::Answer(_, 200, body) if body["applied"] == true);
    assert!(
        cluster.nodes[0]
            .effects
            .iter()
            .filter(|e| applied(e))
            .count()
            >= 2
    );
}
