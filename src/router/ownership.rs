//! Which routers own each team's budget, and which of them this router asks for it.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::Candidate;
use crate::decide::Owners;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::router::effect::Peer;

/// How long an owner that did not answer is not asked again, unless a heartbeat of it arrives. Each request to it
/// delays callers by a fifth of a second. A crashed process is back after some seconds, but a VM that is gone for good
/// stays listed.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(8);

/// The owners of all budgets, as known to this router.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    owners: Owners,
    peers: IndexMap<VmId, Peer>,
    me: Option<VmId>,
    /// The owners of each team's budget; empty for a team that this router owns itself.
    remote_owners: IndexMap<TeamId, Vec<Peer>>,
    /// Routers that did not answer, and the time until which they are not asked again.
    unresponsive_until: IndexMap<VmId, Instant>,
}

impl Ownership {
    /// Replaces the list of routers and recomputes the owners of each team.
    pub(super) fn set_routers(&mut self, me: &VmId, routers: Vec<Candidate>, peers: &[Peer]) {
        self.me = Some(me.clone());
        self.owners = Owners::select(routers);
        let peers = peers.iter().map(|peer| (peer.vm.clone(), peer.clone()));
        self.peers = peers.collect();
        let teams: Vec<_> = self.remote_owners.keys().cloned().collect();
        self.remote_owners.clear();
        teams.iter().for_each(|team| self.add_team(team));
    }

    /// Determines the owners of a team.
    pub(super) fn add_team(&mut self, team: &TeamId) {
        let owners = self.owners.for_team(team);
        let is_owner = self.me.as_ref().is_some_and(|me| owners.contains(&me));
        let peers = match is_owner {
            true => Vec::new(),
            false => owners
                .iter()
                .filter_map(|vm| self.peers.get(*vm))
                .cloned()
                .collect(),
        };
        self.remote_owners.insert(team.clone(), peers);
    }

    /// Returns the owners of a team's budget, or an empty slice if this router is one of them.
    pub(super) fn owners(&self, team: &TeamId) -> &[Peer] {
        self.remote_owners.get(team).map_or(&[], Vec::as_slice)
    }

    /// Returns the owners of a team's budget that are believed to be responsive.
    pub(super) fn responsive_owners(&self, now: Instant, team: &TeamId) -> Vec<Peer> {
        let owners = self.owners(team).iter();
        owners
            .filter(|peer| !self.is_unresponsive(now, &peer.vm))
            .cloned()
            .collect()
    }

    /// Returns whether a router recently failed to answer and has sent no heartbeat since.
    pub(super) fn is_unresponsive(&self, now: Instant, vm: &VmId) -> bool {
        self.unresponsive_until
            .get(vm)
            .is_some_and(|until| now < *until)
    }

    /// Notes that a router did not answer, regardless of the team it was asked for.
    pub(super) fn mark_unresponsive(&mut self, now: Instant, peer: &Peer) {
        self.unresponsive_until
            .insert(peer.vm.clone(), now + UNRESPONSIVE_BACKOFF);
    }

    /// Notes that a router sent a heartbeat.
    pub(super) fn mark_responsive(&mut self, vm: &VmId) {
        self.unresponsive_until.swap_remove(vm);
    }

    /// Returns whether this router is one of the few owners of a team's budget.
    pub(super) fn owns_for_all(&self, team: &TeamId) -> bool {
        !self.owners.includes_all() && self.owners(team).is_empty()
    }

    /// Returns whether the list of routers is known. Until then each router of a large fleet would take itself for the
    /// only one and draw a large part of all budgets at its start.
    pub(super) fn knows_routers(&self) -> bool {
        self.me.is_some()
    }

    /// Returns whether every router owns every budget.
    pub(super) fn is_owned_by_all(&self) -> bool {
        self.owners.includes_all()
    }
}
