//! The model check: every history within a bound, folded by the real fold.

mod records;
mod world;

use world::Step;
use world::World;

use crate::explore::Found;
use crate::explore::explore;
use crate::ledger::rules::DISABLED_RULE;
use crate::ledger::rules::Rule;

/// How many states each exploration may reach; those whose whole space is larger stop there, and say so.
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

/// What each test expects of a world: nothing broken with all rules, something without any one of `rules`.
fn check(name: &str, world: &World, rules: &[Rule]) {
    let found = run(name, world.clone(), None);
    assert!(found.fault.is_none(), "{name}: {:?}", found.fault);
    for rule in rules {
        let found = run(name, world.clone(), Some(*rule));
        assert!(found.fault.is_some(), "{name} holds without {rule:?}");
    }
}

/// A briefing is asked for three times, at two routers, one of which is closed while it lives or dies: it is billed
/// once, and no caller is told that it was not run when it was or will be.
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

/// A disbursement is ordered three times, at two routers, one of which is closed while it lives or dies: it runs once.
#[test]
fn a_request_that_may_not_run_twice() {
    let rules = [Rule::FirstClaim, Rule::Billed, Rule::OrphanClaim];
    check("once", &World::request(2, true, true), &rules);
}

/// A router releases its claim, and claims and runs the next try. A copy of the release, whose answer was lost, lands
/// behind that claim and would end it: the disbursement could be claimed and run again.
#[test]
fn a_copy_that_lands_behind_later_records() {
    let world = World::request(3, true, true).single_router();
    check("copies", &world, &[Rule::Sequence]);
}

/// Three tries of one request: as far as the bound goes.
#[test]
fn three_tries() {
    check("three again", &World::request(3, false, true), &[]);
    check("three once", &World::request(3, true, true), &[]);
}

/// A caller that does not count its tries: one of them lies on the network while a later one is refused, arrives after
/// that, and is run. No rule of the fold can tell it from a new one, so a router may not say "not run" to such a caller
/// if an earlier try may be on its way.
#[test]
fn tries_without_numbers_are_not_covered() {
    let found = run("uncounted", World::request(2, false, false), None);
    let fault = found.fault.expect("it is refuted");
    assert_eq!(fault.broken, "what was told not to run ran");
}

/// The same caller, but that no earlier try is on its way when it sends the next one. Only claims may then be late, and
/// the offset that each carries gives those away.
#[test]
fn tries_without_numbers_that_were_read() {
    let world = World::request(2, false, false).prompt();
    check("prompt", &world, &[Rule::SeenOffset]);
}

/// A router dispatches before its claim was accepted, or ends an answer before its bill was.
#[test]
fn a_router_that_does_not_wait() {
    let world = World::request(2, true, true).hasty_dispatch();
    assert!(run("hasty dispatch", world, None).fault.is_some());
    let world = World::request(2, false, true).hasty_end();
    assert!(run("hasty end", world, None).fault.is_some());
}

/// Two requests, two routers and one budget, which is topped up in between: it is never exceeded.
#[test]
fn one_budget() {
    let rules = [Rule::TopUp, Rule::Draw, Rule::FreeOnClose, Rule::Closed];
    check("budget", &World::budget(), &rules);
    let single = World::budget().single_router();
    check("budget alone", &single, &[Rule::Reserve, Rule::BillCap]);
}
