//! Reserving a request's cost, and drawing and returning budget for that.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use tracing::info;

use crate::decide::BudgetView;
use crate::decide::Demand;
use crate::decide::HoldingAction;
use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::ledger::Batch;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::router::core::Core;
use crate::router::core::Ticket;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Stake;
use crate::router::request::State;
use crate::tokens::Tokens;

/// How long a request waits for other routers to give back what they hold idle, once nothing is left to draw: three
/// commits (the draw that came back short, their returns, the next draw) of 25 ms and the log's own time, doubled.
const SHORT_WAIT: Duration = Duration::from_millis(400);

/// When a caller whose team's budget is spent may come back: top-ups are made by people.
const SPENT_RETRY: Duration = Duration::from_secs(30);

/// When it may come back while other routers still hold some: they give it back as their requests end.
const HELD_RETRY: Duration = Duration::from_secs(2);

/// How often holdings are brought to what the policy wants: demand is averaged over half a minute.
const KEEP_HOUSE: Duration = Duration::from_secs(1);

/// The time over which a team's demand at one router is averaged.
const OWN_WINDOW: Duration = Duration::from_secs(30);

/// The time over which a team's demand in the fleet is averaged: what comes here by chance is rarer.
const FLEET_WINDOW: Duration = Duration::from_secs(300);

/// A rate, in tokens a second, that is as good as none: one request an hour.
const FORGOTTEN: f64 = 0.01;

impl Core {
    /// Reserves what a request can cost, or has it wait for budget.
    pub(crate) fn fund(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.state = State::Funding { short: None };
        if request.relay.is_some() {
            return self.fund_relay(now, id);
        }
        let team = request.team.clone();
        let reserve = request.reserve;
        self.note_demand(now, &team, reserve);
        let purse = self.purses.entry(team.clone()).or_default();
        purse.waiting.push_back(id);
        self.fund_team(now, &team);
    }

    /// Reserves for all that wait.
    pub(crate) fn fund_all(&mut self, now: Instant) {
        let teams: Vec<_> = self
            .purses
            .iter()
            .filter(|(_, purse)| !purse.waiting.is_empty())
            .map(|(team, _)| team.clone())
            .collect();
        for team in teams {
            self.fund_team(now, &team);
        }
    }

    /// Reserves for those that wait for a team's budget, and draws for the rest.
    fn fund_team(&mut self, now: Instant, team: &TeamId) {
        let free = self.ledger.holding(self.me, team).free;
        let Some(purse) = self.purses.get_mut(team) else {
            return;
        };
        let mut funded = Vec::new();
        for id in std::mem::take(&mut purse.waiting) {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            if !matches!(request.state, State::Funding { .. }) {
                continue;
            }
            // A small request may pass a large one: the large one is refused if it can't be had, not the small one.
            if purse.available(free) >= request.reserve {
                purse.promise(request.reserve);
                request.stake = Stake::Funded;
                funded.push(id);
            } else {
                purse.waiting.push_back(id);
            }
        }
        for id in funded {
            self.enqueue(now, id);
        }
        self.draw_for_waiting(now, team);
    }

    /// Draws for the requests that wait, and has those wait for other routers' holdings that what is left can't cover.
    ///
    /// Were all of them drawn for at once, a draw for more than is left would not be made at all, and a request that what
    /// is left covers would wait for its deadline behind one that it does not.
    fn draw_for_waiting(&mut self, now: Instant, team: &TeamId) {
        let Some(purse) = self.purses.get(team) else {
            return;
        };
        let free = self.ledger.holding(self.me, team).free;
        let state = self.ledger.team(team);
        let undrawn = state.map_or(Tokens::ZERO, |t| t.undrawn());
        let reach = undrawn.saturating_add(purse.available(free));
        let mut wanted = Tokens::ZERO;
        let mut missing = Tokens::ZERO;
        let mut short = Vec::new();
        for id in &purse.waiting {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            if wanted.saturating_add(request.reserve) <= reach {
                wanted += request.reserve;
            } else {
                missing = missing.saturating_add(request.reserve);
                short.push(*id);
            }
        }
        let idle = purse.available(free);
        if wanted > Tokens::ZERO {
            self.adjust(now, team, wanted);
        } else if undrawn > Tokens::ZERO {
            // What can't be made up here is given back, so that another router can make it up.
            self.adjust(now, team, missing);
        }
        if short.is_empty() {
            return;
        }
        if undrawn == Tokens::ZERO || idle == Tokens::ZERO {
            self.ask_others(team, wanted.saturating_add(missing));
        }
        self.note_short(now, team, &short);
    }

