//! Log outages: batches that cannot be appended are replicated to other routers.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde_json::Value;
use tracing::info;

use crate::decide::ConsistencyMode;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::Sequence;
use crate::ids::VmId;
use crate::ledger::encode;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::KeptBatches;
use crate::router::event::ReplyId;
use crate::router::request::AnswerEnd;
use crate::router::request::State;
use crate::settings::EndMarker;

/// How often new records are sent to peers. Callers wait this long for their answers to be completed, and at 100 bytes
/// a record the batches of a busy router stay small.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(50);

/// Most records in a batch that is replicated. A batch is sent again as it grows, and an hour at a few requests a
/// second makes some hundred batches, which are appended within seconds when the log is back.
const REPLICA_RECORDS: usize = 64;

/// Extent of a router's batches: the number of the last one, and how many records it has.
type Extent = (Sequence, usize);

/// State of replication during a log outage.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    sent_at: Option<Instant>,
    sent_records: usize,
    active: bool,
    /// The extent that each peer holds of the running incarnation's batches.
    replicas: IndexMap<VmId, Extent>,
}

impl Core {
    /// Replicates the records that wait for the log to other routers, so that they survive this one.
    ///
    /// Without this, a router that dies in a log outage would lose bills of answers that its callers have. With
    /// replicas of the batches in other failure domains, an answer may be completed before the log is back.
    pub(crate) fn replicate(&mut self, now: Instant) {
        let outage = self.in_outage(now);
        if outage != self.outage.active {
            self.outage.active = outage;
            info!(event = "log-outage", begins = outage);
        }
        if !outage {
            return;
        }
        let due = self
            .outage
            .sent_at
            .is_none_or(|at| now >= at + REPLICATION_INTERVAL);
        self.appender.seal(REPLICA_RECORDS);
        let waiting = self.appender.waiting();
        let repeat = self
            .outage
            .sent_at
            .is_none_or(|at| now >= at + REPLICATION_INTERVAL * 20);
        if !due || (waiting == self.outage.sent_records && !repeat) {
            return;
        }
        self.outage.sent_at = Some(now);
        self.outage.sent_records = waiting;
        for peer in self.members.vm_index.peers().iter().cloned() {
            self.replicate_to(peer);
        }
        self.advance_replicated(now);
    }

    /// Sends a peer the batches that it does not hold yet.
    ///
    /// The last batch that it holds may have grown since, so that one is sent again. Sending all of them each time
    /// would repeat what gathers in an hour's outage some thousand times.
    fn replicate_to(&mut self, peer: Peer) {
        let kept = self.outage.replicas.get(&peer.vm).copied();
        let Some((last, records)) = self.appender.extent() else {
            return;
        };
        if kept == Some((last, records)) {
            return;
        }
        let after = Sequence(kept.map_or(0, |(number, _)| number.0.saturating_sub(1)));
        let batches = self.appender.unfolded();
        let batches = KeptBatches {
            router: self.me,
            after,
            last,
            records,
            batches: batches.filter(|b| b.sequence > after).map(encode).collect(),
        };
        self.effects.push(Effect::KeepBatches(batches, vec![peer]));
    }

    /// Handles a peer's report that it lacks earlier batches, as it does after a restart.
    pub(crate) fn drop_replica(&mut self, peer: &VmId) {
        self.outage.replicas.shift_remove(peer);
    }

    /// Stores a peer's batches, or refuses them where that would be of no use.
    ///
    /// A router that was closed while it was cut off may not know of it yet. If its batches were stored all the same,
    /// it would complete answers whose bills are void.
    pub(crate) fn store_replica(&mut self, id: ReplyId, batches: KeptBatches) {
        let state = self.ledger.router(batches.router);
        let folded = state.filter(|state| !state.closed).map(|s| s.sequence);
        let stored = folded.is_some_and(|folded| self.members.keep_batches(batches, folded));
        let status = if stored { 200 } else { 409 };
        self.effects.push(Effect::Answer(id, status, Value::Null));
    }

    /// Handles a peer's confirmation that it holds batches of this router.
    pub(crate) fn handle_replica_ack(
        &mut self,
        now: Instant,
        peer: VmId,
        router: Incarnation,
        extent: Extent,
    ) {
        if router != self.me {
            return;
        }
        let kept = self.outage.replicas.entry(peer).or_insert(extent);
        *kept = extent.max(*kept);
        self.advance_replicated(now);
    }

    /// Continues the requests whose records are replicated to all peers that must confirm them.
    fn advance_replicated(&mut self, now: Instant) {
        let Some(replicated) = self.replicated_extent() else {
            return;
        };
        let mut claimed = Vec::new();
        let mut billed = Vec::new();
        for ticket in self.appender.tickets(replicated) {
            match ticket {
                Ticket::Claim(request) => claimed.push(*request),
                Ticket::Bill { request, .. } => billed.push(*request),
                _ => {}
            }
        }
        for id in claimed {
            self.run_kept_claim(now, id);
        }
        let mut replicas = self.outage.replicas.iter();
        let confirmed =
            replicas.any(|(vm, extent)| *extent >= replicated && self.counts_as_replica(vm));
        if confirmed && self.tuning.end_marker == EndMarker::Peers {
            billed
                .into_iter()
                .for_each(|id| self.release_answer_end(id));
        }
    }

    /// Returns the extent of the batches that are replicated to all peers that must confirm them.
    ///
    /// Under `ConsistencyMode::Strict`, every router that may close this one or refuse a retry must confirm: one that
    /// does not know of a claim would say that its request was not run, and one that does not know of a bill would
    /// close this router before the bill is appended. Under `ConsistencyMode::Available` one replica is enough, and a
    /// partition may cause both faults.
    fn replicated_extent(&self) -> Option<Extent> {
        let replicas = &self.outage.replicas;
        let open_peers = self.open_peers();
        match self.tuning.lean {
            _ if open_peers.is_empty() => self.appender.extent(),
            ConsistencyMode::Available => replicas.values().max().copied(),
            ConsistencyMode::Strict => {
                let extents = open_peers.iter().map(|vm| replicas.get(vm).copied());
                extents.min().flatten()
            }
        }
    }

    /// Returns the VMs of the other routers that are open and listed.
    pub(crate) fn open_peers(&self) -> Vec<VmId> {
        let open = self.ledger.routers().filter(|(_, state)| !state.closed);
        open.filter(|(_, state)| state.vm != self.tuning.vm)
            .filter(|(_, state)| self.members.domain(&state.vm).is_some())
            .map(|(_, state)| state.vm.clone())
            .collect()
    }

    /// Drops the replication state of an incarnation that is closed.
    pub(crate) fn clear_replicas(&mut self) {
        self.outage.replicas.clear();
    }

    /// Completes an answer whose bill is replicated.
    fn release_answer_end(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && matches!(
                request.state,
                State::Billing {
                    answer_end: AnswerEnd::Withheld
                }
            )
        {
            request.state = State::Billing {
                answer_end: AnswerEnd::Released,
            };
            info!(event = "bill-kept", request = %id);
            self.effects.push(Effect::FinishAnswer(id));
            self.leave_limit(id);
        }
    }
}
