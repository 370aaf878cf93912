//! Loans of budget between routers.
//!
//! Answers a cut of all routers from the log, in which they still reach each other: a team's callers keep to one router,
//! whose grant runs out while the others' lie idle. A loan moves tokens from one grant to another router without the log.
//! Lender and borrower count it once by its number: an answer that is lost is asked for again under the same number, and
//! what the borrower never hears of is lost to both, never spent twice.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tracing::info;

use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::Gift;
use crate::router::event::LoanAsk;
use crate::tokens::Tokens;

/// How long a router that brought nothing is not asked again: its next heartbeat tells what it has by then.
const LENDER_BACKOFF: Duration = Duration::from_millis(600);

/// A lender that gives less than this part of what was asked for is left alone for a while; one that gives more, though not
/// all, may be asked for the rest.
const MIN_LOAN_DIVISOR: u64 = 8;

/// How many answers a lender remembers. A question is repeated within [`RETRY_WINDOW`]; at fifty questions a second that is
/// enough.
const HISTORY_CAPACITY: usize = 1024;

/// How long after a question that brought no answer it is asked again: its lender is busy, or was cut off.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long after the first time it is given up: as long as routers were seen parted, and a while more.
const RETRY_WINDOW: Duration = Duration::from_secs(15);

/// Another router, and what it last said of one team's budget.
#[derive(Clone, Debug)]
pub(crate) struct PeerBudget {
    /// How to reach it.
    pub(crate) peer: Peer,
    /// What lies idle there.
    pub(crate) free: Tokens,
    /// How fast the budget is asked for there, in tokens a second.
    pub(crate) demand: u64,
}

/// What a router asks others for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanNeed {
    /// How much would help.
    pub(crate) amount: Tokens,
    /// All that this router's own callers have asked for so far.
    pub(crate) total_requested: Tokens,
    /// How urgent the most urgent request is that needs it, 0 being first.
    pub(crate) priority: u8,
}

/// A question on its way.
#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    peer: Peer,
    sent_at: Instant,
}

/// A question that brought no answer. It may have been answered, and what was lent then is lost to both.
#[derive(Clone, Debug)]
struct UnansweredRequest {
    ask: LoanAsk,
    peer: Peer,
    first_failure: Instant,
    last_attempt: Instant,
}

/// One team's loans to and from this router.
#[derive(Debug, Default)]
pub(crate) struct Loans {
    lent: Tokens,
    borrowed: Tokens,
    /// What was answered to each question.
    answers: IndexMap<(Incarnation, u64), Tokens>,
    /// The gifts that were taken in, by their givers and numbers.
    received: IndexMap<(Incarnation, u64), Tokens>,
    /// Gifts on their way.
    unconfirmed: u32,
    /// The question on its way, and whom it goes to.
    pending: Option<PendingRequest>,
    /// How long the last one took that was answered.
    round_trip: Duration,
    /// The questions that brought no answer.
    unanswered: Vec<UnansweredRequest>,
    /// The number of the last question.
    number: u64,
    /// Who brought nothing, and until when nobody asks there.
    backoff_until: IndexMap<String, Instant>,
    /// When nobody was left to ask.
    no_lender_at: Option<Instant>,
}

impl Loans {
    /// Returns all that was lent.
    pub(crate) fn lent(&self) -> Tokens {
        self.lent
    }

    /// Returns all that was borrowed.
    pub(crate) fn borrowed(&self) -> Tokens {
        self.borrowed
    }

    /// Returns whether a loan is on its way, or somebody is left to ask.
    pub(crate) fn can_borrow(&self, now: Instant) -> bool {
        self.pending.is_some()
            || self
                .no_lender_at
                .is_none_or(|at| now >= at + LENDER_BACKOFF)
    }