    /// Draws though nothing is left: the others see the draw come back short, and give back what lies idle there.
    fn ask_others(&mut self, team: &TeamId, wanted: Tokens) {
        let holding = self.ledger.holding(self.me, team);
        let mine = holding.free + holding.claimed;
        let held = self.ledger.team(team).map_or(Tokens::ZERO, |t| t.held());
        let Some(purse) = self.purses.get_mut(team) else {
            return;
        };
        if purse.drawing || held <= mine {
            return;
        }
        purse.drawing = true;
        let record = Record::Draw {
            team: team.clone(),
            want: wanted,
        };
        self.appender.push(record, Ticket::Draw(team.clone()));
    }

    /// Marks since when requests have nothing left to draw, and refuses those that no one can serve.
    fn note_short(&mut self, now: Instant, team: &TeamId, short: &[RequestId]) {
        let unspent = self.ledger.team(team).map_or(Tokens::ZERO, |t| t.unspent());
        for id in short.iter().copied() {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let hopeless = request.reserve > unspent;
            let State::Funding { short } = &mut request.state else {
                continue;
            };
            let since = *short.get_or_insert(now);
            if hopeless || now >= since + SHORT_WAIT {
                self.refuse_spent(now, id, hopeless);
            }
        }
    }

    fn refuse_spent(&mut self, now: Instant, id: RequestId, hopeless: bool) {
        let request = &self.requests[&id];
        let detail = format!(
            "the team {} has not {} tokens left for it",
            request.team, request.reserve
        );
        let retry = if hopeless { SPENT_RETRY } else { HELD_RETRY };
        let problem = Problem::new(ProblemKind::BudgetSpent, Ran::Unknown, &detail);
        self.refuse_with(now, id, problem.retry_in(retry));
    }

    /// Draws or returns what the policy says.
    pub(crate) fn adjust(&mut self, now: Instant, team: &TeamId, wanted: Tokens) {
        let holding = self.ledger.holding(self.me, team);
        let Some(state) = self.ledger.team(team) else {
            return;
        };
        let undrawn = state.undrawn();
        let routers = self.ledger.routers().filter(|(_, r)| !r.closed).count();
        let demand = self.demand_of(now, team);
        let reachable = !self.in_outage(now);
        let purse = self.purses.entry(team.clone()).or_default();
        if purse.drawing {
            return;
        }
        let share = BudgetView {
            free: purse.available(holding.free),
            claimed: holding.claimed,
            undrawn,
            routers,
            demand,
            team_demand: self.fleet.get(team).map_or(0.0, |fleet| fleet.rate(now)),
            wanted,
            reachable,
        };
        match self.policy.decide(&share) {
            HoldingAction::None => {}
            HoldingAction::Draw(want) => {
                purse.drawing = true;
                let record = Record::Draw {
                    team: team.clone(),
                    want,
                };
                self.appender.push(record, Ticket::Draw(team.clone()));
            }
            HoldingAction::Return(amount) => self.give_back(team, amount),
        }
    }

    fn give_back(&mut self, team: &TeamId, amount: Tokens) {
        if amount == Tokens::ZERO {
            return;
        }
        self.purses.entry(team.clone()).or_default().promise(amount);
        let record = Record::Return {
            team: team.clone(),
            amount,
        };
        self.appender
            .push(record, Ticket::Return(team.clone(), amount));
    }

