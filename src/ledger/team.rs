//! One team's budget.

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::TopUpId;
use crate::tokens::Tokens;

/// What a router has of a team's budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// What it may still reserve.
    pub free: Tokens,
    /// What its open claims reserve.
    pub claimed: Tokens,
}

/// One team's budget: prepaid = spent + lost + what routers hold + what is left to draw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamState {
    /// The sum of its top-ups.
    pub prepaid: Tokens,
    /// The sum of its bills.
    pub spent: Tokens,
    /// What runs without a bill used, or may have used, at the team's cost.
    pub lost: Tokens,
    /// What each router has of it.
    pub holdings: IndexMap<Incarnation, Holding>,
    pub(super) topups: IndexSet<TopUpId>,
}

impl TeamState {
    /// Returns what routers hold and have claimed.
    pub fn held(&self) -> Tokens {
        self.holdings.values().map(|h| h.free + h.claimed).sum()
    }

    /// Returns what may still be drawn.
    pub fn undrawn(&self) -> Tokens {
        self.prepaid - self.spent - self.lost - self.held()
    }

    /// Returns what the team has not spent, wherever it lies.
    pub fn unspent(&self) -> Tokens {
        self.prepaid - self.spent - self.lost
    }

    pub(super) fn holding(&mut self, router: Incarnation) -> &mut Holding {
        self.holdings.entry(router).or_default()
    }

    /// Forgets a holding of nothing, so that the state does not grow with each router that ever was.
    pub(super) fn tidy(&mut self, router: Incarnation) {
        if self.holdings.get(&router) == Some(&Holding::default()) {
            self.holdings.shift_remove(&router);
        }
    }
}
