//! The program.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use anyhow::Context;
use anyhow::Result;
use serde_json::json;

use crate::client::Client;
use crate::engine::open;

/// A started program, and where it listens.
struct Program {
    child: Child,
    client: Client,
}

impl Program {
    fn start(args: &[&str]) -> Result<Self> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jasmineridge-standin"))
            .args(args)
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let out = child.stdout.take().context("its output")?;
        BufReader::new(out).read_line(&mut line)?;
        let mut words = line.split_whitespace();
        assert_eq!(words.next(), Some("listening"));
        // A proxy is asked by its control interface, which it names last.
        let last = words.last().and_then(|word| word.split_once('='));
        let (_, address) = last.context("its address")?;
        let client = Client::new(address.parse()?);
        Ok(Self { child, client })
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
async fn each_stand_in_starts_and_ends_by_a_signal() -> Result<()> {
    let proxy = "proxy --to 127.0.0.1:9 --control 127.0.0.1:0";
    for (name, path) in [
        ("log", "/v1/stats"),
        ("vms", "/v1/vms"),
        ("engine", "/v1/load"),
        ("service", "/_calls"),
        (proxy, "/v1/links"),
    ] {
        let args: Vec<&str> = name.split(' ').collect();
        let mut program = Program::start(&args)?;
        assert_eq!(program.client.get(path).await?.status, 200, "{name}");
        let id = program.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        assert_eq!(program.child.wait()?.code(), Some(0), "{name}");
    }
    Ok(())
}

/// One request crashes the engine's process, and its exit code is that of a panic.
#[tokio::test]
async fn a_crash_may_end_the_process() -> Result<()> {
    let mut program = Program::start(&["engine", "--exit-on-crash"])?;
    let faults = json!({"crash_on": "poison"});
    program.client.post("/v1/faults", &faults).await?;
    // Whether the head of the answer still comes makes no difference.
    let _ = open(&program.client, "poison", 1, &[]).await;
    assert_eq!(program.child.wait()?.code(), Some(101));
    Ok(())
}
