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
use crate::router::event::AdminId;
use crate::router::event::KeptBatches;
use crate::router::request::State;
use crate::router::request::Then;
use crate::settings::EndMarker;

/// How often peers are sent what is new. Callers wait this long for the end of their answers, and at 100 bytes a record
/// a batch of a busy router's records stays small.
const REPLICATE: Duration = Duration::from_millis(50);

/// How far a router's batches go: the number of the last one, and how many records that has.
type Extent = (Sequence, usize);

/// What a router has left with others in a log outage.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    sent: Option<Instant>,
    waiting: usize,
    began: bool,
    /// What each peer keeps, of the incarnation that runs now.
    kept: IndexMap<VmId, Extent>,
}

impl Core {
    /// Leaves what waits for the log with other routers, so that it outlives this one.
    ///
    /// A router that dies in a log outage takes its bills with it, though its callers have their answers. With the
    /// batches at routers of other failure domains, the end of an answer may go out before the log is back.
    pub(crate) fn replicate(&mut self, now: Instant) {
        let outage = self.in_outage(now);
        if outage != self.outage.began {
            self.outage.began = outage;
            info!(event = "log-outage", begins = outage);
        }
        if !outage {
            return;
        }
        let due = self.outage.sent.is_none_or(|at| now >= at + REPLICATE);
        self.appender.seal();
        let waiting = self.appender.waiting();
        let again = self.outage.sent.is_none_or(|at| now >= at + REPLICATE * 20);
        if !due || (waiting == self.outage.waiting && !again) {
            return;
        }
        self.outage.sent = Some(now);
        self.outage.waiting = waiting;
        let peers = self.members.peers(&self.tuning.vm);
        if let Some((last, records)) = self.appender.extent() {
            let batches = KeptBatches {
                router: self.me,
                last,
                records,
                batches: self.appender.unfolded().map(encode).collect(),
            };
            self.effects.push(Effect::Keep(batches, peers));
        }
        self.go_on_kept(now);
    }

    /// Keeps a peer's batches, or says that it is no use.
    ///
    /// A router that was closed while it was cut off may not know it yet. Were its batches kept all the same, it would
    /// let the ends of answers go out whose bills are void.
    pub(crate) fn keep(&mut self, id: AdminId, batches: KeptBatches) {
        let open = self.ledger.is_open(batches.router);
        if open {
            self.members.keep(batches);
        }
        let status = if open { 200 } else { 409 };
        self.effects.push(Effect::Answer(id, status, Value::Null));
    }

    /// Takes a peer's word that it keeps batches of this router.
    pub(crate) fn kept(&mut self, now: Instant, peer: VmId, router: Incarnation, extent: Extent) {
        if router != self.me {
            return;
        }
        let kept = self.outage.kept.entry(peer).or_insert(extent);
        *kept = extent.max(*kept);
        self.go_on_kept(now);
    }

    /// Goes on with what is kept by all whose word is needed.
    fn go_on_kept(&mut self, now: Instant) {
        let Some(covered) = self.covered() else {
            return;
        };
        let mut claimed = Vec::new();
        let mut billed = Vec::new();
        for ticket in self.appender.tickets(covered) {
            match ticket {
                Ticket::Claim(request) => claimed.push(*request),
                Ticket::Bill { request, .. } => billed.push(*request),
                _ => {}
            }
        }
        for id in claimed {
            self.claim_kept(now, id);
        }
        let mut kept = self.outage.kept.iter();
        let apart = kept.any(|(vm, extent)| *extent >= covered && self.may_keep(vm));
        if apart && self.tuning.marker == EndMarker::Peers {
            billed.into_iter().for_each(|id| self.bill_kept(id));
        }
    }

    /// Returns how far the batches go that are kept by all whose word is needed.
    ///
    /// Where overspend weighs more, that is every router that may close this one or refuse a retry: one that does not
    /// know of a claim would say that its request was not run, and one that does not know of a bill would close this
    /// router before it. Where refusals weigh more, one keeper is enough, and a partition may bring both.
    fn covered(&self) -> Option<Extent> {
        let kept = &self.outage.kept;
        let closers = self.closers();
        match self.tuning.lean {
            _ if closers.is_empty() => self.appender.extent(),
            Lean::Available => kept.values().max().copied(),
            Lean::Strict => {
                let extents = closers.iter().map(|vm| kept.get(vm).copied());
                extents.min().flatten()
            }
        }
    }

    /// Returns the VMs of the other routers that are open and listed.
    pub(crate) fn closers(&self) -> Vec<VmId> {
        let others = self.ledger.routers().filter(|(id, _)| *id != self.me);
        others
            .filter(|(_, state)| !state.closed && self.members.domain(&state.vm).is_some())
            .map(|(_, state)| state.vm.clone())
            .collect()
    }

    /// Forgets what peers keep, for an incarnation that is over.
    pub(crate) fn forget_kept(&mut self) {
        self.outage.kept.clear();
    }

    /// Lets the end of an answer go out whose bill others keep.
    fn bill_kept(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && matches!(
                request.state,
                State::Billing {
                    then: Then::Release
                }
            )
        {
            request.state = State::Billing {
                then: Then::Released,
            };
            info!(event = "bill-kept", request = %id);
            self.effects.push(Effect::Release(id));
        }
    }
}
