//! Validation of single changes and documents, independent of the configuration that they are applied to.

use indexmap::IndexSet;

use crate::config::change_set::Change;
use crate::config::document::AccountSpec;
use crate::config::document::Body;
use crate::config::document::Kind;
use crate::config::document::Limits;
use crate::config::document::PoolKind;
use crate::config::document::PoolSpec;
use crate::config::document::RuleSpec;
use crate::config::rejected::Rejected;
use crate::ids::DocName;
use crate::ids::Version;
use crate::key_hash::KeyHash;
use crate::labels::Selector;
use crate::tokens::Tokens;

/// Maximum number of changes in one record: ten times the hourly share of 4,800 changes a day. Bounds how long one
/// record can block the event loop.
const MAX_CHANGES: usize = 2000;

/// The lowest priority; 0 is the highest.
const MAX_PRIORITY: u8 = 9;

/// Maximum number of keys per account: the old and the new key, with room for overlapping key rotations.
const MAX_KEYS: usize = 8;

/// Maximum weight of an account. Weights are relative to each other, so a larger range adds nothing.
const MAX_WEIGHT: u32 = 1000;

pub(crate) fn check_count(changes: &[Change]) -> Result<(), Rejected> {
    let count = changes.len();
    if !(1..=MAX_CHANGES).contains(&count) {
        let allowed = format!("1 to {MAX_CHANGES}");
        return Err(Rejected::invalid("changes", count.to_string(), allowed));
    }
    let mut seen = IndexSet::new();
    match changes.iter().find(|c| !seen.insert((c.kind, &c.name))) {
        None => Ok(()),
        Some(change) => Err(Rejected::invalid(
            format!("{}/{}", change.kind, change.name),
            "two changes",
            "each document once",
        )),
    }
}

pub(crate) fn check_change(change: &Change) -> Result<(), Rejected> {
    match &change.body {
        Some(body) => check_document(change.kind, &change.name, body),
        None if change.base == Version(0) => Err(Rejected::invalid(
            format!("{}/{}", change.kind, change.name),
            "a deletion of what does not exist",
            "a document in force",
        )),
        None => Ok(()),
    }
}

pub(crate) fn check_document(kind: Kind, name: &DocName, body: &Body) -> Result<(), Rejected> {
    let path = format!("{kind}/{name}");
    if body.kind() != kind {
        let found = format!("a body of the kind {}", body.kind());
        return Err(Rejected::invalid(path, found, kind.to_string()));
    }
    check_body(&path, body)
}

/// Checks a document's content; `path` is the document's path for error messages.
fn check_body(path: &str, body: &Body) -> Result<(), Rejected> {
    match body {
        Body::Account(account) => check_account(path, account),
        Body::Team(_) => Ok(()),
        Body::Pool(pool) => check_pool(path, pool),
        Body::Rule(rule) => check_rule(path, rule),
    }
}

fn check_account(path: &str, account: &AccountSpec) -> Result<(), Rejected> {
    let count = account.keys.len();
    if count > MAX_KEYS {
        let allowed = format!("at most {MAX_KEYS}");
        return Err(Rejected::invalid(
            format!("{path}.keys"),
            format!("{count} keys"),
            allowed,
        ));
    }
    for (at, key) in account.keys.iter().enumerate() {
        KeyHash::check(&format!("{path}.keys[{at}]"), key).map_err(Rejected::Invalid)?;
    }
    check_limits(&format!("{path}.limits"), &account.limits)
}

fn check_limits(path: &str, limits: &Limits) -> Result<(), Rejected> {
    check_range(&format!("{path}.rate"), limits.rate, u32::MAX)?;
    check_range(&format!("{path}.burst"), limits.burst, u32::MAX)?;
    check_range(&format!("{path}.concurrency"), limits.concurrency, u32::MAX)?;
    check_range(&format!("{path}.weight"), limits.weight, MAX_WEIGHT)
}

fn check_range(path: &str, value: u32, max: u32) -> Result<(), Rejected> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    let allowed = format!("1 to {max}");
    Err(Rejected::invalid(path, value.to_string(), allowed))
}

fn check_pool(path: &str, pool: &PoolSpec) -> Result<(), Rejected> {
    check_selector(&format!("{path}.select"), &pool.select)?;
    check_range(&format!("{path}.concurrency"), pool.concurrency, u32::MAX)?;
    match &pool.kind {
        PoolKind::Engine { models, max_tokens } => {
            let path = format!("{path}.kind.engine");
            if models.is_empty() {
                let path = format!("{path}.models");
                return Err(Rejected::invalid(path, "no model", "at least one"));
            }
            check_nonzero(&format!("{path}.max_tokens"), *max_tokens)
        }
        PoolKind::Service {
            name, repeatable, ..
        } => {
            let path = format!("{path}.kind.service");
            check_service_name(&format!("{path}.name"), name)?;
            repeatable
                .keys()
                .try_for_each(|method| check_method(&format!("{path}.repeatable"), method))
        }
    }
}

fn check_nonzero(path: &str, amount: Tokens) -> Result<(), Rejected> {
    match amount {
        Tokens::ZERO => Err(Rejected::invalid(path, "0", "1 or more")),
        _ => Ok(()),
    }
}

fn check_service_name(path: &str, name: &str) -> Result<(), Rejected> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.';
    if (1..=64).contains(&name.len()) && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let allowed = "1 to 64 letters, digits, `-`, `_` and `.`";
    Err(Rejected::invalid(path, format!("{name:?}"), allowed))
}

fn check_method(path: &str, method: &str) -> Result<(), Rejected> {
    if !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase()) {
        return Ok(());
    }
    let allowed = "an HTTP method in capital letters";
    Err(Rejected::invalid(path, format!("{method:?}"), allowed))
}

fn check_rule(path: &str, rule: &RuleSpec) -> Result<(), Rejected> {
    check_selector(&format!("{path}.when"), &rule.when)?;
    if rule.priority <= MAX_PRIORITY {
        return Ok(());
    }
    Err(Rejected::invalid(
        format!("{path}.priority"),
        rule.priority.to_string(),
        format!("0 to {MAX_PRIORITY}"),
    ))
}

/// Rejects a label without allowed values: it would match nothing, which is never intended.
fn check_selector(path: &str, selector: &Selector) -> Result<(), Rejected> {
    match selector.0.iter().find(|(_, values)| values.is_empty()) {
        None => Ok(()),
        Some((label, _)) => Err(Rejected::invalid(
            format!("{path}.{label}"),
            "no value",
            "at least one",
        )),
    }
}
