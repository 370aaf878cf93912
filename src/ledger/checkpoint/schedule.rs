//! When to write a checkpoint, and which router writes it.
//!
//! A ledger may grow by thousands of records a second, or by none for a weekend. In the first case a new router would
//! read for minutes without a recent checkpoint. In the second, the log would silently truncate the only complete
//! checkpoint, and every VM that is replaced afterwards would find no budgets at all.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Incarnation;
use crate::ledger::fold::Ledger;

/// A checkpoint is due after a quarter of the log's retention. When the last router in the order has had its turn, half
/// of the retention is left for outages of the log and for reading the checkpoint.
const DUE_AGE_DIVISOR: u64 = 4;

/// Each further router in the order waits for another 1/32 of the retention, for eight such turns at most.
const TURN_DIVISOR: u64 = 32;

/// The maximum number of turns that a router waits.
const MAX_TURNS: u64 = 8;

/// Decides when checkpoints are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// How long the log keeps records.
    pub retention_ms: u64,
    /// How many records of the stream, a batch each, may follow a checkpoint before the next one is due. It bounds what
    /// a new router has to read and apply.
    pub max_records: u64,
}

impl Schedule {
    /// Returns whether `router` is to write a checkpoint at `now`, the router's estimate of the log service's clock in
    /// milliseconds.
    ///
    /// Several routers may write at once when turns overlap; this only costs additional appends.
    pub fn is_due(&self, ledger: &Ledger, router: Incarnation, now: u64) -> bool {
        let Some(turn) = turn(ledger, router) else {
            return false;
        };
        let last = ledger.checkpoint().unwrap_or_default();
        let age = now.saturating_sub(last.at);
        let records = ledger.next().0.saturating_sub(last.as_of.0);
        let wait = turn.min(MAX_TURNS) * (self.retention_ms / TURN_DIVISOR);
        let aged = age >= (self.retention_ms / DUE_AGE_DIVISOR).saturating_add(wait);
        // Routers with later turns also stand in for a dead one by record count: at twice the limit, three times etc.
        let grown = records >= self.max_records.saturating_mul(turn.min(MAX_TURNS) + 1);
        ledger.next().0 > 0 && (aged || grown)
    }
}

/// Returns a router's position in the writing order, which changes with each checkpoint.
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
