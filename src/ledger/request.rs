//! Request rules: a request is billed at most once, and a non-idempotent request is run at most once.

use crate::ids::Attempt;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::RequestKey;
use crate::ledger::fold::Ledger;
use crate::ledger::key::BillState;
use crate::ledger::key::ClaimState;
use crate::ledger::key::KeyState;
use crate::ledger::record::Claim;
use crate::ledger::record::Outcome;
use crate::ledger::rules::Rule;
use crate::ledger::rules::is_enforced;
use crate::ledger::verdict::VoidReason;
use crate::tokens::Tokens;

/// How many times a request may run again after its bill. Without a limit, a caller could get any number of answers
/// under one billed key.
pub(crate) const MAX_RERUNS: u8 = 3;

impl Ledger {
    pub(super) fn claim(&mut self, router: Incarnation, claim: &Claim) -> Result<(), VoidReason> {
        self.check_claim(router, claim)?;
        let team = self.reserve(router, &claim.team, claim.reserved)?;
        let key = self.key_or_default(&claim.key);
        key.request = Some(claim.request);
        key.once |= !claim.idempotent;
        key.reruns += u8::from(key.bill.is_some());
        key.claim = Some(Box::new(ClaimState {
            router,
            team,
            reserved: claim.reserved,
            attempt: claim.attempt,
            idempotent: claim.idempotent,
            bearer: claim.bearer,
        }));
        if let Some(state) = self.routers.get_mut(&router) {
            state.claims.insert(claim.key.clone());
        }
        Ok(())
    }

    /// Decides whether a request may be claimed.
    fn check_claim(&self, router: Incarnation, claim: &Claim) -> Result<(), VoidReason> {
        // Records after `seen` may have expired, possibly including a refusal or a bill of this request.
        if claim.seen < self.expiry.horizon {
            return Err(VoidReason::Refused);
        }
        let Some(key) = self.keys.get(&claim.key) else {
            return Ok(());
        };
        if key.request.is_some_and(|request| request != claim.request) {
            return Err(VoidReason::OtherRequest);
        }
        if let Some(current) = &key.claim
            && is_enforced(Rule::FirstClaim)
        {
            return match self.is_open(current.router) {
                true if current.router == router => Err(VoidReason::Mine),
                true => Err(VoidReason::ClaimedBy(current.router)),
                // The router that held the claim is closed, and closing it settled the reservation. Only a
                // non-idempotent request keeps its claim then.
                false => Err(VoidReason::Unknown),
            };
        }
        let once = key.once || !claim.idempotent;
        if key.bill.is_some() && is_enforced(Rule::Billed) && (once || key.reruns >= MAX_RERUNS) {
            return Err(VoidReason::Billed);
        }
        if key.orphaned && once && is_enforced(Rule::OrphanClaim) {
            return Err(VoidReason::Unknown);
        }
        match key.refused {
            Some((offset, attempt)) if is_refused(claim, offset, attempt) => {
                Err(VoidReason::Refused)
            }
            _ => Ok(()),
        }
    }

    /// Ends a claim for which nothing was dispatched, or of a billed request whose runs gave no answer. If nothing else
    /// of the request ran either, this is equivalent to a refusal.
    pub(super) fn release(
        &mut self,
        offset: Offset,
        router: Incarnation,
        key: &RequestKey,
    ) -> Result<(), VoidReason> {
        let claim = self.take_claim(router, key)?;
        self.unreserve(&claim, claim.reserved);
        let state = self.key_or_default(key);
        match state.bill {
            Some(_) => state.reruns = state.reruns.saturating_sub(1),
            None => state.refuse(offset, claim.attempt),
        }
        self.schedule_expiry(offset, key, claim.idempotent);
        Ok(())
    }

    /// Settles that a request was not run.
    ///
    /// A claim that was sent earlier may still be appended after this record. It is void, since it carries the offset
    /// that its router had applied when the attempt arrived, which is before this one.
    ///
    /// A request whose router was closed while holding its claim may have run, although the ledger has no bill of it.
    /// It must not be refused: the caller would be told that the request was not run.
    pub(super) fn refuse(
        &mut self,
        offset: Offset,
        key: &RequestKey,
        attempt: Attempt,
    ) -> Result<(), VoidReason> {
        if let Some(state) = self.keys.get(key) {
            self.check_refuse(state)?;
        }
        self.key_or_default(key).refuse(offset, attempt);
        self.schedule_expiry(offset, key, true);
        Ok(())
    }

