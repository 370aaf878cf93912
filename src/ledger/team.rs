//! The budget of one team.

use serde::Deserialize;
use serde::Serialize;

use crate::tokens::Tokens;

/// The part of a team's budget that a router holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The amount available for reservations.
    pub free: Tokens,
    /// The amount reserved by open claims.
    pub claimed: Tokens,
}

/// The budget of one team: `prepaid` = `spent` + `lost` + `held` + undrawn.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamState {
    /// The sum of its top-ups.
    pub prepaid: Tokens,
    /// The sum of its bills.
    pub spent: Tokens,
    /// What runs without a bill used, or may have used, at the team's cost.
    pub lost: Tokens,
    /// The sum of all routers' holdings, free and claimed.
    pub(super) held: Tokens,
}

impl TeamState {
    /// Returns the sum of all routers' holdings, free and claimed.
    pub fn held(&self) -> Tokens {
        self.held
    }

    /// Returns the amount that may still be drawn.
    pub fn undrawn(&self) -> Tokens {
        self.unspent() - self.held
    }

    /// Returns the amount that is neither spent nor lost, whether drawn or not.
    pub fn unspent(&self) -> Tokens {
        self.prepaid - self.spent - self.lost
    }
}
