//! Started processes, which end when their owner does.

use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use super::START;

/// A process that is killed when its owner is gone, also by a panic.
pub(crate) struct Process {
    child: Child,
    /// Where it is asked: a proxy's control interface, any other's only address.
    pub(crate) address: SocketAddr,
}

impl Process {
    /// Starts a stand-in.
    pub(crate) fn stand_in(args: &str) -> Result<Self> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jasmineridge-standin"))
            .args(args.split_whitespace())
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().context("its output")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let last = line.split_whitespace().last();
        let (_, address) = last.and_then(|w| w.split_once('=')).context("an address")?;
        let address = address.parse()?;
        Ok(Self { child, address })
    }

    /// Starts a router and returns where it listens for callers and for routers.
    pub(crate) async fn router(
        dir: &Path,
        name: &str,
        settings: &Value,
    ) -> Result<(Self, [SocketAddr; 2])> {
        let path = dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let log = dir.join(format!("{name}.log"));
        let child = Command::new(env!("CARGO_BIN_EXE_jasmineridged"))
            .arg("--settings")
            .arg(&path)
            .stderr(File::create(&log)?)
            .spawn()?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Self {
            child,
            address: any,
        };
        let until = Instant::now() + START;
        loop {
            if let Some(addresses) = listening(&log) {
                process.address = addresses[0];
                return Ok((process, addresses));
            }
            if process.child.try_wait()?.is_some() || Instant::now() > until {
                bail!("{name} does not listen: {}", fs::read_to_string(&log)?);
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Runs the load program to its end and returns its report.
    pub(crate) async fn load(dir: &Path, scenario: &Path, fleet: &[String]) -> Result<Value> {
        let out = dir.join("report.json");
        let mut child = Command::new(env!("CARGO_BIN_EXE_jasmineridge-standin"))
            .args(["load", "--scenario"])
            .arg(scenario)
            .args(fleet)
            .stdout(File::create(&out)?)
            .spawn()?;
        while child.try_wait()?.is_none() {
            sleep(Duration::from_millis(50)).await;
        }
        let text = fs::read_to_string(&out)?;
        serde_json::from_str(&text).with_context(|| format!("no report: {text}"))
    }

    /// Returns its process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, by the name that `kill` has for it.
    pub(crate) fn signal(&self, name: &str) -> Result<()> {
        let id = self.id().to_string();
        Command::new("kill").args(["-s", name, &id]).status()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn listening(log: &Path) -> Option<[SocketAddr; 2]> {
    let text = fs::read_to_string(log).ok()?;
    let line = text.lines().find(|l| l.contains("event=listening"))?;
    let field = |name: &str| {
        let mut words = line.split_whitespace().filter_map(|w| w.split_once('='));
        let (_, value) = words.find(|w| w.0 == name)?;
        value.trim_matches('"').parse().ok()
    };
    Some([field("callers")?, field("routers")?])
}
