//! What is left of a budget when all routers lost their power.

use std::time::Duration;

use crate::router::Event;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::entry;
use crate::router::tests::site::whole;
use crate::vms::VmEntry;

/// How many other routers there are.
const OTHER_ROUTERS: usize = 5;

/// What the team prepaid: a minute of its demand.
const PREPAID_TOKENS: u64 = 600_000;

/// What it is asked for each second.
const DEMAND_PER_S: u64 = 10_000;

/// How long the VMs are down.
const DOWNTIME: Duration = Duration::from_millis(1400);

/// How long the new process may not know better than it does at first.
const SETTLE_MS: u64 = 2000;

fn vms() -> Vec<VmEntry> {
    let engine = entry("engine-0", 9100, &[("pool", "pool")]);
    let routers = (1..=OTHER_ROUTERS).map(|number| {
        let peer = format!("127.0.0.1:{}", 20_000 + number);
        let role = [("role", "router"), ("peer", peer.as_str())];
        entry(&format!("router-{number}"), 8001, &role)
    });
    [engine].into_iter().chain(routers).collect()
}

/// Has callers ask for the team's demand for so many seconds, and each of them be served at once, if at all. Returns what
/// they used.
fn serve(site: &mut Site, seconds: u64) -> u64 {
    let mut used = 0;
    for tenth in 0..seconds * 10 {
        if tenth % 5 == 0 {
            site.hear_routers(OTHER_ROUTERS);
        }
        let id = site.ask("stream", DEMAND_PER_S / 10 - 7, 7);
        site.pass(20);
        if !site.runs(id).is_empty() {
            site.tell(Event::Ended(id, whole(7)));
            used += DEMAND_PER_S / 10;
        }
        site.pass(80);
    }
    used
}

/// Has all routers lose their power, and returns how much more than was used counts as used afterwards.
fn overcount_after_power_loss(site: &mut Site, used: u64) -> u64 {
    site.lose_power(DOWNTIME);
    site.hear_routers(OTHER_ROUTERS);
    site.pass(SETTLE_MS);
    counted_as_used(site) - used
}

/// Returns what the new process takes for used by the one before it.
fn counted_as_used(site: &Site) -> u64 {
    let dump = site.core.funds.dump(site.now);
    let field = &dump["teams"][0]["granted_elsewhere"];
    field.as_u64().expect("a number")
}

/// All routers lose their power while they are in touch with the log, and are back within two seconds. Each new process takes
/// for used what the dead one's last promise left open until it started. Three seconds were added to that time, because the
/// VM's clock may have been set back meanwhile: two thirds of what callers of teams that had prepaid enough were refused for,
/// and the share of requests served fell for the rest of the day. The line `given-back` showed it, team by team, beside what
/// the promise in `granted` consists of.
///
/// The dead process lived a third of a second after its promise at most, and nobody can tell how long its VM was down but by
/// clocks. So the time for which it was down, a second for the promise's age, its reserve and the haste, and not more.
#[test]
fn a_power_loss_costs_little_more_than_the_downtime() {
    let mut site = Site::start_among(PREPAID_TOKENS, vms());
    let used = serve(&mut site, 10);
    assert_eq!(used, 10 * DEMAND_PER_S);
    let lost = overcount_after_power_loss(&mut site, used);
    let most = DEMAND_PER_S * (DOWNTIME.as_millis() as u64 + 1000) / 1000;
    assert!(lost <= most, "{lost} of at most {most} tokens");
}

/// A VM's clock is five seconds ahead, and is set right while the VM has no power. By it no time has passed; its router was cut
/// off from the log for four seconds before, and used what it had promised for such a time. Given back, that would be used twice,
/// and the team be served more than it prepaid.
#[test]
fn a_clock_set_back_returns_no_used_tokens() {
    let mut site = Site::start_ahead(PREPAID_TOKENS, vms(), Duration::from_secs(5));
    let mut used = serve(&mut site, 10);
    site.log = Log::Away;
    used += serve(&mut site, 4);
    assert!(used > 13 * DEMAND_PER_S, "{used} tokens");
    site.lose_power(DOWNTIME);
    site.log = Log::Up;
    site.pass(500);
    site.hear_routers(OTHER_ROUTERS);
    site.pass(SETTLE_MS);
    let counted = counted_as_used(&site);
    assert!(counted >= used, "{counted} of {used} tokens");
}

/// The same loss of power, and few other routers are heard of: their clocks may all be wrong. The VM's own counts then, with
/// the allowance for its having been set back.
#[test]
fn too_few_clocks_are_not_trusted() {
    let mut site = Site::start_among(PREPAID_TOKENS, vms());
    let used = serve(&mut site, 10);
    site.lose_power(DOWNTIME);
    site.hear_routers(1);
    site.pass(SETTLE_MS);
    let lost = counted_as_used(&site) - used;
    let least = DEMAND_PER_S * (DOWNTIME.as_millis() as u64 + 3000) / 1000;
    assert!(lost >= least, "{lost} of at least {least} tokens");
}

/// Guards against a promise that is never written anew because nobody asks for the budget: it opens all the same, and all that
/// had opened was lost with the routers' power.
#[test]
fn a_power_loss_costs_an_idle_budget_little() {
    let mut site = Site::start_among(PREPAID_TOKENS, vms());
    let used = serve(&mut site, 10);
    for _ in 0..120 {
        site.hear_routers(OTHER_ROUTERS);
        site.pass(500);
    }
    let lost = overcount_after_power_loss(&mut site, used);
    let most = DEMAND_PER_S * (DOWNTIME.as_millis() as u64 + 1000) / 1000;
    assert!(lost <= most, "{lost} of at most {most} tokens");
}
