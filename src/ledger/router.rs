//! One router's incarnation, as the ledger knows it.

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainId;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::ledger::team::Holding;
use crate::tokens::Tokens;

/// One router's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterState {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The failure domain of that VM.
    pub domain: DomainId,
    /// Where callers reach it.
    pub address: String,
    /// The number of its last batch.
    pub sequence: Sequence,
    /// Whether it is over.
    pub closed: bool,
    /// When it was last heard of in the log, milliseconds of the log service's clock.
    pub(super) at: u64,
    /// What it has of each team's budget. It stands here, not with the teams, so that closing a router walks over what
    /// that one held and a budget that no one draws on costs nothing.
    pub holdings: IndexMap<TeamId, Holding>,
    /// The requests that it has claimed and not settled.
    pub(super) claims: IndexSet<RequestKey>,
    /// The number of the last holding that it lent.
    pub lent: u64,
}

impl RouterState {
    /// Makes the state of an incarnation that opens.
    pub(super) fn new(vm: &VmId, domain: &DomainId, address: &str, at: u64) -> Self {
        Self {
            vm: vm.clone(),
            domain: domain.clone(),
            address: address.to_owned(),
            sequence: Sequence(1),
            closed: false,
            at,
            holdings: IndexMap::new(),
            claims: IndexSet::new(),
            lent: 0,
        }
    }

    /// Tells whether a batch of this number is its next.
    pub(super) fn is_next(&self, sequence: Sequence) -> bool {
        self.sequence.0.checked_add(1) == Some(sequence.0)
    }

    pub(super) fn holding_mut(&mut self, team: &TeamId) -> &mut Holding {
        self.holdings.entry(team.clone()).or_default()
    }

    /// Takes `amount` of what is claimed of a team's budget away.
    pub(super) fn take_claimed(&mut self, team: &TeamId, amount: Tokens) {
        let Some((at, _, holding)) = self.holdings.get_full_mut(team) else {
            return;
        };
        holding.claimed -= amount;
        if *holding == Holding::default() {
            self.holdings.swap_remove_index(at);
        }
    }

    /// Forgets a holding of nothing, so that the state does not grow with each team that ever was drawn on.
    pub(super) fn remove_empty_holding(&mut self, team: &TeamId) {
        if self.holdings.get(team) == Some(&Holding::default()) {
            self.holdings.swap_remove(team);
        }
    }
}
