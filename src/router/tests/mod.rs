//! Tests of the core as plain values: events in, effects out, and a log in memory that feeds what was appended back.

#![expect(
    clippy::disallowed_methods,
    reason = "a test takes the moment at which it starts from the system"
)]

mod cluster;
mod commit_timing;
mod concurrent_attempts;
mod drain;
mod drained_domains;
mod endpoint_restart;
mod fleet_clock;
mod grants;
mod group_commit;
mod heartbeats;
mod hung_up;
mod outage;
mod owners;
mod partition;
mod power_loss;
mod purse;
mod random;
mod refused;
mod reincarnated;
mod scattered;
mod site;
mod stale_config;
mod starved;
