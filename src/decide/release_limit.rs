//! Limits how fast a router may spend what it holds of a budget while the log is unreachable.
//!
//! Two failures pull in opposite directions. In a log outage, routers can spend only what they hold. When many routers
//! crash at once, nobody knows what they had used, so that everything they might have used is lost to the team. A
//! slower release strands fewer tokens in a crash, and refuses requests sooner in an outage. When holdings were
//! released at once, a power failure of nine routers stranded all that they held: a tenth of all budgets and more.
//! Released over the duration of an outage, the loss is what the routers would have used in the second or two of their
//! downtime, and outages are still survived.

use std::time::Duration;

use crate::tokens::TokenRate;
use crate::tokens::Tokens;

/// Demand that may be spent at once beyond what was in use when a spend pace was written. A request that needs more
/// waits some milliseconds for the next spend pace. With half a second of demand and two requests, a crash of all
/// routers stranded a fourteenth of all budgets.
const BURST_WINDOW: Duration = Duration::from_millis(100);

/// Upper bound of the rate of a spend pace, relative to the router's demand. In an outage, bursts above it are
/// refused; when a router crashes, each further tenth strands a tenth of a second of its demand for each second of
/// downtime.
const MAX_RATE_FACTOR: f64 = 1.1;

/// Time into an outage after which everything held may be spent, whatever the demand was before: callers that move to
/// this router, and routers that borrow from it, bring demand of their own.
const FULL_RELEASE: Duration = Duration::from_secs(40);

/// Limit on the spending of a holding, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseLimit {
    /// Tokens that may be spent at once, beyond those in use.
    pub burst: Tokens,
    /// Further tokens released each second.
    pub rate: TokenRate,
}

/// Returns the limit for `held` tokens that are not in use, with a demand in tokens per second, where an outage may
/// last for `outage`.
pub fn release_limit(demand: f64, held: Tokens, outage: Duration) -> ReleaseLimit {
    let held = held.0 as f64;
    let even_rate = held / outage.as_secs_f64();
    let rate = (demand * MAX_RATE_FACTOR).min(even_rate);
    let rate = rate.max(held / FULL_RELEASE.as_secs_f64());
    ReleaseLimit {
        burst: Tokens((demand * BURST_WINDOW.as_secs_f64()) as u64),
        rate: TokenRate(rate as u64),
    }
}
