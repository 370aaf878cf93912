//! How much of a team's budget a router holds.
//!
//! Answers two patterns that pull apart: a partition from the log, in which a router can spend only what it drew before,
//! and a budget that runs low, where what one router holds idle makes another refuse although the team has tokens left.
//! Holding much serves the first and fails the second. Each router holds what its demand needs for a while, but never
//! more than a fixed part of what is still undrawn: as the budget drains, all holdings shrink with it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::tokens::Tokens;

/// How much demand a holding covers when refusals of teams with budget left weigh more: a partition of an hour, and a
/// quarter for demand that rises meanwhile.
const AVAILABLE_COVER: Duration = Duration::from_secs(4500);

/// How much demand a holding covers when what is tied up weighs more: longer than the log's short outages.
const STRICT_COVER: Duration = Duration::from_secs(900);

/// What all routers together may hold for each token undrawn, leaning to availability: with three quarters held, the
/// quarter that is left is still the largest single part.
const AVAILABLE_HELD: f64 = 3.0;

/// The same, leaning to strictness.
const STRICT_HELD: f64 = 1.0;

/// What all routers together hold at least of a team that was asked for of late, leaning to availability: half is there
/// for the routers that are asked more.
const AVAILABLE_LEAST: f64 = 0.5;

/// The same, leaning to strictness.
const STRICT_LEAST: f64 = 0.25;

/// A holding is filled up below this part of its aim, and emptied down to its aim above [`HIGH`] times it. The gap
/// between saves appends: without one each bill would be followed by a draw.
const LOW: f64 = 0.5;

/// See [`LOW`].
const HIGH: f64 = 2.0;

/// Which fault weighs more: one setting for a deployment.
///
/// Overspend is nought for both; what differs is how much of a budget lies at routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lean {
    /// Little lies at routers, so that an operator sees what is left; long partitions refuse sooner.
    #[default]
    Strict,
    /// Much lies at routers, for an hour's partition.
    Available,
}

/// What a router knows of a team's budget and its own part in it.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// What it holds free.
    pub free: Tokens,
    /// What its open claims reserve.
    pub claimed: Tokens,
    /// What no router has drawn, as last folded.
    pub undrawn: Tokens,
    /// How many routers are open, itself among them.
    pub routers: usize,
    /// Its own recent demand on the team, in tokens a second.
    pub demand: f64,
    /// What the request at hand needs, or nothing.
    pub wanted: Tokens,
    /// Whether the log can be reached.
    pub reachable: bool,
}

/// What to do with a holding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    None,
    /// Draw more.
    Draw(Tokens),
    /// Give some back.
    Return(Tokens),
}

/// Decides how much of a team's budget a router draws, keeps and returns.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldingPolicy {
    lean: Lean,
}

impl HoldingPolicy {
    /// Makes a policy that leans to one side.
    pub fn new(lean: Lean) -> Self {
        Self { lean }
    }

    /// Decides what to do now.
    pub fn decide(&self, share: &Share) -> Action {
        if !share.reachable {
            return Action::None;
        }
        let aim = self.aim(share);
        if share.free < share.wanted {
            return draw(share, aim.saturating_add(share.wanted));
        }
        if (share.free.0 as f64) < aim.0 as f64 * LOW {
            return draw(share, aim);
        }
        let keep = aim.max(share.wanted);
        if share.free.0 as f64 > keep.0 as f64 * HIGH {
            return Action::Return(share.free - keep);
        }
        Action::None
    }

    /// Returns what a router should hold free.
    fn aim(&self, share: &Share) -> Tokens {
        let (cover, held, least) = match self.lean {
            Lean::Strict => (STRICT_COVER, STRICT_HELD, STRICT_LEAST),
            Lean::Available => (AVAILABLE_COVER, AVAILABLE_HELD, AVAILABLE_LEAST),
        };
        let needed = share.demand * cover.as_secs_f64();
        // Counted on what it holds as well: from what is undrawn alone, each draw would lower the aim that it served,
        // and be returned.
        let reach = (share.undrawn.0 + share.free.0) as f64;
        let fair = reach * held / (1.0 + held) / share.routers.max(1) as f64;
        // Demand that is rare is no less due in a partition: the callers of a router that goes down come here at once.
        let least = reach * least / share.routers.max(1) as f64;
        Tokens(needed.max(least).min(fair) as u64)
    }
}

fn draw(share: &Share, upto: Tokens) -> Action {
    let missing = upto.saturating_sub(share.free).min(share.undrawn);
    match missing {
        Tokens::ZERO => Action::None,
        _ => Action::Draw(missing),
    }
}
