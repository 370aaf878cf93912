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
use crate::router::tests::bench::Bench;
use crate::router::tests::bench::Log;
use crate::tokens::Tokens;

/// Appends the records with which a third router closes the first one.
fn append_close(bench: &mut Bench) {
    let closer = Incarnation(99);
    let open = Record::Open {
        vm: "router-9".parse().expect("a name"),
        domain: "domain-9".parse().expect("a name"),
        address: "127.0.0.1:8009".to_owned(),
    };
    let router = bench.nodes[0].core.me;
    let batch = Batch {
        router: closer,
        sequence: Sequence(1),
        records: vec![open, Record::Close { router }],
    };
    bench.records.push(encode(&batch));
}

fn close_and_restart(bench: &mut Bench) {
    let old = bench.nodes[0].core.me;
    append_close(bench);
    bench.pass(500);
    assert_ne!(bench.nodes[0].core.me, old);
    assert!(
        bench.nodes[0].core.is_serving(),
        "it restarts as a new incarnation"
    );
}

/// A stream is running when its router is closed by mistake. Its usage can no longer be billed, so the caller must see
/// that the answer is incomplete; the retry is served and billed once.
#[test]
fn a_running_stream_is_cut_and_its_retry_is_billed_once() {
    let mut bench = Bench::start(2);
    let ask = bench.chat("r1", 1);
    let id = bench.dispatched(0, &ask);
    bench.tell(0, Event::AnswerStarted(id));
    close_and_restart(&mut bench);
    assert!(bench.nodes[0].cut(id));
    assert_eq!(
        bench.nodes[0].refusal(id).map(|p| p.ran),
        Some(Ran::Unknown)
    );
    // The engine still reports the end of the run, which has no effect.
    bench.whole(0, id);
    bench.pass(300);
    assert!(!bench.nodes[0].released(id));
    assert_eq!(bench.bill("r1"), None);
    let retry = bench.chat("r1", 2);
    let retry = bench.dispatched(0, &retry);
    bench.whole(0, retry);
    bench.pass(300);
    assert!(bench.nodes[0].released(retry));
    assert_eq!(bench.bill("r1"), Some(23));
    assert_eq!(bench.spent(), 23);
}

/// A call that may not be repeated is running when its router is closed. The service has received it and the outcome is
/// unknown; if the retry ran, the call could take effect twice.
#[test]
fn a_running_call_stays_unknown() {
    let mut bench = Bench::start(2);
    let ask = bench.call("r2", 1);
    let id = bench.dispatched(0, &ask);
    close_and_restart(&mut bench);
    assert!(bench.nodes[0].cut(id));
    for at in 0..2 {
        let retry = bench.call("r2", 2);
        let retry = bench.arrive(at, &retry);
        bench.pass(300);
        let refusal = bench.nodes[at].refusal(retry).expect("a refusal");
        assert_eq!(
            (refusal.kind, refusal.ran),
            (ProblemKind::OutcomeUnknown, Ran::Unknown)
        );
        assert!(bench.nodes[at].runs(retry).is_empty());
    }
}

/// The router is closed while a request waits for a draw, or while its claim is being appended. Nothing was sent to an
/// endpoint, so the request continues under the new incarnation.
#[test]
fn requests_not_dispatched_are_claimed_again() {
    for (call, warm) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut bench = Bench::start(2);
        if warm {
            let first = bench.chat("warm", 1);
            let first = bench.dispatched(0, &first);
            bench.whole(0, first);
            bench.pass(2000);
        }
        let before = bench.spent();
        let mut ask = bench.chat("r3", 1);
        if call {
            ask = bench.call("r3", 1);
        }
        append_close(&mut bench);
        let id = bench.arrive(0, &ask);
        let state = &bench.nodes[0].core.requests[&id].state;
        match warm {
            true => assert!(matches!(state, State::Claiming { .. }), "{state:?}"),
            false => assert!(matches!(state, State::Funding { .. }), "{state:?}"),
        }
        bench.pass(1000);
        assert_eq!(bench.nodes[0].runs(id).len(), 1);
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
        bench.tell(0, Event::RunEnded(id, end));
        bench.pass(300);
        assert!(bench.nodes[0].released(id));
        assert_eq!(bench.spent() - before, 5);
    }
}

