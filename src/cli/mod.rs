//! The operators' command line.

mod address;
mod args;
mod ask;
mod audit;
mod check;
mod configuration;
mod diff;
mod failure;
mod file;
mod output;
mod problem;
mod publish;
mod router;
mod sse;
mod status;
mod table;
mod team;
#[cfg(test)]
mod tests;
mod verify;

use std::ffi::OsString;
use std::process::ExitCode;

use anyhow::Context;
use clap::CommandFactory;
use clap::Parser;

use crate::cli::args::Cli;
use crate::cli::args::Command;
use crate::cli::args::ConfigCommand;
use crate::cli::args::LedgerCommand;
use crate::cli::args::TeamCommand;
use crate::cli::failure::Failure;
use crate::cli::output::Output;

/// Runs the command line and returns its exit code; `docs/CLI.md` lists them.
pub fn run_cli<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => {
            // If standard error is closed, the error cannot be reported.
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(failure::USAGE));
        }
    };
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("jasmineridge: {failure}");
            ExitCode::from(failure.code())
        }
    }
}

fn run(cli: Cli) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("no event loop could be started")?;
    runtime.block_on(command(cli))
}

async fn command(cli: Cli) -> Result<(), Failure> {
    let output = Output::new(cli.json);
    let places = cli.places;
    match cli.command {
        Command::Check { file } => check::check(&file, output),
        Command::Config { command } => match command {
            ConfigCommand::Get(args) => configuration::get(&places, &args, output).await,
            ConfigCommand::Put(args) => publish::put(&places, &args, output).await,
            ConfigCommand::Diff { file } => diff::diff(&places, &file, output).await,
        },
        Command::Team { command } => match command {
            TeamCommand::TopUp { team, amount, id } => {
                team::top_up(&places, &team, amount, &id, output).await
            }
            TeamCommand::Show { team } => team::show(&places, team.as_ref(), output).await,
        },
        Command::Status { table } => status::status(&places, table, output).await,
        Command::Address => address::address(&places, output).await,
        Command::Drain => address::drain(&places, output).await,
        Command::Ask(args) => ask::ask(&places, &args, output).await,
        Command::Ledger { command } => match command {
            LedgerCommand::Verify { engines } => verify::verify(&places, &engines, output).await,
        },
        Command::Completions { shell } => {
            let mut command = Cli::command();
            clap_complete::generate(shell, &mut command, "jasmineridge", &mut std::io::stdout());
            Ok(())
        }
    }
}
