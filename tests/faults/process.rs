//! Started processes, which end when the test does.

use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use serde_json::Value;

use crate::wait_for;

/// A process that is killed when the test is over, also by a panic.
pub(crate) struct Process(pub(crate) Child);

impl Process {
    /// Starts a stand-in and returns the addresses that it prints.
    pub(crate) fn stand_in(args: &str) -> Result<(Self, Vec<SocketAddr>)> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jasmineridge-standin"))
            .args(args.split_whitespace())
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().context("its output")?;
        let process = Self::of(child);
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let pairs = line.split_whitespace().filter_map(|w| w.split_once('='));
        let addresses = pairs.map(|(_, a)| Ok(a.parse()?)).collect::<Result<_>>()?;
        Ok((process, addresses))
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
        let process = Self::of(child);
        let limit = Duration::from_secs(20);
        wait_for("the router listens", limit, async || {
            Ok(listening(&log).is_some())
        })
        .await?;
        let addresses = listening(&log).context("its addresses")?;
        Ok((process, addresses))
    }

    /// Takes over a process that was started in another way.
    pub(crate) fn of(child: Child) -> Self {
        Self(child)
    }

    /// Sends a signal, by the name that `kill` has for it.
    pub(crate) fn signal(&self, name: &str) -> Result<()> {
        let id = self.0.id().to_string();
        Command::new("kill").args(["-s", name, &id]).status()?;
        Ok(())
    }

    /// Returns how it ended, if it did.
    pub(crate) fn ended(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.0.try_wait()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn listening(log: &Path) -> Option<[SocketAddr; 2]> {
    let text = fs::read_to_string(log).ok()?;
    let line = text.lines().find(|l| l.contains("event=listening"))?;
    let field = |name: &str| {
        let words = line.split_whitespace();
        let value = words
            .filter_map(|w| w.split_once('='))
            .find(|w| w.0 == name);
        value?.1.trim_matches('"').parse().ok()
    };
    Some([field("callers")?, field("routers")?])
}
