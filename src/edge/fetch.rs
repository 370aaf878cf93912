//! A state of the ledger to start from, where the log no longer has, or does not give, what came before.

use tracing::info;

use crate::edge::checkpoint;
use crate::edge::log::Log;
use crate::edge::peers::Caller;
use crate::ledger::Ledger;
use crate::router::Event;
use crate::router::Peer;

/// Gets the newest state that the log's checkpoints or any peer have, and gives it to the core.
pub(crate) async fn fetch(log: Log, caller: Caller, peers: Vec<Peer>) {
    let mut newest = checkpoint::restore(&log).await;
    for peer in &peers {
        let Some(ledger) = ask(&caller, peer).await else {
            continue;
        };
        info!(event = "ledger-fetched", peer = %peer.vm, next = %ledger.next());
        if newest.as_ref().is_none_or(|n| n.next() < ledger.next()) {
            newest = Some(ledger);
        }
    }
    if let Some(ledger) = newest {
        log.desk.tell(Event::LedgerSnapshot(Box::new(ledger)));
    }
}

async fn ask(caller: &Caller, peer: &Peer) -> Option<Ledger> {
    let bytes = caller.ledger(peer).await?;
    postcard::from_bytes(&bytes).ok()
}
