//! Sets the callers' records against what was found.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ledger::Ledger;
use crate::standin::load::audit::Audit;
use crate::standin::load::audit::request_key;
use crate::standin::load::outcome::End;
use crate::standin::load::outcome::Outcome;
use crate::standin::load::outcome::Refusal;
use crate::standin::load::quantiles::Times;
use crate::standin::load::report::AccountReport;
use crate::standin::load::report::Found;
use crate::standin::load::report::Refusals;
use crate::standin::load::report::Report;
use crate::standin::load::report::Second;
use crate::standin::load::report::TeamReport;
use crate::standin::load::scenario::Scenario;
use crate::tokens::Tokens;

/// The kind of a refusal for a spent budget.
const SPENT: &str = "budget-spent";

/// Makes the report.
pub(crate) fn summarize(scenario: &Scenario, outcomes: &[Outcome], audit: &Audit) -> Report {
    let mut report = Report {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        ..Report::default()
    };
    let mut first = Times::new();
    let mut between = Times::new();
    for outcome in outcomes {
        count(&mut report, outcome);
        count_second(&mut report.goodput, outcome);
        if let Some(time) = outcome.first {
            first.add(time);
        }
        for gap in &outcome.gaps {
            between.add_micros(u64::from(*gap));
        }
    }
    report.first_token_ms = first.quantiles();
    report.between_tokens_ms = between.quantiles();
    report.accounts = accounts(scenario, outcomes);
    report.jain_accounts = jain(report.accounts.iter().map(|a| (a.whole, a.sent)));
    report.jain_teams = jain(by_team(&report.accounts).into_iter());
    report.wrong_answers += wrong_receipts(scenario, outcomes, audit);
    report.found = found(scenario, outcomes, audit);
    report
}

fn count(report: &mut Report, outcome: &Outcome) {
    report.sent += 1;
    report.attempts += outcome.attempts;
    let mut wrong = outcome.wrong;
    match &outcome.end {
        End::Whole(whole) => {
            report.whole += 1;
            wrong |= !whole.right;
        }
        End::Refused(refusal) => add(&mut report.refused, refusal),
        End::Unknown => report.unknown += 1,
    }
    for refusal in &outcome.refusals {
        add(&mut report.refusals, refusal);
    }
    report.wrong_answers += u64::from(wrong);
}

fn add(refusals: &mut Refusals, refusal: &Refusal) {
    let by_ran = refusals.entry(refusal.kind.clone()).or_default();
    *by_ran.entry(refusal.ran.clone()).or_default() += 1;
}

fn count_second(seconds: &mut Vec<Second>, outcome: &Outcome) {
    let at = outcome.ended.as_secs();
    while seconds.len() as u64 <= at {
        seconds.push(Second {
            second: seconds.len() as u64,
            ..Second::default()
        });
    }
    let second = &mut seconds[at as usize];
    match &outcome.end {
        End::Whole(whole) => {
            second.whole += 1;
            second.tokens += whole.usage.map_or(0, |(prompt, answer)| prompt + answer);
        }
        End::Refused(_) => second.refused += 1,
        End::Unknown => second.unknown += 1,
    }
}

fn accounts(scenario: &Scenario, outcomes: &[Outcome]) -> Vec<AccountReport> {
    let reports = scenario.accounts.iter().enumerate().map(|(at, load)| {
        let mut wait = Times::new();
        let mut report = AccountReport {
            account: load.name.clone(),
            team: load.team.clone(),
            sent: 0,
            whole: 0,
            refused: 0,
            unknown: 0,
            wait_ms: wait.quantiles(),
        };
        for outcome in outcomes.iter().filter(|o| o.job.account == at) {
            report.sent += 1;
            match outcome.end {
                End::Whole(_) => report.whole += 1,
                End::Refused(_) => report.refused += 1,
                End::Unknown => report.unknown += 1,
            }
            if let Some(first) = outcome.first {
                wait.add(first);
            }
        }
        report.wait_ms = wait.quantiles();
        report
    });
    reports.collect()
}

fn by_team(accounts: &[AccountReport]) -> Vec<(u64, u64)> {
    let mut teams: IndexMap<_, (u64, u64)> = IndexMap::new();
    for account in accounts {
        let team = teams.entry(&account.team).or_default();
        team.0 += account.whole;
        team.1 += account.sent;
    }
    teams.into_values().collect()
}

/// Returns Jain's index over shares of whole answers; those who sent nothing do not count.
fn jain<I>(parts: I) -> f64
where
    I: Iterator<Item = (u64, u64)>,
{
    let shares: Vec<f64> = parts
        .filter(|(_, sent)| *sent > 0)
        .map(|(whole, sent)| whole as f64 / sent as f64)
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    match squares > 0.0 {
        true => sum * sum / (shares.len() as f64 * squares),
        false => 1.0,
    }
}

/// Counts receipts of calls whose number no service gave to a call of that key.
fn wrong_receipts(scenario: &Scenario, outcomes: &[Outcome], audit: &Audit) -> u64 {
    if audit.calls.is_empty() {
        return 0;
    }
    let wrong = outcomes.iter().filter(|outcome| {
        let End::Whole(whole) = &outcome.end else {
            return false;
        };
        let Some(number) = whole.number else {
            return false;
        };
        let key = request_key(scenario, outcome).to_string();
        let at = (number as usize).wrapping_sub(1);
        let known = audit.calls.iter().filter_map(|calls| calls.get(at));
        !known
            .into_iter()
            .any(|call| call.key.as_ref() == Some(&key))
    });
    wrong.count() as u64
}

