//! Size of a router's holding of a team's budget.
//!
//! Two failures pull in opposite directions. In a partition from the log, a router can spend only what it drew before.
//! When a budget runs low, tokens held idle by one router make another refuse requests although the team has tokens
//! left. A large holding helps in the first case and harms in the second. Each router holds what its demand needs for
//! some time, but never more than a fixed fraction of the undrawn tokens, so that all holdings shrink as the budget
//! drains.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::tokens::Tokens;

/// Duration of demand that a holding covers: a partition of an hour, and a half more for demand that rises meanwhile.
const COVER_TIME: Duration = Duration::from_secs(5400);

/// Tokens that all routers together may hold for each undrawn token in `Available` mode: with two thirds held, a budget
/// of two hours still covers an hour's partition of the routers with most of the callers.
const AVAILABLE_HOLD_RATIO: f64 = 2.0;

/// The same in `Strict` mode. At 1, seven in a hundred requests of that partition were refused; at 1.5, one in seven
/// hundred.
const STRICT_HOLD_RATIO: f64 = 1.5;

/// Fraction of its target below which a holding is refilled: an hour's cover always remains, and a router appends a
/// draw for a team about once in ten minutes.
const LOW_WATERMARK: f64 = 0.85;

/// Multiple of its target above which a holding is reduced to the target. Closer to 1, each settled reservation would
/// be followed by a return.
const HIGH_WATERMARK: f64 = 1.5;

/// The minimum holding of a team in use is the fair share divided by this, however low the demand: when a router fails,
/// its callers move here at once, and in a log outage nothing can be drawn for them.
const MIN_SHARE_DIVISOR: u64 = 4;

/// Deployment-wide choice between visibility of the budget and availability.
///
/// Neither mode overspends; they differ in how much of a budget the routers hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConsistencyMode {
    /// Routers hold less, so that operators see what is left; long partitions cause refusals sooner when a budget runs
    /// low.
    #[default]
    Strict,
    /// Routers hold more, enough for an hour's partition.
    Available,
}

/// A router's view of a team's budget and of its own holding.
#[derive(Clone, Copy, Debug)]
pub struct BudgetView {
    /// Unreserved tokens that the router holds.
    pub free: Tokens,
    /// Tokens reserved by its open claims.
    pub claimed: Tokens,
    /// Tokens that no router has drawn, as of the last applied record.
    pub undrawn: Tokens,
    /// Number of open routers, including this one.
    pub routers: usize,
    /// The router's own recent demand on the team's budget, in tokens per second.
    pub demand: f64,
    /// Recent demand of the whole team, from its bills in the ledger, in tokens per second; 0 if unknown.
    pub team_demand: f64,
    /// Tokens that the current request needs, or 0.
    pub wanted: Tokens,
    /// Whether the log is reachable.
    pub reachable: bool,
}

impl BudgetView {
    /// Returns the tokens that the router's own demand needs over `cover`.
    fn needed(&self, cover: Duration) -> Tokens {
        Tokens((self.demand * cover.as_secs_f64()) as u64)
    }

    /// Returns the router's fraction of the team's demand, from 0 to 1.
    fn demand_share(&self) -> f64 {
        match self.team_demand > 0.0 {
            true => (self.demand / self.team_demand).min(1.0),
            false => 1.0 / self.routers.max(1) as f64,
        }
    }
}

/// Change to a holding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingAction {
    /// No change.
    None,
    /// Draw more tokens.
    Draw(Tokens),
    /// Return some tokens.
    Return(Tokens),
}

/// Decides how much of a team's budget a router draws, keeps and returns.
#[derive(Clone, Copy, Debug)]
pub struct HoldingPolicy {
    hold_ratio: f64,
    cover: Duration,
}

impl HoldingPolicy {
    /// Creates the policy of a consistency mode.
    pub fn new(mode: ConsistencyMode) -> Self {
        let hold_ratio = match mode {
            ConsistencyMode::Available => AVAILABLE_HOLD_RATIO,
            ConsistencyMode::Strict => STRICT_HOLD_RATIO,
        };
        Self {
            hold_ratio,
            cover: COVER_TIME,
        }
    }

    /// Creates a policy whose holdings cover another duration of demand, the longest partition to survive, and that
    /// lets all routers together hold at most `hold_ratio` tokens for each undrawn token.
    pub fn with_cover(cover: Duration, hold_ratio: f64) -> Self {
        Self { cover, hold_ratio }
    }

    /// Returns the change to make now.
    pub fn decide(&self, view: &BudgetView) -> HoldingAction {
        if !view.reachable {
            return HoldingAction::None;
        }
        let fair_share = self.fair_share(view);
        let needed = view
            .needed(self.cover)
            .max(Tokens(fair_share.0 / MIN_SHARE_DIVISOR));
        let target = needed.min(fair_share);
        if view.free < view.wanted {
            return cover_shortfall(view, target);
        }
        let free = view.free.0 as f64;
        if free < target.0 as f64 * LOW_WATERMARK {
            let step = self.step(fair_share.saturating_sub(view.free));
            return draw(view, view.free.saturating_add(step).min(needed));
        }
        let kept = target.max(view.wanted);
        if free > kept.0 as f64 * HIGH_WATERMARK {
            let step = match needed < fair_share {
                true => view.free - kept,
                false => self.step(view.free - kept),
            };
            return HoldingAction::Return(step);
        }
        HoldingAction::None
    }

    /// Returns how many tokens the router may hold, as its share of the undrawn tokens.
    fn fair_share(&self, view: &BudgetView) -> Tokens {
        Tokens((view.undrawn.0 as f64 * self.hold_ratio * view.demand_share()) as u64)
    }

    /// Returns how much of the distance to the fair share to cover now.
    ///
    /// All routers see the same undrawn amount and act on it concurrently. If each covered the full distance, they
    /// would draw the budget empty, see that it is empty, return everything, and repeat this with each append. With
    /// this step size, they reach their fair shares together.
    fn step(&self, distance: Tokens) -> Tokens {
        Tokens((distance.0 as f64 / (1.0 + self.hold_ratio)).ceil() as u64)
    }
}

/// Decides for a holding that is too small for the current request.
///
/// If seven routers each hold a fraction of what one request needs, all of them refuse it forever, although the team
/// could pay. If the missing tokens can't be drawn here, the holding is returned, so that another router can draw
/// enough.
fn cover_shortfall(view: &BudgetView, target: Tokens) -> HoldingAction {
    let missing = view.wanted - view.free;
    if view.undrawn >= missing {
        return draw(view, target.saturating_add(view.wanted));
    }
    match view.free {
        Tokens::ZERO => HoldingAction::None,
        free => HoldingAction::Return(free),
    }
}

fn draw(view: &BudgetView, target: Tokens) -> HoldingAction {
    let missing = target.saturating_sub(view.free).min(view.undrawn);
    match missing {
        Tokens::ZERO => HoldingAction::None,
        _ => HoldingAction::Draw(missing),
    }
}