/// A caller disconnects while its claim is being appended, and the router is closed before the claim's verdict. The
/// request must not stay in progress, because its retry would wait for it.
#[test]
fn an_abandoned_request_is_removed() {
    let mut bench = Bench::start(2);
    let first = bench.chat("warm", 1);
    let first = bench.dispatched(0, &first);
    bench.whole(0, first);
    bench.pass(2000);
    let ask = bench.call("r7", 1);
    append_close(&mut bench);
    let id = bench.arrive(0, &ask);
    bench.tell(0, Event::CallerGone(id));
    let state = &bench.nodes[0].core.requests[&id].state;
    assert!(matches!(state, State::Abandoned), "{state:?}");
    bench.pass(1000);
    assert!(bench.nodes[0].core.requests.is_empty());
    let retry = bench.call("r7", 2);
    bench.dispatched(0, &retry);
}

/// A bill is being appended, and the close precedes it in the log. The caller has received the answer except for the
/// end marker, which must not be sent.
#[test]
fn a_bill_after_the_close_cuts_its_answer() {
    let mut bench = Bench::start(2);
    let ask = bench.chat("r4", 1);
    let id = bench.dispatched(0, &ask);
    append_close(&mut bench);
    bench.whole(0, id);
    bench.pass(500);
    assert!(bench.nodes[0].cut(id));
    assert!(!bench.nodes[0].released(id));
    assert_eq!(bench.spent(), 0);
}

/// A bill that precedes the close in the log is valid.
#[test]
fn a_bill_before_the_close_counts() {
    let mut bench = Bench::start(2);
    let ask = bench.chat("r5", 1);
    let id = bench.dispatched(0, &ask);
    bench.whole(0, id);
    bench.now += super::bench::COMMIT * 4;
    bench.tell(0, Event::Tick);
    append_close(&mut bench);
    bench.pass(500);
    assert!(bench.nodes[0].released(id));
    assert!(!bench.nodes[0].cut(id));
    assert_eq!(bench.spent(), 23);
}

/// A close does not affect requests that wait for an endpoint or for another attempt of the same request.
#[test]
fn waiting_requests_are_not_affected() {
    let mut bench = Bench::start(2);
    // Under the limits of the account and the endpoints, some of these run and others wait.
    let ids: Vec<RequestId> = (0..200)
        .map(|number| {
            let ask = bench.chat(&format!("w{number}"), 1);
            bench.arrive(0, &ask)
        })
        .collect();
    let holder = bench.call("contended", 1);
    bench.dispatched(1, &holder);
    let waiter = bench.call("contended", 2);
    let waiter = bench.arrive(0, &waiter);
    bench.pass(300);
    let waiting: Vec<_> = ids
        .iter()
        .copied()
        .filter(|id| bench.nodes[0].runs(*id).is_empty() && bench.nodes[0].refusal(*id).is_none())
        .collect();
    assert!(!waiting.is_empty());
    close_and_restart(&mut bench);
    assert!(bench.nodes[0].refusal(waiter).is_none());
    // The requests that were cut released their slots.
    bench.pass(500);
    assert!(waiting.iter().any(|id| bench.nodes[0].runs(*id).len() == 1));
    for id in waiting {
        assert!(bench.nodes[0].runs(id).len() <= 1);
        assert!(!bench.nodes[0].cut(id));
    }
}

/// The record that proves a refusal is being appended when the router is closed. It will not be folded, so the caller
/// must not be told that the request did not run.
#[test]
fn a_refusal_without_proof_is_not_reported_as_not_run() {
    let mut bench = Bench::start(2);
    let mut ask = bench.chat("r6", 2);
    ask.timeout = Some(std::time::Duration::from_millis(1));
    append_close(&mut bench);
    // Its deadline expires at the first tick, before the close is read.
    bench.log = Log::Down;
    let id = bench.arrive(0, &ask);
    bench.pass(10);
    bench.log = Log::Up;
    bench.pass(500);
    let refusal = bench.nodes[0].refusal(id);
    assert!(
        refusal.is_none_or(|problem| problem.ran != Ran::No),
        "{refusal:?}"
    );
}

/// A top-up is being appended when the router is closed. Its id makes it idempotent, so it is sent again, and the
/// operator is told that it was applied.
#[test]
fn a_top_up_is_sent_again() {
    let mut bench = Bench::start(2);
    append_close(&mut bench);
    let before = bench
        .ledger()
        .team(&"loans".parse().expect("a name"))
        .map(|t| t.prepaid);
    bench.top_up("second", 50);
    bench.pass(500);
    let after = bench
        .ledger()
        .team(&"loans".parse().expect("a name"))
        .map(|t| t.prepaid);
    assert_eq!(after, before.map(|tokens| tokens + Tokens(50)));
    let applied = |e: &Effect| matches!(e, Effect::Answer(_, 200, body) if body["applied"] == true);
    assert!(bench.nodes[0].out.iter().filter(|e| applied(e)).count() >= 2);
}
