//! Faults at their times.

use std::time::Duration;

use anyhow::Result;
use serde::Deserialize;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::Fleet;

/// Something that goes wrong, or is mended.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fault {
    /// When, in milliseconds since the callers began.
    at_ms: u64,
    #[serde(flatten)]
    what: What,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum What {
    /// A router's process dies.
    Kill(usize),
    /// A router's VM is started again.
    Restart(usize),
    /// A router's process stands still.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// The log service's faults.
    Log(Value),
    /// An engine's faults.
    Engine { at: usize, faults: Value },
    /// Faults of all links of these routers to the log and to the other routers, in both directions.
    Part { routers: Vec<usize>, faults: Value },
    /// A team prepays more.
    TopUp {
        by: usize,
        team: String,
        amount: u64,
    },
}

impl Fleet {
    /// Brings each of the scenario's faults at its time.
    pub(crate) async fn bring_faults(&mut self) -> Result<()> {
        let begin = Instant::now();
        for fault in self.spec.faults.clone() {
            sleep_until(begin + Duration::from_millis(fault.at_ms)).await;
            println!("fault at_ms={} {:?}", fault.at_ms, fault.what);
            self.bring(fault.what).await?;
        }
        Ok(())
    }

    async fn bring(&mut self, what: What) -> Result<()> {
        match what {
            What::Kill(at) => self.routers[at].process.signal("KILL"),
            What::Freeze(at) => self.routers[at].process.signal("STOP"),
            What::Thaw(at) => self.routers[at].process.signal("CONT"),
            What::Restart(at) => self.restart(at).await,
            What::Log(faults) => {
                let url = format!("http://{}/v1/faults", self.log.address);
                self.post(&url, &faults).await.map(drop)
            }
            What::Engine { at, faults } => {
                let url = format!("http://{}/v1/faults", self.engines[at].address);
                self.post(&url, &faults).await.map(drop)
            }
            What::Part { routers, faults } => self.part(&routers, &faults).await,
            What::TopUp { by, team, amount } => self.top_up(by, &team, amount).await,
        }
    }

    async fn restart(&mut self, at: usize) -> Result<()> {
        let router = &self.routers[at];
        let (process, [address, peer]) = self.spawn(at, router.starts, router.vms.address).await?;
        let router = &mut self.routers[at];
        router.starts += 1;
        router.process = process;
        router.address = address;
        router.peer = peer;
        for from in 0..self.routers.len() {
            self.show(from, at).await?;
        }
        Ok(())
    }

    async fn part(&self, routers: &[usize], faults: &Value) -> Result<()> {
        let Some(proxy) = &self.proxy else {
            anyhow::bail!("the scenario has no links");
        };
        let mut links = Vec::new();
        for at in routers {
            links.push(format!("r{at}-log"));
            let others = (0..self.routers.len()).filter(|other| !routers.contains(other));
            for other in others {
                links.extend([format!("r{at}-r{other}"), format!("r{other}-r{at}")]);
            }
        }
        for link in links {
            let url = format!("http://{}/v1/links/{link}/faults", proxy.address);
            self.post(&url, faults).await?;
        }
        Ok(())
    }
}
