//! How fast a router may spend its grant.
//!
//! When a router dies, nobody knows what it had spent. If its whole grant had to count as spent, a grant large enough
//! for an outage of the log would be costly: each death would strand all that was held. Each grant therefore carries a
//! spend pace, a commitment to use, beyond what was in use when the record was written, only so much at once and so
//! much a second from then on. A router in contact with the log renews its pace all the time and is never slowed by it;
//! one that is cut off may use more the longer the outage lasts, up to its whole grant. The next incarnation on the
//! same VM knows for how long at most the dead one can have spent after its last pace was written, and returns what it
//! cannot have used.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::moment::ClockReading;
use crate::moment::Moment;
use crate::moment::Span;
use crate::tokens::TokenRate;
use crate::tokens::Tokens;

/// A commitment on how fast a grant will be spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SpendPace {
    /// When it was made.
    pub(crate) made: Moment,
    /// How much of the grant was in use then: spent, reserved and lent, less what was borrowed.
    pub(crate) used: Tokens,
    /// How much more may be in use at once.
    pub(crate) room: Tokens,
    /// How much more may be in use for each second that has passed since.
    pub(crate) rate: TokenRate,
    /// What the clocks of the fleet showed when it was made, if enough of them were known. The field comes last:
    /// records of versions that did not have it end before it.
    pub(crate) fleet: Option<Span>,
}

impl SpendPace {
    /// Returns how much may be in use at a moment; `None` for moments before the pace was set or after another boot,
    /// about which nothing is known.
    pub(crate) fn usable_at(&self, at: &ClockReading) -> Option<Tokens> {
        let made = ClockReading {
            own: self.made,
            fleet: self.fleet,
            awaited: false,
        };
        let passed = at.since(&made)?;
        Some(self.usable_after(passed))
    }

    fn usable_after(&self, passed: Duration) -> Tokens {
        let at_once = self.used.saturating_add(self.room);
        at_once.saturating_add(self.rate.over(passed))
    }
}
