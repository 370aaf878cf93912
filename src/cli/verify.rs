//! The command `ledger verify`: verifies the ledger from the log.

use std::fmt;
use std::time::Duration;

use anyhow::Context;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::cli::args::Places;
use crate::cli::audit::Audit;
use crate::cli::configuration::LIMIT;
use crate::cli::configuration::PAGE;
use crate::cli::failure::Failure;
use crate::cli::output::Output;
use crate::cli::table::Table;
use crate::http_client::HttpClient;
use crate::ids::Offset;
use crate::ids::TeamId;
use crate::ledger;
use crate::ledger::Assembler;
use crate::ledger::Ledger;
use crate::log_client::LogClient;
use crate::log_client::ReadError;
use crate::settings::BaseUrl;
use crate::tokens::Tokens;

/// The stream of the partition.
const STREAM: &str = "ledger-0";

/// The stream of the partition's checkpoints.
const CHECKPOINTS: &str = "checkpoint-0";

/// The result of a verification.
#[derive(Debug, Serialize)]
struct Report {
    /// The first record that was verified. Earlier ones are covered by a checkpoint only.
    from: Offset,
    /// The offset of the next record.
    next: Offset,
    skipped: u64,
    teams: Vec<TeamReport>,
    violations: Vec<String>,
}

#[derive(Debug, Serialize)]
struct TeamReport {
    team: TeamId,
    prepaid: Tokens,
    spent: Tokens,
    lost: Tokens,
    held: Tokens,
    /// The tokens that engines report to have read and generated for the team.
    used: Option<Tokens>,
}

/// The report of an engine on one run.
#[derive(Debug, Deserialize)]
struct Run {
    #[serde(default)]
    team: Option<TeamId>,
    #[serde(default)]
    prompt_tokens: Tokens,
    #[serde(default)]
    generated: Tokens,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(["team", "prepaid", "spent", "lost", "held", "used"]);
        for team in &self.teams {
            let used = team
                .used
                .map_or_else(|| "-".to_owned(), |used| used.to_string());
            let amounts = [team.prepaid, team.spent, team.lost, team.held];
            let mut row = vec![team.team.to_string()];
            row.extend(amounts.iter().map(Tokens::to_string));
            row.push(used);
            table.add(row);
        }
        let (from, next, skipped) = (self.from, self.next, self.skipped);
        if from > Offset(0) {
            writeln!(f, "{table}\nsums before record {from} are a checkpoint's")?;
        } else {
            writeln!(f, "{table}")?;
        }
        write!(f, "records {from} to {next}, {skipped} unreadable, ")?;
        writeln!(f, "{} violations", self.violations.len())?;
        self.violations
            .iter()
            .try_for_each(|v| writeln!(f, "violated: {v}"))
    }
}

pub(crate) async fn verify(
    places: &Places,
    engines: &[BaseUrl],
    output: Output,
) -> Result<(), Failure> {
    let http = HttpClient::default();
    let log = LogClient::new(http.clone(), &places.log()?.to_string());
    let mut audit = begin(&log).await?;
    let from = audit.ledger.next();
    fold(&log, &mut audit).await?;
    let used = match engines {
        [] => None,
        _ => Some(ask_engines(&http, engines).await?),
    };
    let report = report(from, audit, used.as_ref());
    output.show(&report)?;
    match report.violations.len() {
        0 => Ok(()),
        count => Err(anyhow::anyhow!("{count} violations").into()),
    }
}

/// Starts from the first record, or from the newest checkpoint if the log no longer retains the first record.
async fn begin(log: &LogClient) -> anyhow::Result<Audit> {
    match log.read(STREAM, Offset(0), 1, Duration::ZERO, LIMIT).await {
        Ok(_) => Ok(Audit::default()),
        Err(gone @ ReadError::Gone { .. }) => match newest(log).await? {
            Some(ledger) => Ok(Audit::resume(ledger)),
            None => Err(anyhow::Error::new(gone).context("there is no whole checkpoint")),
        },
        Err(e) => Err(anyhow::Error::new(e).context(STREAM)),
    }
}

/// Returns the newest complete checkpoint.
async fn newest(log: &LogClient) -> anyhow::Result<Option<Ledger>> {
    let mut assembler = Assembler::new();
    let mut newest = None;
    let mut from = Offset(0);
    loop {
        let page = match log
            .read(CHECKPOINTS, from, PAGE, Duration::ZERO, LIMIT)
            .await
        {
            Err(ReadError::Gone { first, .. }) if first > from => {
                from = first;
                continue;
            }
            page => page.context(CHECKPOINTS)?,
        };
        let Some(last) = page.records.last() else {
            return Ok(newest);
        };
        from = Offset(last.offset.0 + 1);
        for record in page.records {
            let part = ledger::decode_part(&record.data).ok();
            let whole = part.and_then(|part| assembler.push(record.offset, part));
            newest = whole.map(|whole| whole.ledger).or(newest);
        }
    }
}

async fn fold(log: &LogClient, audit: &mut Audit) -> anyhow::Result<()> {
    loop {
        let from = audit.ledger.next();
        let page = log.read(STREAM, from, PAGE, Duration::ZERO, LIMIT).await;
        let page = page.context(STREAM)?;
        page.records.iter().for_each(|record| audit.apply(record));
        if page.records.is_empty() {
            return Ok(());
        }
        audit.check();
    }
}

async fn ask_engines(
    http: &HttpClient,
    engines: &[BaseUrl],
) -> anyhow::Result<IndexMap<TeamId, Tokens>> {
    let mut used: IndexMap<TeamId, Tokens> = IndexMap::new();
    for engine in engines {
        let url = format!("{engine}/v1/runs");
        let answer = http.get(&url, LIMIT).await.with_context(|| url.clone())?;
        let runs: Vec<Run> = serde_json::from_slice(&answer.body).context(url)?;
        for run in runs {
            if let Some(team) = run.team {
                *used.entry(team).or_default() += run.prompt_tokens + run.generated;
            }
        }
    }
    Ok(used)
}

fn report(from: Offset, audit: Audit, used: Option<&IndexMap<TeamId, Tokens>>) -> Report {
    let mut violations = audit.violations;
    let mut teams = Vec::new();
    for (team, state) in audit.ledger.teams() {
        let used = used.map(|used| used.get(team).copied().unwrap_or_default());
        if let Some(used) = used.filter(|used| *used > state.prepaid) {
            let prepaid = state.prepaid;
            violations.push(format!(
                "team {team}: engines used {used} of {prepaid} prepaid"
            ));
        }
        teams.push(TeamReport {
            team: team.clone(),
            prepaid: state.prepaid,
            spent: state.spent,
            lost: state.lost,
            held: state.held(),
            used,
        });
    }
    Report {
        from,
        next: audit.ledger.next(),
        skipped: audit.ledger.unreadable(),
        teams,
        violations,
    }
}
