//! One team's budget as far as this router spends it, where budgets are kept by grants.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::decide;
use crate::decide::BorrowerDemand;
use crate::decide::Demand;
use crate::decide::PriorityDemand;
use crate::ids::RequestId;
use crate::router::event::LoanRequest;
use crate::router::event::ReplyId;
use crate::router::loans::Loans;
use crate::tokens::Tokens;

/// The window over which a team's demand is averaged: as long as the bursts of one team.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// The part of a reservation that is assumed to be used before any request has ended: prompts are mostly longer than
/// answers, and answers mostly shorter than allowed.
const INITIAL_USED_RATIO: f64 = 0.8;

/// The weight of the newest request in the averages, which span some thirty requests: a second or two of a busy team.
const AVERAGE_WEIGHT: f64 = 0.03;

/// Amounts below this part of a mean request are not worth a write. Steps of a few tokens would alternate forever,
/// since a part of them cannot be returned.
const NEGLIGIBLE_RATIO: f64 = 0.05;

/// Amounts from this part of a mean request on are worth a write although nobody waits.
const WORTHWHILE_RATIO: f64 = 0.25;

/// How many mean requests one large request counts for in these averages, at most.
const MAX_SIZE_FACTOR: f64 = 4.0;

/// What a request reserved of a budget, as the budget counts it.
///
/// A budget may get or lose its limit while the request is in progress. The request gives this back when it ends, so
/// that exactly what was added is subtracted.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Reserved(Tokens);

impl Reserved {
    /// The reservation of a request that no budget counts.
    pub(crate) const NOTHING: Self = Self(Tokens::ZERO);

    /// Returns the amount.
    pub(crate) fn amount(&self) -> Tokens {
        self.0
    }
}

/// Who was given budget after a wait.
#[derive(Debug)]
pub(crate) enum Funded {
    /// A request at this router.
    Request(RequestId, Reserved),
    /// Another router, with all its loan requests under one number.
    Loan(Vec<ReplyId>, Tokens),
}

/// Who waits for budget.
#[derive(Clone, Debug)]
pub(crate) enum Waiter {
    /// A request at this router.
    Request(RequestId),
    /// Another router, for which this one keeps the budget, with all its loan requests under one number.
    Loan(Vec<ReplyId>, LoanRequest),
}

/// An entry in the queue for budget.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) who: Waiter,
    pub(crate) amount: Tokens,
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) since: Instant,
}

/// One team's budget as far as this router spends it.
#[derive(Debug)]
pub(crate) struct GrantBudget {
    /// The most that the team ever prepaid.
    prepaid: Tokens,
    /// Whether the team may use no more than it prepaid. What it uses is counted either way: a limit covers what was
    /// used before it came.
    limited: bool,
    /// Reserved for requests in progress.
    reserved: Tokens,
    /// Used by requests that have ended.
    pub(crate) spent: Tokens,
    pub(crate) waiting: VecDeque<Waiting>,
    /// The demand by priority, of callers here and at routers that borrow.
    pub(crate) ration: PriorityDemand,
    /// The demand of callers here.
    own_demand: Demand,
    /// What is reserved and lent, whoever asked.
    outflow: Demand,
    /// The total that callers here have asked for so far.
    pub(crate) asked: Tokens,
    borrowers: BorrowerDemand,
    /// The part of reservations that is used, and the mean reservation, as moving averages.
    pub(crate) used_ratio: f64,
    pub(crate) mean_reservation: f64,
    /// When it was first asked for.
    pub(crate) first_used: Option<Instant>,
    pub(crate) loans: Loans,
}

