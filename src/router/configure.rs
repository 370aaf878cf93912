//! The configuration: folding its stream, taking it over from peers, and carrying it past the log's retention.

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

/// A checkpoint is due after a quarter of the log's retention, so that three more routers may fail to write one.
const AGE: u64 = 4;

/// Each next router waits for this part of the retention longer.
const TURN: u64 = 32;

/// How long to wait for one that was written to come back in the stream.
const AGAIN: Duration = Duration::from_secs(30);

/// How many records are kept that lie behind a gap: a day's changes at the size designed for.
const MAX_AHEAD: usize = 4800;

/// What a router knows of the configuration's stream besides the configuration.
#[derive(Debug, Default)]
pub(crate) struct ConfigStream {
    /// Records behind a gap, which wait for a checkpoint or a peer.
    ahead: Vec<Entry>,
    /// When the last checkpoint was appended, or else the first record, milliseconds of the log service's clock.
    since: Option<u64>,
    written: Option<Instant>,
}

impl Core {
    /// Folds records of the configuration.
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
        if entry.offset < self.config.next() {
            return;
        }
        if entry.offset > self.config.next() {
            self.fold_config_ahead(entry);
            return;
        }
        let checkpointed = self.config.checkpointed();
        if let Err(error) = self.config.apply(entry.offset, &entry.data) {
            warn!(event = "config-rejected", offset = %entry.offset, %error);
        }
        let first = self.config_stream.since.is_none();
        if first || self.config.checkpointed() != checkpointed {
            self.config_stream.since = Some(entry.at);
        }
    }

    /// Keeps a record whose predecessors the log has let go, or starts from it if it is a checkpoint.
    fn fold_config_ahead(&mut self, entry: Entry) {
        let resumed = self.config.resume(entry.offset, &entry.data);
        let at = entry.at;
        if self.config_stream.ahead.len() < MAX_AHEAD {
            self.config_stream.ahead.push(entry);
        }
        match resumed {
            Ok(true) => {
                info!(event = "config-resumed", version = %self.config.version());
                self.config_stream.since = Some(at);
                self.fold_config_kept();
            }
            Ok(false) => {}
            Err(error) => warn!(event = "config-checkpoint-rejected", %error),
        }
    }

    /// Folds the records that waited for what came before them.
    fn fold_config_kept(&mut self) {
        for entry in std::mem::take(&mut self.config_stream.ahead) {
            self.fold_config_entry(entry);
        }
    }

    /// Takes over a configuration that a peer sent, if it is ahead.
    pub(crate) fn adopt_config(&mut self, now: Instant, snapshot: Snapshot) {
        match self.config.adopt(snapshot) {
            Ok(true) => {
                info!(event = "config-relayed", version = %self.config.version());
                self.fold_config_kept();
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
                limit.change(now, &spec.limits);
            }
        }
        self.rebuild_pools(now);
    }

    /// Publishes the configuration anew before the log lets go of it, if it is this router's turn.
    ///
    /// Were all routers replaced after that time, nobody would know the configuration any more, and every request would
    /// be refused without anyone having changed anything.
    pub(crate) fn carry_config(&mut self, now: Instant) {
        let Some(since) = self.config_stream.since else {
            return;
        };
        let written = self.config_stream.written;
        let tried = written.is_some_and(|at| now < at + AGAIN);
        if tried || !self.is_serving() || self.in_outage(now) {
            return;
        }
        let retention = millis(self.tuning.log_retention);
        let turn = u64::from(self.rank(Incarnation(self.config.next().0)));
        let due = since + retention / AGE + turn * (retention / TURN);
        if self.log_time(now) < due {
            return;
        }
        self.config_stream.written = Some(now);
        info!(event = "config-checkpoint", version = %self.config.version());
        let checkpoint = Checkpoint::new(self.tuning.vm.as_str(), self.config.snapshot());
        self.effects
            .push(Effect::AppendConfig(checkpoint.to_bytes()));
    }
}
