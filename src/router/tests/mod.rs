//! Tests of the core as plain values: events in, effects out, and a log in memory that feeds what was appended back.

#![expect(
    clippy::disallowed_methods,
    reason = "a test takes the moment at which it starts from the system"
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
