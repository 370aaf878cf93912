//! A budget that runs out with seven routers, while the log is reachable and while three routers are cut off from it
//! for an hour.

use std::collections::VecDeque;

use jasmineridge::BudgetView;
use jasmineridge::ConsistencyMode;
use jasmineridge::HoldingAction;
use jasmineridge::HoldingPolicy;
use jasmineridge::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::SEED;

/// Number of seeds per strategy.
const SEEDS: u64 = 6;

/// Length of a simulation step; an append to the log takes one step.
const STEP_S: f64 = 0.25;

/// Tokens reserved by each request. It uses between a fifth of them and all.
const RESERVED_TOKENS: u64 = 1000;

/// Time that a request runs, and the time it waits for its router to draw tokens before it is refused.
const RUN_TIME_S: f64 = 2.0;
const MAX_WAIT_S: f64 = 3.0;

/// Time over which demand is averaged.
const DEMAND_WINDOW_S: f64 = 300.0;

/// Requests per second at each router. Skewed, because traffic is not spread evenly over routers.
const RATES_PER_S: [f64; 7] = [4.0, 2.0, 1.0, 1.0, 0.5, 0.5, 0.1];

/// Strategy that decides how many tokens a router holds.
#[derive(Clone, Copy, Debug)]
enum Strategy {
    Ours(ConsistencyMode),
    /// Draws a fiftieth of the budget whenever too little is free, and never returns it.
    FixedChunks,
    /// Has an equal part from the start. A simplification in its favor: a top-up is split equally as well.
    EqualSplit,
}

#[derive(Default)]
struct Router {
    free: u64,
    demand: f64,
    running: VecDeque<(f64, u64)>,
    waiting: VecDeque<f64>,
    action: Option<HoldingAction>,
}

#[derive(Debug, Default)]
struct Tally {
    requests: usize,
    refused: usize,
    /// Refused although the team's unreserved tokens, undrawn or free at any router, would have covered it.
    wrongly_refused: usize,
    partition_requests: usize,
    partition_wrong: usize,
    /// Share of the budget that was spent at the first wrong refusal.
    first_wrong_at: Option<f64>,
    spent_share: f64,
    appends: usize,
}

struct Team {
    prepaid: u64,
    undrawn: u64,
    spent: u64,
    routers: Vec<Router>,
    rng: ChaCha8Rng,
    tally: Tally,
}

/// Uses up a budget worth `budget_s` seconds of demand. From `partition_at` on, the first three routers cannot reach
/// the log for an hour, and a top-up of half the budget arrives halfway through that hour.
fn simulate(seed: u64, strategy: Strategy, budget_s: f64, partition_at: Option<f64>) -> Tally {
    let usual = RATES_PER_S.iter().sum::<f64>() * RESERVED_TOKENS as f64 * 0.6;
    let prepaid = (usual * budget_s) as u64;
    let mut team = Team {
        prepaid: 0,
        undrawn: 0,
        spent: 0,
        routers: (0..RATES_PER_S.len()).map(|_| Router::default()).collect(),
        rng: ChaCha8Rng::seed_from_u64(SEED + seed),
        tally: Tally::default(),
    };
    team.top_up(strategy, prepaid);
    let mut now = 0.0;
    let end = budget_s * 1.5 + 4000.0;
    while now < end && team.spent + RESERVED_TOKENS < team.prepaid {
        let partitioned = partition_at.is_some_and(|from| (from..from + 3600.0).contains(&now));
        if partition_at.is_some_and(|from| now == from + 1800.0) {
            team.top_up(strategy, prepaid / 2);
        }
        for at in 0..RATES_PER_S.len() {
            team.step(strategy, at, now, partitioned);
        }
        now += STEP_S;
    }
    let held: u64 = team.routers.iter().map(Router::held).sum();
    assert_eq!(
        team.prepaid,
        team.spent + team.undrawn + held,
        "no tokens are created or lost"
    );
    team.tally.spent_share = team.spent as f64 / team.prepaid as f64;
    team.tally
}

