//! Tests of the core without I/O: events in, effects out, and an in-memory log that returns appended records.

#![expect(
    clippy::disallowed_methods,
    reason = "a test reads its start time from the system clock"
)]

mod behind;
mod bench;
mod commit;
mod contended;
mod drained;
mod drained_domains;
mod fleet_clock;
mod fragmented;
mod grants;
mod heartbeats;
mod hung_up;
mod isolated;
mod ledger_budget;
mod outage;
mod owners;
mod pace;
mod power_lost;
mod random;
mod reborn;
mod refused;
mod reincarnated;
mod site;
mod starved;
