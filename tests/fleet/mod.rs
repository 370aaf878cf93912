//! A fleet as a scenario describes it: routers, the platform and endpoints, each a process.

mod faults;
mod process;
mod spec;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use bytes::Bytes;
use http_body_util::Full;
use jasmineridge::HttpClient;
use jasmineridge::KeyHash;
use jasmineridge::Scenario;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

pub(crate) use faults::Fault;
pub(crate) use process::Process;
pub(crate) use spec::Spec;

/// How long anything may take that is expected to come, on a busy machine.
const START: Duration = Duration::from_secs(30);

/// How long one call may take.
const CALL: Duration = Duration::from_secs(5);

/// One router, and the VM list as it alone sees it.
pub(crate) struct Router {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
    peer: SocketAddr,
    vms: Process,
    starts: usize,
}

/// A running fleet; its processes end with it.
pub(crate) struct Fleet {
    spec: Spec,
    dir: PathBuf,
    http: HttpClient,
    /// Carries the links that faults cut, where the scenario has any.
    proxy: Option<Process>,
    pub(crate) log: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    pub(crate) routers: Vec<Router>,
    top_ups: usize,
}

impl Fleet {
    /// Starts a scenario's fleet, publishes its configuration and prepays its budgets.
    pub(crate) async fn start(scenario: &Scenario) -> Result<Self> {
        let spec: Spec = serde_json::from_value(scenario.fleet.clone())?;
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(&scenario.name);
        fs::create_dir_all(&dir)?;
        let proxy = match spec.links {
            true => Some(Process::stand_in(
                "proxy --to 127.0.0.1:9 --control 127.0.0.1:0",
            )?),
            false => None,
        };
        let mut engines = Vec::new();
        for kind in &spec.engines {
            for _ in 0..kind.count {
                engines.push(Process::stand_in(&format!("engine {}", kind.options))?);
            }
        }
        let services = (0..spec.services).map(|_| Process::stand_in("service"));
        let mut fleet = Self {
            dir,
            http: HttpClient::new(None),
            proxy,
            log: Process::stand_in(&format!("log {}", spec.log))?,
            engines,
            services: services.collect::<Result<_>>()?,
            routers: Vec::new(),
            top_ups: 0,
            spec,
        };
        fleet.publish(scenario).await?;
        for at in 0..fleet.spec.routers {
            fleet.add_router(at).await?;
        }
        fleet.ready().await?;
        for (team, amount) in fleet.spec.budgets.clone() {
            fleet.top_up(0, &team, amount).await?;
        }
        Ok(fleet)
    }

    /// Returns the arguments by which the load program finds the fleet.
    pub(crate) fn arguments(&self) -> Vec<String> {
        let urls = |addresses: Vec<SocketAddr>| {
            let urls: Vec<_> = addresses.iter().map(|a| format!("http://{a}")).collect();
            urls.join(",")
        };
        let of = |all: &[Process]| urls(all.iter().map(|p| p.address).collect());
        let routers = urls(self.routers.iter().map(|r| r.address).collect());
        let mut arguments = vec!["--routers".to_owned(), routers];
        arguments.extend(["--log".to_owned(), format!("http://{}", self.log.address)]);
        for (name, all) in [("--engines", &self.engines), ("--services", &self.services)] {
            if !all.is_empty() {
                arguments.extend([name.to_owned(), of(all)]);
            }
        }
        arguments
    }

    /// Publishes the pools, and for each account of the scenario its team, its key and its rules.
    async fn publish(&self, scenario: &Scenario) -> Result<()> {
        let put = self
            .spec
            .configuration(scenario, |key| KeyHash::of(key).to_string());
        let url = format!("http://{}/v1/streams/config/records", self.log.address);
        self.post(&url, &put).await.map(drop)
    }

    async fn add_router(&mut self, at: usize) -> Result<()> {
        let vms = Process::stand_in("vms")?;
        for (role, all) in [("engine", &self.engines), ("records", &self.services)] {
            for (number, endpoint) in all.iter().enumerate() {
                let name = format!("{role}-{number}");
                let entry = entry(&name, endpoint.address, at, json!({"role": role}));
                self.put(&vms, &name, &entry).await?;
            }
        }
        let (process, [address, peer]) = self.spawn(at, 0, vms.address).await?;
        self.routers.push(Router {
            process,
            address,
            peer,
            vms,
            starts: 1,
        });
        for other in 0..at {
            self.show(at, other).await?;
        }
        for from in 0..=at {
            self.show(from, at).await?;
        }
        Ok(())
    }

