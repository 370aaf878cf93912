//! The command `team`: shows and tops up budgets.

use std::fmt;

use anyhow::Context;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::cli::args::Places;
use crate::cli::failure::Failure;
use crate::cli::output::Output;
use crate::cli::router::Router;
use crate::cli::table::Table;
use crate::ids::TeamId;
use crate::ids::TopUpId;
use crate::tokens::Tokens;

/// How many times a top-up is sent if its answer is lost. Its name ensures that it counts once.
const TRIES: usize = 3;

#[derive(Debug, Deserialize, Serialize)]
struct Teams {
    teams: Vec<Budget>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Budget {
    team: TeamId,
    prepaid: Tokens,
    spent: Tokens,
    lost: Tokens,
    held: Tokens,
    undrawn: Tokens,
}

impl fmt::Display for Teams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = ["team", "prepaid", "spent", "lost", "held", "undrawn"];
        let mut table = Table::new(head);
        for budget in &self.teams {
            let amounts = [
                budget.prepaid,
                budget.spent,
                budget.lost,
                budget.held,
                budget.undrawn,
            ];
            let mut row = vec![budget.team.to_string()];
            row.extend(amounts.iter().map(Tokens::to_string));
            table.add(row);
        }
        table.fmt(f)
    }
}

#[derive(Debug, Deserialize, Serialize)]
struct ToppedUp {
    applied: bool,
}

impl fmt::Display for ToppedUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.applied {
            true => "added",
            false => "a top-up of this name was added before; nothing was added now",
        })
    }
}

pub(crate) async fn show(
    places: &Places,
    only: Option<&TeamId>,
    output: Output,
) -> Result<(), Failure> {
    let mut teams: Teams = Router::new(places)?.get("/v1/admin/teams").await?;
    if let Some(only) = only {
        teams.teams.retain(|budget| budget.team == *only);
        if teams.teams.is_empty() {
            return Err(Failure::Refused(format!("no team {only} was topped up")));
        }
    }
    Ok(output.show(&teams)?)
}

pub(crate) async fn top_up(
    places: &Places,
    team: &TeamId,
    amount: Tokens,
    id: &TopUpId,
    output: Output,
) -> Result<(), Failure> {
    let router = Router::new(places)?;
    let path = format!("/v1/admin/teams/{team}/top-ups");
    let body = json!({"id": id, "amount": amount});
    let mut tries = 1;
    let answer = loop {
        match router.post(&path, &body).await {
            // After a lost answer the outcome is unknown. The name ensures that the top-up counts once, so it is sent again.
            Err(Failure::Unknown(_)) if tries < TRIES => tries += 1,
            outcome => break outcome?,
        }
    };
    let done: ToppedUp = serde_json::from_slice(&answer.body)
        .context("the router's answer cannot be read; the same command again tells")?;
    Ok(output.show(&done)?)
}
