//! Tests of the core without I/O: events in, effects out, and an in-memory log that returns appended records.

#![expect(
    clippy::disallowed_methods,
    reason = "a test reads its start time from the system clock"
)]

mod announced;
mod brittle;
mod cluster;
mod commit_timing;
mod concurrent_attempts;
mod crashed_endpoints;
mod crashes;
mod drain;
mod drained_domains;
mod endpoint_restart;
mod extreme_amounts;
mod first_limit;
mod fleet;
mod fleet_clock;
mod fragmented;
mod grants;
mod group_commit;
mod heartbeats;
mod hung_up;
mod ledger_budget;
mod out_of_step;
mod outage;
mod owners;
mod partition;
mod power_loss;
mod random;
mod random_announcements;
mod random_retries;
mod recorded_crashes;
mod recorded_versions;
mod refused;
mod reincarnated;
mod retry_count;
mod retry_limits;
mod site;
mod split_routes;
mod stale_config;
mod starved;
mod versions;
mod without_endpoints;
