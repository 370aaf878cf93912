//! Budget rules: a team's spending, losses and holdings never add up to more than it prepaid.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::ledger::fold::Ledger;
use crate::ledger::key::ClaimState;
use crate::ledger::record::Bearer;
use crate::ledger::rules::Rule;
use crate::ledger::rules::is_enforced;
use crate::ledger::team::TeamState;
use crate::ledger::verdict::VoidReason;
use crate::tokens::Tokens;

impl Ledger {
    pub(super) fn top_up(
        &mut self,
        id: &TopUpId,
        team: &TeamId,
        amount: Tokens,
    ) -> Result<(), VoidReason> {
        if !self.topups.insert(digest(team, id)) && is_enforced(Rule::TopUp) {
            return Err(VoidReason::Repeated);
        }
        let team = self.teams.entry(team.clone()).or_default();
        // The sum saturates: an overflow caused by a mistyped amount must not stop the fleet.
        team.prepaid = team.prepaid.saturating_add(amount);
        Ok(())
    }

    pub(super) fn draw(&mut self, router: Incarnation, team: &TeamId, want: Tokens) -> Tokens {
        let Some((_, name, state)) = self.teams.get_full_mut(team) else {
            return Tokens::ZERO;
        };
        let granted = match is_enforced(Rule::Draw) {
            true => want.min(state.undrawn()),
            false => want,
        };
        if granted == Tokens::ZERO {
            return granted;
        }
        state.held += granted;
        if let Some(router) = self.routers.get_mut(&router) {
            router.holding_mut(name).free += granted;
        }
        granted
    }

    pub(super) fn return_tokens(
        &mut self,
        router: Incarnation,
        team: &TeamId,
        amount: Tokens,
    ) -> Result<(), VoidReason> {
        self.take_free(router, team, amount)?;
        if let Some(team) = self.teams.get_mut(team) {
            team.held -= amount;
        }
        Ok(())
    }

    /// Transfers part of the writer's holding to another router.
    ///
    /// The number makes a transfer take effect once: the lender notifies the borrower by a message that may be
    /// repeated, and either of them may append the record.
    pub(super) fn lend(
        &mut self,
        router: Incarnation,
        to: Incarnation,
        team: &TeamId,
        amount: Tokens,
        number: u64,
    ) -> Result<(), VoidReason> {
        if !self.is_open(to) {
            return Err(VoidReason::Absent);
        }
        let lender = self.routers.get(&router).ok_or(VoidReason::Closed)?;
        if number <= lender.lent {
            return Err(VoidReason::Repeated);
        }
        let (_, name, _) = self.teams.get_full(team).ok_or(VoidReason::Holding)?;
        let name = name.clone();
        self.take_free(router, team, amount)?;
        if let Some(lender) = self.routers.get_mut(&router) {
            lender.lent = number;
        }
        if let Some(borrower) = self.routers.get_mut(&to) {
            borrower.holding_mut(&name).free += amount;
            borrower.remove_empty_holding(&name);
        }
        Ok(())
    }

    fn take_free(
        &mut self,
        router: Incarnation,
        team: &TeamId,
        amount: Tokens,
    ) -> Result<(), VoidReason> {
        let router = self.routers.get_mut(&router).ok_or(VoidReason::Closed)?;
        let holding = router
            .holdings
            .get_mut(team)
            .filter(|holding| holding.free >= amount)
            .ok_or(VoidReason::Holding)?;
        holding.free -= amount;
        router.remove_empty_holding(team);
        Ok(())
    }

    /// Reserves part of a router's holding for a claim. A call that costs nothing needs no holding.
    ///
    /// Returns the ledger's own copy of the team name, so that a million requests do not each allocate one.
    pub(super) fn reserve(
        &mut self,
        router: Incarnation,
        team: &TeamId,
        amount: Tokens,
    ) -> Result<TeamId, VoidReason> {
        let held = self
            .routers
            .get_mut(&router)
            .and_then(|r| r.holdings.get_full_mut(team));
        let Some((_, name, holding)) = held else {
            return match amount {
                Tokens::ZERO => Ok(team.clone()),
                _ => Err(VoidReason::Holding),
            };
        };
        if holding.free < amount && is_enforced(Rule::Reserve) {
            return Err(VoidReason::Holding);
        }
        holding.free -= amount;
        holding.claimed += amount;
        Ok(name.clone())
    }

    /// Returns `amount` of a claim's reservation to the free part of its router's holding.
    pub(super) fn unreserve(&mut self, claim: &ClaimState, amount: Tokens) {
        if amount == Tokens::ZERO {
            return;
        }
        let router = self.routers.get_mut(&claim.router);
        if let Some(holding) = router.and_then(|r| r.holdings.get_mut(&claim.team)) {
            holding.claimed -= amount;
            holding.free += amount;
        }
    }

    /// Charges `amount` of a claim's reservation to the team as spent.
    pub(super) fn spend(&mut self, claim: &ClaimState, amount: Tokens) {
        if let Some(team) = self.deduct_claimed(claim, amount) {
            team.spent += amount;
        }
    }

    /// Charges `amount` of a claim's reservation as used without a bill, or returns it if the operator bears the cost.
    pub(super) fn charge_lost(&mut self, claim: &ClaimState, amount: Tokens) {
        if claim.bearer == Bearer::House {
            return self.unreserve(claim, amount);
        }
        if let Some(team) = self.deduct_claimed(claim, amount) {
            team.lost += amount;
        }
    }

    /// Deducts `amount` of a claim's reservation from its router's holding and returns the team to charge it to.
    fn deduct_claimed(&mut self, claim: &ClaimState, amount: Tokens) -> Option<&mut TeamState> {
        if amount == Tokens::ZERO {
            return None;
        }
        let router = self.routers.get_mut(&claim.router)?;
        router.take_claimed(&claim.team, amount);
        let team = self.teams.get_mut(&claim.team)?;
        team.held -= amount;
        Some(team)
    }

    /// Returns all holdings of a router to the teams; its claims must be settled before.
    pub(super) fn return_holdings(&mut self, router: Incarnation) {
        let Some(router) = self.routers.get_mut(&router) else {
            return;
        };
        for (team, holding) in std::mem::take(&mut router.holdings) {
            if let Some(team) = self.teams.get_mut(&team) {
                team.held -= holding.free + holding.claimed;
            }
        }
    }
}

/// Returns the hash that identifies a top-up in the set of applied top-ups, which is kept forever.
///
/// The ids themselves, an allocation each, would outgrow the budgets within months. On a collision of the 128 bits the
/// second top-up would have no effect; among a thousand million ids the probability is one in 10^20.
fn digest(team: &TeamId, id: &TopUpId) -> u128 {
    let mut hasher = Xxh3::new();
    // Neither name can contain a zero byte, so it separates them unambiguously.
    hasher.update(team.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(id.as_str().as_bytes());
    hasher.digest128()
}
