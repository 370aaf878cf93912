//! `ledger verify`: the ledger, folded from the log.

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
use crate::log_client::LogClient;
use crate::settings::BaseUrl;
use crate::tokens::Tokens;

/// The partition's stream.
const STREAM: &str = "ledger-0";

/// What was found.
#[derive(Debug, Serialize)]
struct Report {
    records: Offset,
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
    /// What engines say that they read and generated for it.
    used: Option<Tokens>,
}

/// What an engine says of one run.
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
        let (records, skipped) = (self.records, self.skipped);
        write!(f, "{table}\n{records} records, {skipped} unreadable, ")?;
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
    let mut audit = fold(&log).await?;
    audit.close();
    let used = match engines {
        [] => None,
        _ => Some(ask_engines(&http, engines).await?),
    };
    let report = report(audit, used.as_ref());
    output.show(&report)?;
    match report.violations.len() {
        0 => Ok(()),
        count => Err(anyhow::anyhow!("{count} violations").into()),
    }
}

async fn fold(log: &LogClient) -> anyhow::Result<Audit> {
    let mut audit = Audit::default();
    loop {
        let from = audit.ledger.next();
        let page = log.read(STREAM, from, PAGE, Duration::ZERO, LIMIT).await;
        let page = page.with_context(|| format!("stream {STREAM}"))?;
        if page.records.is_empty() {
            return Ok(audit);
        }
        page.records.iter().for_each(|record| audit.apply(record));
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

fn report(audit: Audit, used: Option<&IndexMap<TeamId, Tokens>>) -> Report {
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
        records: audit.ledger.next(),
        skipped: audit.skipped,
        teams,
        violations,
    }
}