/// Runs the simulation with several seeds, because the last few requests decide how much of a budget is left.
fn simulate_seeds(strategy: Strategy, budget_s: f64, partition_at: Option<f64>) -> Tally {
    (0..SEEDS)
        .map(|seed| simulate(seed, strategy, budget_s, partition_at))
        .fold(Tally::default(), Tally::add)
}

impl Router {
    fn held(&self) -> u64 {
        self.free + self.running.len() as u64 * RESERVED_TOKENS
    }
}

impl Team {
    fn top_up(&mut self, strategy: Strategy, amount: u64) {
        self.prepaid += amount;
        self.undrawn += amount;
        if let Strategy::EqualSplit = strategy {
            let part = amount / RATES_PER_S.len() as u64;
            self.routers.iter_mut().for_each(|r| r.free += part);
            self.undrawn -= part * RATES_PER_S.len() as u64;
        }
    }

    fn step(&mut self, strategy: Strategy, at: usize, now: f64, partitioned: bool) {
        let cut_off = partitioned && at < 3;
        self.apply_action(at, cut_off);
        self.finish_running(at, now);
        if self.rng.random_range(0.0..1.0) < RATES_PER_S[at] * STEP_S {
            self.routers[at].waiting.push_back(now + MAX_WAIT_S);
            self.tally.requests += 1;
            self.tally.partition_requests += usize::from(partitioned);
        }
        self.start_waiting(at, now, partitioned);
        self.routers[at].action = self.decide(strategy, at, now, cut_off);
    }

    /// Applies the append of the previous step, as the ledger does.
    fn apply_action(&mut self, at: usize, cut_off: bool) {
        let router = &mut self.routers[at];
        match router.action.take().filter(|_| !cut_off) {
            Some(HoldingAction::Draw(want)) => {
                let granted = want.0.min(self.undrawn);
                self.undrawn -= granted;
                router.free += granted;
                self.tally.appends += 1;
            }
            Some(HoldingAction::Return(amount)) => {
                let given = amount.0.min(router.free);
                router.free -= given;
                self.undrawn += given;
                self.tally.appends += 1;
            }
            Some(HoldingAction::None) | None => (),
        }
    }

    fn finish_running(&mut self, at: usize, now: f64) {
        let router = &mut self.routers[at];
        while router.running.front().is_some_and(|(end, _)| *end <= now) {
            let (_, used) = router.running.pop_front().expect("a request is running");
            router.free += RESERVED_TOKENS - used;
            self.spent += used;
        }
    }

    fn start_waiting(&mut self, at: usize, now: f64, partitioned: bool) {
        let mut started = 0;
        while self.routers[at].free >= RESERVED_TOKENS && !self.routers[at].waiting.is_empty() {
            let used = self.rng.random_range(RESERVED_TOKENS / 5..=RESERVED_TOKENS);
            let router = &mut self.routers[at];
            router.waiting.pop_front();
            router.free -= RESERVED_TOKENS;
            router.running.push_back((now + RUN_TIME_S, used));
            started += RESERVED_TOKENS;
        }
        let demand = &mut self.routers[at].demand;
        *demand += (started as f64 * 0.6 / STEP_S - *demand) * STEP_S / DEMAND_WINDOW_S;
        while self.routers[at].waiting.front().is_some_and(|d| *d <= now) {
            self.routers[at].waiting.pop_front();
            self.record_refusal(partitioned);
        }
    }

    fn record_refusal(&mut self, partitioned: bool) {
        let free: u64 = self.routers.iter().map(|r| r.free).sum();
        self.tally.refused += 1;
        if self.undrawn + free >= RESERVED_TOKENS {
            self.tally.wrongly_refused += 1;
            self.tally.partition_wrong += usize::from(partitioned);
            let spent = self.spent as f64 / self.prepaid as f64;
            self.tally.first_wrong_at.get_or_insert(spent);
        }
    }