    /// Asks the router that has most, if none is asked already.
    pub(crate) fn request_from_peer(
        &mut self,
        now: Instant,
        me: Incarnation,
        team: &TeamId,
        need: LoanNeed,
        lenders: &[PeerBudget],
    ) -> Option<Effect> {
        if self.pending.is_some() {
            return None;
        }
        let candidates = lenders
            .iter()
            .filter(|lender| self.is_eligible(now, &lender.peer))
            .filter(|lender| lender.free > Tokens::ZERO);
        let Some(lender) = candidates.max_by_key(|lender| lender.free) else {
            self.no_lender_at = Some(now);
            return None;
        };
        let peer = lender.peer.clone();
        Some(self.send_request(now, me, team, need, peer))
    }

    /// Asks one of those that keep the budget, in turn, if none is asked already and some may have it.
    pub(crate) fn request_from_owner(
        &mut self,
        now: Instant,
        me: Incarnation,
        team: &TeamId,
        need: LoanNeed,
        owners: &[Peer],
    ) -> Option<Effect> {
        if self.pending.is_some() {
            return None;
        }
        let peer = self.next_owner(now, owners)?.clone();
        Some(self.send_request(now, me, team, need, peer))
    }

    /// Returns whether a question to one of those that keep the budget is on its way, or can be asked.
    pub(crate) fn can_request_from_owner(&self, now: Instant, owners: &[Peer]) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| owners.contains(&pending.peer))
            || owners.iter().any(|peer| self.is_eligible(now, peer))
    }

    /// Returns how long a question took that was answered of late.
    pub(crate) fn round_trip(&self) -> Duration {
        self.round_trip
    }

    fn send_request(
        &mut self,
        now: Instant,
        me: Incarnation,
        team: &TeamId,
        need: LoanNeed,
        peer: Peer,
    ) -> Effect {
        self.no_lender_at = None;
        self.number += 1;
        self.pending = Some(PendingRequest {
            number: self.number,
            peer: peer.clone(),
            sent_at: now,
        });
        let ask = LoanAsk {
            borrower: me,
            number: self.number,
            team: team.clone(),
            amount: need.amount,
            asked: need.total_requested,
            priority: need.priority,
        };
        Effect::Borrow(ask, peer)
    }

    /// Returns the answer that a question got before.
    pub(crate) fn previous_answer(&self, ask: &LoanAsk) -> Option<Tokens> {
        self.answers.get(&(ask.borrower, ask.number)).copied()
    }

    /// Takes in the answer to the question on its way, and returns who was asked; none came where there is no amount.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        ask: &LoanAsk,
        amount: Option<Tokens>,
    ) -> Option<Peer> {
        let pending = self.pending.take_if(|pending| pending.number == ask.number);
        let Some(PendingRequest { peer, sent_at, .. }) = pending else {
            self.record_late_answer(ask, amount);
            return None;
        };
        if amount.is_some() {
            self.round_trip = now.saturating_duration_since(sent_at);
        } else {
            // Nothing more is asked for: a lender that the question never reached would lend what nobody needs any more.
            let ask = LoanAsk {
                amount: Tokens::ZERO,
                ..ask.clone()
            };
            self.unanswered.push(UnansweredRequest {
                ask,
                peer: peer.clone(),
                first_failure: now,
                last_attempt: now,
            });
        }
        let amount = amount.unwrap_or(Tokens::ZERO);
        self.borrowed += amount;
        self.backoff_until.retain(|_, until| now < *until);
        if amount.0 < ask.amount.0 / MIN_LOAN_DIVISOR {
            self.backoff_until
                .insert(peer.address.clone(), now + LENDER_BACKOFF);
        }
        Some(peer)
    }

    /// Takes in the answer to a question that was asked again; none came where there is no amount.
    fn record_late_answer(&mut self, ask: &LoanAsk, amount: Option<Tokens>) {
        let Some(amount) = amount else {
            return;
        };
        let is_same = |entry: &UnansweredRequest| entry.ask.number == ask.number;
        if let Some(index) = self.unanswered.iter().position(is_same) {
            self.unanswered.swap_remove(index);
            self.borrowed += amount;
        }
    }

    /// Asks once more, under its old number, what brought no answer, if its lender is thought to answer now. That one gives the
    /// answer that it gave before, and what was lent is not lost.
    pub(crate) fn retry<F>(&mut self, now: Instant, is_responsive: F) -> Option<Effect>
    where
        F: Fn(&Peer) -> bool,
    {
        self.unanswered
            .retain(|entry| now < entry.first_failure + RETRY_WINDOW);
        let mut entry = self.unanswered.iter_mut();
        let entry = entry.find(|entry| {
            now >= entry.last_attempt + RETRY_INTERVAL && is_responsive(&entry.peer)
        })?;
        entry.last_attempt = now;
        Some(Effect::Borrow(entry.ask.clone(), entry.peer.clone()))
    }

    /// Hands an amount over to the router that asks for the budget most. It counts as lent from here on, whether the other
    /// router hears of it or not.
    pub(crate) fn transfer(
        &mut self,
        me: Incarnation,
        team: &TeamId,
        amount: Tokens,
        recipients: &[PeerBudget],
    ) -> Option<Effect> {
        let recipient = recipients.iter().max_by_key(|budget| budget.demand)?;
        Some(self.transfer_to(me, team, amount, recipient.peer.clone()))
    }

    /// Hands an amount over to one of those that keep the budget, in turn, if one of them may be there.
    pub(crate) fn transfer_to_owner(
        &mut self,
        now: Instant,
        me: Incarnation,
        team: &TeamId,
        amount: Tokens,
        owners: &[Peer],
    ) -> Option<Effect> {
        let peer = self.next_owner(now, owners)?.clone();
        Some(self.transfer_to(me, team, amount, peer))
    }

    fn transfer_to(
        &mut self,
        me: Incarnation,
        team: &TeamId,
        amount: Tokens,
        peer: Peer,
    ) -> Effect {
        self.lent += amount;
        self.number += 1;
        self.unconfirmed += 1;
        let gift = Gift {
            giver: me,
            number: self.number,
            team: team.clone(),
            amount,
        };
        Effect::Give(gift, peer)
    }

    /// Returns the one of those that keep the budget whose turn it is, but for those that brought nothing of late.
    fn next_owner<'a>(&self, now: Instant, owners: &'a [Peer]) -> Option<&'a Peer> {
        let start = usize::try_from(self.number).unwrap_or(0) % owners.len().max(1);
        let mut candidates = owners.iter().cycle().skip(start).take(owners.len());
        candidates.find(|peer| self.is_eligible(now, peer))
    }

    fn is_eligible(&self, now: Instant, peer: &Peer) -> bool {
        self.backoff_until
            .get(&peer.address)
            .is_none_or(|until| now >= *until)
    }

    /// Returns whether gifts are on their way.
    pub(crate) fn has_unconfirmed(&self) -> bool {
        self.unconfirmed > 0
    }

    /// Notes that a gift arrived, or that nobody knows.
    pub(crate) fn finish_transfer(&mut self) {
        self.unconfirmed = self.unconfirmed.saturating_sub(1);
    }

    /// Takes a gift in, once.
    pub(crate) fn receive(&mut self, gift: &Gift) {
        let key = (gift.giver, gift.number);
        if self.received.insert(key, gift.amount).is_none() {
            self.borrowed += gift.amount;
        }
        if self.received.len() > HISTORY_CAPACITY {
            self.received.shift_remove_index(0);
        }
    }

    /// Answers a question out of what is to spare; one that was answered before gets the same answer.
    pub(crate) fn lend(&mut self, ask: &LoanAsk, spare: Tokens) -> Tokens {
        if let Some(answer) = self.previous_answer(ask) {
            return answer;
        }
        let key = (ask.borrower, ask.number);
        let amount = ask.amount.min(spare);
        info!(
            event = "lent", to = %ask.borrower, number = ask.number, team = %ask.team, asked = %ask.amount,
            lent = %amount, %spare,
        );
        self.lent += amount;
        self.answers.insert(key, amount);
        if self.answers.len() > HISTORY_CAPACITY {
            self.answers.shift_remove_index(0);
        }
        amount
    }
}
