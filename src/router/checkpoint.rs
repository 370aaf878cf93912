//! Writing checkpoints of the ledger when it is this router's turn.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::ids::Offset;
use crate::ledger::PART_SIZE;
use crate::ledger::Record;
use crate::ledger::Schedule;
use crate::ledger::encode_part;
use crate::ledger::split;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::effect::Effect;

/// How many batches may follow a checkpoint: three minutes of a log service that is busy, and with 40 records a batch
/// about two seconds' work for a fresh router.
const BATCHES: u64 = 50_000;

/// How long to wait before a checkpoint that was not confirmed is written again.
const AGAIN: Duration = Duration::from_secs(30);

impl Core {
    /// Writes a checkpoint if it is this router's turn.
    pub(crate) fn write_checkpoint(&mut self, now: Instant) {
        let tried = self.checkpointed_at.is_some_and(|at| now < at + AGAIN);
        if tried || now < self.checkpoint_not_before || !self.is_serving() || self.in_outage(now) {
            return;
        }
        let schedule = Schedule {
            retention: millis(self.tuning.log_retention),
            records: BATCHES,
        };
        if !schedule.is_due(&self.ledger, self.me, self.log_time(now)) {
            return;
        }
        self.checkpointed_at = Some(now);
        let parts = split(&self.ledger, PART_SIZE);
        if parts.is_empty() {
            // Unsaid, the log would let go of the last checkpoint, and nobody would know until a fleet restarts.
            warn!(
                event = "checkpoint-too-large",
                keys = self.ledger.keys().count()
            );
            return;
        }
        info!(event = "checkpoint", as_of = %self.ledger.next(), parts = parts.len());
        let parts = parts.iter().map(encode_part).collect();
        self.effects
            .push(Effect::Checkpoint(self.ledger.next(), parts));
    }

    /// Has the others know that a checkpoint stands whole.
    pub(crate) fn checkpoint_written(&mut self, as_of: Offset, first: Offset) {
        let record = Record::Checkpoint { as_of, first };
        self.appender.push(record, Ticket::Other);
    }

    /// Returns the log service's time, as far as it can be told: that of the last record, and what passed since.
    pub(crate) fn log_time(&self, now: Instant) -> u64 {
        let since = self
            .last_folded_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.ledger.at() + millis(since)
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
