//! The router daemon.

#![expect(
    clippy::disallowed_methods,
    reason = "a program reads its settings from a file"
)]

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use clap::Parser;
use jasmineridge::IdleClock;
use jasmineridge::Settings;
use jasmineridge::SettingsError;
use jasmineridge::SiteSettings;
use jasmineridge::Stopped;
use jasmineridge::demo_lines;
use jasmineridge::init_logs;
use jasmineridge::init_output_logs;
use jasmineridge::serve;
use jasmineridge::serve_site;
use jasmineridge::start_demo;
use jasmineridge::top_up_demo;
use tokio::runtime::Builder;

/// Where the demo's router listens.
const DEMO_LISTEN: &str = "127.0.0.1:8080";

/// Routes requests of client accounts to endpoints, within the teams' prepaid budgets.
///
/// Exits with 0 after a planned stop in which every request ended, with 1 on an error, with 2 on a wrong command line,
/// and with 3 when a second signal or the drain limit cut off requests in progress.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// The settings, a JSON file.
    #[arg(long, required_unless_present = "demo")]
    settings: Option<PathBuf>,
    /// The settings are those of a platform with a metadata store.
    #[arg(long, requires = "settings")]
    site: bool,
    /// Checks the settings and ends.
    #[arg(long, requires = "settings")]
    check: bool,
    /// Runs one router with stand-ins for the platform and the endpoints in this process.
    #[arg(long, conflicts_with = "settings")]
    demo: bool,
    /// Where the demo's router listens.
    #[arg(long, default_value = DEMO_LISTEN, requires = "demo")]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("jasmineridged: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Result<ExitCode> {
    let idle = Arc::new(IdleClock::default());
    let parked = idle.clone();
    let runtime = Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || parked.record_idle())
        .build()?;
    let stopped = match &cli.settings {
        Some(path) if cli.site => {
            let settings = read(path, SiteSettings::parse)?;
            if cli.check {
                println!("{}: the settings are good", path.display());
                return Ok(ExitCode::SUCCESS);
            }
            let _logs = init_output_logs(settings.log_level);
            runtime.block_on(serve_site(settings, path.clone(), idle))?
        }
        Some(path) => {
            let settings = read(path, Settings::parse)?;
            if cli.check {
                println!("{}: the settings are good", path.display());
                return Ok(ExitCode::SUCCESS);
            }
            init_logs(settings.log_level);
            runtime.block_on(serve(settings))?
        }
        None => runtime.block_on(demo(cli.listen))?,
    };
    Ok(match stopped {
        Stopped::Drained => ExitCode::SUCCESS,
        Stopped::Cut => ExitCode::from(3),
    })
}

fn read<T>(path: &Path, parse: fn(&str) -> Result<T, SettingsError>) -> Result<T, anyhow::Error> {
    let text = fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    match parse(&text) {
        Ok(settings) => Ok(settings),
        Err(error) => bail!("{}: {error}", path.display()),
    }
}

async fn demo(listen: SocketAddr) -> Result<Stopped> {
    let demo = start_demo(listen).await?;
    init_logs(demo.settings.log_level);
    let ready = async {
        top_up_demo(listen).await?;
        println!("{}", demo_lines(listen));
        std::future::pending::<Result<Stopped>>().await
    };
    tokio::select! {
        stopped = serve(demo.settings) => Ok(stopped?),
        failed = ready => failed,
    }
}
