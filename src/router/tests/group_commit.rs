//! Group commit, and appends that are repeated.

use std::time::Duration;

use crate::ledger::Record;
use crate::ledger::decode;
use crate::router::tests::cluster::Bench;
use crate::router::tests::cluster::COMMIT;
use crate::router::tests::cluster::Log;
use crate::router::tests::cluster::OUTAGE;

/// Counts the claims in each batch that a router sent off from the given one on.
fn claims(bench: &Bench, from: usize) -> Vec<usize> {
    let sent = &bench.nodes[0].sent[from..];
    let batches = sent.iter().map(|bytes| decode(bytes).expect("a batch"));
    let count = |records: Vec<Record>| {
        let claims = records.iter().filter(|r| matches!(r, Record::Claim(_)));
        claims.count()
    };
    batches.map(|batch| count(batch.records)).collect()
}

#[test]
fn records_within_a_commit_interval_share_an_append() {
    let mut bench = Bench::start(1);
    let first = bench.chat("warm", 1);
    bench.dispatched(0, &first);
    bench.pass(1000);
    let from = bench.nodes[0].sent.len();
    let lone = bench.chat("lone", 1);
    bench.arrive(0, &lone);
    for number in 0..5 {
        let ask = bench.chat(&format!("many-{number}"), 1);
        bench.arrive(0, &ask);
    }
    bench.pass(200);
    // The first goes at once, for nothing was on its way; the rest wait for it together.
    assert_eq!(claims(&bench, from), [1, 5]);
}

#[test]
fn batches_are_a_commit_interval_apart_and_one_at_a_time() {
    let mut bench = Bench::start(1);
    let mut times = Vec::new();
    for number in 0..200 {
        let ask = bench.chat(&format!("k{number}"), 1);
        let before = bench.nodes[0].sent.len();
        bench.arrive(0, &ask);
        bench.pass(5);
        bench.end_all(0);
        times.extend((before..bench.nodes[0].sent.len()).map(|_| bench.now));
    }
    assert!(times.len() > 20, "{}", times.len());
    let step = Duration::from_millis(5);
    for pair in times.windows(2) {
        assert!(pair[1] - pair[0] + step >= COMMIT, "{pair:?}");
    }
}

/// The log service takes an append, and its answer is lost on the way back. The router sends the same again, as it must:
/// it can't know. Counted twice, each request would be billed twice.
#[test]
fn an_append_whose_answer_was_lost_counts_once() {
    let mut bench = Bench::start(1);
    let ask = bench.chat("a1", 1);
    bench.log = Log::LosesAnswers;
    // Nothing is read either until the batch was sent again.
    let id = bench.arrive(0, &ask);
    for _ in 0..60 {
        bench.now += Duration::from_millis(5);
        bench.tell(0, crate::router::Event::Tick);
    }
    let sent = &bench.nodes[0].sent;
    assert_eq!(sent[sent.len() - 1], sent[sent.len() - 2], "the same bytes");
    bench.pass(300);
    assert_eq!(bench.nodes[0].runs(id).len(), 1);
    bench.whole(0, id);
    bench.pass(300);
    assert!(bench.nodes[0].released(id));
    assert_eq!(bench.bill("a1"), Some(23));
    assert_eq!(bench.spent(), 23);
}

#[test]
fn an_append_without_an_answer_is_sent_again_under_its_number() {
    let mut bench = Bench::start(1);
    bench.log = Log::Down;
    let ask = bench.call("a2", 1);
    let id = bench.arrive(0, &ask);
    let from = bench.nodes[0].sent.len();
    bench.pass(40);
    assert!(bench.nodes[0].sent.len() <= from + 1);
    bench.now += OUTAGE;
    bench.pass(100);
    bench.log = Log::Up;
    bench.pass(1000);
    let numbers: Vec<_> = bench.nodes[0].sent[from..]
        .iter()
        .map(|bytes| decode(bytes).expect("a batch").sequence)
        .collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] <= pair[1]),
        "{numbers:?}"
    );
    assert!(bench.nodes[0].runs(id).len() <= 1);
}