    fn decide(
        &self,
        strategy: Strategy,
        at: usize,
        now: f64,
        cut_off: bool,
    ) -> Option<HoldingAction> {
        let router = &self.routers[at];
        // Corrects for an average that started at zero recently.
        let weight = 1.0 - (-(now + STEP_S) / DEMAND_WINDOW_S).exp();
        let wanted = Tokens(if router.waiting.is_empty() {
            0
        } else {
            RESERVED_TOKENS
        });
        match strategy {
            Strategy::Ours(mode) => Some(HoldingPolicy::new(mode).decide(&BudgetView {
                free: Tokens(router.free),
                claimed: Tokens(router.running.len() as u64 * RESERVED_TOKENS),
                undrawn: Tokens(self.undrawn),
                routers: RATES_PER_S.len(),
                demand: router.demand / weight,
                team_demand: self.routers.iter().map(|r| r.demand / weight).sum(),
                wanted,
                reachable: !cut_off,
            })),
            Strategy::FixedChunks if router.free < wanted.0.max(RESERVED_TOKENS) => {
                Some(HoldingAction::Draw(Tokens(self.prepaid / 50)))
            }
            Strategy::FixedChunks | Strategy::EqualSplit => None,
        }
    }
}

/// Checks the results against the targets. A simplification in their favor: tokens reserved by other requests do not
/// count as available, so a refusal for lack of them is not counted as wrong.
fn assert_aims(healthy: &Tally, partitioned: &Tally, small_budget: &Tally) {
    assert!(healthy.wrong_share() < 0.001);
    assert!(healthy.first_wrong_at.is_none_or(|spent| spent >= 0.995));
    assert!(partitioned.partition_wrong_share() < 0.01);
    assert!(small_budget.partition_wrong_share() < 0.01);
}

impl Tally {
    /// Adds up two runs, and keeps the earlier of the first wrong refusals.
    fn add(self, other: Self) -> Self {
        let first = self.first_wrong_at.into_iter().chain(other.first_wrong_at);
        Self {
            requests: self.requests + other.requests,
            refused: self.refused + other.refused,
            wrongly_refused: self.wrongly_refused + other.wrongly_refused,
            partition_requests: self.partition_requests + other.partition_requests,
            partition_wrong: self.partition_wrong + other.partition_wrong,
            first_wrong_at: first.reduce(f64::min),
            spent_share: self.spent_share.max(other.spent_share),
            appends: self.appends + other.appends,
        }
    }

    fn wrong_share(&self) -> f64 {
        self.wrongly_refused as f64 / self.requests as f64
    }

    fn partition_wrong_share(&self) -> f64 {
        self.partition_wrong as f64 / self.partition_requests.max(1) as f64
    }
}

fn print_row(title: &str, strategy: Strategy, tally: &Tally) {
    println!(
        "{title:12} {:16} requests {:6} refused {:5} wrongly refused {:5} ({:.3}%), in the partition {:.3}%, spent at the first wrong refusal {:.4}, in total {:.4}, appends {}",
        format!("{strategy:?}"),
        tally.requests,
        tally.refused,
        tally.wrongly_refused,
        100.0 * tally.wrong_share(),
        100.0 * tally.partition_wrong_share(),
        tally.first_wrong_at.unwrap_or(tally.spent_share),
        tally.spent_share,
        tally.appends,
    );
}

/// A team's budget runs out while seven routers hold parts of it. A refusal is wrong if another router has free tokens;
/// this includes refusals by a router that is cut off from the log and has spent its holding.
#[test]
fn budget_runs_out() {
    let strategies = [
        Strategy::Ours(ConsistencyMode::Strict),
        Strategy::Ours(ConsistencyMode::Available),
        Strategy::FixedChunks,
        Strategy::EqualSplit,
    ];
    for strategy in strategies {
        let healthy = simulate_seeds(strategy, 1800.0, None);
        let partitioned = simulate_seeds(strategy, 6.0 * 3600.0, Some(600.0));
        let small_budget = simulate_seeds(strategy, 2.0 * 3600.0, Some(600.0));
        print_row("healthy", strategy, &healthy);
        print_row("partition", strategy, &partitioned);
        print_row("small budget", strategy, &small_budget);
        match strategy {
            Strategy::Ours(_) => {
                assert_aims(&healthy, &partitioned, &small_budget);
            }
            Strategy::FixedChunks | Strategy::EqualSplit => {
                assert!(healthy.wrong_share() > 0.1 && small_budget.partition_wrong_share() > 0.05);
            }
        }
    }
}
