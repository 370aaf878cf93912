//! Folds the ledger's stream of the log, and acts on the verdicts of the folded records.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tracing::info;
use tracing::warn;

use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::Sequence;
use crate::ledger::Batch;
use crate::ledger::Ledger;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::ledger::VoidReason;
use crate::ledger::decode;
use crate::router::appender::Appender;
use crate::router::core::Core;
use crate::router::core::Phase;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::event::Entry;
use crate::router::request::Reservation;
use crate::router::request::State;

/// How often peers are asked for the ledger if the log does not provide it. A log that only hiccups answers sooner.
const FETCH_INTERVAL: Duration = Duration::from_secs(2);

/// How long to wait for peers to close the previous incarnation: they send its last batches every half second, and take
/// turns 300 ms apart.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_secs(3);

impl Core {
    /// Folds entries of the ledger's stream.
    pub(crate) fn fold_ledger(&mut self, now: Instant, entries: Vec<Entry>) {
        self.members.log_answered(now);
        for entry in entries {
            if entry.offset < self.ledger.next() {
                continue;
            }
            match decode(&entry.data) {
                Ok(batch) => self.fold_batch(now, &entry, &batch),
                Err(error) => {
                    // A record of a newer version must not stop this router; `status` reports it as unreadable.
                    warn!(event = "record-unreadable", offset = %entry.offset, %error);
                    self.ledger.skip(entry.offset);
                }
            }
        }
        self.recheck_contended(now);
        self.fund_all(now);
    }

    fn fold_batch(&mut self, now: Instant, entry: &Entry, batch: &Batch) {
        let verdicts = self.ledger.apply(entry.offset, entry.at, batch);
        self.last_folded_at = Some(now);
        self.members.batch_appended(now, batch.router);
        self.learn_crashes(now, batch, &verdicts);
        self.record_claims(now, batch);
        self.answer_shortage(now, batch, &verdicts);
        if self.phase == Phase::CatchingUp {
            return;
        }
        if batch.router == self.me && !is_duplicate(&verdicts) {
            let resolved = self.appender.take_verdicts(batch.sequence, verdicts);
            for (ticket, verdict) in resolved {
                self.handle_verdict(now, ticket, verdict);
            }
        }
        let closed = self.ledger.router(self.me).is_some_and(|r| r.closed);
        let leaving = matches!(self.phase, Phase::Draining { closing: true, .. });
        if closed && !leaving {
            self.reincarnate(now);
        }
    }

    fn handle_verdict(&mut self, now: Instant, ticket: Ticket, verdict: Verdict) {
        match ticket {
            Ticket::Open => self.handle_open_verdict(now, &verdict),
            Ticket::Claim(id) => self.apply_claim_verdict(now, id, verdict),
            Ticket::Release(id) | Ticket::Refuse(id) => self.apply_proof_verdict(now, id, &verdict),
            Ticket::Bill {
                request,
                team,
                credit,
            } => {
                if let Some(budget) = self.ledger_budgets.get_mut(&team) {
                    budget.end_credit(credit);
                }
                self.bill_verdict(now, request, &verdict);
            }
            Ticket::Draw(team) => self.handle_draw_verdict(now, &team, &verdict),
            Ticket::Return(team, amount) => {
                if let Some(budget) = self.ledger_budgets.get_mut(&team) {
                    budget.end_debit(amount);
                }
            }
            Ticket::TopUp(id, _) => self.answer_top_up(id, &verdict),
            Ticket::CloseSelf => self.effects.push(Effect::Exit { cut: false }),
            Ticket::Other => {}
        }
    }

    /// Handles the log service's answer to an append.
    pub(crate) fn handle_appended(
        &mut self,
        now: Instant,
        router: Incarnation,
        sequence: Sequence,
        landed: bool,
    ) {
        if router == self.me {
            self.appender.handle_append_result(now, sequence, landed);
        }
    }

    /// Asks peers for the ledger if the log does not provide it, as in an outage, and opens when possible.
    pub(crate) fn catch_up(&mut self, now: Instant) {
        if self.phase == Phase::CatchingUp && now >= self.started_at + FETCH_INTERVAL {
            self.fetch_ledger(now);
        }
        self.open_after_predecessor(now);
    }

    /// Asks peers for the ledger, at most once per [`FETCH_INTERVAL`].
    pub(crate) fn fetch_ledger(&mut self, now: Instant) {
        if self
            .ledger_fetched_at
            .is_some_and(|at| now < at + FETCH_INTERVAL)
        {
            return;
        }
        self.ledger_fetched_at = Some(now);
        let peers = self.members.vm_index.peers().to_vec();
        self.effects.push(Effect::Fetch(peers));
    }