    async fn spawn(
        &self,
        at: usize,
        start: usize,
        vms: SocketAddr,
    ) -> Result<(Process, [SocketAddr; 2])> {
        let log = self.link(&format!("r{at}-log"), self.log.address).await?;
        let mut settings = json!({
            "vm": format!("router-{at}"),
            "domain": domain(at),
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "log": format!("http://{log}"),
            "vms": format!("http://{vms}"),
        });
        merge(&mut settings, &self.spec.settings);
        Process::router(&self.dir, &format!("router-{at}-{start}"), &settings).await
    }

    /// Shows a router another one, or itself.
    async fn show(&self, from: usize, at: usize) -> Result<()> {
        let router = &self.routers[at];
        let peer = self.link(&format!("r{from}-r{at}"), router.peer).await?;
        let labels = json!({"role": "router", "peer": peer.to_string()});
        let name = format!("router-{at}");
        let entry = entry(&name, router.address, at, labels);
        self.put(&self.routers[from].vms, &name, &entry).await
    }

    /// Returns where a link begins, or where it would lead if the scenario has none.
    async fn link(&self, name: &str, to: SocketAddr) -> Result<SocketAddr> {
        let Some(proxy) = &self.proxy else {
            return Ok(to);
        };
        let links = format!("http://{}/v1/links", proxy.address);
        let body = json!({"name": name, "listen": "127.0.0.1:0", "to": to});
        let answer = self.post(&links, &body).await?;
        Ok(serde_json::from_value(answer["address"].clone())?)
    }

    /// Waits until each router serves, has its endpoints and advises the others.
    async fn ready(&self) -> Result<()> {
        let until = Instant::now() + START;
        for at in 0..self.routers.len() {
            while !self.serves(at).await.unwrap_or(false) {
                ensure!(Instant::now() < until, "router {at} does not serve");
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    async fn serves(&self, at: usize) -> Result<bool> {
        let status = self.status(at).await?;
        let pools = status["pools"].as_array().context("pools")?;
        let endpoints = pools
            .iter()
            .map(|p| p["endpoints"].as_array().map_or(0, Vec::len));
        let wanted = self.engines.len() + self.services.len();
        let address = format!("http://{}/v1/address", self.routers[at].address);
        let advice = self.get(&address).await?;
        let alternates = advice["alternates"].as_array().map_or(0, Vec::len);
        let others = (self.routers.len() - 1).min(2);
        Ok(status["phase"] == "Serving"
            && endpoints.sum::<usize>() >= wanted
            && alternates >= others)
    }

    /// Returns a router's dump of its state.
    pub(crate) async fn status(&self, at: usize) -> Result<Value> {
        let url = format!("http://{}/v1/status", self.routers[at].address);
        self.get(&url).await
    }

    /// Adds to a team's budget by way of a router.
    pub(crate) async fn top_up(&mut self, at: usize, team: &str, amount: u64) -> Result<()> {
        self.top_ups += 1;
        let address = self.routers[at].address;
        let url = format!("http://{address}/v1/admin/teams/{team}/top-ups");
        let body = json!({"id": format!("t{}", self.top_ups), "amount": amount});
        let answer = self.post(&url, &body).await?;
        ensure!(answer["applied"] == true, "{answer}");
        Ok(())
    }

    async fn get(&self, url: &str) -> Result<Value> {
        let answer = self.http.get(url, CALL).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    async fn post(&self, url: &str, body: &Value) -> Result<Value> {
        let answer = self.http.post(url, Bytes::from(body.to_string()), CALL);
        let answer = answer.await?;
        let text = String::from_utf8_lossy(&answer.body);
        if !answer.status.is_success() {
            bail!("{url}: {} {text}", answer.status);
        }
        Ok(serde_json::from_str(&text).unwrap_or_default())
    }

    async fn put(&self, vms: &Process, vm: &str, entry: &Value) -> Result<()> {
        let url = format!("http://{}/v1/vms/{vm}", vms.address);
        let body = Full::new(Bytes::from(entry.to_string()));
        let request = self.http.request("PUT", &url).body(body)?;
        let answer = self.http.send(request, CALL).await?;
        ensure!(answer.status().is_success(), "{url}: {}", answer.status());
        Ok(())
    }
}

fn entry(vm: &str, address: SocketAddr, at: usize, labels: Value) -> Value {
    json!({"vm": vm, "address": address, "domain": domain(at), "labels": labels, "state": "live"})
}

fn domain(at: usize) -> String {
    format!("domain-{}", at % 3)
}

/// Puts one object's fields in place of another's, objects within them field by field.
fn merge(into: &mut Value, from: &Value) {
    for (name, value) in from.as_object().into_iter().flatten() {
        match into.get_mut(name) {
            Some(old) if old.is_object() => merge(old, value),
            _ => into[name] = value.clone(),
        }
    }
}
