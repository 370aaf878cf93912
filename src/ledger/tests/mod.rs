//! Model check: explores all histories up to a limit on the number of states, with the real fold.

mod records;
mod world;

use world::Haste;
use world::Step;
use world::World;

use crate::explore::Found;
use crate::explore::explore;
use crate::ledger::rules::DISABLED_RULE;
use crate::ledger::rules::Rule;

/// The maximum number of states per exploration; one with a larger state space stops there and prints `whole=false`.
const MAX_STATES: usize = 150_000;

fn run(name: &str, world: World, rule: Option<Rule>) -> Found<Step> {
    DISABLED_RULE.set(rule);
    let found = explore(world, MAX_STATES);
    DISABLED_RULE.set(None);
    let Found {
        states,
        depth,
        whole,
        fault,
    } = &found;
    let rules = rule.map_or("all".to_owned(), |rule| format!("all but {rule:?}"));
    println!("{name}: rules={rules} states={states} depth={depth} whole={whole}");
    if let Some(fault) = fault {
        println!("  {} after {:?}", fault.broken, fault.steps);
    }
    found
}

/// Checks that no invariant is violated with all rules enforced, and that disabling any one of `rules` violates one.
fn check(name: &str, world: &World, rules: &[Rule]) {
    let found = run(name, world.clone(), None);
    assert!(found.fault.is_none(), "{name}: {:?}", found.fault);
    for rule in rules {
        let found = run(name, world.clone(), Some(*rule));
        assert!(
            found.fault.is_some(),
            "{name}: no invariant is violated without {rule:?}"
        );
    }
}

/// An idempotent request is sent twice, to two routers, one of which may be closed while it is alive or dead. It is
/// billed once, and no caller is told that it was not run when it was or will be.
#[test]
fn a_request_that_may_run_again() {
    let rules = [
        Rule::FirstClaim,
        Rule::AttemptNumber,
        Rule::OrphanRefusal,
        Rule::ClaimRefusal,
        Rule::BillRefusal,
        Rule::FirstBill,
    ];
    check("again", &World::request(2, false, true), &rules);
}

/// A non-idempotent request is sent twice, to two routers, one of which may be closed while it is alive or dead. It
/// runs at most once.
#[test]
fn a_request_that_may_not_run_twice() {
    let rules = [Rule::FirstClaim, Rule::Billed, Rule::OrphanClaim];
    check("once", &World::request(2, true, true), &rules);
}

/// A router releases its claim, then claims and runs the next attempt. The response to the release was lost, so a copy
/// of it is appended after the new claim. If it ended that claim, a non-idempotent request could run again.
#[test]
fn a_copy_that_lands_behind_later_records() {
    let world = World::request(3, true, true).single_router();
    check("copies", &world, &[Rule::Sequence]);
}

/// Three attempts of one request, explored up to the limit.
#[test]
fn three_tries() {
    check("three again", &World::request(3, false, true), &[]);
    check("three once", &World::request(3, true, true), &[]);
}

/// A caller sends no attempt numbers. One attempt is delayed on the network while a later one is refused, arrives after
/// that, and is run. No rule of the fold can tell it from a new attempt, so a router must not report "not run" to such
/// a caller while an earlier attempt may be in flight.
#[test]
fn tries_without_numbers_are_not_covered() {
    let found = run("uncounted", World::request(2, false, false), None);
    let fault = found.fault.expect("the model check finds a fault");
    assert_eq!(
        fault.broken,
        "a request that was reported as not run has run"
    );
}

/// The same caller, but with no earlier attempt in flight when it sends the next one. Only claims can be late then, and
/// the offset in each claim shows it.
#[test]
fn tries_without_numbers_that_were_read() {
    let world = World::request(2, false, false).prompt();
    check("prompt", &world, &[Rule::SeenOffset]);
}

/// A router that dispatches before its claim is accepted, ends a response before its bill is, or releases the claim of a
/// run without a bill, violates an invariant.
#[test]
fn a_router_that_does_not_wait() {
    let world = World::request(2, true, true).hasty(Haste::Dispatch);
    assert!(run("hasty dispatch", world, None).fault.is_some());
    let world = World::request(2, false, true).hasty(Haste::End);
    assert!(run("hasty end", world, None).fault.is_some());
    let world = World::request(2, false, true).hasty(Haste::Release);
    assert!(run("hasty release", world, None).fault.is_some());
}

/// Two requests, two routers and one budget that is topped up in between: the budget is never exceeded.
#[test]
fn one_budget() {
    let rules = [Rule::TopUp, Rule::Draw, Rule::FreeOnClose, Rule::Closed];
    check("budget", &World::budget(), &rules);
    let single = World::budget().single_router();
    check("budget alone", &single, &[Rule::Reserve, Rule::BillCap]);
}
