//! Group commit, and appends that are sent more than once.

use std::time::Duration;

use crate::ledger::Record;
use crate::ledger::decode;
use crate::router::tests::cluster::COMMIT_INTERVAL;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::LogState;
use crate::router::tests::cluster::OUTAGE_TIMEOUT;

/// Counts the claims in each batch that the first router sent, from the given batch on.
fn claims_per_batch(cluster: &Cluster, from: usize) -> Vec<usize> {
    let sent = &cluster.nodes[0].sent[from..];
    let batches = sent.iter().map(|bytes| decode(bytes).expect("a batch"));
    let count = |records: Vec<Record>| {
        let claims = records.iter().filter(|r| matches!(r, Record::Claim(_)));
        claims.count()
    };
    batches.map(|batch| count(batch.records)).collect()
}

#[test]
fn records_within_a_commit_interval_share_an_append() {
    let mut cluster = Cluster::start(1);
    let first = cluster.chat("warm", 1);
    cluster.submit_and_dispatch(0, &first);
    cluster.advance(1000);
    let from = cluster.nodes[0].sent.len();
    let lone = cluster.chat("lone", 1);
    cluster.submit(0, &lone);
    for number in 0..5 {
        let ask = cluster.chat(&format!("many-{number}"), 1);
        cluster.submit(0, &ask);
    }
    cluster.advance(200);
    // The first claim is sent at once because no append is pending; the rest share the next batch.
    assert_eq!(claims_per_batch(&cluster, from), [1, 5]);
}

#[test]
fn batches_are_a_commit_interval_apart_and_one_at_a_time() {
    let mut cluster = Cluster::start(1);
    let mut times = Vec::new();
    for number in 0..200 {
        let ask = cluster.chat(&format!("k{number}"), 1);
        let before = cluster.nodes[0].sent.len();
        cluster.submit(0, &ask);
        cluster.advance(5);
        cluster.complete_all(0);
        times.extend((before..cluster.nodes[0].sent.len()).map(|_| cluster.now));
    }
    assert!(times.len() > 20, "{}", times.len());
    let step = Duration::from_millis(5);
    for pair in times.windows(2) {
        assert!(pair[1] - pair[0] + step >= COMMIT_INTERVAL, "{pair:?}");
    }
}

/// The log service stores an append, but its response is lost, so the router has to send the same batch again. If the
/// batch counted twice, each request would be billed twice.
#[test]
fn an_append_whose_answer_was_lost_counts_once() {
    let mut cluster = Cluster::start(1);
    let ask = cluster.chat("a1", 1);
    cluster.log = LogState::LosesResponses;
    // The log is not read either until the batch has been sent again.
    let id = cluster.submit(0, &ask);
    for _ in 0..60 {
        cluster.now += Duration::from_millis(5);
        cluster.handle(0, crate::router::Event::Tick);
    }
    let sent = &cluster.nodes[0].sent;
    assert_eq!(sent[sent.len() - 1], sent[sent.len() - 2], "the same bytes");
    cluster.advance(300);
    assert_eq!(cluster.nodes[0].runs(id).len(), 1);
    cluster.complete(0, id);
    cluster.advance(300);
    assert!(cluster.nodes[0].released(id));
    assert_eq!(cluster.bill("a1"), Some(23));
    assert_eq!(cluster.spent(), 23);
}

#[test]
fn an_append_without_an_answer_is_sent_again_under_its_number() {
    let mut cluster = Cluster::start(1);
    cluster.log = LogState::Down;
    let ask = cluster.call("a2", 1);
    let id = cluster.submit(0, &ask);
    let from = cluster.nodes[0].sent.len();
    cluster.advance(40);
    assert!(cluster.nodes[0].sent.len() <= from + 1);
    cluster.now += OUTAGE_TIMEOUT;
    cluster.advance(100);
    cluster.log = LogState::Up;
    cluster.advance(1000);
    let numbers: Vec<_> = cluster.nodes[0].sent[from..]
        .iter()
        .map(|bytes| decode(bytes).expect("a batch").sequence)
        .collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] <= pair[1]),
        "{numbers:?}"
    );
    assert!(cluster.nodes[0].runs(id).len() <= 1);
}
