//! Writes checkpoints of the ledger when it is this router's turn.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::ids::Offset;
use crate::ledger::MAX_PART_BYTES;
use crate::ledger::Record;
use crate::ledger::Schedule;
use crate::ledger::encode_part;
use crate::ledger::split;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::effect::Effect;

/// How many batches may follow a checkpoint before the next is due: three minutes of a busy log service, which at 40
/// records a batch take a starting router about two seconds to fold.
const MAX_BATCHES: u64 = 50_000;

/// How long to wait before a checkpoint that was not confirmed is written again.
const RETRY_INTERVAL: Duration = Duration::from_secs(30);

impl Core {
    /// Writes a checkpoint if it is this router's turn.
    pub(crate) fn write_checkpoint(&mut self, now: Instant) {
        let recent = self
            .checkpointed_at
            .is_some_and(|at| now < at + RETRY_INTERVAL);
        if recent || now < self.checkpoint_not_before || !self.is_serving() || self.in_outage(now) {
            return;
        }
        let schedule = Schedule {
            retention_ms: millis(self.tuning.log_retention),
            max_records: MAX_BATCHES,
        };
        if !schedule.is_due(&self.ledger, self.me, self.log_time_ms(now)) {
            return;
        }
        self.checkpointed_at = Some(now);
        let parts = split(&self.ledger, MAX_PART_BYTES);
        if parts.is_empty() {
            // The log will drop the last checkpoint. Without this warning nobody would notice until the whole fleet
            // restarts.
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

    /// Appends the record by which other routers learn that a checkpoint is complete.
    pub(crate) fn append_checkpoint_record(&mut self, as_of: Offset, first: Offset) {
        let record = Record::Checkpoint { as_of, first };
        self.appender.push(record, Ticket::Other);
    }

    /// Estimates the log service's time in milliseconds: that of the last record, plus the time since it was folded.
    pub(crate) fn log_time_ms(&self, now: Instant) -> u64 {
        let since = self
            .last_folded_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.ledger.time_ms() + millis(since)
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
