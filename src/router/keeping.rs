//! Which budgets others keep for this router, and whom it asks for them.

use indexmap::IndexMap;

use crate::decide::Candidate;
use crate::decide::Keepers;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::router::effect::Peer;

/// Who keeps which budgets, as this router sees it.
#[derive(Debug, Default)]
pub(super) struct Keeping {
    keepers: Keepers,
    peers: IndexMap<VmId, Peer>,
    me: Option<VmId>,
    /// The keepers of each team that this router does not keep.
    elsewhere: IndexMap<TeamId, Vec<Peer>>,
}

impl Keeping {
    /// Takes over who the routers are.
    pub(super) fn seat(&mut self, me: &VmId, routers: Vec<Candidate>, peers: &[Peer]) {
        self.me = Some(me.clone());
        self.keepers = Keepers::draw(routers);
        let peers = peers.iter().map(|peer| (peer.vm.clone(), peer.clone()));
        self.peers = peers.collect();
        let teams: Vec<_> = self.elsewhere.keys().cloned().collect();
        self.elsewhere.clear();
        teams.iter().for_each(|team| self.add(team));
    }

    /// Takes note of a team.
    pub(super) fn add(&mut self, team: &TeamId) {
        let keepers = self.keepers.of(team);
        let mine = self.me.as_ref().is_some_and(|me| keepers.contains(&me));
        let peers = match mine {
            true => Vec::new(),
            false => keepers
                .iter()
                .filter_map(|vm| self.peers.get(*vm))
                .cloned()
                .collect(),
        };
        self.elsewhere.insert(team.clone(), peers);
    }

    /// Returns who keeps a team's budget for this router; nobody where it keeps it itself.
    pub(super) fn keepers(&self, team: &TeamId) -> &[Peer] {
        self.elsewhere.get(team).map_or(&[], Vec::as_slice)
    }

    /// Returns whether this router is one of the few that keep a team's budget for all.
    pub(super) fn keeps_for_all(&self, team: &TeamId) -> bool {
        !self.keepers.is_everyone() && self.keepers(team).is_empty()
    }

    /// Returns whether the routers are known. Before, each of a large fleet would take itself for the only one, and draw a good
    /// part of all budgets at its start.
    pub(super) fn is_seated(&self) -> bool {
        self.me.is_some()
    }

    /// Returns whether all routers keep all budgets.
    pub(super) fn is_everyone(&self) -> bool {
        self.keepers.is_everyone()
    }
}
