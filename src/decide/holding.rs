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

/// How much demand a holding covers: a partition of an hour, and a half for demand that rises meanwhile.
const COVER_TIME: Duration = Duration::from_secs(5400);

/// What all routers together may hold for each token undrawn, leaning to availability: with two thirds held, a budget of
/// two hours still covers an hour's partition of those with most of the callers.
const AVAILABLE_HOLD_RATIO: f64 = 2.0;

/// The same, leaning to strictness. At 1, seven in a hundred requests of that partition were refused; at 1.5, one in seven
/// hundred.
const STRICT_HOLD_RATIO: f64 = 1.5;

/// A holding is filled up below this part of its aim: an hour's cover is left at any time, and a router appends a draw for
/// a team once in ten minutes or so.
const LOW_WATERMARK: f64 = 0.85;

/// A holding is emptied down to its aim above so many times it. Nearer to 1, each settled reservation would be followed by
/// a return.
const HIGH_WATERMARK: f64 = 1.5;

/// The part of its fair part that a router holds of a team in use, however rarely it was asked for it: the callers of a
/// router that goes down come here at once, and in a log outage nothing can be drawn for them.
const MIN_SHARE_DIVISOR: u64 = 4;

/// Which fault weighs more: one setting for a deployment.
///
/// Overspend is nought for both; what differs is how much of a budget lies at routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConsistencyMode {
    /// Less lies at routers, so that an operator sees what is left; a long partition refuses sooner when it runs low.
    #[default]
    Strict,
    /// Much lies at routers, for an hour's partition.
    Available,
}

/// What a router knows of a team's budget and its own part in it.
#[derive(Clone, Copy, Debug)]
pub struct BudgetView {
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
    /// The whole team's recent demand, as its bills in the ledger show it, in tokens a second; nought where unknown.
    pub team_demand: f64,
    /// What the request at hand needs, or nothing.
    pub wanted: Tokens,
    /// Whether the log can be reached.
    pub reachable: bool,
}

impl BudgetView {
    /// Returns what its own demand needs for a while.
    fn needed(&self, cover: Duration) -> Tokens {
        Tokens((self.demand * cover.as_secs_f64()) as u64)
    }

    /// Returns the router's part of the team's demand, of 1.
    fn demand_share(&self) -> f64 {
        match self.team_demand > 0.0 {
            true => (self.demand / self.team_demand).min(1.0),
            false => 1.0 / self.routers.max(1) as f64,
        }
    }
}

/// What to do with a holding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingAction {
    /// Nothing.
    None,
    /// Draw more.
    Draw(Tokens),
    /// Give some back.
    Return(Tokens),
}

/// Decides how much of a team's budget a router draws, keeps and returns.
#[derive(Clone, Copy, Debug)]
pub struct HoldingPolicy {
    hold_ratio: f64,
    cover: Duration,
}

impl HoldingPolicy {
    /// Makes a policy that leans to one side.
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

    /// Makes a policy whose holdings cover another time of demand, the longest partition that is to be borne, and that
    /// lets all routers together hold at most so much for each token undrawn.
    pub fn with_cover(cover: Duration, hold_ratio: f64) -> Self {
        Self { cover, hold_ratio }
    }

    /// Decides what to do now.
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
        let keep = target.max(view.wanted);
        if free > keep.0 as f64 * HIGH_WATERMARK {
            let step = match needed < fair_share {
                true => view.free - keep,
                false => self.step(view.free - keep),
            };
            return HoldingAction::Return(step);
        }
        HoldingAction::None
    }

    /// Returns the part of what is undrawn that a router may hold.
    fn fair_share(&self, view: &BudgetView) -> Tokens {
        Tokens((view.undrawn.0 as f64 * self.hold_ratio * view.demand_share()) as u64)
    }

    /// Returns how far to go of the way to a fair part.
    ///
    /// All routers see the same amount undrawn and act on it together. Going all the way, they draw it empty, see that it
    /// is, give all back, and so on with each append; a step of this size by each brings them there at once.
    fn step(&self, distance: Tokens) -> Tokens {
        Tokens((distance.0 as f64 / (1.0 + self.hold_ratio)).ceil() as u64)
    }
}

/// Decides for a router that holds too little for the request at hand.
///
/// Seven routers that each hold a part of what one request needs refuse it for ever, though the team could pay: what
/// can't be made up here goes back, so that it can be made up elsewhere.
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
