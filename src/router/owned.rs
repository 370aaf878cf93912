//! Budgets that a few routers own for a large fleet: what the others borrow of them and give back, and what owners lend.

use std::time::Duration;
use std::time::Instant;

use crate::decide::TEAM_OWNERS;
use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::router::allowance::Allowance;
use crate::router::allowance::Waiter;
use crate::router::allowance::Waiting;
use crate::router::effect::Effect;
use crate::router::event::AdminId;
use crate::router::event::LoanAsk;
use crate::router::funds::Funds;
use crate::router::lending::KEPT;
use crate::router::loans::Wanted;
use crate::tokens::Tokens;

/// How often a router looks for what it may give back to those that keep budgets: seldom enough that a caller's next request
/// may find it, often enough that little lies idle at two hundred routers.
const GIVE_BACK: Duration = Duration::from_millis(500);

/// For how many times as long as the last question took, a team's demand is borrowed ahead, but for no longer than it is kept.
const AHEAD: u32 = 2;

/// The priority of a loan that no request waits for.
const LEAST_URGENT: u8 = 9;

impl Allowance {
    /// Returns what callers here ask for while a loan is on its way, where it takes so long that several of them come.
    fn loan_demand(&self, now: Instant) -> Tokens {
        let time = (self.loans.took() * AHEAD).min(KEPT / 2);
        let demand = self.own_rate(now) * time.as_secs_f64();
        match demand > self.size {
            true => Tokens(demand as u64),
            false => Tokens::ZERO,
        }
    }
}

impl Funds {
    /// Asks those that keep a team's budget for what its requests need.
    pub(super) fn borrow_owned(
        &mut self,
        now: Instant,
        me: Incarnation,
        team: &TeamId,
    ) -> Option<Effect> {
        let missing = self.missing(now, team);
        if missing == Tokens::ZERO {
            return None;
        }
        let left = self.left(team);
        let allowance = &mut self.allowances[team];
        // Where answers take long, each further request would wait as long for the next one.
        let ahead = (allowance.loans.took() * AHEAD).min(KEPT);
        let ahead = allowance.own_rate(now) * ahead.as_secs_f64();
        let wanted = Wanted {
            amount: missing.saturating_add(Tokens(ahead as u64)).min(left),
            asked: allowance.asked,
            priority: allowance.most_urgent(),
        };
        let owners = self.ownership.answering(now, team);
        allowance.loans.ask_owner(now, me, team, wanted, &owners)
    }

    /// Takes note of a team of which so little is left here that it would run out before a loan comes.
    pub(super) fn note_low(&mut self, now: Instant, team: &TeamId, rest: Tokens) {
        let borrows = !self.ownership.owners(team).is_empty();
        let allowance = &self.allowances[team];
        if borrows && rest < allowance.loan_demand(now) && allowance.waiting.is_empty() {
            self.low.insert(team.clone());
        }
    }

    /// Asks those that keep budgets for what runs low here, before a request has to wait for it.
    pub(super) fn borrow_ahead(&mut self, now: Instant, me: Incarnation) -> Vec<Effect> {
        let mut effects = Vec::new();
        for team in std::mem::take(&mut self.low) {
            let left = self.left(&team);
            let rest = self.available(now, &team);
            let owners = self.ownership.answering(now, &team);
            let allowance = &mut self.allowances[&team];
            let demand = allowance.loan_demand(now);
            let aim = demand.saturating_add(demand);
            let amount = aim.saturating_sub(rest).min(left);
            if amount == Tokens::ZERO || !allowance.waiting.is_empty() {
                continue;
            }
            let wanted = Wanted {
                amount,
                asked: allowance.asked,
                priority: LEAST_URGENT,
            };
            effects.extend(allowance.loans.ask_owner(now, me, &team, wanted, &owners));
        }
        effects
    }

    /// Gives back to those that keep a budget what requests here left over of what was borrowed for them.
    ///
    /// Two hundred routers that each held on to the rest of one request would hold seconds of a team's demand.
    pub(crate) fn give_back(&mut self, now: Instant, me: Incarnation) -> Vec<Effect> {
        if self.gave_back.is_some_and(|at| now < at + GIVE_BACK) {
            return Vec::new();
        }
        self.gave_back = Some(now);
        let teams: Vec<_> = self.allowances.keys().cloned().collect();
        let mut effects = Vec::new();
        for team in teams {
            let allowance = &self.allowances[&team];
            let borrowed = allowance.loans.borrowed() > allowance.loans.lent();
            if !borrowed || !allowance.waiting.is_empty() {
                continue;
            }
            let kept = Tokens((allowance.own_rate(now) * KEPT.as_secs_f64()) as u64);
            let idle = self.available(now, &team);
            let owners = self.ownership.answering(now, &team);
            let allowance = &mut self.allowances[&team];
            if idle > kept {
                effects.extend(allowance.loans.give_owner(now, me, &team, idle, &owners));
            }
        }
        effects
    }

    /// Returns whether others keep a team's budget for this router, and one of them may have some of it.
    pub(super) fn is_owned_elsewhere(&self, now: Instant, team: &TeamId) -> bool {
        let owners = self.ownership.answering(now, team);
        let allowance = self.allowances.get(team);
        allowance.is_some_and(|allowance| allowance.loans.may_ask_owner(now, &owners))
    }

    /// Lends out of a budget that this router keeps for others: their requests are served like its own.
    pub(super) fn lend_owned(
        &mut self,
        now: Instant,
        id: AdminId,
        ask: &LoanAsk,
    ) -> Option<Tokens> {
        let open = self.open_to(now, &ask.team, ask.priority);
        let rest = self.remainder(now, &ask.team);
        let away = self.failures > 0;
        let Some(allowance) = self.allowances.get_mut(&ask.team) else {
            return Some(Tokens::ZERO);
        };
        if let Some(answer) = allowance.loans.answered(ask) {
            return Some(answer);
        }
        allowance.expect_loan(now, ask, TEAM_OWNERS as u64);
        if allowance.join_waiting(id, ask) {
            return None;
        }
        if !allowance
            .ration
            .admits(now, &rest, ask.priority, ask.amount)
        {
            return Some(Tokens::ZERO);
        }
        let first = allowance.waiting.is_empty();
        if away || first && open >= ask.amount {
            return Some(self.lend_open(now, ask));
        }
        allowance.waiting.push_back(Waiting {
            who: Waiter::Loan(vec![id], ask.clone()),
            amount: ask.amount,
            priority: ask.priority,
            since: now,
        });
        None
    }

    /// Lends as much of what is asked for as is open now; the rest may lie at another owner.
    pub(crate) fn lend_open(&mut self, now: Instant, ask: &LoanAsk) -> Tokens {
        let open = self.open_to(now, &ask.team, ask.priority);
        let Some(allowance) = self.allowances.get_mut(&ask.team) else {
            return Tokens::ZERO;
        };
        if let Some(answer) = allowance.loans.answered(ask) {
            return answer;
        }
        let lent = allowance.loans.lend(ask, open);
        allowance.gave(now, lent);
        lent
    }
}
