//! The ledger's state of one router incarnation.

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

/// The state of one router incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterState {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The failure domain of that VM.
    pub domain: DomainId,
    /// The address for callers, `ip:port`.
    pub address: String,
    /// The sequence number of its last batch.
    pub sequence: Sequence,
    /// Whether the incarnation is closed.
    pub closed: bool,
    /// The time of its last batch, in milliseconds of the log service's clock.
    pub(super) at: u64,
    /// Its holding of each team's budget. Holdings are kept per router rather than per team, so that closing a router
    /// iterates only over its own holdings and a budget that nobody draws on takes no space here.
    pub holdings: IndexMap<TeamId, Holding>,
    /// The requests that it has claimed and not yet settled.
    pub(super) claims: IndexSet<RequestKey>,
    /// The number of the last transfer that it made as a lender.
    pub lent: u64,
}

impl RouterState {
    /// Creates the state of an incarnation that has just opened.
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

    /// Returns whether `sequence` is the number of its next batch.
    pub(super) fn is_next(&self, sequence: Sequence) -> bool {
        self.sequence.0.checked_add(1) == Some(sequence.0)
    }

    pub(super) fn holding_mut(&mut self, team: &TeamId) -> &mut Holding {
        self.holdings.entry(team.clone()).or_default()
    }

    /// Deducts `amount` from the claimed part of a holding and removes the holding if it is empty.
    pub(super) fn take_claimed(&mut self, team: &TeamId, amount: Tokens) {
        let Some((at, _, holding)) = self.holdings.get_full_mut(team) else {
            return;
        };
        holding.claimed -= amount;
        if *holding == Holding::default() {
            self.holdings.swap_remove_index(at);
        }
    }

    /// Removes a team's holding if it is empty, so that the state does not grow with every team ever drawn on.
    pub(super) fn remove_empty_holding(&mut self, team: &TeamId) {
        if self.holdings.get(team) == Some(&Holding::default()) {
            self.holdings.swap_remove(team);
        }
    }
}
