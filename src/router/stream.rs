//! Folding the log's streams, and what the verdicts bring about.

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
use crate::ledger::Void;
use crate::ledger::decode;
use crate::router::appender::Appender;
use crate::router::core::Core;
use crate::router::core::Phase;
use crate::router::core::Ticket;
use crate::router::effect::Effect;
use crate::router::event::Entry;
use crate::router::request::Reservation;
use crate::router::request::State;

/// How often the ledger is asked for where the log does not give it: a log that only stutters answers sooner.
const FETCH: Duration = Duration::from_secs(2);

/// How long to wait for peers to close the incarnation before: its last batches are sent off every half second, and the
/// peers take turns 300 ms apart.
const EARLIER: Duration = Duration::from_secs(3);

impl Core {
    /// Folds records of the ledger.
    pub(crate) fn fold_ledger(&mut self, now: Instant, entries: Vec<Entry>) {
        self.members.log_answered(now);
        for entry in entries {
            if entry.offset < self.ledger.next() {
                continue;
            }
            match decode(&entry.data) {
                Ok(batch) => self.fold_batch(now, &entry, &batch),
                Err(error) => {
                    // A newer program's record must not stop this router; it stands in `status`.
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
        if batch.router == self.me && !repeated(&verdicts) {
            let back = self.appender.folded(batch.sequence, verdicts);
            for (ticket, verdict) in back {
                self.verdict(now, ticket, verdict);
            }
        }
        let closed = self.ledger.router(self.me).is_some_and(|r| r.closed);
        let leaving = matches!(self.phase, Phase::Draining { closing: true, .. });
        if closed && !leaving {
            self.reincarnate(now);
        }
    }

    fn verdict(&mut self, now: Instant, ticket: Ticket, verdict: Verdict) {
        match ticket {
            Ticket::Open => self.opened(now, &verdict),
            Ticket::Claim(id) => self.apply_claim_verdict(now, id, verdict),
            Ticket::Release(id) | Ticket::Refuse(id) => self.apply_proof_verdict(now, id, &verdict),
            Ticket::Bill {
                request,
                team,
                credit,
            } => {
                if let Some(purse) = self.ledger_budgets.get_mut(&team) {
                    purse.end_credit(credit);
                }
                self.bill_verdict(now, request, &verdict);
            }
            Ticket::Draw(team) => self.handle_draw_verdict(now, &team, &verdict),
            Ticket::Return(team, amount) => {
                if let Some(purse) = self.ledger_budgets.get_mut(&team) {
                    purse.end_debit(amount);
                }
            }
            Ticket::TopUp(id, _) => self.top_up_verdict(id, &verdict),
            Ticket::CloseSelf => self.effects.push(Effect::Exit { cut: false }),
            Ticket::Other => {}
        }
    }

    /// Takes the log service's answer to an append.
    pub(crate) fn appended(
        &mut self,
        now: Instant,
        router: Incarnation,
        sequence: Sequence,
        landed: bool,
    ) {
        if router == self.me {
            self.appender.answered(now, sequence, landed);
        }
    }

    /// Asks peers for the ledger when the log gives none, as in an outage.
    pub(crate) fn catch_up(&mut self, now: Instant) {
        if self.phase == Phase::CatchingUp && now >= self.started_at + FETCH {
            self.fetch_ledger(now);
        }
        self.open_in_turn(now);
    }

    /// Asks peers for the ledger, now and then.
    pub(crate) fn fetch_ledger(&mut self, now: Instant) {
        if self.ledger_fetched_at.is_some_and(|at| now < at + FETCH) {
            return;
        }
        self.ledger_fetched_at = Some(now);
        let peers = self.members.vm_index.peers().to_vec();
        self.effects.push(Effect::Fetch(peers));
    }

    /// Begins to take part, once all that the log held at the start is folded.
    pub(crate) fn caught_up(&mut self, now: Instant) {
        if self.phase != Phase::CatchingUp {
            return;
        }
        self.members.reset_silence(now);
        self.caught_up_at = Some(now);
        self.open_in_turn(now);
    }

    /// Opens, once the incarnation that ran on this VM before is closed.
    ///
    /// To open ends that one. Where it died in a log outage its last bills are known to its peers alone, and came they
    /// later than that, they would be void, and answers that callers have whole would stay unbilled. The peers bring
    /// them and close it as soon as they hear this router.
    pub(crate) fn open_in_turn(&mut self, now: Instant) {
        let Some(caught) = self.caught_up_at else {
            return;
        };
        let mut routers = self.ledger.routers();
        let earlier = routers.any(|(_, state)| !state.closed && state.vm == self.tuning.vm);
        drop(routers);
        let waits = earlier && !self.closers().is_empty() && now < caught + EARLIER;
        if !waits {
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

    fn opened(&mut self, now: Instant, verdict: &Verdict) {
        if *verdict != Verdict::Accepted {
            self.reincarnate(now);
        } else if self.phase == Phase::Opening {
            self.phase = Phase::Serving;
            info!(event = "serving", vm = %self.tuning.vm, incarnation = %self.me);
        }
        self.fund_all(now);
    }

    /// Begins a new life: this router's incarnation is closed, by another that took it for dead.
    ///
    /// What it held went back to the teams, and what it appends from now on is void. Streams in progress can't be
    /// billed any more, so they are cut; a caller that saw a whole answer would have had it for nothing. Requests that
    /// were not dispatched go on under the new incarnation.
    pub(crate) fn reincarnate(&mut self, now: Instant) {
        let old = self.me;
        self.me = Incarnation(self.rng.next_u64());
        warn!(event = "closed", %old, new = %self.me);
        let fresh = Appender::new(self.me, self.tuning.pace);
        let abandoned = std::mem::replace(&mut self.appender, fresh);
        self.ledger_budgets.clear();
        self.forget_kept();
        let draining = matches!(self.phase, Phase::Draining { .. });
        if draining {
            let cut = !self.requests.is_empty();
            self.effects.push(Effect::Exit { cut });
        } else {
            self.open();
        }
        for ticket in abandoned.abandon() {
            if let Ticket::TopUp(id, record) = ticket {
                // It counts once by its name, so it may be sent again.
                self.appender
                    .push(record.clone(), Ticket::TopUp(id, record));
            }
        }
        let ids: Vec<_> = self.requests.keys().copied().collect();
        for id in ids {
            self.start_over(now, id);
        }
    }

    /// Takes over a state that a checkpoint or a peer holds, if it is ahead.
    pub(crate) fn adopt_ledger(&mut self, now: Instant, ledger: Ledger) {
        if ledger.next() <= self.ledger.next() {
            return;
        }
        info!(event = "ledger-adopted", next = %ledger.next());
        self.ledger = ledger;
        self.members.reset_silence(now);
        if self.phase != Phase::CatchingUp {
            // The verdicts of what was folded in between are not to be had: whatever waits for one can't be told
            // what became of it. A new incarnation makes all of that void or settled.
            self.reincarnate(now);
        }
    }

    /// Brings a request through the end of the incarnation that claimed it.
    fn start_over(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.reservation = Reservation::None;
        match request.state {
            State::Contended => {}
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
                self.lose(now, id);
            }
            State::Proving { .. } => self.abandon_proof(now, id),
            State::Abandoned => self.finish(now, id),
        }
    }
}

/// Tells whether a batch was a copy of one that was folded before.
fn repeated(verdicts: &[Verdict]) -> bool {
    verdicts.first() == Some(&Verdict::Void(Void::Sequence))
}
