//! Loans of budget between routers.
//!
//! They cover an outage of the log that cuts off all routers while these still reach each other: a team's callers stay
//! with one router, whose grant runs out while the grants of the others are idle. A loan moves tokens from one router's
//! grant to another router without the log. Lender and borrower count each loan once, by its number. A lost answer is
//! requested again under the same number. An amount that was lent and whose answer never reaches the borrower is lost
//! to both; it is never spent twice.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tracing::info;

use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::BudgetTransfer;
use crate::router::event::LoanRequest;
use crate::tokens::Tokens;

/// How long a router is not asked again after it lent too little or did not answer. Its next heartbeat reports what it
/// has by then.
const LENDER_BACKOFF: Duration = Duration::from_millis(600);

/// A loan smaller than the requested amount divided by this makes the borrower back off from the lender. A lender that
/// grants more, though not everything, may be asked for the remainder at once.
const MIN_LOAN_DIVISOR: u64 = 8;

/// How many loan answers, and how many received transfers, a router remembers per team. A request is repeated only
/// within [`RETRY_WINDOW`]; at fifty requests a second this capacity covers it.
const HISTORY_CAPACITY: usize = 1024;

/// How long an unanswered request waits before it is sent again: its lender is overloaded or was disconnected.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long an unanswered request is retried: as long as routers were observed disconnected from each other, plus a
/// margin.
const RETRY_WINDOW: Duration = Duration::from_secs(15);

/// One team's budget at another router, as last reported by it.
#[derive(Clone, Debug)]
pub(crate) struct PeerBudget {
    /// The router that holds it.
    pub(crate) peer: Peer,
    /// Budget that is idle there.
    pub(crate) free: Tokens,
    /// Demand for the budget there, in tokens per second.
    pub(crate) demand: u64,
}

/// What a router wants to borrow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanNeed {
    /// The amount to borrow.
    pub(crate) amount: Tokens,
    /// Total demand of this router's own callers so far.
    pub(crate) total_demand: Tokens,
    /// Priority of the most urgent request that needs the loan; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// A loan request that has been sent and not answered yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    peer: Peer,
    sent_at: Instant,
}

/// A loan request that failed without an answer. The lender may have granted it; until a retry brings its answer,
/// neither side can spend that amount.
#[derive(Clone, Debug)]
struct UnansweredRequest {
    request: LoanRequest,
    peer: Peer,
    first_failure: Instant,
    last_attempt: Instant,
}

/// One team's loans to and from this router.
#[derive(Debug, Default)]
pub(crate) struct Loans {
    lent: Tokens,
    borrowed: Tokens,
    /// Answer given to each loan request, by borrower and request number.
    answers: IndexMap<(Incarnation, u64), Tokens>,
    /// Transfers received, by sender and transfer number.
    received_transfers: IndexMap<(Incarnation, u64), Tokens>,
    /// Number of outgoing transfers whose outcome has not been reported yet.
    unconfirmed_transfers: u32,
    /// The loan request in flight.
    pending: Option<PendingRequest>,
    /// Round-trip time of the last answered request.
    round_trip: Duration,
    /// Requests that failed without an answer.
    unanswered: Vec<UnansweredRequest>,
    /// Number of the last loan request or transfer.
    number: u64,
    /// Addresses of routers that lent too little or did not answer, and the time until which they are not asked again.
    backoff_until: IndexMap<String, Instant>,
    /// When no router was left to borrow from.
    no_lender_at: Option<Instant>,
}

impl Loans {
    /// Returns the total lent to other routers.
    pub(crate) fn lent(&self) -> Tokens {
        self.lent
    }

    /// Returns the total borrowed from other routers.
    pub(crate) fn borrowed(&self) -> Tokens {
        self.borrowed
    }

    /// Returns whether a loan request is in flight or another router may be asked.
    pub(crate) fn can_borrow(&self, now: Instant) -> bool {
        self.pending.is_some()
            || self
                .no_lender_at
                .is_none_or(|at| now >= at + LENDER_BACKOFF)
    }

    /// Requests a loan from the router with the most idle budget, unless a request is in flight.
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

    /// Requests a loan from the team's owners in turn, unless a request is in flight or all of them are in backoff.
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

