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
use crate::router::event::KeptBatches;
use crate::router::event::ReplyId;
use crate::router::request::AnswerEnd;
use crate::router::request::State;
use crate::settings::EndMarker;

/// How often peers are sent what is new. Callers wait this long for the end of their answers, and at 100 bytes a record
/// a batch of a busy router's records stays small.
const REPLICATE: Duration = Duration::from_millis(50);

/// How many records a batch takes that is left with peers: while it grows it is sent again with each, and an hour of a few
/// requests a second makes some hundred batches, which are appended within seconds when the log is back.
const KEPT_RECORDS: usize = 64;

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
        self.appender.seal(KEPT_RECORDS);
        let waiting = self.appender.waiting();
        let again = self.outage.sent.is_none_or(|at| now >= at + REPLICATE * 20);
        if !due || (waiting == self.outage.waiting && !again) {
            return;
        }
        self.outage.sent = Some(now);
        self.outage.waiting = waiting;
        for peer in self.members.vm_index.peers().iter().cloned() {
            self.leave_with(peer);
        }
        self.go_on_kept(now);
    }

    /// Leaves with a peer what it does not keep yet.
    ///
    /// The last batch that it keeps may have grown since, so that one goes again. Were all sent each time, what an hour's
    /// outage gathers would be sent some thousand times.
    fn leave_with(&mut self, peer: Peer) {
        let kept = self.outage.kept.get(&peer.vm).copied();
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

    /// Takes a peer's word that it lacks what it was left before, as one that began anew does.
    pub(crate) fn unkept(&mut self, peer: &VmId) {
        self.outage.kept.shift_remove(peer);
    }

    /// Keeps a peer's batches, or says that it is no use.
    ///
    /// A router that was closed while it was cut off may not know it yet. Were its batches kept all the same, it would
    /// let the ends of answers go out whose bills are void.
    pub(crate) fn keep(&mut self, id: ReplyId, batches: KeptBatches) {
        let state = self.ledger.router(batches.router);
        let folded = state.filter(|state| !state.closed).map(|s| s.sequence);
        let keeps = folded.is_some_and(|folded| self.members.keep_batches(batches, folded));
        let status = if keeps { 200 } else { 409 };
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
            self.run_kept_claim(now, id);
        }
        let mut kept = self.outage.kept.iter();
        let apart = kept.any(|(vm, extent)| *extent >= covered && self.may_keep(vm));
        if apart && self.tuning.end_marker == EndMarker::Peers {
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
        let open = self.ledger.routers().filter(|(_, state)| !state.closed);
        open.filter(|(_, state)| state.vm != self.tuning.vm)
            .filter(|(_, state)| self.members.domain(&state.vm).is_some())
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
