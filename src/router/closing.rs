//! Closes the incarnations of routers that have died.
//!
//! A dead router's holdings and claimed requests stay bound until its incarnation is closed: its teams lack those
//! tokens, and retries by its callers wait. Any router may close it. A live router that is closed by mistake loses
//! work, but the ledger stays correct.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Incarnation;
use crate::ids::Sequence;
use crate::ids::VmId;
use crate::ledger::Record;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::members::FRESH_PERIOD;

/// Delay between the routers that would close the same dead one, per rank. About the time of one append, so that
/// usually only one of them does it.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// How long to wait for a dead router's replicated batches to be folded before closing it anyway, and before a close
/// record is appended again.
const FOLD_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a dead router's replicated batches are appended again until they are folded.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Progress of closing a dead router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closing {
    /// When this router began to close it.
    started_at: Instant,
    /// When the batches replicated here were last sent to the log.
    batches_sent_at: Option<Instant>,
    /// When its close record was last sent to the log.
    record_sent_at: Option<Instant>,
}

impl Core {
    /// Closes incarnations that have been silent past their time-out.
    pub(crate) fn close_dead_routers(&mut self, now: Instant) {
        let log_fresh = now < self.members.log_answered_at + FRESH_PERIOD;
        if !self.is_serving() || self.in_outage(now) || !log_fresh {
            // Records already sent may not have been appended, so closing starts over when the log is back.
            self.members.closing.clear();
            return;
        }
        let open: Vec<_> = self
            .ledger
            .routers()
            .filter(|(id, state)| *id != self.me && !state.closed)
            .map(|(id, state)| (id, state.vm.clone(), state.sequence))
            .collect();
        for (router, vm, sequence) in open {
            if self.is_silent(now, router, &vm) {
                self.close_router(now, router, sequence);
            }
        }
        self.prune_closed();
    }

    /// Returns whether an incarnation has shown no sign of life for longer than its time-out.
    fn is_silent(&mut self, now: Instant, router: Incarnation, vm: &VmId) -> bool {
        let rank = self.rank(router);
        let last = *self.members.last_seen.entry(router).or_insert(now);
        let base = match self.members.is_replaced(now, router, vm) {
            true => Duration::ZERO,
            false => self.silence_timeout(now, vm),
        };
        now >= last + base + RANK_DELAY * rank
    }

    /// Returns this router's rank among those that may close a dead one.
    pub(crate) fn rank(&self, dead: Incarnation) -> u32 {
        let score = |router: Incarnation| xxh3_64(&(router.0 ^ dead.0).to_le_bytes());
        let mine = score(self.me);
        let before = self
            .ledger
            .routers()
            .filter(|(id, state)| !state.closed && *id != dead && score(*id) < mine)
            .count();
        u32::try_from(before).unwrap_or(u32::MAX).min(10)
    }

    /// Closes a dead incarnation, after appending its batches that are replicated here.
    ///
    /// Its last bills may be known to its peers alone. If it were closed first, those bills would be void, and answers
    /// that callers received in full would stay unbilled.
    fn close_router(&mut self, now: Instant, router: Incarnation, sequence: Sequence) {
        let kept = self.members.kept_batches.get(&router);
        let missing = kept.filter(|kept| kept.last > sequence);
        let ongoing = self.members.closing.get(&router).copied();
        let mut closing = ongoing.unwrap_or(Closing {
            started_at: now,
            batches_sent_at: None,
            record_sent_at: None,
        });
        if ongoing.is_none() {
            warn!(event = "closing", %router, left_here = missing.is_some());
        }
        // An append may fail, so the batches are sent again until they are folded.
        if let Some(kept) = missing
            && closing
                .batches_sent_at
                .is_none_or(|at| now >= at + RESEND_INTERVAL)
        {
            closing.batches_sent_at = Some(now);
            let batches = kept.batches.iter().cloned().map(Effect::AppendKept);
            self.effects.extend(batches);
        }
        let waited = missing.is_none() || now >= closing.started_at + FOLD_TIMEOUT;
        let due = closing
            .record_sent_at
            .is_none_or(|at| now >= at + FOLD_TIMEOUT);
        if ongoing.is_some() && waited && due {
            closing.record_sent_at = Some(now);
            self.append_close(router);
        }
        self.members.closing.insert(router, closing);
    }

    fn append_close(&mut self, router: Incarnation) {
        info!(event = "close", %router);
        self.appender.push(Record::Close { router }, Ticket::Other);
    }

    /// Drops the state kept for incarnations that are closed.
    fn prune_closed(&mut self) {
        let ledger = &self.ledger;
        let members = &mut self.members;
        members.closing.retain(|id, _| ledger.is_open(*id));
        members
            .last_seen
            .retain(|id, _| ledger.router(*id).is_none_or(|state| !state.closed));
        members.kept_batches.retain(|id, kept| {
            let state = ledger.router(*id);
            state.is_none_or(|s| !s.closed && s.sequence < kept.last)
        });
    }
}