fn found(scenario: &Scenario, outcomes: &[Outcome], audit: &Audit) -> Found {
    let mut found = Found {
        unread: audit.unread.clone(),
        ran_twice: ran_twice(audit),
        ran_refused: ran_refused(scenario, outcomes, audit),
        ..Found::default()
    };
    let Some(ledger) = &audit.ledger else {
        return found;
    };
    for outcome in outcomes {
        judge_refusals(&mut found, scenario, outcome, audit);
        judge_bill(&mut found, scenario, outcome, ledger);
    }
    found.billed_reruns = audit.bills.values().filter(|b| b.len() > 1).count() as u64;
    found.billed_twice = billed_twice(ledger);
    found.teams = teams(scenario, ledger, audit);
    for team in &found.teams {
        let charged = team.spent.saturating_add(team.lost);
        found.overspend_billed += charged.saturating_sub(team.prepaid);
        found.overspend_used += team.used.saturating_sub(team.prepaid);
    }
    found
}

fn ran_twice(audit: &Audit) -> u64 {
    let mut effects: IndexMap<&str, u64> = IndexMap::new();
    for call in audit.calls.iter().flatten().filter(|c| c.method == "POST") {
        if let Some(key) = &call.key {
            *effects.entry(key).or_default() += 1;
        }
    }
    effects.values().filter(|count| **count > 1).count() as u64
}

/// Counts requests that were refused as not run and are listed as run.
///
/// A key that two requests share is passed over: its caller cannot say which of them a refusal spoke of.
fn ran_refused(scenario: &Scenario, outcomes: &[Outcome], audit: &Audit) -> u64 {
    let ran = audit.runs.iter().filter_map(|run| run.key.as_deref());
    let called = audit.calls.iter().flatten();
    let called = called.filter_map(|call| call.key.as_deref());
    let ran: IndexSet<&str> = ran.chain(called).collect();
    let shared: IndexSet<&str> = outcomes
        .iter()
        .filter(|outcome| outcome.job.repeats)
        .map(|outcome| outcome.job.key.as_str())
        .collect();
    let lied = outcomes.iter().filter(|outcome| {
        let End::Refused(refusal) = &outcome.end else {
            return false;
        };
        let key = request_key(scenario, outcome).to_string();
        let alone = !shared.contains(outcome.job.key.as_str());
        alone && refusal.ran == "no" && ran.contains(key.as_str())
    });
    lied.count() as u64
}

fn judge_refusals(found: &mut Found, scenario: &Scenario, outcome: &Outcome, audit: &Audit) {
    let team = &scenario.accounts[outcome.job.account].team;
    let Some(timeline) = audit.timelines.get(team) else {
        return;
    };
    let reserve = outcome.job.reserve;
    // A request counts once, by its last refusal: what a later try was granted was not withheld.
    if let End::Refused(refusal) = &outcome.end
        && refusal.kind == SPENT
    {
        let (from, to) = (refusal.sent, refusal.came);
        found.false_refusals += u64::from(timeline.covered(from, to, reserve));
        found.false_refusals_free += u64::from(timeline.free(from, to, reserve));
    }
}

fn judge_bill(found: &mut Found, scenario: &Scenario, outcome: &Outcome, ledger: &Ledger) {
    let End::Whole(whole) = &outcome.end else {
        return;
    };
    let key = ledger.key(&request_key(scenario, outcome));
    let Some(bill) = key.and_then(|key| key.bill.as_ref()) else {
        found.billed_never += 1;
        return;
    };
    if let Some((prompt, answer)) = whole.usage {
        found.billed_other += u64::from(bill.amount != Tokens(prompt + answer));
    }
}

/// Returns what teams were billed beyond the sum of the bills that stand, one a request.
fn billed_twice(ledger: &Ledger) -> Tokens {
    let bills = ledger.keys().filter_map(|(_, key)| key.bill.as_ref());
    let once: Tokens = bills.map(|bill| bill.amount).sum();
    let spent: Tokens = ledger.teams().map(|(_, team)| team.spent).sum();
    spent.saturating_sub(once)
}

fn teams(scenario: &Scenario, ledger: &Ledger, audit: &Audit) -> Vec<TeamReport> {
    let reports = ledger.teams().map(|(team, state)| {
        let runs = audit.runs.iter();
        let runs = runs.filter(|run| run.team.as_deref() == Some(team.as_str()));
        let generated: u64 = runs.map(|run| run.prompt_tokens + run.generated).sum();
        let called: Tokens = scenario
            .accounts
            .iter()
            .filter(|load| load.team == *team)
            .map(|load| {
                called(
                    load.name.as_str(),
                    load.service.as_ref().map(|s| s.price),
                    audit,
                )
            })
            .sum();
        TeamReport {
            team: team.clone(),
            prepaid: state.prepaid,
            spent: state.spent,
            lost: state.lost,
            used: called + Tokens(generated),
        }
    });
    reports.collect()
}

/// Returns the price of all calls of an account that took effect.
fn called(account: &str, price: Option<Tokens>, audit: &Audit) -> Tokens {
    let of = format!("{account}/");
    let calls = audit.calls.iter().flatten();
    let calls = calls.filter(|call| call.key.as_ref().is_some_and(|key| key.starts_with(&of)));
    Tokens(calls.count() as u64 * price.unwrap_or_default().0)
}
