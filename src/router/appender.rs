//! Group commit: gathers a router's records into batches and has each batch appended once.
//!
//! The log service takes a few hundred appends a second for the whole fleet, while a router has thousands of records.
//! Without batches the first busy minute would fill the service's queue. Only one batch is in flight at a time: with
//! two, the later one could be appended first, and the fold would drop the earlier one for good.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Incarnation;
use crate::ids::Sequence;
use crate::ledger::Batch;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::ledger::encode;

/// Most records in a batch: at about 100 bytes each, a batch stays under 100 KB, which a log service takes.
pub(crate) const MAX_RECORDS: usize = 1000;

/// Time settings of the appender.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppendTiming {
    /// Minimum time between two batches. Seven routers at 25 ms make 280 appends a second.
    pub(crate) interval: Duration,
    /// How long to wait for an answer before the batch is sent again.
    pub(crate) timeout: Duration,
}

/// Gathers the records of one incarnation for one stream.
///
/// `T` is returned to the caller with the verdict of its record.
#[derive(Debug)]
pub(crate) struct Appender<T> {
    router: Incarnation,
    timing: AppendTiming,
    pending: Vec<(Record, T)>,
    sealed: VecDeque<SealedBatch<T>>,
    last_sequence: Sequence,
    sent_at: Option<Instant>,
    failed_at: Option<Instant>,
}

/// A batch whose number and content are fixed.
#[derive(Debug)]
struct SealedBatch<T> {
    batch: Batch,
    tickets: Vec<T>,
    state: BatchState,
    first_sent_at: Option<Instant>,
}

/// State of a batch on its way to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchState {
    /// Not sent yet, or failed and due again.
    Due,
    /// Sent at this time and not answered yet.
    Sent(Instant),
    /// Appended to the log; its verdict comes when it is folded.
    Landed,
}

/// A batch to be appended now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Append {
    /// The batch's number.
    pub(crate) sequence: Sequence,
    /// The encoded batch.
    pub(crate) bytes: Vec<u8>,
}

impl<T> Appender<T> {
    /// Creates the appender of a new incarnation.
    pub(crate) fn new(router: Incarnation, timing: AppendTiming) -> Self {
        Self {
            router,
            timing,
            pending: Vec::new(),
            sealed: VecDeque::new(),
            last_sequence: Sequence(0),
            sent_at: None,
            failed_at: None,
        }
    }

    /// Adds a record to the next batch.
    pub(crate) fn push(&mut self, record: Record, ticket: T) {
        self.pending.push((record, ticket));
    }

    /// Returns how many records wait for their verdict.
    pub(crate) fn waiting(&self) -> usize {
        let sealed: usize = self.sealed.iter().map(|s| s.tickets.len()).sum();
        self.pending.len() + sealed
    }

    /// Returns when the oldest batch that was sent and has no verdict was first sent.
    ///
    /// A batch that stays without a verdict indicates an outage of the log service.
    pub(crate) fn stalled_since(&self) -> Option<Instant> {
        self.sealed.front().and_then(|s| s.first_sent_at)
    }

    /// Returns the batch to append now, if there is one.
    pub(crate) fn poll(&mut self, now: Instant) -> Option<Append> {
        let interval = self.timing.interval;
        let timeout = self.timing.timeout;
        let paced = self.sent_at.is_none_or(|at| now >= at + interval);
        // A batch takes records until it is sent. If it were sealed with the first record, the others would go into the
        // next batch, and each claim would wait one interval longer.
        let unsent = self
            .sealed
            .front()
            .is_none_or(|s| s.first_sent_at.is_none());
        if paced && unsent {
            self.seal(MAX_RECORDS);
        }
        let retryable = self.retry_at().is_none_or(|at| now >= at);
        let front = self.sealed.front_mut()?;
        let due = match front.state {
            BatchState::Due => true,
            BatchState::Sent(at) => now >= at + timeout,
            BatchState::Landed => false,
        };
        if !(due && paced && retryable) {
            return None;
        }
        front.state = BatchState::Sent(now);
        front.first_sent_at.get_or_insert(now);
        self.sent_at = Some(now);
        Some(Append {
            sequence: front.batch.sequence,
            bytes: encode(&front.batch),
        })
    }

