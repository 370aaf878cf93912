//! When group commit sends and resends batches.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Incarnation;
use crate::ids::Sequence;
use crate::ids::TeamId;
use crate::ledger::Batch;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::ledger::decode;
use crate::router::appender::Append;
use crate::router::appender::AppendTiming;
use crate::router::appender::Appender;
use crate::tokens::Tokens;

const INTERVAL: Duration = Duration::from_millis(25);

const APPEND_TIMING: AppendTiming = AppendTiming {
    interval: INTERVAL,
    timeout: Duration::from_millis(500),
};

fn draw() -> Record {
    let team: TeamId = "loans".parse().unwrap();
    let want = Tokens(1);
    Record::Draw { team, want }
}

fn batch(append: &Append) -> Batch {
    decode(&append.bytes).unwrap()
}

/// Returns an appender whose first batch was sent at `start` and got its verdict one millisecond later.
fn appender_after_first_batch(start: Instant) -> Appender<u8> {
    let mut appender = Appender::new(Incarnation(1), APPEND_TIMING);
    appender.push(draw(), 0);
    let first = appender.poll(start).unwrap();
    let later = start + Duration::from_millis(1);
    appender.handle_append_result(later, first.sequence, true);
    let verdicts = vec![Verdict::Granted(Tokens(1))];
    assert_eq!(appender.take_verdicts(first.sequence, verdicts).len(), 1);
    appender
}

/// A request arrives just after a batch was sent, and others before the next one is due. If the next batch were closed
/// with only the first of them, the others would wait for the batch after it, and their first tokens would come 25 ms
/// later.
#[test]
fn a_batch_takes_records_until_it_is_sent() {
    let start = Instant::now();
    let mut appender = appender_after_first_batch(start);
    appender.push(draw(), 1);
    assert_eq!(appender.poll(start + INTERVAL / 2), None);
    appender.push(draw(), 2);
    let sent = appender.poll(start + INTERVAL).unwrap();
    assert_eq!(sent.sequence, Sequence(2));
    assert_eq!(batch(&sent).records.len(), 2);
}

/// The log service refuses an append immediately. If the event loop were woken before the append may be sent again, it
/// would spin until then, and an idle router would use most of a CPU core during a log outage.
#[test]
fn a_failed_append_wakes_the_loop_when_it_may_be_sent_again() {
    let start = Instant::now();
    let mut appender = appender_after_first_batch(start);
    appender.push(draw(), 1);
    let sent = appender.poll(start + INTERVAL).unwrap();
    let failed = start + INTERVAL + Duration::from_millis(1);
    appender.handle_append_result(failed, sent.sequence, false);
    let wake = appender.next_poll().unwrap();
    assert_eq!(appender.poll(wake - Duration::from_millis(1)), None);
    assert!(appender.poll(wake).is_some());
}
