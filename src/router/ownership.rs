//! Which budgets others keep for this router, and whom it asks for them.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::Candidate;
use crate::decide::Owners;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::router::effect::Peer;

/// How long an owner that did not answer is not asked again, unless it is heard of. Each question to it holds requests up for
/// a fifth of a second; a process that died is back after some seconds, and a VM that is gone for good stays listed.
const MUTE: Duration = Duration::from_secs(8);

/// Who keeps which budgets, as this router sees it.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    owners: Owners,
    peers: IndexMap<VmId, Peer>,
    me: Option<VmId>,
    /// The owners of each team that this router does not keep.
    elsewhere: IndexMap<TeamId, Vec<Peer>>,
    /// Who did not answer, and until when it is not asked again.
    mute: IndexMap<VmId, Instant>,
}

impl Ownership {
    /// Takes over who the routers are.
    pub(super) fn take_routers(&mut self, me: &VmId, routers: Vec<Candidate>, peers: &[Peer]) {
        self.me = Some(me.clone());
        self.owners = Owners::select(routers);
        let peers = peers.iter().map(|peer| (peer.vm.clone(), peer.clone()));
        self.peers = peers.collect();
        let teams: Vec<_> = self.elsewhere.keys().cloned().collect();
        self.elsewhere.clear();
        teams.iter().for_each(|team| self.add(team));
    }

    /// Takes note of a team.
    pub(super) fn add(&mut self, team: &TeamId) {
        let owners = self.owners.for_team(team);
        let mine = self.me.as_ref().is_some_and(|me| owners.contains(&me));
        let peers = match mine {
            true => Vec::new(),
            false => owners
                .iter()
                .filter_map(|vm| self.peers.get(*vm))
                .cloned()
                .collect(),
        };
        self.elsewhere.insert(team.clone(), peers);
    }

    /// Returns who keeps a team's budget for this router; nobody where it keeps it itself.
    pub(super) fn owners(&self, team: &TeamId) -> &[Peer] {
        self.elsewhere.get(team).map_or(&[], Vec::as_slice)
    }

    /// Returns those that keep a team's budget for this router and are thought to answer.
    pub(super) fn answering(&self, now: Instant, team: &TeamId) -> Vec<Peer> {
        let owners = self.owners(team).iter();
        owners
            .filter(|peer| !self.is_mute(now, &peer.vm))
            .cloned()
            .collect()
    }

    /// Returns whether a router did not answer of late, and was not heard of since.
    pub(super) fn is_mute(&self, now: Instant, vm: &VmId) -> bool {
        self.mute.get(vm).is_some_and(|until| now < *until)
    }

    /// Takes note that a router did not answer, whatever budget it was asked for.
    pub(super) fn silent(&mut self, now: Instant, peer: &Peer) {
        self.mute.insert(peer.vm.clone(), now + MUTE);
    }

    /// Takes note of a sign of life.
    pub(super) fn heard(&mut self, vm: &VmId) {
        self.mute.swap_remove(vm);
    }

    /// Returns whether this router is one of the few that keep a team's budget for all.
    pub(super) fn owns_for_all(&self, team: &TeamId) -> bool {
        !self.owners.includes_all() && self.owners(team).is_empty()
    }

    /// Returns whether the routers are known. Before, each of a large fleet would take itself for the only one, and draw a good
    /// part of all budgets at its start.
    pub(super) fn knows_routers(&self) -> bool {
        self.me.is_some()
    }

    /// Returns whether all routers keep all budgets.
    pub(super) fn is_everyone(&self) -> bool {
        self.owners.includes_all()
    }
}
