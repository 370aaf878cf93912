//! What is left of a budget when all routers lost their power.

use std::time::Duration;

use crate::router::Event;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::router::tests::site::Site;
use crate::router::tests::site::entry;
use crate::tokens::Tokens;
use crate::vms::VmEntry;

/// How many other routers there are.
const OTHERS: usize = 5;

/// What the team prepaid: a minute of its demand.
const PREPAID: u64 = 600_000;

/// What it is asked for each second.
const DEMAND: u64 = 10_000;

/// How long the VMs are down.
const DOWN: Duration = Duration::from_millis(1400);

/// How long the new process may not know better than it does at first.
const SETTLED: u64 = 1000;

fn vms() -> Vec<VmEntry> {
    let engine = entry("engine-0", 9100, &[("pool", "pool")]);
    let routers = (1..=OTHERS).map(|number| {
        let peer = format!("127.0.0.1:{}", 20_000 + number);
        let role = [("role", "router"), ("peer", peer.as_str())];
        entry(&format!("router-{number}"), 8001, &role)
    });
    [engine].into_iter().chain(routers).collect()
}

/// Has callers ask for the team's demand for so many seconds, and each of them be served at once.
fn serve(site: &mut Site, seconds: u64) {
    for tenth in 0..seconds * 10 {
        if tenth % 5 == 0 {
            site.hear_routers(OTHERS);
        }
        let id = site.ask("stream", DEMAND / 10 - 7, 7);
        site.pass(20);
        let usage = Usage {
            prompt: Tokens::ZERO,
            answer: Tokens(7),
        };
        site.tell(Event::Ended(id, RunEnd::Whole { usage }));
        site.pass(80);
    }
}

/// Returns what the new process takes for used by the one before it.
fn thought_used(site: &Site) -> u64 {
    let dump = site.core.funds.dump(site.now);
    let field = &dump["teams"][0]["granted_elsewhere"];
    field.as_u64().expect("a number")
}

/// All routers lose their power while they are in touch with the log, and are back within two seconds. Each new process takes
/// for used what the dead one's last promise left open until it started; that was seconds of each team's demand more than
/// the dead one can have used, and callers whose team had prepaid enough were refused for the rest of the day.
///
/// The dead process lived a third of a second after its promise at most, and nobody can tell how long its VM was down but by
/// clocks. So the time for which it was down, a second for the promise's age, its reserve and the haste, and not more.
#[test]
fn little_more_than_the_time_without_power_is_lost() {
    let mut site = Site::start_among(PREPAID, vms());
    serve(&mut site, 10);
    let used = 10 * DEMAND;
    site.lose_power(DOWN);
    site.hear_routers(OTHERS);
    site.pass(SETTLED);
    let lost = thought_used(&site) - used;
    let most = DEMAND * (DOWN.as_millis() as u64 + 1000) / 1000;
    assert!(lost <= most, "{lost} of at most {most} tokens");
}
