//! How fast a router may spend what it was granted.
//!
//! A router that dies leaves nobody who knows what it had spent. If all of its grant has to count as spent, holding much for
//! a cut from the log is dear: each death strands what was held. So each grant carries a promise: to use, beyond what was in
//! use when it was written, only so much at once and so much a second from then on. A router in touch with the log writes
//! its promise anew all the time and never feels it; one that is cut off may use more the longer the cut lasts, up to its
//! whole grant. Who starts on the same VM knows for how long at most the dead one can have spent after its last promise, and
//! gives back what it can't have touched.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::moment::ClockReading;
use crate::moment::Moment;
use crate::moment::Span;
use crate::tokens::TokenRate;
use crate::tokens::Tokens;

/// A promise about how fast a grant will be spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SpendPace {
    /// When it was made.
    pub(crate) made: Moment,
    /// How much of the grant was in use then: spent, reserved and lent, less what was borrowed.
    pub(crate) used: Tokens,
    /// How much more may be in use at once.
    pub(crate) room: Tokens,
    /// How much more yet for the time that passed since.
    pub(crate) rate: TokenRate,
    /// What the fleet's clocks read when it was made, if enough of them were known. It stands last: records of versions
    /// that did not say it end before it.
    pub(crate) fleet: Option<Span>,
}

impl SpendPace {
    /// Returns how much may be in use at a moment; nothing is known of moments before the promise, or after another boot.
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
