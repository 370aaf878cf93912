//! One team's budget.

use serde::Deserialize;
use serde::Serialize;

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
    /// What routers hold and have claimed, the sum over their holdings.
    pub(super) held: Tokens,
}

impl TeamState {
    /// Returns what routers hold and have claimed.
    pub fn held(&self) -> Tokens {
        self.held
    }

    /// Returns what may still be drawn.
    pub fn undrawn(&self) -> Tokens {
        self.unspent() - self.held
    }

    /// Returns what the team has not spent, wherever it lies.
    pub fn unspent(&self) -> Tokens {
        self.prepaid - self.spent - self.lost
    }
}
