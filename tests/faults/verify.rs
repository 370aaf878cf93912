//! The reference verifier: what the log alone says, held against what endpoints and callers say.

use std::process::Command;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use indexmap::IndexMap;
use jasmineridge::Batch;
use jasmineridge::Incarnation;
use jasmineridge::KeyState;
use jasmineridge::Ledger;
use jasmineridge::Offset;
use jasmineridge::RequestKey;
use jasmineridge::TeamId;
use jasmineridge::Tokens;
use jasmineridge::decode;
use jasmineridge::expected_answer;
use serde_json::Value;

use crate::caller::Try;
use crate::caller::Work;
use crate::cluster::Cluster;
use crate::cluster::PRICE;
use crate::wait_for;

/// How long bills may take to reach the log once all faults are mended.
const SETTLE: Duration = Duration::from_secs(20);

/// The ledger's stream, folded from its first record.
#[derive(Default)]
pub(crate) struct Reading {
    pub(crate) ledger: Ledger,
    /// What each step of the fold broke.
    wrong: Vec<String>,
    /// Each key's first bill.
    bills: IndexMap<RequestKey, Tokens>,
}

impl Reading {
    /// Folds what the log has beyond what was read before.
    pub(crate) async fn go_on(&mut self, cluster: &Cluster) -> Result<()> {
        loop {
            let from = self.ledger.next();
            let path = format!("/v1/streams/ledger-0/records?from={from}&max=1000");
            let page = cluster.log.http.get(&path).await?;
            ensure!(page.status == 200, "the ledger from {from}: {page:?}");
            let rows = page.json["records"].as_array().context("records")?.clone();
            if rows.is_empty() {
                return Ok(());
            }
            for row in rows {
                let data = row["data"].as_str().context("data")?;
                let batch = decode(&BASE64_STANDARD.decode(data)?)?;
                let offset = Offset(row["offset"].as_u64().context("an offset")?);
                let at = row["at"].as_u64().context("a time")?;
                self.fold(offset, at, &batch);
            }
        }
    }

    fn fold(&mut self, offset: Offset, at: u64, batch: &Batch) {
        self.ledger.apply(offset, at, batch);
        for (team, state) in self.ledger.teams() {
            let routers = self.ledger.routers();
            let holdings = routers.map(|(router, _)| self.ledger.holding(router, team));
            let held: Tokens = holdings.map(|h| h.free + h.claimed).sum();
            if held != state.held() || state.spent + state.lost + held > state.prepaid {
                self.wrong
                    .push(format!("{offset}: {team} beyond its budget: {state:?}"));
            }
        }
        for (key, state) in self.ledger.keys() {
            let Some(bill) = &state.bill else { continue };
            let first = self.bills.entry(key.clone()).or_insert(bill.amount);
            if *first != bill.amount {
                self.wrong.push(format!(
                    "{offset}: {key} billed {first}, then {}",
                    bill.amount
                ));
            }
        }
    }

    /// Returns what an incarnation holds of all teams' budgets.
    pub(crate) fn held_by(&self, router: Incarnation) -> u64 {
        let teams = self.ledger.teams();
        let held = teams.map(|(team, _)| self.ledger.holding(router, team));
        held.map(|h| (h.free + h.claimed).0).sum()
    }

    pub(crate) fn team(&self, team: &str) -> jasmineridge::TeamState {
        let team: TeamId = team.parse().expect("a name");
        self.ledger.team(&team).cloned().unwrap_or_default()
    }

    pub(crate) fn key(&self, team: &str, key: &str) -> Option<&KeyState> {
        self.ledger.key(&RequestKey {
            account: team.parse().expect("a name"),
            key: key.parse().expect("a key"),
        })
    }

    fn billed(&self, entry: &Try) -> bool {
        self.key(entry.ask.team, &entry.ask.key)
            .is_some_and(|key| key.bill.is_some())
    }
}

/// What ran at the endpoints for one key, by its beginning.
struct Ran {
    key: String,
    at: u64,
}

/// Checks all that must always hold, once the bills are in the log; returns the folded ledger.
///
/// # Panics
///
/// When something does not hold.
pub(crate) async fn verify(cluster: &Cluster) -> Result<Reading> {
    let reading = verify_from(cluster, Reading::default()).await?;
    audit(cluster).await?;
    Ok(reading)
}

/// Has the operators' command line verify the same.
async fn audit(cluster: &Cluster) -> Result<()> {
    let mut program = Command::new(env!("CARGO_BIN_EXE_jasmineridge"));
    program.args(["--log", &format!("http://{}", cluster.log.address)]);
    program.args(["ledger", "verify"]);
    for engine in &cluster.engines {
        program.args(["--engines", &format!("http://{}", engine.address)]);
    }
    let output = tokio::task::spawn_blocking(move || program.output()).await??;
    assert!(output.status.success(), "{output:?}");
    Ok(())
}

