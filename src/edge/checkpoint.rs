//! Checkpoints in the log: writing them, reading them back, and starting from one.

use std::time::Duration;

use tokio::time::timeout;

use crate::edge::log::CHECKPOINT;
use crate::edge::log::Log;
use crate::edge::log::Read;
use crate::ids::Offset;
use crate::ledger::Assembler;
use crate::ledger::Ledger;
use crate::ledger::Restored;
use crate::ledger::decode_part;
use crate::router::Event;

/// How long one part's append may take.
const APPEND: Duration = Duration::from_secs(5);

/// How long reading the newest checkpoint may take: 20 MB at the size designed for, many times over.
const RESTORE: Duration = Duration::from_secs(30);

/// Writes a checkpoint's parts, reads them back and tells the core.
///
/// Its record in the ledger lets go of what it stands for. Were the record written on the answers' word alone, a part
/// whose append was lost would take the budgets with it.
pub(crate) async fn write(log: Log, as_of: Offset, parts: Vec<Vec<u8>>) {
    let mut first = None;
    for part in parts {
        let Some(offset) = log.append_to(CHECKPOINT, part, APPEND).await else {
            return;
        };
        first = first.or(Some(offset));
    }
    let Some(first) = first else {
        return;
    };
    let restored = timeout(RESTORE, newest(&log, first)).await.ok().flatten();
    if restored.is_some_and(|restored| restored.ledger.next() >= as_of) {
        log.desk.tell(Event::CheckpointWritten { as_of, first });
    }
}

/// Returns the newest whole checkpoint that the log has.
pub(crate) async fn restore(log: &Log) -> Option<Ledger> {
    let newest = timeout(RESTORE, newest(log, Offset(0))).await.ok()??;
    Some(newest.ledger)
}

async fn newest(log: &Log, from: Offset) -> Option<Restored> {
    let mut from = from;
    let mut assembler = Assembler::new();
    let mut newest = None;
    loop {
        match log.read(CHECKPOINT, from, Duration::ZERO).await {
            Read::Page { entries, next } => {
                for entry in entries {
                    from = Offset(entry.offset.0 + 1);
                    let Ok(part) = decode_part(&entry.data) else {
                        continue;
                    };
                    newest = assembler.push(entry.offset, part).or(newest);
                }
                if from >= next {
                    return newest;
                }
            }
            Read::Gone { first } => from = first,
            Read::Failed => return newest,
        }
    }
}
