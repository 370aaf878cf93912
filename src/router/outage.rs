//! Log outages: other routers keep what this one cannot append.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use tracing::info;

use crate::ids::Incarnation;
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

/// What a router has left with others in a log outage.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    sent: Option<Instant>,
    waiting: usize,
    began: bool,
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
        if !outage || self.tuning.marker == EndMarker::Hold {
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
        let last = self.appender.unfolded().last().map(|batch| batch.sequence);
        if let Some(last) = last {
            let batches = KeptBatches {
                router: self.me,
                last,
                records: waiting,
                batches: self.appender.unfolded().map(encode).collect(),
            };
            self.effects.push(Effect::Keep(batches, peers));
        }
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
    pub(crate) fn kept(
        &mut self,
        peer: &VmId,
        router: Incarnation,
        last: Sequence,
        records: usize,
    ) {
        if router != self.me || !self.may_keep(peer) {
            return;
        }
        let billed: Vec<_> = self
            .appender
            .tickets(last)
            .take(records)
            .filter_map(|ticket| match ticket {
                Ticket::Bill { request, .. } => Some(*request),
                _ => None,
            })
            .collect();
        for id in billed {
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
                info!(event = "bill-kept", request = %id, %peer);
                self.effects.push(Effect::Release(id));
            }
        }
    }
}
