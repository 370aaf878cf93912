//! Picks one of a pool's endpoints for a request.

use std::time::Instant;

use rand::Rng;

use crate::decide::Choice;
use crate::decide::Chooser;
use crate::decide::Criteria;
use crate::decide::EjectionLimits;
use crate::decide::Ejector;
use crate::decide::Isolation;
use crate::decide::PrefixIndex;
use crate::decide::Quarantine;
use crate::decide::Usage;
use crate::decide::suspect_router;
use crate::ids::DomainId;
use crate::ids::ModelId;
use crate::ids::VmId;
use crate::prompt::BlockHash;
use crate::router::event::Work;
use crate::router::request::Request;

/// The state by which one of a pool's endpoints is chosen.
pub(crate) struct Picker {
    pub(crate) chooser: Chooser,
    pub(crate) index: PrefixIndex,
    pub(crate) health: Ejector,
}

/// The router for which an endpoint is picked.
pub(crate) struct PickContext<'a> {
    /// VM of the router.
    pub(crate) router: &'a VmId,
    /// Failure domain of the router.
    pub(crate) domain: &'a DomainId,
    /// VMs of all routers.
    pub(crate) routers: &'a [VmId],
    /// Endpoints that announced that they take no request from this router now.
    pub(crate) closed: &'a [VmId],
    /// Endpoints that turned requests of other routers away, and for a retry those that often fail.
    pub(crate) avoided: &'a [VmId],
}

impl Picker {
    pub(crate) fn new(router: &VmId) -> Self {
        Self {
            chooser: Chooser::new(router),
            index: PrefixIndex::new(),
            health: Ejector::new(EjectionLimits::default()),
        }
    }

    /// Picks an endpoint that is not forbidden. One that the quarantine or other routers advise against is picked only if
    /// no other is available, and one that crashed only if there is none of these either.
    pub(crate) fn pick<R>(
        &self,
        now: Instant,
        request: &Request,
        usage: Usage,
        quarantine: &Quarantine,
        context: &PickContext<'_>,
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng,
    {
        let blocks = prompt_blocks(request);
        let mut forbidden = self.forbidden(now, request, quarantine, context);
        forbidden.extend_from_slice(context.closed);
        let mut avoided = quarantine.avoided_endpoints(request.fingerprint);
        avoided.extend_from_slice(context.avoided);
        let mut choose = |excluded: &[VmId]| {
            let criteria = Criteria {
                model: requested_model(request),
                prefix: &blocks,
                domain: context.domain,
                excluded,
                usage,
                prompt: request.relay.as_ref().and_then(|terms| terms.prompt),
            };
            self.chooser
                .choose(now, &criteria, &self.index, &self.health, rng)
        };
        forbidden.extend_from_slice(&request.failed_endpoints);
        let crashed: Vec<_> = self.health.crashed(now).cloned().collect();
        let alive = [forbidden.clone(), crashed].concat();
        let strict = [alive.clone(), avoided].concat();
        // Most requests have nothing to avoid, so that these are equal.
        let mut exclusions = vec![strict, alive, forbidden];
        exclusions.dedup();
        exclusions.iter().find_map(|excluded| choose(excluded))
    }

    /// Returns the endpoints that a suspect must not use: those where another suspect runs, those that belong to other
    /// routers for running their suspects, and those that crashed.
    fn forbidden(
        &self,
        now: Instant,
        request: &Request,
        quarantine: &Quarantine,
        context: &PickContext<'_>,
    ) -> Vec<VmId> {
        if quarantine.isolation(request.fingerprint) == Isolation::None {
            return Vec::new();
        }
        let suspects_run = quarantine.forbidden_endpoints(request.fingerprint);
        let allowed = self.suspect_endpoints(context.router, context.routers);
        let others = self.chooser.vms().filter(|vm| !allowed.contains(vm));
        let crashed = self.health.crashed(now);
        let forbidden = others.chain(crashed).cloned();
        suspects_run.into_iter().chain(forbidden).collect()
    }

    /// Returns the endpoints on which a router may run suspects.
    fn suspect_endpoints(&self, router: &VmId, routers: &[VmId]) -> Vec<&VmId> {
        let vms = self.chooser.vms();
        let owned: Vec<_> = vms
            .filter(|vm| suspect_router(routers, vm) == Some(router))
            .collect();
        // With fewer endpoints than routers, some routers own none, and their suspects may use any endpoint.
        match owned.is_empty() {
            true => self.chooser.vms().collect(),
            false => owned,
        }
    }

    /// Returns whether all endpoints on which a router may run suspects crashed.
    pub(crate) fn suspect_endpoints_crashed(
        &self,
        now: Instant,
        router: &VmId,
        routers: &[VmId],
    ) -> bool {
        let endpoints = self.suspect_endpoints(router, routers);
        let crashed = |vm: &&VmId| self.health.has_crashed(now, vm);
        !endpoints.is_empty() && endpoints.iter().all(crashed)
    }
}

fn requested_model(request: &Request) -> Option<&ModelId> {
    match &request.work {
        Work::Completion { model, .. } => Some(model),
        Work::Call { .. } | Work::Relay(_) => None,
    }
}

/// Returns the block hashes of a request's prompt.
pub(crate) fn prompt_blocks(request: &Request) -> Vec<BlockHash> {
    match &request.work {
        Work::Completion { blocks, .. } => blocks.iter().map(|b| BlockHash(*b)).collect(),
        Work::Call { .. } | Work::Relay(_) => Vec::new(),
    }
}
