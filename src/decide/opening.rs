//! How fast what a router holds of a budget opens for use while the log says nothing.
//!
//! Answers two patterns that pull apart: a cut from the log, in which routers live on what they hold, and the death of many
//! routers at once, after which nobody knows what they had used. What might have been used is lost to the team; so the slower
//! it opens, the less is stranded, and the sooner callers are refused in a cut. Opened at once, all that nine routers held was
//! stranded when they lost their power: a tenth of all budgets and more. Spread over the time that a cut lasts, it is what
//! the routers would have used in the second or two that they were down, and a cut is ridden all the same.

use std::time::Duration;

use crate::tokens::TokenRate;
use crate::tokens::Tokens;

/// How much demand may be used at once beyond what was in use when a promise was written. A request that needs more waits
/// some milliseconds for the next promise; half a second of demand, and two requests, stranded a fourteenth of all budgets
/// at a death of all routers.
const BURST_WINDOW: Duration = Duration::from_millis(100);

/// How much faster than its demand a router promises to use its grants at most. In a cut, bursts beyond it are refused; where
/// a router dies, each tenth more strands a tenth of a second of its demand for each second that it is down.
const MAX_RATE_FACTOR: f64 = 1.1;

/// After how long in a cut all that is held may be used, whatever the demand was before: callers that move to this router,
/// and others that borrow, bring their own.
const FULL_RELEASE: Duration = Duration::from_secs(40);

/// What opens of a holding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseLimit {
    /// How much at once, beyond what is in use.
    pub burst: Tokens,
    /// How much more each second.
    pub rate: TokenRate,
}

/// Decides how a holding opens of which so much is not in use, with a demand in tokens a second, where a cut may last so
/// long.
pub fn release_limit(demand: f64, held: Tokens, cut: Duration) -> ReleaseLimit {
    let held = held.0 as f64;
    let even_rate = held / cut.as_secs_f64();
    let rate = (demand * MAX_RATE_FACTOR).min(even_rate);
    let rate = rate.max(held / FULL_RELEASE.as_secs_f64());
    ReleaseLimit {
        burst: Tokens((demand * BURST_WINDOW.as_secs_f64()) as u64),
        rate: TokenRate(rate as u64),
    }
}
