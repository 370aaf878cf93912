//! Callers that disconnect before their answer is complete.

use crate::ledger::Outcome;
use crate::router::Event;
use crate::router::Failure;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::router::tests::cluster::CALL_TOKENS;
use crate::router::tests::cluster::Cluster;
use crate::tokens::Tokens;

/// A caller hangs up while its call's claim is still being appended. Nothing was sent to the service, so nothing is
/// billed and a retry runs.
#[test]
fn a_hang_up_before_the_verdict_releases_the_claim() {
    let mut cluster = Cluster::start(1);
    let ask = cluster.call("h1", 1);
    let id = cluster.submit(0, &ask);
    cluster.handle(0, Event::CallerGone(id));
    cluster.advance(300);
    assert!(cluster.nodes[0].runs(id).is_empty());
    assert!(cluster.nodes[0].core.requests.is_empty());
    assert_eq!(cluster.spent(), 0);
    let retry = cluster.call("h1", 2);
    cluster.submit_and_dispatch(0, &retry);
}

/// The core dispatches a call just as its caller hangs up, and the task that was to send it no longer exists. The call
/// is never sent and never answered. If its claim were kept, every retry would be told that the call is in progress for
/// as long as the router runs.
#[test]
fn an_unsent_dispatch_releases_its_claim() {
    for hung_up_first in [true, false] {
        let mut cluster = Cluster::start(1);
        for (key, call) in [("h2", true), ("h3", false)] {
            let mut ask = cluster.chat(key, 1);
            if call {
                ask = cluster.call(key, 1);
            }
            let id = cluster.submit_and_dispatch(0, &ask);
            if hung_up_first {
                cluster.handle(0, Event::CallerGone(id));
            }
            cluster.handle(0, Event::RunEnded(id, RunEnd::Unsent));
            cluster.advance(300);
            assert!(!cluster.nodes[0].core.requests.contains_key(&id), "{key}");
            assert_eq!(cluster.bill(key), None, "{key}");
            assert_eq!(cluster.spent(), 0);
            let mut retry = cluster.chat(key, 2);
            if call {
                retry = cluster.call(key, 2);
            }
            let retry = cluster.submit_and_dispatch(0, &retry);
            assert_ne!(retry, id);
        }
    }
}

/// The first endpoint failed during a completion after using some tokens, and the caller hung up before the request
/// went to the next endpoint. The used tokens are billed once.
#[test]
fn an_earlier_runs_usage_is_billed_when_the_next_is_unsent() {
    let mut cluster = Cluster::start(1);
    let ask = cluster.chat("h4", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    let usage = Usage {
        prompt: Tokens(3),
        answer: Tokens(4),
    };
    let broken = RunEnd::Failed {
        usage: Some(usage),
        answer_begun: false,
        failure: Failure::Answered,
    };
    cluster.handle(0, Event::RunEnded(id, broken));
    assert_eq!(cluster.nodes[0].runs(id).len(), 2);
    cluster.handle(0, Event::CallerGone(id));
    cluster.handle(0, Event::RunEnded(id, RunEnd::Unsent));
    cluster.advance(300);
    assert_eq!(cluster.bill("h4"), Some(7));
    assert_eq!(cluster.spent(), 7);
    assert!(cluster.nodes[0].core.requests.is_empty());
}

#[test]
fn a_calls_outcome_is_recorded_after_a_hang_up() {
    let mut cluster = Cluster::start(1);
    let ask = cluster.call("h5", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    cluster.handle(0, Event::CallerGone(id));
    cluster.advance(200);
    let body = Some(b"receipt".to_vec());
    cluster.handle(
        0,
        Event::RunEnded(id, RunEnd::Answered { status: 201, body }),
    );
    cluster.advance(200);
    let again = cluster.call("h5", 2);
    let again = cluster.submit(0, &again);
    assert_eq!(
        cluster.nodes[0].replayed(again),
        Some((201, &b"receipt"[..]))
    );
    assert_eq!(cluster.spent(), CALL_TOKENS);
}

#[test]
fn a_hang_up_in_a_stream_bills_the_usage() {
    let mut cluster = Cluster::start(1);
    let ask = cluster.chat("h6", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    cluster.handle(0, Event::AnswerStarted(id));
    let usage = Some(Usage {
        prompt: Tokens(3),
        answer: Tokens(5),
    });
    cluster.handle(0, Event::RunEnded(id, RunEnd::CallerGone { usage }));
    cluster.advance(200);
    let bill = cluster
        .key_state("h6")
        .and_then(|key| key.bill)
        .expect("a bill");
    assert_eq!((bill.amount, bill.outcome), (Tokens(8), Outcome::Cut));
    assert_eq!(cluster.spent(), 8);
}

#[test]
fn a_hang_up_while_the_bill_is_pending_leaves_the_bill() {
    let mut cluster = Cluster::start(1);
    let ask = cluster.chat("h7", 1);
    let id = cluster.submit_and_dispatch(0, &ask);
    cluster.complete(0, id);
    cluster.handle(0, Event::CallerGone(id));
    cluster.advance(200);
    assert_eq!(cluster.bill("h7"), Some(23));
    assert!(cluster.nodes[0].core.requests.is_empty());
}
