//! Closing routers that are dead.
//!
//! A router that died keeps what it held and the requests that it claimed until its incarnation is closed: its teams
//! lack those tokens, and its callers' retries wait. Any router may close it, and a living one that is closed by mistake
//! loses work and no truth.

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

/// How far apart routers close the same dead one, by rank: one append's time, so that mostly one does it.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// How long to wait for a dead router's batches to be folded before it is closed all the same.
const KEPT_WAIT: Duration = Duration::from_secs(3);

/// How often a dead router's batches are sent off anew until they are folded.
const KEPT_AGAIN: Duration = Duration::from_millis(500);

/// How far the closing of a dead router has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Closing {
    /// Since when it goes on.
    since: Instant,
    /// When the batches that it left here were last sent off.
    brought: Option<Instant>,
    /// When its record was last sent off.
    recorded: Option<Instant>,
}

impl Core {
    /// Closes incarnations that are silent.
    pub(crate) fn close_dead(&mut self, now: Instant) {
        let log_fresh = now < self.members.log_answered_at + FRESH_PERIOD;
        if !self.is_serving() || self.in_outage(now) || !log_fresh {
            // What was sent off may not have landed; all of it begins again when the log is back.
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
                self.close_one(now, router, sequence);
            }
        }
        self.forget_closed();
    }

    /// Returns whether an incarnation has given no sign of life for long enough.
    fn is_silent(&mut self, now: Instant, router: Incarnation, vm: &VmId) -> bool {
        let rank = self.rank(router);
        let last = *self.members.last_seen.entry(router).or_insert(now);
        let base = match self.members.is_replaced(now, router, vm) {
            true => Duration::ZERO,
            false => self.patience_with(now, vm),
        };
        now >= last + base + RANK_DELAY * rank
    }

    /// Returns this router's place among those that may close a dead one.
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

    /// Closes a dead incarnation, after the batches that it left here.
    ///
    /// Its last bills may be known to its peers alone. Were it closed first, they would be void, and answers that
    /// callers have whole would stay unbilled.
    fn close_one(&mut self, now: Instant, router: Incarnation, sequence: Sequence) {
        let kept = self.members.kept_batches.get(&router);
        let missing = kept.filter(|kept| kept.last > sequence);
        let begun = self.members.closing.get(&router).copied();
        let mut closing = begun.unwrap_or(Closing {
            since: now,
            brought: None,
            recorded: None,
        });
        if begun.is_none() {
            warn!(event = "closing", %router, left_here = missing.is_some());
        }
        // An append may fail, so they are brought until they are folded.
        if let Some(kept) = missing
            && closing.brought.is_none_or(|at| now >= at + KEPT_AGAIN)
        {
            closing.brought = Some(now);
            let batches = kept.batches.iter().cloned().map(Effect::AppendKept);
            self.effects.extend(batches);
        }
        let waited = missing.is_none() || now >= closing.since + KEPT_WAIT;
        let due = closing.recorded.is_none_or(|at| now >= at + KEPT_WAIT);
        if begun.is_some() && waited && due {
            closing.recorded = Some(now);
            self.push_close(router);
        }
        self.members.closing.insert(router, closing);
    }

    fn push_close(&mut self, router: Incarnation) {
        info!(event = "close", %router);
        self.appender.push(Record::Close { router }, Ticket::Other);
    }

    /// Forgets what concerns incarnations that are over.
    fn forget_closed(&mut self) {
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
