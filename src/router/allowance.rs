//! One team's budget, as far as this router spends it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::decide;
use crate::decide::BorrowerDemand;
use crate::decide::Demand;
use crate::decide::PriorityDemand;
use crate::ids::RequestId;
use crate::router::event::AdminId;
use crate::router::event::LoanAsk;
use crate::router::loans::Loans;
use crate::tokens::Tokens;

/// The time over which a team's demand is averaged: as long as the bursts that one team makes.
const WINDOW: Duration = Duration::from_secs(5);

/// The part of a reservation that is thought to be used before any request is over: prompts are mostly longer than
/// answers, and answers mostly shorter than allowed.
const FIRST_PART: f64 = 0.8;

/// The weight of the newest request in averages: some thirty requests, a second or two of a busy team.
const PART_WEIGHT: f64 = 0.03;

/// What part of a mean request is not worth a write. Steps of a few tokens go back and forth for ever, since a part of
/// them can't be given back.
const TRIFLE: f64 = 0.05;

/// What part of a mean request is worth a write though nobody waits.
const WORTH_WRITING: f64 = 0.25;

/// A large request counts for so many in these averages at most.
const LARGE: f64 = 4.0;

/// Who waits for budget.
#[derive(Clone, Debug)]
pub(crate) enum Waiter {
    /// A request of this router's.
    Request(RequestId),
    /// Another router, for which this one keeps the budget, and all its questions under one number.
    Loan(Vec<AdminId>, LoanAsk),
}

/// Something that waits for budget.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) who: Waiter,
    pub(crate) amount: Tokens,
    /// How urgent it is, 0 being first.
    pub(crate) priority: u8,
    pub(crate) since: Instant,
}

/// One team's budget, as far as this router spends it.
#[derive(Debug)]
pub(crate) struct Allowance {
    /// All that the team may ever use.
    pub(crate) prepaid: Tokens,
    /// Promised to requests in progress.
    pub(crate) reserved: Tokens,
    /// Used by requests that are over.
    pub(crate) spent: Tokens,
    pub(crate) waiting: VecDeque<Waiting>,
    /// What it is asked for, by priority, by callers here and at routers that borrow.
    pub(crate) ration: PriorityDemand,
    /// What it is asked for by callers here.
    own: Demand,
    /// What is promised and lent of it, whoever asked.
    flow: Demand,
    /// All that callers here have asked for so far.
    pub(crate) asked: Tokens,
    borrowers: BorrowerDemand,
    /// The part of reservations that is used, and the mean reservation, of late.
    pub(crate) part: f64,
    pub(crate) size: f64,
    /// When it was first used.
    pub(crate) first: Option<Instant>,
    pub(crate) loans: Loans,
}

