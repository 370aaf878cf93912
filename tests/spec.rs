//! Reads the specifications under `spec/`, explores all their states, and refutes each variant that lacks a rule.

use std::path::Path;
use std::sync::Arc;

use tla_checker::ast::Env;
use tla_checker::checker::CheckResult;
use tla_checker::checker::CheckerConfig;
use tla_checker::checker::check;
use tla_checker::config::parse_constant_value;
use tla_checker::parser::parse;

fn run(name: &str, constants: &[(&str, &str)]) -> CheckResult {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("spec")
        .join(name);
    #[expect(clippy::disallowed_methods, reason = "a test reads its specification")]
    let text = std::fs::read_to_string(&path).expect("the specification is there");
    let spec = parse(&text).unwrap_or_else(|error| panic!("{name}: {}", error.message));
    let mut domains = Env::new();
    for (name, value) in constants {
        let value = parse_constant_value(value).expect("it is a constant");
        domains.insert(Arc::from(*name), value);
    }
    let config = CheckerConfig {
        allow_deadlock: true,
        quiet: true,
        spec_path: Some(path),
        ..CheckerConfig::default()
    };
    check(&spec, &domains, &config)
}

/// Expects that all invariants hold with all rules, and that none of the rules can be left out.
fn prove(name: &str, sizes: &[(&str, &str)], rules: &[&str]) {
    let with = |left: Option<&str>| {
        let mut constants = sizes.to_vec();
        for rule in rules {
            let holds = if left == Some(rule) { "FALSE" } else { "TRUE" };
            constants.push((rule, holds));
        }
        run(name, &constants)
    };
    match with(None) {
        CheckResult::Ok(stats) => println!(
            "{name}: states={} depth={}",
            stats.states_explored, stats.max_depth_reached
        ),
        other => panic!("{name}: {other:?}"),
    }
    for rule in rules {
        match with(Some(rule)) {
            CheckResult::InvariantViolation(found, stats) => println!(
                "{name}: without={rule} refuted_in={} states={}",
                found.trace.len() - 1,
                stats.states_explored
            ),
            other => panic!("{name} without {rule}: {other:?}"),
        }
    }
}

/// Two operators change the same version at once, with answers lost and records late; routers pass old versions on. One
/// operator's change would vanish unnoticed, or a selector that was taken back would pay again.
#[test]
fn one_configuration() {
    let rules = ["BaseRule", "HigherRule"];
    prove("config.tla", &[("Puts", "3")], &rules);
}

/// The log lets records go while routers write checkpoints and die over them. A fresh router that finds neither the
/// records nor a whole checkpoint knows no budgets and refuses everything.
#[test]
fn a_fresh_router_can_always_start() {
    let rules = ["WholeRule", "NewerRule", "OrderRule", "KeepRule"];
    prove(
        "checkpoint.tla",
        &[("Records", "3"), ("Parts", "4")],
        &rules,
    );
}