    /// Prepares to open once everything that the log held at startup is folded.
    pub(crate) fn handle_caught_up(&mut self, now: Instant) {
        if self.phase != Phase::CatchingUp {
            return;
        }
        self.members.reset_silence(now);
        self.caught_up_at = Some(now);
        self.open_after_predecessor(now);
    }

    /// Opens once the previous incarnation on this VM is closed.
    ///
    /// Opening ends the previous incarnation. If that one crashed in a log outage, only its peers have its last bills.
    /// Bills appended after the opening would be void, so that complete answers would stay unbilled. The peers append
    /// the bills and close the previous incarnation as soon as they hear from this router.
    pub(crate) fn open_after_predecessor(&mut self, now: Instant) {
        let Some(caught) = self.caught_up_at else {
            return;
        };
        let mut routers = self.ledger.routers();
        let has_predecessor = routers.any(|(_, state)| !state.closed && state.vm == self.tuning.vm);
        drop(routers);
        let waiting =
            has_predecessor && !self.open_peers().is_empty() && now < caught + PREDECESSOR_TIMEOUT;
        if !waiting {
            self.caught_up_at = None;
            self.open();
        }
    }

    fn open(&mut self) {
        self.phase = Phase::Opening;
        let record = Record::Open {
            vm: self.tuning.vm.clone(),
            domain: self.tuning.domain.clone(),
            address: self.tuning.address.clone(),
        };
        self.appender.push(record, Ticket::Open);
    }

    fn handle_open_verdict(&mut self, now: Instant, verdict: &Verdict) {
        if *verdict != Verdict::Accepted {
            self.reincarnate(now);
        } else if self.phase == Phase::Opening {
            self.phase = Phase::Serving;
            info!(event = "serving", vm = %self.tuning.vm, incarnation = %self.me);
        }
        self.fund_all(now);
    }

    /// Starts a new incarnation after another router closed the current one as unresponsive.
    ///
    /// The budget it held went back to the teams, and anything it appends from now on is void. Streams in progress can
    /// no longer be billed, so they are cut off; otherwise their callers would get complete answers for free. Requests
    /// that were not dispatched continue under the new incarnation.
    pub(crate) fn reincarnate(&mut self, now: Instant) {
        let old = self.me;
        self.me = Incarnation(self.rng.next_u64());
        warn!(event = "closed", %old, new = %self.me);
        let fresh = Appender::new(self.me, self.tuning.pace);
        let abandoned = std::mem::replace(&mut self.appender, fresh);
        self.ledger_budgets.clear();
        self.clear_replicas();
        let draining = matches!(self.phase, Phase::Draining { .. });
        if draining {
            let cut = !self.requests.is_empty();
            self.effects.push(Effect::Exit { cut });
        } else {
            self.open();
        }
        for ticket in abandoned.abandon() {
            if let Ticket::TopUp(id, record) = ticket {
                // A top-up counts only once per id, so it may be appended again.
                self.appender
                    .push(record.clone(), Ticket::TopUp(id, record));
            }
        }
        let ids: Vec<_> = self.requests.keys().copied().collect();
        for id in ids {
            self.restart_request(now, id);
        }
    }

    /// Adopts a ledger state from a checkpoint or a peer, if it is ahead of this router's.
    pub(crate) fn adopt_ledger(&mut self, now: Instant, ledger: Ledger) {
        if ledger.next() <= self.ledger.next() {
            return;
        }
        info!(event = "ledger-adopted", next = %ledger.next());
        self.ledger = ledger;
        self.members.reset_silence(now);
        if self.phase != Phase::CatchingUp {
            // The verdicts of the records that this skips are not available, so the outcome of anything that waits
            // for one is unknown. Under a new incarnation, all of it is void or settled.
            self.reincarnate(now);
        }
    }

    /// Restarts or ends a request after the incarnation that claimed it has ended.
    fn restart_request(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.reservation = Reservation::None;
        match request.state {
            State::Contended
            | State::Confirming
            | State::Locating { .. }
            | State::Seeking { .. } => {}
            State::Funding { .. } => self.fund(now, id),
            State::Queued => {
                self.cancel_queued(now, id);
                self.fund(now, id);
            }
            State::Claiming { .. } if !request.dispatched => {
                self.free_endpoint(now, id);
                self.fund(now, id);
            }
            State::Claiming { .. } | State::Running { .. } | State::Billing { .. } => {
                self.abort_unbillable(now, id);
            }
            State::Proving { .. } => self.abandon_proof(now, id),
            State::Abandoned => self.finish(now, id),
        }
    }
}

/// Returns whether a batch is a copy of one that was already folded.
fn is_duplicate(verdicts: &[Verdict]) -> bool {
    verdicts.first() == Some(&Verdict::Void(VoidReason::Sequence))
}
