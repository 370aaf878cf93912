//! The configuration's stream: folding its records, adopting newer versions from peers, and republishing it before the
//! log's retention drops it.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::config::Checkpoint;
use crate::config::Snapshot;
use crate::ids::Incarnation;
use crate::router::checkpoint::millis;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::event::Entry;

/// A checkpoint is due after this fraction (a quarter) of the log's retention, which leaves time for three more routers
/// that fail to write one.
const CHECKPOINT_DIVISOR: u64 = 4;

/// Each further router in rank waits this fraction of the retention longer.
const TURN_DIVISOR: u64 = 32;

/// How long to wait for a checkpoint that was written to appear in the stream before another is written.
const RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// Most records buffered behind a gap: the changes of one day at the design size.
const MAX_BUFFERED: usize = 4800;

/// State of the configuration's stream, besides the configuration itself.
#[derive(Debug, Default)]
pub(crate) struct ConfigStream {
    /// Records behind a gap, which wait for a checkpoint or for a peer's configuration.
    buffered: Vec<Entry>,
    /// When the last checkpoint was appended, or else the first record, in milliseconds of the log service's clock.
    checkpoint_ms: Option<u64>,
    written_at: Option<Instant>,
}

impl Core {
    /// Folds records of the configuration's stream.
    pub(crate) fn fold_config(&mut self, now: Instant, entries: Vec<Entry>) {
        let before = self.config.version();
        for entry in entries {
            self.fold_config_entry(entry);
        }
        if self.config.version() != before {
            self.config_changed(now);
        }
    }

    fn fold_config_entry(&mut self, entry: Entry) {
        if entry.offset < self.config.next_offset() {
            return;
        }
        if entry.offset > self.config.next_offset() {
            self.handle_config_gap(entry);
            return;
        }
        let checkpointed = self.config.last_checkpoint();
        if let Err(error) = self.config.apply(entry.offset, &entry.data) {
            warn!(event = "config-rejected", offset = %entry.offset, %error);
        }
        let first = self.config_stream.checkpoint_ms.is_none();
        if first || self.config.last_checkpoint() != checkpointed {
            self.config_stream.checkpoint_ms = Some(entry.at);
        }
    }

    /// Buffers a record whose predecessors the log no longer has, or resumes from it if it is a checkpoint.
    fn handle_config_gap(&mut self, entry: Entry) {
        let resumed = self.config.resume(entry.offset, &entry.data);
        let at = entry.at;
        if self.config_stream.buffered.len() < MAX_BUFFERED {
            self.config_stream.buffered.push(entry);
        }
        match resumed {
            Ok(true) => {
                info!(event = "config-resumed", version = %self.config.version());
                self.config_stream.checkpoint_ms = Some(at);
                self.fold_buffered_config();
            }
            Ok(false) => {}
            Err(error) => warn!(event = "config-checkpoint-rejected", %error),
        }
    }

    /// Folds the buffered records.
    fn fold_buffered_config(&mut self) {
        for entry in std::mem::take(&mut self.config_stream.buffered) {
            self.fold_config_entry(entry);
        }
    }

    /// Adopts a configuration that a peer sent, if it is newer.
    pub(crate) fn adopt_config(&mut self, now: Instant, snapshot: Snapshot) {
        match self.config.adopt(snapshot) {
            Ok(true) => {
                info!(event = "config-relayed", version = %self.config.version());
                self.fold_buffered_config();
                self.config_changed(now);
            }
            Ok(false) => {}
            Err(error) => warn!(event = "config-relay-rejected", %error),
        }
    }

    fn config_changed(&mut self, now: Instant) {
        info!(event = "config-in-force", version = %self.config.version());
        for (account, limit) in &mut self.account_limits {
            if let Some(spec) = self.config.account(account) {
                limit.set_limits(now, &spec.limits);
            }
        }
        self.rebuild_pools(now);
    }

    /// Appends a checkpoint of the configuration before the log drops it, if it is this router's turn.
    ///
    /// Otherwise, once all routers have been replaced, none would know the configuration, and every request would be
    /// refused although nothing was changed.
    pub(crate) fn republish_config(&mut self, now: Instant) {
        let Some(checkpoint_ms) = self.config_stream.checkpoint_ms else {
            return;
        };
        let written_at = self.config_stream.written_at;
        let recent = written_at.is_some_and(|at| now < at + RETRY_INTERVAL);
        if recent || !self.is_serving() || self.in_outage(now) {
            return;
        }
        let retention = millis(self.tuning.log_retention);
        let turn = u64::from(self.rank(Incarnation(self.config.next_offset().0)));
        let due =
            checkpoint_ms + retention / CHECKPOINT_DIVISOR + turn * (retention / TURN_DIVISOR);
        if self.log_time_ms(now) < due {
            return;
        }
        self.config_stream.written_at = Some(now);
        info!(event = "config-checkpoint", version = %self.config.version());
        let checkpoint = Checkpoint::new(self.tuning.vm.as_str(), self.config.snapshot());
        self.effects
            .push(Effect::AppendConfig(checkpoint.to_bytes()));
    }
}
