//! The model check of grants, with the real grant state, and its records.

mod record;
mod world;

use world::Rule;
use world::World;

use crate::explore::explore;

/// How many states each exploration may reach.
const BOUND: usize = 120_000;

fn run(world: World, name: &str) -> Option<String> {
    let found = explore(world, BOUND);
    println!(
        "{name}: states={} depth={} whole={}",
        found.states, found.depth, found.whole
    );
    found
        .fault
        .map(|fault| format!("{} after {:?}", fault.broken, fault.steps))
}

/// Two routers draw on one budget through a log that loses answers and carries appends out late; they lend to each other,
/// die and come back without a memory. The team is never served more than it prepaid.
#[test]
fn never_more_than_was_prepaid() {
    assert_eq!(run(World::new(None), "all rules"), None);
    assert_eq!(
        run(World::new(None).drawn(), "all rules, after a draw"),
        None
    );
}

/// The same where time passes, grants carry promises about how fast they are spent, and routers that come back give back what
/// the dead can't have touched.
#[test]
fn what_is_given_back_was_not_spent() {
    let world = World::new(None).paced();
    assert_eq!(run(world.clone(), "promises"), None);
    assert_eq!(run(world.clone().drawn(), "promises, after a draw"), None);
    let world = world.without_loans().drawn();
    assert_eq!(run(world, "promises, after a draw, without loans"), None);
}

/// The same where routers lose their power, and the clock of one VM was far ahead before.
#[test]
fn what_is_given_back_after_a_loss_of_power_was_not_spent() {
    let world = World::new(None).paced().powered().without_loans().drawn();
    assert_eq!(run(world.clone(), "losses of power"), None);
    assert_eq!(run(world.later().died(), "after a loss of power"), None);
}

/// The same with one rule left out at a time: each of them is needed, for without it the team is served too much.
#[test]
fn each_rule_is_needed() {
    for rule in [
        Rule::Condition,
        Rule::Others,
        Rule::GivenUp,
        Rule::Doubt,
        Rule::LentOnce,
    ] {
        let world = World::new(Some(rule)).drawn();
        is_needed(rule, world);
    }
    let world = |rule| World::new(Some(rule)).paced().without_loans().drawn();
    is_needed(Rule::Promise, world(Rule::Promise));
    is_needed(Rule::Passed, world(Rule::Passed).later().died());
    let powered = World::new(Some(Rule::Fleet)).paced().powered();
    let powered = powered.without_loans().drawn();
    is_needed(Rule::Fleet, powered.later().died());
    let world = world(Rule::PendingPromise).later().unheard().died();
    is_needed(Rule::PendingPromise, world);
}

fn is_needed(rule: Rule, world: World) {
    let fault = run(world, &format!("all but {rule:?}"));
    println!("  {}", fault.as_deref().unwrap_or("nothing"));
    assert!(fault.is_some(), "it holds without {rule:?}");
}
