//! When to write a checkpoint, and which router writes it.
//!
//! Pattern: a ledger that grows by thousands of records a second, or by none for a weekend. Without a checkpoint the
//! first makes a fresh router read for minutes, and in the second the log lets go of the only whole one while nobody
//! notices; every VM that is replaced afterwards finds no budgets at all.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Incarnation;
use crate::ledger::fold::Ledger;

/// A checkpoint is due after a quarter of the log's retention. Half of the retention is then left when the last router
/// in the order has had its turn, for outages of the log and for reading it.
const AGE: u64 = 4;

/// Each next router in the order waits for this part of the retention longer, eight at most.
const TURN: u64 = 32;

/// The latest turn, in turns.
const LAST_TURN: u64 = 8;

/// When checkpoints are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// How long the log keeps records, milliseconds.
    pub retention: u64,
    /// How many records of the stream, a batch each, may follow a checkpoint before the next one is due: what a fresh
    /// router has to read and fold.
    pub records: u64,
}

impl Schedule {
    /// Returns whether `router` is to write a checkpoint at `now`, milliseconds of the log service's clock as far as the
    /// router can tell.
    ///
    /// Several may write at once when turns overlap; that costs appends and nothing else.
    pub fn is_due(&self, ledger: &Ledger, router: Incarnation, now: u64) -> bool {
        let Some(turn) = turn(ledger, router) else {
            return false;
        };
        let last = ledger.checkpoint().unwrap_or_default();
        let age = now.saturating_sub(last.at);
        let records = ledger.next().0.saturating_sub(last.as_of.0);
        let wait = turn.min(LAST_TURN) * (self.retention / TURN);
        let old = age >= (self.retention / AGE).saturating_add(wait);
        // A later turn's router steps in for a dead one by the number of records as well, at twice, three times as many.
        let long = records >= self.records.saturating_mul(turn.min(LAST_TURN) + 1);
        ledger.next().0 > 0 && (old || long)
    }
}

/// Returns a router's place in the order, which changes with each checkpoint.
fn turn(ledger: &Ledger, router: Incarnation) -> Option<u64> {
    let seed = ledger.checkpoint().unwrap_or_default().as_of.0;
    let rank = |id: Incarnation| (xxh3_64(&(id.0 ^ seed.rotate_left(32)).to_le_bytes()), id);
    if !ledger.is_open(router) {
        return None;
    }
    let mine = rank(router);
    let before = ledger
        .routers()
        .filter(|(id, state)| !state.closed && rank(*id) < mine)
        .count();
    Some(before as u64)
}