impl GrantBudget {
    /// Creates the budget of a team without a limit.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            prepaid: Tokens::ZERO,
            limited: false,
            reserved: Tokens::ZERO,
            spent: Tokens::ZERO,
            waiting: VecDeque::new(),
            ration: PriorityDemand::new(DEMAND_WINDOW),
            own_demand: Demand::new(now, DEMAND_WINDOW),
            outflow: Demand::new(now, DEMAND_WINDOW),
            asked: Tokens::ZERO,
            borrowers: BorrowerDemand::default(),
            used_ratio: INITIAL_USED_RATIO,
            mean_reservation: 1.0,
            first_used: None,
            loans: Loans::default(),
        }
    }

    /// Returns all that the team may ever use: the largest amount if it has no limit.
    pub(crate) fn prepaid(&self) -> Tokens {
        match self.limited {
            true => self.prepaid,
            false => Tokens(u64::MAX),
        }
    }

    /// Returns whether the team may use no more than it prepaid.
    pub(crate) fn is_limited(&self) -> bool {
        self.limited
    }

    /// Updates what the team prepaid, which never shrinks; `None` lifts its limit. Returns whether anything changed.
    pub(crate) fn set_prepaid(&mut self, prepaid: Option<Tokens>) -> bool {
        let old = self.prepaid();
        self.limited = prepaid.is_some();
        self.prepaid = self.prepaid.max(prepaid.unwrap_or_default());
        self.prepaid() != old
    }

    /// Returns what is reserved for requests in progress.
    pub(crate) fn reserved(&self) -> Tokens {
        self.reserved
    }

    /// Adds a reservation. Reservations of a team without a limit may be of any size; what overflows isn't counted.
    pub(crate) fn reserve(&mut self, amount: Tokens) -> Reserved {
        let sum = self.reserved.saturating_add(amount);
        let added = sum - self.reserved;
        self.reserved = sum;
        Reserved(added)
    }

    /// Ends a reservation, of which `used` was spent.
    pub(crate) fn settle(&mut self, reserved: Reserved, used: Tokens) {
        let Reserved(amount) = reserved;
        let used = used.min(amount);
        self.reserved -= amount;
        self.spent = self.spent.saturating_add(used);
        // Larger reservations were made without a limit, and may be of any size.
        if amount <= self.prepaid {
            self.update_averages(amount, used);
        }
    }

    /// Gives a waiting entry its budget if `available` covers it, or if it is a request and the team has no limit.
    pub(crate) fn fund(
        &mut self,
        now: Instant,
        waiting: &Waiting,
        available: Tokens,
    ) -> Option<Funded> {
        let covered = waiting.amount <= available;
        match &waiting.who {
            Waiter::Request(id) if covered || !self.limited => {
                self.record_given(now, waiting.amount);
                Some(Funded::Request(*id, self.reserve(waiting.amount)))
            }
            Waiter::Loan(ids, ask) if covered => {
                let amount = self.loans.lend(ask, waiting.amount);
                self.record_given(now, amount);
                Some(Funded::Loan(ids.clone(), amount))
            }
            Waiter::Request(_) | Waiter::Loan(..) => None,
        }
    }

    /// Returns how much more than a grant is in use: what was used before the team's limit came.
    pub(crate) fn overdraft(&self, granted: Tokens) -> Tokens {
        match self.limited {
            true => self.in_use().saturating_sub(granted),
            false => Tokens::ZERO,
        }
    }

    /// Returns the demand here, of callers and of routers that borrow, in tokens a second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.scale_to_window(now, self.ration.rate(now))
    }

    /// Scales a rate to what it would be if its average had covered the whole window.
    ///
    /// An average that began at nothing a second ago has seen a fifth of the rate. Without the correction, an outage of
    /// the log in the first seconds would find grants that are far too small.
    fn scale_to_window(&self, now: Instant, rate: f64) -> f64 {
        let first = self.first_used.unwrap_or(now);
        rate / decide::observed_fraction(now, first, DEMAND_WINDOW)
    }

    /// Returns how fast the budget is given to those that ask for it, in tokens a second. For a budget that runs low,
    /// that is less than they ask for: refused callers come back and ask again.
    pub(crate) fn outflow_rate(&self, now: Instant) -> f64 {
        self.scale_to_window(now, self.outflow.rate(now))
    }

    /// Counts what a request or a borrower was given.
    pub(crate) fn record_given(&mut self, now: Instant, amount: Tokens) {
        let used = amount.0 as f64 * self.used_ratio;
        self.outflow.add(now, Tokens(used as u64));
    }

    /// Returns the demand of callers here, in tokens a second.
    pub(crate) fn own_rate(&self, now: Instant) -> f64 {
        self.scale_to_window(now, self.own_demand.rate(now))
    }

    /// Counts a request in the demand, at what requests of its size used recently. If it were counted when it ends, a
    /// stream of several seconds would be missing in the first seconds of a demand.
    pub(crate) fn record_demand(&mut self, now: Instant, priority: u8, amount: Tokens) {
        self.first_used.get_or_insert(now);
        let used = Tokens((amount.0 as f64 * self.used_ratio) as u64);
        self.ration.record(now, priority, used);
        self.own_demand.add(now, used);
        self.asked = self.asked.saturating_add(used);
    }

    /// Counts what a borrower's callers asked for since its last loan request. The borrower asks several routers, and
    /// each of the `owners` counts an equal part of it.
    pub(crate) fn record_loan_demand(&mut self, now: Instant, request: &LoanRequest, owners: u64) {
        self.first_used.get_or_insert(now);
        let new = self
            .borrowers
            .record(request.borrower, request.asked, request.amount);
        let part = Tokens(new.0 / owners.max(1));
        self.ration.record(now, request.priority, part);
    }

    /// Adds a loan request to a waiting one of the same number; returns whether there is one.
    pub(crate) fn join_waiting(&mut self, id: ReplyId, request: &LoanRequest) -> bool {
        for waiting in &mut self.waiting {
            if let Waiter::Loan(ids, first) = &mut waiting.who
                && (first.borrower, first.number) == (request.borrower, request.number)
            {
                ids.push(id);
                return true;
            }
        }
        false
    }

    /// Updates the averages with what a request used of its reservation.
    fn update_averages(&mut self, reserved: Tokens, used: Tokens) {
        if reserved > Tokens::ZERO {
            let weight =
                AVERAGE_WEIGHT * (reserved.0 as f64 / self.mean_reservation).min(MAX_SIZE_FACTOR);
            self.used_ratio += (used.0 as f64 / reserved.0 as f64 - self.used_ratio) * weight;
            self.mean_reservation += (reserved.0 as f64 - self.mean_reservation) * AVERAGE_WEIGHT;
        }
    }

    /// Returns whether an amount is not worth a write: nobody waits for it here, and it is too small to help a request
    /// elsewhere.
    pub(crate) fn is_negligible(&self, amount: Tokens) -> bool {
        self.waiting.is_empty() && (amount.0 as f64) < self.mean_reservation * NEGLIGIBLE_RATIO
    }

    /// Returns whether the loss of an amount would matter, so that it is worth a write.
    pub(crate) fn is_worth_writing(&self, amount: Tokens) -> bool {
        amount.0 as f64 >= self.mean_reservation * WORTHWHILE_RATIO
    }

    /// Returns what was spent here or lent to others, which spend it without reporting to the log.
    fn spent_or_lent(&self) -> Tokens {
        self.spent.saturating_add(self.loans.lent())
    }

    /// Returns how much of the grant is spent or lent, less what was borrowed.
    pub(crate) fn net_spent(&self) -> Tokens {
        self.spent_or_lent().saturating_sub(self.loans.borrowed())
    }

    /// Returns how much of the grant is in use: spent, lent or reserved, less what was borrowed.
    pub(crate) fn in_use(&self) -> Tokens {
        let held = self.reserved.saturating_add(self.spent_or_lent());
        held.saturating_sub(self.loans.borrowed())
    }

    /// Returns what is left of a part of the grant, including what was borrowed.
    pub(crate) fn remaining(&self, granted: Tokens) -> Tokens {
        let mine = granted.saturating_add(self.loans.borrowed());
        mine.saturating_sub(self.reserved.saturating_add(self.spent_or_lent()))
    }

    /// Returns the priority of the most urgent waiting entry; 0 is the most urgent.
    pub(crate) fn most_urgent(&self) -> u8 {
        let waiting = self.waiting.iter().map(|waiting| waiting.priority);
        waiting.min().unwrap_or(u8::MAX)
    }

    /// Returns the most that the waiting requests of callers here may cost together.
    pub(crate) fn own_wanted(&self) -> Tokens {
        let own = |waiting: &&Waiting| matches!(waiting.who, Waiter::Request(_));
        saturating_sum(self.waiting.iter().filter(own))
    }

    /// Returns the most that all waiting entries may cost together.
    pub(crate) fn wanted(&self) -> Tokens {
        saturating_sum(self.waiting.iter())
    }
}

/// Returns what waiting entries may cost together, or the largest amount if the sum overflows. These amounts are wishes
/// of callers and of other routers, which nothing was granted for.
fn saturating_sum<'a, I>(waiting: I) -> Tokens
where
    I: Iterator<Item = &'a Waiting>,
{
    let amounts = waiting.map(|waiting| waiting.amount);
    amounts.fold(Tokens::ZERO, Tokens::saturating_add)
}
