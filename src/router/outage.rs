//! Log outages: other routers keep what this one cannot append.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde_json::Value;
use tracing::info;

use crate::decide::Lean;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::Sequence;
use crate::ids::VmId;
use crate::ledger::encode;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::AdminId;
use crate::router::event::KeptBatches;
use crate::router::request::AnswerEnd;
use crate::router::request::State;
use crate::settings::EndMarker;

/// How often peers are sent what is new. Callers wait this long for the end of their answers, and at 100 bytes a record
/// a batch of a busy router's records stays small.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(50);

/// How many records a batch takes that is left with peers: while it grows it is sent again with each, and an hour of a few
/// requests a second makes some hundred batches, which are appended within seconds when the log is back.
const REPLICA_RECORDS: usize = 64;

/// How far a router's batches go: the number of the last one, and how many records that has.
type Extent = (Sequence, usize);

/// What a router has left with others in a log outage.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    sent_at: Option<Instant>,
    sent_records: usize,
    active: bool,
    /// What each peer stored, of the incarnation that runs now.
    replicas: IndexMap<VmId, Extent>,
}

impl Core {
    /// Leaves what waits for the log with other routers, so that it outlives this one.
    ///
    /// A router that dies in a log outage takes its bills with it, though its callers have their answers. With the
    /// batches at routers of other failure domains, the end of an answer may go out before the log is back.
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
        for peer in self.members.roster.peers().iter().cloned() {
            self.replicate_to(peer);
        }
        self.advance_replicated(now);
    }

    /// Leaves with a peer what it does not keep yet.
    ///
    /// The last batch that it stored may have grown since, so that one goes again. Were all sent each time, what an hour's
    /// outage gathers would be sent some thousand times.
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
        self.effects.push(Effect::Keep(batches, vec![peer]));
    }

    /// Takes a peer's word that it lacks what it was left before, as one that began anew does.
    pub(crate) fn drop_replica(&mut self, peer: &VmId) {
        self.outage.replicas.shift_remove(peer);
    }

    /// Keeps a peer's batches, or says that it is no use.
    ///
    /// A router that was closed while it was cut off may not know it yet. Were its batches kept all the same, it would
    /// let the ends of answers go out whose bills are void.
    pub(crate) fn store_replica(&mut self, id: AdminId, batches: KeptBatches) {
        let state = self.ledger.router(batches.router);
        let folded = state.filter(|state| !state.closed).map(|s| s.sequence);
        let stored = folded.is_some_and(|folded| self.members.keep(batches, folded));
        let status = if stored { 200 } else { 409 };
        self.effects.push(Effect::Answer(id, status, Value::Null));
    }

    /// Takes a peer's word that it stored batches of this router.
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

    /// Goes on with what is kept by all whose word is needed.
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
        if confirmed && self.tuning.marker == EndMarker::Peers {
            billed
                .into_iter()
                .for_each(|id| self.release_answer_end(id));
        }
    }

    /// Returns how far the batches go that are kept by all whose word is needed.
    ///
    /// Where overspend weighs more, that is every router that may close this one or refuse a retry: one that does not
    /// know of a claim would say that its request was not run, and one that does not know of a bill would close this
    /// router before it. Where refusals weigh more, one keeper is enough, and a partition may bring both.
    fn replicated_extent(&self) -> Option<Extent> {
        let replicas = &self.outage.replicas;
        let open_peers = self.open_peers();
        match self.tuning.lean {
            _ if open_peers.is_empty() => self.appender.extent(),
            Lean::Available => replicas.values().max().copied(),
            Lean::Strict => {
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

    /// Forgets what peers keep, for an incarnation that is over.
    pub(crate) fn clear_replicas(&mut self) {
        self.outage.replicas.clear();
    }

    /// Lets the end of an answer go out whose bill others keep.
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
            self.effects.push(Effect::Release(id));
            self.leave_limit(id);
        }
    }
}