impl Allowance {
    /// Makes one of which nothing is prepaid yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            prepaid: Tokens::ZERO,
            reserved: Tokens::ZERO,
            spent: Tokens::ZERO,
            waiting: VecDeque::new(),
            ration: PriorityDemand::new(WINDOW),
            own: Demand::new(now, WINDOW),
            flow: Demand::new(now, WINDOW),
            asked: Tokens::ZERO,
            borrowers: BorrowerDemand::default(),
            part: FIRST_PART,
            size: 1.0,
            first: None,
            loans: Loans::default(),
        }
    }

    /// Returns how fast the budget is asked for here, by callers and by routers that borrow, in tokens a second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.seen_whole(now, self.ration.rate(now))
    }

    /// Returns a rate as it would be had its average seen all of its window.
    ///
    /// An average that began with nothing a second ago has seen a fifth of the rate; without the correction, a cut in the
    /// first seconds would find grants that are far too small.
    fn seen_whole(&self, now: Instant, rate: f64) -> f64 {
        let first = self.first.unwrap_or(now);
        rate / decide::observed_fraction(now, first, WINDOW)
    }

    /// Returns how fast it goes to those that ask for it, in tokens a second. Of a budget that runs low that is less than they
    /// ask for: those that are refused come back and ask again.
    pub(crate) fn flow_rate(&self, now: Instant) -> f64 {
        self.seen_whole(now, self.flow.rate(now))
    }

    /// Counts what a request or a borrower was given.
    pub(crate) fn gave(&mut self, now: Instant, amount: Tokens) {
        let used = amount.0 as f64 * self.part;
        self.flow.add(now, Tokens(used as u64));
    }

    /// Returns how fast callers here ask for it, in tokens a second.
    pub(crate) fn own_rate(&self, now: Instant) -> f64 {
        self.seen_whole(now, self.own.rate(now))
    }

    /// Counts a request among the demand, as what requests of its size used of late. Counted when it ends, a stream of
    /// seconds would be missing in the first seconds of a demand.
    pub(crate) fn expect(&mut self, now: Instant, priority: u8, amount: Tokens) {
        self.first.get_or_insert(now);
        let used = Tokens((amount.0 as f64 * self.part) as u64);
        self.ration.record(now, priority, used);
        self.own.add(now, used);
        self.asked = self.asked.saturating_add(used);
    }

    /// Counts what a borrower's callers asked for since its last question, of which each of so many owners is asked a part.
    pub(crate) fn expect_loan(&mut self, now: Instant, ask: &LoanAsk, owners: u64) {
        self.first.get_or_insert(now);
        let new = self.borrowers.record(ask.borrower, ask.asked, ask.amount);
        let part = Tokens(new.0 / owners.max(1));
        self.ration.record(now, ask.priority, part);
    }

    /// Adds a question to one under the same number that waits; returns whether there is one.
    pub(crate) fn join_waiting(&mut self, id: AdminId, ask: &LoanAsk) -> bool {
        for waiting in &mut self.waiting {
            if let Waiter::Loan(ids, first) = &mut waiting.who
                && (first.borrower, first.number) == (ask.borrower, ask.number)
            {
                ids.push(id);
                return true;
            }
        }
        false
    }

    /// Learns what part of its reservation a request used.
    pub(crate) fn learn(&mut self, reserved: Tokens, used: Tokens) {
        if reserved > Tokens::ZERO {
            let weight = PART_WEIGHT * (reserved.0 as f64 / self.size).min(LARGE);
            self.part += (used.0 as f64 / reserved.0 as f64 - self.part) * weight;
            self.size += (reserved.0 as f64 - self.size) * PART_WEIGHT;
        }
    }

    /// Returns whether an amount is not worth a write: nobody waits for it here, and it helps no request elsewhere.
    pub(crate) fn is_trifle(&self, amount: Tokens) -> bool {
        self.waiting.is_empty() && (amount.0 as f64) < self.size * TRIFLE
    }

    /// Returns whether an amount would be missed, were it lost.
    pub(crate) fn is_worth_writing(&self, amount: Tokens) -> bool {
        amount.0 as f64 >= self.size * WORTH_WRITING
    }

    /// Returns what was spent here, and lent to others, which spend it without a word to the log.
    fn taken(&self) -> Tokens {
        self.spent.saturating_add(self.loans.lent())
    }

    /// Returns how much of the grant is gone: taken, less what was borrowed.
    pub(crate) fn gone(&self) -> Tokens {
        self.taken().saturating_sub(self.loans.borrowed())
    }

    /// Returns how much of the grant is in use: taken or reserved, less what was borrowed.
    pub(crate) fn in_use(&self) -> Tokens {
        let held = self.reserved.saturating_add(self.taken());
        held.saturating_sub(self.loans.borrowed())
    }

    /// Returns what is left of a part of the grant, with what was borrowed.
    pub(crate) fn free_of(&self, granted: Tokens) -> Tokens {
        let mine = granted.saturating_add(self.loans.borrowed());
        mine.saturating_sub(self.reserved.saturating_add(self.taken()))
    }

    /// Returns how urgent the most urgent one is that waits, 0 being first.
    pub(crate) fn most_urgent(&self) -> u8 {
        let waiting = self.waiting.iter().map(|waiting| waiting.priority);
        waiting.min().unwrap_or(u8::MAX)
    }

    /// Returns what the requests of callers here that wait may cost together.
    pub(crate) fn own_wanted(&self) -> Tokens {
        let own = |waiting: &&Waiting| matches!(waiting.who, Waiter::Request(_));
        let own = self.waiting.iter().filter(own);
        own.map(|waiting| waiting.amount).sum()
    }

    /// Returns what all that wait may cost together.
    pub(crate) fn wanted(&self) -> Tokens {
        self.waiting.iter().map(|waiting| waiting.amount).sum()
    }
}
