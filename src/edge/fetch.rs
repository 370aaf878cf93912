//! A state of the ledger to start from, where the log no longer has, or does not give, what came before.

use std::sync::Arc;

use tracing::info;

use crate::edge::desk::Desk;
use crate::edge::peers::Caller;
use crate::ledger::Ledger;
use crate::router::Event;
use crate::router::Peer;

/// Gets the newest state that any peer has, and gives it to the core.
pub(crate) async fn fetch(desk: Arc<Desk>, caller: Caller, peers: Vec<Peer>) {
    let mut newest: Option<Ledger> = None;
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
        desk.tell(Event::LedgerSnapshot(Box::new(ledger)));
    }
}

async fn ask(caller: &Caller, peer: &Peer) -> Option<Ledger> {
    let bytes = caller.ledger(peer).await?;
    postcard::from_bytes(&bytes).ok()
}