    /// Returns whether a request to one of the owners is in flight or can be sent.
    pub(crate) fn can_request_from_owner(&self, now: Instant, owners: &[Peer]) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| owners.contains(&pending.peer))
            || owners.iter().any(|peer| self.is_eligible(now, peer))
    }

    /// Returns the round-trip time of the last answered request.
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
        let request = LoanRequest {
            borrower: me,
            number: self.number,
            team: team.clone(),
            amount: need.amount,
            asked: need.total_demand,
            priority: need.priority,
        };
        Effect::RequestLoan(request, peer)
    }

    /// Returns the answer that was already given to a request.
    pub(crate) fn previous_answer(&self, request: &LoanRequest) -> Option<Tokens> {
        self.answers
            .get(&(request.borrower, request.number))
            .copied()
    }

    /// Records the answer to the request in flight and returns the router that was asked. An `amount` of `None` means
    /// that no answer came.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        request: &LoanRequest,
        amount: Option<Tokens>,
    ) -> Option<Peer> {
        let pending = self
            .pending
            .take_if(|pending| pending.number == request.number);
        let Some(PendingRequest { peer, sent_at, .. }) = pending else {
            self.record_late_answer(request, amount);
            return None;
        };
        if amount.is_some() {
            self.round_trip = now.saturating_duration_since(sent_at);
        } else {
            // Retries ask for no tokens: a lender that never received the request would lend an amount that is no
            // longer needed.
            let request = LoanRequest {
                amount: Tokens::ZERO,
                ..request.clone()
            };
            self.unanswered.push(UnansweredRequest {
                request,
                peer: peer.clone(),
                first_failure: now,
                last_attempt: now,
            });
        }
        let amount = amount.unwrap_or(Tokens::ZERO);
        self.borrowed = self.borrowed.saturating_add(amount);
        self.backoff_until.retain(|_, until| now < *until);
        if amount.0 < request.amount.0 / MIN_LOAN_DIVISOR {
            self.backoff_until
                .insert(peer.address.clone(), now + LENDER_BACKOFF);
        }
        Some(peer)
    }

    /// Records the answer to a retried request. An `amount` of `None` means that no answer came.
    fn record_late_answer(&mut self, request: &LoanRequest, amount: Option<Tokens>) {
        let Some(amount) = amount else {
            return;
        };
        let is_same = |entry: &UnansweredRequest| entry.request.number == request.number;
        if let Some(index) = self.unanswered.iter().position(is_same) {
            self.unanswered.swap_remove(index);
            self.borrowed = self.borrowed.saturating_add(amount);
        }
    }

    /// Sends one unanswered request again under its old number, if its lender is believed to be responsive. The lender
    /// repeats its first answer, so that an amount already lent is not lost.
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
        Some(Effect::RequestLoan(
            entry.request.clone(),
            entry.peer.clone(),
        ))
    }

    /// Transfers an amount to the router with the highest demand for the budget. It counts as lent from now on, whether
    /// or not the other router receives the transfer.
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

    /// Transfers an amount to the team's owners in turn, if one of them may be reached.
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
        self.unconfirmed_transfers += 1;
        let transfer = BudgetTransfer {
            giver: me,
            number: self.number,
            team: team.clone(),
            amount,
        };
        Effect::TransferBudget(transfer, peer)
    }

    /// Returns the next owner in turn, skipping those in backoff.
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

    /// Returns whether the outcome of an outgoing transfer is still open.
    pub(crate) fn has_unconfirmed_transfers(&self) -> bool {
        self.unconfirmed_transfers > 0
    }

    /// Notes that a transfer was confirmed, or that its outcome is unknown.
    pub(crate) fn finish_transfer(&mut self) {
        self.unconfirmed_transfers = self.unconfirmed_transfers.saturating_sub(1);
    }

    /// Adds a received transfer to the budget. A repeated transfer counts once.
    pub(crate) fn receive(&mut self, transfer: &BudgetTransfer) {
        let key = (transfer.giver, transfer.number);
        if self
            .received_transfers
            .insert(key, transfer.amount)
            .is_none()
        {
            self.borrowed = self.borrowed.saturating_add(transfer.amount);
        }
        if self.received_transfers.len() > HISTORY_CAPACITY {
            self.received_transfers.shift_remove_index(0);
        }
    }

    /// Answers a loan request from the spare budget. A repeated request gets the same answer as before.
    pub(crate) fn lend(&mut self, request: &LoanRequest, spare: Tokens) -> Tokens {
        if let Some(answer) = self.previous_answer(request) {
            return answer;
        }
        let key = (request.borrower, request.number);
        let amount = request.amount.min(spare);
        info!(
            event = "lent", to = %request.borrower, number = request.number, team = %request.team,
            asked = %request.amount, lent = %amount, %spare,
        );
        self.lent += amount;
        self.answers.insert(key, amount);
        if self.answers.len() > HISTORY_CAPACITY {
            self.answers.shift_remove_index(0);
        }
        amount
    }
}
