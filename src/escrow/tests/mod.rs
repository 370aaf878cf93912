//! Model check of grants with the production `GrantState`, and tests of its records.

mod record;
mod world;

use world::Rule;
use world::World;

use crate::explore::explore;

/// The maximum number of states per exploration.
const MAX_STATES: usize = 120_000;

fn run(world: World, name: &str) -> Option<String> {
    let found = explore(world, MAX_STATES);
    println!(
        "{name}: states={} depth={} whole={}",
        found.states, found.depth, found.whole
    );
    found
        .fault
        .map(|fault| format!("{} after {:?}", fault.broken, fault.steps))
}

/// Two routers draw on one budget through a log that loses answers and delays appends; they lend to each other, crash
/// and restart without state. The team is never served more than it prepaid.
#[test]
fn never_serves_more_than_prepaid() {
    assert_eq!(run(World::new(None), "all rules"), None);
    assert_eq!(
        run(World::new(None).after_draw(), "all rules, after a draw"),
        None
    );
}

/// With time: grants carry a spend pace, and restarted routers return what their dead incarnations cannot have spent.
#[test]
fn reclaimed_budget_was_not_spent() {
    let world = World::new(None).with_pace();
    assert_eq!(run(world.clone(), "spend pace"), None);
    assert_eq!(
        run(world.clone().after_draw(), "spend pace, after a draw"),
        None
    );
    let world = world.without_loans().after_draw();
    assert_eq!(run(world, "spend pace, after a draw, without loans"), None);
}

/// With power losses, before which the clock of one VM was far ahead.
#[test]
fn reclaimed_budget_was_not_spent_before_a_power_loss() {
    let world = World::new(None)
        .with_pace()
        .with_power_loss()
        .without_loans()
        .after_draw();
    assert_eq!(run(world.clone(), "power losses"), None);
    assert_eq!(
        run(world.after_two_ticks().after_crash(), "after a power loss"),
        None
    );
}

/// Omits one rule at a time: each is needed, because without it the team is served more than it prepaid.
#[test]
fn each_rule_is_needed() {
    for rule in [
        Rule::Condition,
        Rule::OtherGrants,
        Rule::PendingReturn,
        Rule::Uncertain,
        Rule::LoanDebit,
    ] {
        let world = World::new(Some(rule)).after_draw();
        assert_needed(rule, world);
    }
    let world = |rule| {
        World::new(Some(rule))
            .with_pace()
            .without_loans()
            .after_draw()
    };
    assert_needed(Rule::Pace, world(Rule::Pace));
    assert_needed(
        Rule::ElapsedTime,
        world(Rule::ElapsedTime).after_two_ticks().after_crash(),
    );
    let power_loss = World::new(Some(Rule::FleetClock))
        .with_pace()
        .with_power_loss();
    let power_loss = power_loss.without_loans().after_draw();
    assert_needed(Rule::FleetClock, power_loss.after_two_ticks().after_crash());
    let world = world(Rule::PendingPace)
        .after_two_ticks()
        .after_lost_renewal()
        .after_crash();
    assert_needed(Rule::PendingPace, world);
}

fn assert_needed(rule: Rule, world: World) {
    let fault = run(world, &format!("all but {rule:?}"));
    println!("  {}", fault.as_deref().unwrap_or("no violation"));
    assert!(fault.is_some(), "the invariant holds without {rule:?}");
}
