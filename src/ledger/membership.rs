//! Membership rules: open routers, pool leaders, and the endpoint crashes that routers report.

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::ledger::fold::Ledger;
use crate::ledger::rules::Rule;
use crate::ledger::rules::is_enforced;
use crate::ledger::verdict::VoidReason;

impl Ledger {
    /// Closes earlier incarnations on the same VM: a VM runs one router, so they are dead.
    pub(super) fn open(
        &mut self,
        offset: Offset,
        router: Incarnation,
        vm: &VmId,
    ) -> Result<(), VoidReason> {
        let earlier: Vec<_> = self
            .routers
            .iter()
            .filter(|(id, state)| **id != router && state.vm == *vm && !state.closed)
            .map(|(id, _)| *id)
            .collect();
        for old in earlier {
            self.close(offset, old)?;
        }
        Ok(())
    }

    /// Closes an incarnation.
    ///
    /// The free part of its holdings returns to the teams at once. The reservations of its open claims may have been
    /// used wholly or in part; since it is unknown how much, whoever bears the cost is charged for all of it.
    pub(super) fn close(&mut self, offset: Offset, router: Incarnation) -> Result<(), VoidReason> {
        let state = self.routers.get_mut(&router).ok_or(VoidReason::Absent)?;
        if state.closed {
            return Err(VoidReason::Repeated);
        }
        state.closed = true;
        let claims = std::mem::take(&mut state.claims);
        for key in &claims {
            self.orphan(offset, key);
        }
        if is_enforced(Rule::FreeOnClose) {
            self.return_holdings(router);
        }
        self.expiry.push_router(self.at, router);
        Ok(())
    }

    pub(super) fn lead(
        &mut self,
        offset: Offset,
        router: Incarnation,
        pool: &PoolId,
    ) -> Result<(), VoidReason> {
        if let Some((leader, _)) = self.leaders.get(pool)
            && *leader != router
            && self.is_open(*leader)
        {
            return Err(VoidReason::ClaimedBy(*leader));
        }
        self.leaders.insert(pool.clone(), (router, offset));
        Ok(())
    }

    /// Records an endpoint's crash; reports of the same endpoint by two routers count once.
    pub(super) fn crash(
        &mut self,
        request: Fingerprint,
        endpoint: &VmId,
    ) -> Result<(), VoidReason> {
        let crashes = self.crashes.entry(request).or_default();
        if !crashes.add(endpoint) {
            return Err(VoidReason::Repeated);
        }
        self.expiry.push_crash(self.at, request);
        Ok(())
    }
}
