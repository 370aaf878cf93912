//! The group commit's pace.

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

/// Starts an appender whose first batch went out at a time and was folded a millisecond later.
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

/// A request arrives just behind a batch, and others before the next one is due. Were the next batch closed with the first
/// of them in it, the others would wait for the one after, and each first token would come 25 ms later.
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

/// The log service refuses an append at once. A loop that is woken before the append may be sent again turns without rest
/// until then, and an idle router in a log outage takes most of a core.
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
