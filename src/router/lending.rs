//! Budget that moves between routers where the log can't be asked: loans, and what a router hands over that stops.

use std::time::Duration;
use std::time::Instant;

use tracing::info;

use crate::ids::Incarnation;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::AdminId;
use crate::router::event::Gift;
use crate::router::event::LoanAsk;
use crate::router::event::PurseWord;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::loans::Wanted;
use crate::router::review::Stay;
use crate::tokens::Tokens;

/// How long the log goes before other routers, where what a request needs is undrawn.
const LOG_FIRST: Duration = Duration::from_millis(60);

/// How much demand is borrowed ahead, so that not each request asks anew: a question costs a millisecond, and what is
/// borrowed can't be given back.
const AHEAD: Duration = Duration::from_secs(2);

/// How much of its own demand a lender keeps.
pub(super) const KEPT: Duration = Duration::from_secs(1);

impl GrantBudgets {
    /// Asks other routers for what can't be had from the log now.
    pub(crate) fn borrow(&mut self, now: Instant, me: Incarnation) -> Vec<Effect> {
        let mut effects = self.borrow_ahead(now, me);
        for team in self.waiting_teams() {
            let hopeful =
                self.failures == 0 && self.max_reservable(&team) > self.available(now, &team);
            if self.is_owned_elsewhere(now, &team) {
                effects.extend(self.borrow_owned(now, me, &team));
                continue;
            }
            let left = self.max_left(&team);
            let allowance = &mut self.budgets[&team];
            let needed = allowance.own_wanted();
            if needed == Tokens::ZERO {
                continue;
            }
            let first = allowance
                .waiting
                .front()
                .map_or(now, |waiting| waiting.since);
            // The log gives what is undrawn within some milliseconds, where it answers at all.
            if hopeful && now < first + LOG_FIRST {
                continue;
            }
            let ahead = Tokens((allowance.own_rate(now) * AHEAD.as_secs_f64()) as u64);
            let wanted = Wanted {
                amount: needed.saturating_add(ahead).min(left),
                asked: allowance.asked,
                priority: allowance.most_urgent(),
            };
            let lenders = self.peer_budgets.lenders(&team);
            effects.extend(allowance.loans.ask(now, me, &team, wanted, lenders));
        }
        effects
    }

    /// Asks once more for the loans that brought no answer.
    pub(crate) fn ask_again(&mut self, now: Instant) -> Vec<Effect> {
        let ownership = &self.ownership;
        let answers = |peer: &Peer| !ownership.is_mute(now, &peer.vm);
        let budgets = self.budgets.values_mut();
        budgets
            .filter_map(|allowance| allowance.loans.ask_again(now, answers))
            .collect()
    }

    /// Hands over to other routers what is idle here, where the log can't take it back.
    ///
    /// A planned stop in a cut from the log would else take ten seconds' worth of each team's budget with it.
    pub(crate) fn hand_over(&mut self, now: Instant, me: Incarnation) -> Vec<Effect> {
        if self.stay != Stay::Leaving {
            return Vec::new();
        }
        // What was borrowed can't go back to the log.
        let parted = self.failures > 0;
        let teams = self.budgets.keys();
        let teams = teams.filter(|team| parted || !self.ownership.owners(team).is_empty());
        let teams: Vec<_> = teams.cloned().collect();
        let mut effects = Vec::new();
        for team in teams {
            let idle = self.available(now, &team);
            if idle > Tokens::ZERO {
                let loans = &mut self.budgets[&team].loans;
                let heirs = self.peer_budgets.heirs(&team);
                effects.extend(loans.give(me, &team, idle, &heirs));
            }
        }
        effects
    }

    /// Takes in what another router hands over.
    pub(crate) fn given(&mut self, gift: &Gift) {
        info!(event = "given", from = %gift.giver, team = %gift.team, amount = %gift.amount);
        if let Some(allowance) = self.budgets.get_mut(&gift.team) {
            allowance.loans.take(gift);
        }
    }

    /// Notes that another router has what was handed over to it, or that nobody knows.
    pub(crate) fn taken(&mut self, gift: &Gift, taken: bool) {
        info!(event = "handed-over", team = %gift.team, amount = %gift.amount, taken);
        if let Some(allowance) = self.budgets.get_mut(&gift.team) {
            allowance.loans.gave();
        }
    }

    /// Lends another router what it asks for; nothing is returned where the answer is to wait for more from the log. The same
    /// question gets the same answer.
    pub(crate) fn lend(&mut self, now: Instant, id: AdminId, ask: &LoanAsk) -> Option<Tokens> {
        match self.ownership.owns_for_all(&ask.team) {
            true => self.lend_owned(now, id, ask),
            false => Some(self.lend_idle(now, ask)),
        }
    }

    /// Lends what is idle here of a budget that each router keeps for itself.
    fn lend_idle(&mut self, now: Instant, ask: &LoanAsk) -> Tokens {
        let free = self.available(now, &ask.team);
        let Some(allowance) = self.budgets.get_mut(&ask.team) else {
            return Tokens::ZERO;
        };
        let keep = Tokens((allowance.rate(now) * KEPT.as_secs_f64()) as u64);
        let spare = free.saturating_sub(keep).max(Tokens(free.0 / 2));
        let spare = match allowance.waiting.is_empty() {
            true => spare,
            false => Tokens::ZERO,
        };
        allowance.loans.lend(ask, spare)
    }

    /// Takes in what another router lent, or that it did not answer.
    pub(crate) fn lent(&mut self, now: Instant, ask: &LoanAsk, amount: Option<Tokens>) {
        info!(event = "borrowed", number = ask.number, team = %ask.team, asked = %ask.amount, amount = ?amount.map(|a| a.0));
        if let Some(allowance) = self.budgets.get_mut(&ask.team) {
            let asked = allowance.loans.lent_here(now, ask, amount);
            if let Some(peer) = asked.filter(|_| amount.is_none()) {
                self.ownership.silent(now, &peer);
            }
        }
    }

    /// Returns what others should know of this router's budgets: what lies idle here, and how fast it is asked for.
    pub(crate) fn words(&self, now: Instant) -> Vec<PurseWord> {
        let kept = self.budgets.iter();
        let kept = kept.filter(|(team, _)| self.ownership.owners(team).is_empty());
        let words = kept.map(|(team, allowance)| PurseWord {
            team: team.clone(),
            free: self.held(team),
            demand: allowance.rate(now) as u64,
        });
        words
            .filter(|word| word.free > Tokens::ZERO || word.demand > 0)
            .collect()
    }
}
