//! Small stand-ins for what the platform gives, each an HTTP server with faults to switch on; and callers.

#![expect(
    clippy::disallowed_methods,
    reason = "a program reads a scenario from a file"
)]

use std::fs;
use std::io;
use std::net::SocketAddr;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use clap::Args;
use clap::Parser;
use clap::Subcommand;
use jasmineridge::Engine;
use jasmineridge::EngineOptions;
use jasmineridge::LoadOptions;
use jasmineridge::Log;
use jasmineridge::LogOptions;
use jasmineridge::Proxy;
use jasmineridge::Scenario;
use jasmineridge::Service;
use jasmineridge::Vms;
use jasmineridge::VmsOptions;
use jasmineridge::listen;
use jasmineridge::run_load;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Small stand-ins for what the platform gives.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the log service.
    Log {
        #[command(flatten)]
        bind: Bind,
        #[command(flatten)]
        options: LogOptions,
    },
    /// Runs the VM list.
    Vms {
        #[command(flatten)]
        bind: Bind,
        #[command(flatten)]
        options: VmsOptions,
    },
    /// Runs a model engine.
    Engine {
        #[command(flatten)]
        bind: Bind,
        #[command(flatten)]
        options: EngineOptions,
    },
    /// Runs a plain service.
    Service {
        #[command(flatten)]
        bind: Bind,
    },
    /// Drives callers against a running fleet by a scenario, and prints a report.
    ///
    /// Exits with 1 where a figure that must be nought is not.
    Load {
        #[command(flatten)]
        options: LoadOptions,
    },
    /// Runs a fault-injecting TCP proxy; more links can be added over its control interface.
    Proxy {
        #[command(flatten)]
        bind: Bind,
        /// Where the connections go on to.
        #[arg(long, value_name = "IP:PORT")]
        to: SocketAddr,
        /// Where the control interface listens; port 0 takes any that is free.
        #[arg(long, value_name = "IP:PORT")]
        control: SocketAddr,
    },
}

#[derive(Debug, Args)]
struct Bind {
    /// Where to listen; port 0 takes any that is free.
    #[arg(long, value_name = "IP:PORT")]
    listen: SocketAddr,
}

impl Bind {
    /// Listens, and says where.
    fn open(&self) -> Result<TcpListener> {
        let listener = listen(self.listen).with_context(|| format!("listen on {}", self.listen))?;
        println!("listening address={}", listener.local_addr()?);
        Ok(listener)
    }
}

fn main() -> Result<()> {
    let cli = Cli::parse();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(cli.command))
}

async fn run(command: Command) -> Result<()> {
    // Set up before the address is printed: whoever reads it may send a signal at once.
    let mut signals = Signals::new()?;
    tokio::select! {
        result = serve(command) => result,
        () = signals.stop() => Ok(()),
    }
}

async fn serve(command: Command) -> Result<()> {
    match command {
        Command::Log { bind, options } => Log::new(options).serve(bind.open()?).await,
        Command::Vms { bind, options } => {
            let vms = Vms::from_options(&options).context("read the first list")?;
            vms.serve(bind.open()?).await;
        }
        Command::Engine { bind, options } => Engine::new(options).serve(bind.open()?).await,
        Command::Service { bind } => Service::new().serve(bind.open()?).await,
        Command::Load { options } => load(&options).await?,
        Command::Proxy { bind, to, control } => {
            let proxy = Proxy::new();
            let address = proxy.link_default(bind.listen, to)?;
            let listener = listen(control).with_context(|| format!("listen on {control}"))?;
            let control = listener.local_addr()?;
            println!("listening address={address} control={control}");
            proxy.serve(listener).await;
        }
    }
    Ok(())
}

/// Drives a fleet and prints what came of it.
async fn load(options: &LoadOptions) -> Result<()> {
    let path = options.scenario.display();
    let text = fs::read_to_string(&options.scenario).with_context(|| format!("reading {path}"))?;
    let scenario = Scenario::parse(&text).with_context(|| path.to_string())?;
    let report = run_load(options, &scenario).await;
    println!("{}", serde_json::to_string_pretty(&report)?);
    if report.found.holds() && report.wrong_answers == 0 {
        return Ok(());
    }
    bail!("the report has a figure that must be nought and is not");
}

/// The signals that end the program.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first of them.
    async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
