//! Tests of decisions under load: first each decision on its own, then what callers receive.

mod answer_size;
mod borrower_demand;
mod budget;
mod call_times;
mod capacity;
mod cold;
mod components;
mod crash_history;
mod crash_parts;
mod engine;
mod heartbeat_order;
mod herd;
mod load;
mod owners;
mod paused_endpoints;
mod poison;
mod prefill;
mod priority_demand;
mod queue;
mod rate_share;
mod release_limit;
mod retry_limits;
mod round_trips;
mod router;
mod shared_prefixes;
mod sim;
mod slots;

use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Seed of all scenarios.
const SEED: u64 = 0x6a61_736d;

#[expect(
    clippy::disallowed_methods,
    reason = "the tests start at an arbitrary instant"
)]
fn start() -> Instant {
    Instant::now()
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(SEED)
}

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
