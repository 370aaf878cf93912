//! Picks one of a pool's endpoints for a request.

use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;

use crate::decide::Choice;
use crate::decide::Chooser;
use crate::decide::Criteria;
use crate::decide::EjectionLimits;
use crate::decide::Ejector;
use crate::decide::PrefixIndex;
use crate::decide::Quarantine;
use crate::decide::Usage;
use crate::decide::suspect_router;
use crate::ids::DomainId;
use crate::ids::ModelId;
use crate::ids::SoftwareVersion;
use crate::ids::VmId;
use crate::prompt::BlockHash;
use crate::router::event::Work;
use crate::router::request::Request;
use crate::router::streams::StreamVersion;

/// The state by which one of a pool's endpoints is chosen.
pub(crate) struct Picker {
    pub(crate) chooser: Chooser,
    pub(crate) index: PrefixIndex,
    pub(crate) health: Ejector,
    /// The version of each endpoint's software, if its entry in the VM list says so.
    pub(crate) versions: IndexMap<VmId, Option<SoftwareVersion>>,
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
            versions: IndexMap::new(),
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
        let mut excluded = self.forbidden(now, request, quarantine, context);
        excluded.extend(self.other_versions(request));
        excluded.extend_from_slice(context.closed);
        excluded.extend_from_slice(&request.failed_endpoints);
        let forbidden = excluded.len();
        excluded.extend(self.health.crashed(now).cloned());
        let crashed = excluded.len();
        excluded.extend(quarantine.avoided_endpoints(request.fingerprint));
        excluded.extend_from_slice(context.avoided);
        // Most requests have nothing to avoid, so that these are equal.
        let mut lengths = vec![excluded.len(), crashed, forbidden];
        lengths.dedup();
        lengths.iter().find_map(|len| choose(&excluded[..*len]))
    }

    /// Returns the endpoints that don't run the version that a request is bound to.
    pub(crate) fn other_versions(&self, request: &Request) -> Vec<VmId> {
        let stream = request.relay.as_ref().map(|terms| &terms.stream);
        let bound = match stream {
            None | Some(StreamVersion::Any) => return Vec::new(),
            Some(StreamVersion::Known(bound)) => Some(bound),
            Some(StreamVersion::Unknown) => None,
        };
        let differs = |version: &Option<SoftwareVersion>| bound != Some(version);
        let others = self.versions.iter().filter(|(_, version)| differs(version));
        others.map(|(vm, _)| vm.clone()).collect()
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
        if !quarantine.is_suspect(request.fingerprint) {
            return Vec::new();
        }
        let (_, others) = self.split_for_suspects(context.router, context.routers);
        let crashed = self.health.crashed(now);
        let mut forbidden = quarantine.forbidden_endpoints(request.fingerprint);
        forbidden.extend(others.into_iter().chain(crashed).cloned());
        forbidden
    }

    /// Returns whether all endpoints on which a router may run suspects crashed.
    pub(crate) fn suspect_endpoints_crashed(
        &self,
        now: Instant,
        router: &VmId,
        routers: &[VmId],
    ) -> bool {
        let (allowed, _) = self.split_for_suspects(router, routers);
        !allowed.is_empty() && allowed.iter().all(|vm| self.health.has_crashed(now, vm))
    }

    /// Returns the endpoints on which a router may run suspects, and the others.
    fn split_for_suspects(&self, router: &VmId, routers: &[VmId]) -> (Vec<&VmId>, Vec<&VmId>) {
        let is_own = |vm: &&VmId| suspect_router(routers, vm) == Some(router);
        let (own, others): (Vec<_>, Vec<_>) = self.chooser.vms().partition(is_own);
        // With fewer endpoints than routers, some routers own none, and their suspects may use any endpoint.
        match own.is_empty() {
            true => (others, own),
            false => (own, others),
        }
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