    /// Moves the pending records into numbered batches of at most `limit` records.
    ///
    /// In a log outage this is done before the batches can be sent, so that other routers may store them and append
    /// them verbatim if this router dies. A batch that was never sent to the log still takes records: with a new batch
    /// at each replication, those of an hour's outage would take longer to append than the outage lasted.
    pub(crate) fn seal(&mut self, limit: usize) {
        while !self.pending.is_empty() {
            let room = match self.sealed.back() {
                Some(last) if last.first_sent_at.is_none() => {
                    limit.saturating_sub(last.tickets.len())
                }
                _ => 0,
            };
            if room == 0 {
                self.begin_batch();
                continue;
            }
            let count = self.pending.len().min(room);
            let (records, tickets): (Vec<_>, Vec<_>) = self.pending.drain(..count).unzip();
            let last = self.sealed.back_mut().expect("the last batch has room");
            last.batch.records.extend(records);
            last.tickets.extend(tickets);
        }
    }

    fn begin_batch(&mut self) {
        self.last_sequence = Sequence(self.last_sequence.0 + 1);
        self.sealed.push_back(SealedBatch {
            batch: Batch {
                router: self.router,
                sequence: self.last_sequence,
                records: Vec::new(),
            },
            tickets: Vec::new(),
            state: BatchState::Due,
            first_sent_at: None,
        });
    }

    /// Adds an empty batch if no other is waiting, as a sign of life in the log.
    pub(crate) fn keep_alive(&mut self) {
        if self.sealed.is_empty() && self.pending.is_empty() {
            self.begin_batch();
        }
    }

    /// Returns the batches without a verdict, oldest first.
    pub(crate) fn unfolded(&self) -> impl Iterator<Item = &Batch> {
        self.sealed.iter().map(|s| &s.batch)
    }

    /// Returns the extent of the batches without a verdict: the number of the last one, and how many records it has so
    /// far.
    pub(crate) fn extent(&self) -> Option<(Sequence, usize)> {
        let last = self.sealed.back()?;
        Some((last.batch.sequence, last.tickets.len()))
    }

    /// Returns the tickets of the records up to an extent.
    pub(crate) fn tickets(&self, (last, records): (Sequence, usize)) -> impl Iterator<Item = &T> {
        let reached = move |s: &&SealedBatch<T>| s.batch.sequence <= last;
        self.sealed
            .iter()
            .take_while(reached)
            .flat_map(move |s| match s.batch.sequence == last {
                true => s.tickets.iter().take(records),
                false => s.tickets.iter().take(usize::MAX),
            })
    }

    /// Handles the log service's answer to an append.
    ///
    /// An append that failed may have taken effect all the same, so the same bytes are sent again under the same
    /// number, and the fold counts only one of them.
    pub(crate) fn handle_append_result(&mut self, now: Instant, sequence: Sequence, landed: bool) {
        self.failed_at = if landed { None } else { Some(now) };
        let Some(front) = self.sealed.front_mut() else {
            return;
        };
        if front.batch.sequence == sequence {
            front.state = if landed {
                BatchState::Landed
            } else {
                BatchState::Due
            };
        }
    }

    /// Takes the verdicts on one of this incarnation's batches and returns them with their tickets.
    pub(crate) fn take_verdicts(
        &mut self,
        sequence: Sequence,
        verdicts: Vec<Verdict>,
    ) -> Vec<(T, Verdict)> {
        let ours = self
            .sealed
            .front()
            .is_some_and(|s| s.batch.sequence == sequence);
        if !ours {
            return Vec::new();
        }
        let front = self
            .sealed
            .pop_front()
            .expect("the front batch was checked above");
        front.tickets.into_iter().zip(verdicts).collect()
    }

    /// Returns when a failed append may be retried.
    fn retry_at(&self) -> Option<Instant> {
        self.failed_at.map(|at| at + self.timing.interval * 4)
    }

    /// Returns when [`Self::poll`] should be called again.
    pub(crate) fn next_poll(&self) -> Option<Instant> {
        let sent = self.sent_at?;
        let front = self.sealed.front();
        match front.map(|s| s.state) {
            None if self.pending.is_empty() => None,
            None | Some(BatchState::Due) => {
                let paced = sent + self.timing.interval;
                Some(self.retry_at().map_or(paced, |at| at.max(paced)))
            }
            Some(BatchState::Sent(at)) => Some(at + self.timing.timeout),
            Some(BatchState::Landed) => None,
        }
    }

    /// Drops all records without a verdict, after the incarnation was closed, and returns their tickets.
    pub(crate) fn abandon(self) -> Vec<T> {
        let sealed = self.sealed.into_iter().flat_map(|s| s.tickets);
        let pending = self.pending.into_iter().map(|(_, ticket)| ticket);
        sealed.chain(pending).collect()
    }
}