    pub(crate) fn draw_verdict(&mut self, now: Instant, team: &TeamId, verdict: &Verdict) {
        let purse = self.purses.entry(team.clone()).or_default();
        purse.drawing = false;
        if let Verdict::Granted(amount) = verdict {
            info!(event = "drawn", %team, %amount);
        }
        self.fund_team(now, team);
    }

    /// Gives back what lies idle here when another router's draw came back short.
    ///
    /// Near the end of a budget its last tokens lie scattered over the routers, each too few for a request. Without
    /// this a router would refuse a team whose tokens its neighbours hold.
    pub(crate) fn answer_shortage(&mut self, now: Instant, batch: &Batch, verdicts: &[Verdict]) {
        if batch.router == self.me || !self.serving() {
            return;
        }
        for (record, verdict) in batch.records.iter().zip(verdicts) {
            if let (Record::Draw { team, want }, Verdict::Granted(granted)) = (record, verdict)
                && granted < want
            {
                self.release_idle(now, &team.clone());
            }
        }
    }

    fn release_idle(&mut self, now: Instant, team: &TeamId) {
        let free = self.ledger.holding(self.me, team).free;
        let demand = self.demand_of(now, team);
        let Some(purse) = self.purses.get(team) else {
            if free > Tokens::ZERO {
                self.give_back(team, free);
            }
            return;
        };
        let idle = purse.available(free);
        // What the next second is likely to need stays, lest the tokens go round in circles. But where a request waits, what
        // lies here is too little for it: were it kept, each router would hold a part of what one request needs, and all
        // would refuse.
        let keep = match purse.waiting.is_empty() {
            true => Tokens(demand as u64).min(Tokens(idle.0 / 2)),
            false => Tokens::ZERO,
        };
        self.give_back(team, idle - keep);
    }

    fn note_demand(&mut self, now: Instant, team: &TeamId, amount: Tokens) {
        self.demand
            .entry(team.clone())
            .or_insert_with(|| Demand::new(now, OWN_WINDOW))
            .add(now, amount);
    }

    /// Counts what all routers claim.
    pub(crate) fn note_claims(&mut self, now: Instant, batch: &Batch) {
        for record in &batch.records {
            if let Record::Claim(claim) = record {
                self.fleet
                    .entry(claim.team.clone())
                    .or_insert_with(|| Demand::new(now, FLEET_WINDOW))
                    .add(now, claim.reserved);
            }
        }
    }

    /// Returns how fast a team is likely to be asked for here, in tokens a second.
    ///
    /// What was asked here of late, or this router's part of what the fleet was asked if that is more: callers change
    /// routers as they are advised, and one that was never asked for a team would hold nothing of it when the log goes
    /// down.
    fn demand_of(&self, now: Instant, team: &TeamId) -> f64 {
        let rate = |demand: Option<&Demand>| demand.map_or(0.0, |demand| demand.rate(now));
        let routers = self.ledger.routers().filter(|(_, r)| !r.closed).count();
        let part = rate(self.fleet.get(team)) / routers.max(1) as f64;
        rate(self.demand.get(team)).max(part)
    }

    /// Brings holdings to what the policy wants, and refuses those that waited for budget in vain.
    pub(crate) fn keep_house(&mut self, now: Instant) {
        self.fund_all(now);
        let due = self.kept_house.is_none_or(|at| now >= at + KEEP_HOUSE);
        if !self.serving() || !due {
            return;
        }
        self.kept_house = Some(now);
        self.demand.retain(|_, demand| demand.rate(now) > FORGOTTEN);
        self.fleet.retain(|_, demand| demand.rate(now) > FORGOTTEN);
        let asked = self.fleet.keys().cloned();
        let teams: IndexSet<_> = self.purses.keys().cloned().chain(asked).collect();
        for team in teams {
            self.adjust(now, &team, Tokens::ZERO);
        }
        let me = self.me;
        let ledger = &self.ledger;
        self.purses
            .retain(|team, purse| !purse.idle() || ledger.holding(me, team).free > Tokens::ZERO);
    }
}