/// The same, where the log has let go what was read before.
pub(crate) async fn verify_from(cluster: &Cluster, mut reading: Reading) -> Result<Reading> {
    let tries = cluster.journal.tries();
    // What is missing after the wait is told below.
    let _ = wait_for("all whole answers are billed", SETTLE, async || {
        reading.go_on(cluster).await?;
        Ok(tries.iter().all(|t| !t.whole || reading.billed(t)))
    })
    .await;
    let mut wrong = reading.wrong.clone();
    wrong.extend(cluster.wrong.borrow().clone());
    check_balances(&reading, &mut wrong);
    for entry in &tries {
        check_answer(&reading, entry, &mut wrong);
    }
    let mut ran = engine_runs(cluster, &reading, &mut wrong).await?;
    ran.extend(service_calls(cluster, &tries, &mut wrong).await?);
    for entry in &tries {
        check_not_run(entry, &tries, &ran, &mut wrong);
    }
    let whole = tries.iter().filter(|t| t.whole).count();
    println!(
        "tries={} whole={whole} records={}",
        tries.len(),
        reading.ledger.next()
    );
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    Ok(reading)
}

/// The sum of the bills is what the teams spent.
fn check_balances(reading: &Reading, wrong: &mut Vec<String>) {
    let mut bills: IndexMap<TeamId, Tokens> = IndexMap::new();
    for (_, state) in reading.ledger.keys() {
        if let Some(bill) = &state.bill {
            *bills.entry(bill.team.clone()).or_default() += bill.amount;
        }
    }
    for (team, state) in reading.ledger.teams() {
        let sum = bills.get(team).copied().unwrap_or_default();
        if sum != state.spent {
            wrong.push(format!("{team}: bills of {sum}, spent {}", state.spent));
        }
    }
}

/// A whole answer is billed, and any answer is its own prompt's, as far as it came.
fn check_answer(reading: &Reading, entry: &Try, wrong: &mut Vec<String>) {
    if entry.whole && !reading.billed(entry) {
        wrong.push(format!(
            "{} has its whole answer and no bill",
            entry.ask.key
        ));
    }
    let Work::Chat { prompt, limit } = &entry.ask.work else {
        return;
    };
    let expected = expected_answer(prompt, *limit);
    let fits = match entry.whole {
        true => entry.text == expected,
        false => expected.starts_with(&entry.text),
    };
    if !fits {
        wrong.push(format!(
            "{} has another answer: {:?}",
            entry.ask.key, entry.text
        ));
    }
}

/// What engines used for a team is within its budget.
async fn engine_runs(
    cluster: &Cluster,
    reading: &Reading,
    wrong: &mut Vec<String>,
) -> Result<Vec<Ran>> {
    let mut used: IndexMap<String, u64> = IndexMap::new();
    let mut ran = Vec::new();
    for engine in &cluster.engines {
        let runs = engine.http.get("/v1/runs").await?.json;
        for run in runs.as_array().context("runs")? {
            let number = |name: &str| run[name].as_u64().unwrap_or(0);
            let team = run["team"].as_str().unwrap_or("").to_owned();
            *used.entry(team).or_default() += number("prompt_tokens") + number("generated");
            ran.push(Ran {
                key: text(&run["key"]),
                at: number("started_ms"),
            });
        }
    }
    for (team, used) in used {
        let prepaid = reading.team(&team).prepaid;
        println!("team={team} used={used} prepaid={prepaid}");
        if used > prepaid.0 {
            wrong.push(format!("{team}: engines used {used} of {prepaid}"));
        }
    }
    Ok(ran)
}

/// No call that may not be repeated took effect twice, and all of them are within the budget.
async fn service_calls(
    cluster: &Cluster,
    tries: &[Try],
    wrong: &mut Vec<String>,
) -> Result<Vec<Ran>> {
    let calls = cluster.service.http.get("/_calls").await?.json;
    let mut count: IndexMap<String, u64> = IndexMap::new();
    let mut ran = Vec::new();
    for call in calls.as_array().context("calls")? {
        let key = text(&call["key"]);
        *count.entry(key.clone()).or_default() += 1;
        let at = call["at"].as_u64().unwrap_or(0);
        ran.push(Ran { key, at });
    }
    for (key, times) in &count {
        if *times > 1 {
            wrong.push(format!("{key} took effect {times} times"));
        }
        if !tries.iter().any(|t| t.ask.name() == *key) {
            wrong.push(format!("{key} took effect, and nobody asked for it"));
        }
    }
    println!(
        "calls={} tokens={}",
        count.len(),
        count.len() as u64 * PRICE
    );
    Ok(ran)
}

/// What a caller was told was not run did not run, but by a try that it sent afterwards.
fn check_not_run(entry: &Try, tries: &[Try], ran: &[Ran], wrong: &mut Vec<String>) {
    let (Some(told), "no") = (entry.told, entry.ran()) else {
        return;
    };
    let key = &entry.ask.name();
    let later = tries
        .iter()
        .filter(|t| t.ask.name() == *key && t.sent >= told && t.attempt > entry.attempt);
    let first = later.map(|t| t.sent).min().unwrap_or(u64::MAX);
    for run in ran.iter().filter(|run| run.key == *key && run.at < first) {
        let kind = entry.kind();
        wrong.push(format!(
            "{key}: told at {told} that it was not run ({kind}), run at {}",
            run.at
        ));
    }
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("").to_owned()
}
