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
const DUE_AGE_DIVISOR: u64 = 4;

/// Each next router in the order waits for this part of the retention longer, eight at most.
const TURN_DIVISOR: u64 = 32;

/// The latest turn, in turns.
const MAX_TURNS: u64 = 8;

/// When checkpoints are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// How long the log keeps records, milliseconds.
    pub retention_ms: u64,
    /// How many records of the stream, a batch each, may follow a checkpoint before the next one is due: what a fresh
    /// router has to read and fold.
    pub max_records: u64,
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
        let wait = turn.min(MAX_TURNS) * (self.retention_ms / TURN_DIVISOR);
        let aged = age >= (self.retention_ms / DUE_AGE_DIVISOR).saturating_add(wait);
        // A later turn's router steps in for a dead one by the number of records as well, at twice, three times as many.
        let grown = records >= self.max_records.saturating_mul(turn.min(MAX_TURNS) + 1);
        ledger.next().0 > 0 && (aged || grown)
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