    fn check_refuse(&self, key: &KeyState) -> Result<(), VoidReason> {
        if key.bill.is_some() && is_enforced(Rule::BillRefusal) {
            return Err(VoidReason::Stands);
        }
        if key.orphaned && is_enforced(Rule::OrphanRefusal) {
            return Err(VoidReason::Unknown);
        }
        match &key.claim {
            Some(_) if is_enforced(Rule::ClaimRefusal) => Err(VoidReason::Stands),
            _ => Ok(()),
        }
    }

    pub(super) fn bill(
        &mut self,
        offset: Offset,
        router: Incarnation,
        key: &RequestKey,
        amount: Tokens,
        outcome: &Outcome,
    ) -> Result<(), VoidReason> {
        let claim = self.take_claim(router, key)?;
        // The charge is capped at the reservation, the only amount that the team is known to have available.
        let amount = match is_enforced(Rule::BillCap) {
            true => amount.min(claim.reserved),
            false => amount,
        };
        self.unreserve(&claim, claim.reserved - amount);
        let state = self.key_or_default(key);
        if state.bill.is_some() && is_enforced(Rule::FirstBill) {
            self.charge_lost(&claim, amount);
        } else {
            state.bill = Some(Box::new(BillState {
                team: claim.team.clone(),
                amount,
                outcome: outcome.clone(),
            }));
            self.spend(&claim, amount);
        }
        self.schedule_expiry(offset, key, claim.idempotent);
        Ok(())
    }

    /// Settles a claim of a router that is being closed.
    ///
    /// The claim of a non-idempotent request is kept with nothing reserved, so that the request is never run again.
    pub(super) fn orphan(&mut self, offset: Offset, key: &RequestKey) {
        let state = self.key_or_default(key);
        let Some(claim) = state.claim.take() else {
            return;
        };
        state.orphaned = true;
        if !claim.idempotent && is_enforced(Rule::OrphanClaim) {
            let kept = ClaimState {
                reserved: Tokens::ZERO,
                ..(*claim).clone()
            };
            state.claim = Some(Box::new(kept));
        }
        self.charge_lost(&claim, claim.reserved);
        self.schedule_expiry(offset, key, claim.idempotent);
    }

    fn take_claim(
        &mut self,
        router: Incarnation,
        key: &RequestKey,
    ) -> Result<ClaimState, VoidReason> {
        let claim = self
            .keys
            .get_mut(key)
            .and_then(|state| state.claim.take_if(|claim| claim.router == router))
            .ok_or(VoidReason::NoClaim)?;
        if let Some(router) = self.routers.get_mut(&router) {
            router.claims.swap_remove(key);
        }
        Ok(*claim)
    }

    fn key_or_default(&mut self, key: &RequestKey) -> &mut KeyState {
        let at = match self.keys.get_index_of(key) {
            Some(at) => at,
            None => self.keys.insert_full(key.clone(), KeyState::default()).0,
        };
        &mut self.keys[at]
    }

    /// Queues a settled request for expiry.
    fn schedule_expiry(&mut self, offset: Offset, key: &RequestKey, idempotent: bool) {
        let Some((_, key, state)) = self.keys.get_full_mut(key) else {
            return;
        };
        state.settled = offset;
        self.expiry.push_key(self.at, offset, key, idempotent);
    }
}

/// Returns whether a refusal applies to the attempt of a claim.
///
/// An attempt that was delayed on the network may arrive with a `seen` after the refusal of a later attempt; only the
/// attempt number shows that it is earlier. After a refusal with a number, an attempt without one cannot be told apart
/// from such a delayed attempt and is refused as well.
fn is_refused(claim: &Claim, offset: Offset, attempt: Attempt) -> bool {
    let counted = attempt != Attempt(0);
    let late = offset > claim.seen && is_enforced(Rule::SeenOffset);
    let earlier = counted && claim.attempt <= attempt && is_enforced(Rule::AttemptNumber);
    late || earlier
}
