//! A cluster of routers, the platform and endpoints, each a process, each link through the proxy.

use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use hyper::Method;
use jasmineridge::Incarnation;
use jasmineridge::KeyHash;
use serde_json::Value;
use serde_json::json;
use tokio::sync::SemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CLUSTERS;
use crate::caller::Journal;
use crate::client::Client;
use crate::network::Network;
use crate::process::Process;
use crate::wait_for;

/// How long a cluster may take to come up on a busy machine.
const START: Duration = Duration::from_secs(30);

/// What a call of the plain service costs.
pub(crate) const PRICE: u64 = 5;

/// What a scenario's cluster is made of.
pub(crate) struct Plan {
    pub(crate) name: &'static str,
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    /// Arguments of the engines' program.
    pub(crate) engine: &'static str,
    /// Settings `ledger` that differ from the cluster's.
    pub(crate) ledger: Value,
}

impl Plan {
    pub(crate) fn new(name: &'static str, routers: usize) -> Self {
        Self {
            name,
            routers,
            engines: 2,
            engine: "engine --token-ms 20",
            ledger: json!({}),
        }
    }
}

/// A process with an HTTP interface.
pub(crate) struct Node {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
    pub(crate) http: Client,
}

impl Node {
    fn new((process, address): (Process, SocketAddr)) -> Self {
        let http = Client::new(address);
        Self {
            process,
            address,
            http,
        }
    }

    fn stand_in(args: &str) -> Result<Self> {
        let (process, addresses) = Process::stand_in(args)?;
        Ok(Self::new((process, addresses[0])))
    }

    pub(crate) async fn fault(&self, faults: &Value) -> Result<()> {
        let answer = self.http.post("/v1/faults", faults).await?;
        ensure!(answer.status == 200, "{answer:?}");
        Ok(())
    }
}

/// A router, and the VM list as it alone sees it.
pub(crate) struct Router {
    pub(crate) node: Node,
    peer: SocketAddr,
    vms: Node,
    starts: usize,
    watch: Option<AbortHandle>,
}

impl Router {
    /// Returns the incarnation that it runs as.
    pub(crate) async fn incarnation(&self) -> Result<Incarnation> {
        let status = self.node.http.get("/v1/status").await?.json;
        Ok(serde_json::from_value(status["incarnation"].clone())?)
    }
}

pub(crate) struct Cluster {
    plan: Plan,
    dir: PathBuf,
    pub(crate) network: Network,
    pub(crate) log: Node,
    pub(crate) engines: Vec<Node>,
    pub(crate) service: Node,
    pub(crate) routers: Vec<Router>,
    pub(crate) journal: Journal,
    /// What was seen to go wrong while the cluster ran.
    pub(crate) wrong: Rc<RefCell<Vec<String>>>,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts a cluster in which each router serves and knows the others.
    pub(crate) async fn start(plan: Plan, seed: u64) -> Result<Self> {
        let permit = CLUSTERS.acquire().await?;
        println!("scenario={} seed={seed}", plan.name);
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("faults-{}", plan.name));
        fs::create_dir_all(&dir)?;
        let log = Node::stand_in("log")?;
        let engine = plan.engine;
        let mut cluster = Self {
            network: Network::start(log.address)?,
            engines: (0..plan.engines)
                .map(|_| Node::stand_in(engine))
                .collect::<Result<_>>()?,
            service: Node::stand_in("service")?,
            routers: Vec::new(),
            journal: Journal::default(),
            wrong: Rc::default(),
            log,
            dir,
            plan,
            _permit: permit,
        };
        cluster.publish(&config()).await?;
        for at in 0..cluster.plan.routers {
            cluster.add_router(at).await?;
        }
        for at in 0..cluster.plan.routers {
            cluster.ready(at).await?;
        }
        Ok(cluster)
    }

    /// Appends a put to the configuration's stream and returns its offset.
    pub(crate) async fn publish(&self, put: &Value) -> Result<u64> {
        let path = "/v1/streams/config/records";
        let answer = self.log.http.post(path, put).await?;
        answer.json["offset"].as_u64().context("an offset")
    }

    async fn add_router(&mut self, at: usize) -> Result<()> {
        let vms = Node::stand_in("vms")?;
        for (number, engine) in self.engines.iter().enumerate() {
            let name = format!("engine-{number}");
            self.show(&vms, at, &name, engine.address, "engine").await?;
        }
        let service = self.service.address;
        self.show(&vms, at, "records-0", service, "records").await?;
        for other in 0..at {
            self.show_router(&vms, at, other).await?;
        }
        let (node, peer) = self.spawn(at, 0, vms.address).await?;
        self.routers.push(Router {
            node,
            peer,
            vms,
            starts: 1,
            watch: None,
        });
        self.introduce(at).await
    }

    /// Shows a router an endpoint, behind a link of its own.
    async fn show(
        &self,
        vms: &Node,
        at: usize,
        vm: &str,
        to: SocketAddr,
        role: &str,
    ) -> Result<()> {
        let address = self.network.link(&format!("r{at}-{vm}"), to).await?;
        let body = json!({
            "vm": vm, "address": address.to_string(), "domain": "domain-a",
            "labels": {"role": role}, "state": "live",
        });
        put_vm(vms, vm, &body).await
    }

    async fn spawn(&self, at: usize, start: usize, vms: SocketAddr) -> Result<(Node, SocketAddr)> {
        let log = self.log.address;
        let log = self.network.link(&format!("r{at}-log"), log).await?;
        let vms = self.network.link(&format!("r{at}-vms"), vms).await?;
        let mut ledger = json!({
            "heartbeat_ms": 100, "silence_ms": 600, "outage_ms": 500, "append_ms": 500,
        });
        for (name, value) in self.plan.ledger.as_object().into_iter().flatten() {
            ledger[name] = value.clone();
        }
        let settings = json!({
            "vm": format!("router-{at}"),
            "domain": domain(at),
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "log": format!("http://{log}"),
            "vms": format!("http://{vms}"),
            "ledger": ledger,
        });
        let name = format!("router-{at}-{start}");
        let (process, [address, peer]) = Process::router(&self.dir, &name, &settings).await?;
        Ok((Node::new((process, address)), peer))
    }

    /// Shows a router to all routers, itself included, each over a link of its own.
    async fn introduce(&mut self, at: usize) -> Result<()> {
        self.watch(at);
        for from in 0..self.routers.len() {
            self.show_router(&self.routers[from].vms, from, at).await?;
        }
        Ok(())
    }

    /// Shows a router another one.
    async fn show_router(&self, vms: &Node, from: usize, at: usize) -> Result<()> {
        let router = &self.routers[at];
        let vm = format!("router-{at}");
        let peer = self
            .network
            .link(&format!("r{from}-r{at}"), router.peer)
            .await?;
        let body = json!({
            "vm": vm, "address": router.node.address.to_string(), "domain": domain(at),
            "labels": {"role": "router", "peer": peer.to_string()}, "state": "live",
        });
        put_vm(vms, &vm, &body).await
    }

    /// Waits until a router serves, knows its peers and has endpoints.
    async fn ready(&self, at: usize) -> Result<Duration> {
        let others = (self.routers.len() - 1).min(2);
        let engines = self.engines.len();
        let node = &self.routers[at].node;
        wait_for("the router serves", START, async || {
            let status = self.status(at).await?;
            let pools = status["pools"].as_array().context("pools")?;
            let endpoints = pools
                .iter()
                .map(|p| p["endpoints"].as_array().map_or(0, Vec::len));
            let advice = node.http.get("/v1/address").await?.json;
            let alternates = advice["alternates"].as_array().map_or(0, Vec::len);
            Ok(status["phase"] == "Serving"
                && endpoints.sum::<usize>() > engines
                && alternates == others)
        })
        .await
    }

    /// Returns a router's dump of its state.
    pub(crate) async fn status(&self, at: usize) -> Result<Value> {
        Ok(self.routers[at].node.http.get("/v1/status").await?.json)
    }

    /// Starts a router's VM again, as the platform replaces a dead one; returns how long it took until it served.
    pub(crate) async fn restart(&mut self, at: usize) -> Result<Duration> {
        let begun = tokio::time::Instant::now();
        let start = self.routers[at].starts;
        let (node, peer) = self.spawn(at, start, self.routers[at].vms.address).await?;
        let router = &mut self.routers[at];
        router.starts += 1;
        router.node = node;
        router.peer = peer;
        self.introduce(at).await?;
        self.ready(at).await?;
        Ok(begun.elapsed())
    }

    /// Marks an engine's VM as leaving in the list that every router sees.
    pub(crate) async fn leave(&self, vm: &str) -> Result<()> {
        for router in &self.routers {
            let list = router.vms.http.get("/v1/vms").await?.json;
            let entries = list["vms"].as_array().context("a list")?;
            let entry = entries.iter().find(|entry| entry["vm"] == vm);
            let mut entry = entry.context("the VM")?.clone();
            entry["state"] = "leaving".into();
            put_vm(&router.vms, vm, &entry).await?;
        }
        Ok(())
    }

    /// Waits until no router has a request in progress or a record that waits for the log.
    pub(crate) async fn idle(&self, limit: Duration) -> Result<()> {
        for at in 0..self.routers.len() {
            wait_for("the router is idle", limit, async || {
                let status = self.status(at).await?;
                let waiting = &status["ledger"]["waiting_records"];
                Ok(status["requests"] == 0 && *waiting == 0 && status["phase"] == "Serving")
            })
            .await?;
        }
        Ok(())
    }

    /// Takes a VM out of the list that every router sees.
    pub(crate) async fn unlist(&self, vm: &str) -> Result<()> {
        for router in &self.routers {
            let path = format!("/v1/vms/{vm}");
            // What it answers has no body.
            let _ = router.vms.http.send(Method::DELETE, &path, b"").await;
        }
        Ok(())
    }

    /// Adds to a team's budget by way of a router.
    pub(crate) async fn top_up(
        &self,
        at: usize,
        team: &str,
        id: &str,
        amount: u64,
    ) -> Result<bool> {
        let path = format!("/v1/admin/teams/{team}/top-ups");
        let body = json!({"id": id, "amount": amount});
        let answer = self.routers[at].node.http.post(&path, &body).await?;
        Ok(answer.json["applied"] == true)
    }

    /// Parts routers into groups that hear each other, and nothing of the other groups.
    pub(crate) async fn part(&self, groups: &[&[usize]], faults: &Value) -> Result<()> {
        for group in groups {
            for from in *group {
                for to in (0..self.routers.len()).filter(|to| !group.contains(to)) {
                    self.network
                        .fault(&format!("r{from}-r{to}"), faults)
                        .await?;
                }
            }
        }
        Ok(())
    }

    pub(crate) async fn cut_log(&self, at: usize, faults: &Value) -> Result<()> {
        self.network.fault(&format!("r{at}-log"), faults).await
    }

    /// Watches that the configuration of a router's process never falls back.
    fn watch(&mut self, at: usize) {
        let client = Client::new(self.routers[at].node.address);
        let wrong = self.wrong.clone();
        let task = tokio::task::spawn_local(async move {
            let mut last = 0;
            loop {
                let status = timeout(Duration::from_secs(2), client.get("/v1/status")).await;
                if let Ok(Ok(status)) = status
                    && let Some(version) = status.json["config"]["version"].as_u64()
                {
                    if version < last {
                        let text = format!("router {at}: configuration {version} after {last}");
                        wrong.borrow_mut().push(text);
                    }
                    last = version;
                }
                sleep(Duration::from_millis(100)).await;
            }
        });
        let handle = task.abort_handle();
        if let Some(earlier) = self.routers[at].watch.replace(handle) {
            earlier.abort();
        }
    }
}

async fn put_vm(vms: &Node, vm: &str, body: &Value) -> Result<()> {
    let path = format!("/v1/vms/{vm}");
    let body = body.to_string();
    // What it answers has no body.
    let _ = vms.http.send(Method::PUT, &path, body.as_bytes()).await;
    Ok(())
}

fn domain(at: usize) -> String {
    format!("domain-{}", at % 3)
}

/// Two teams, each with a client account of its name, engines and a plain service.
fn config() -> Value {
    let change = |kind: &str, name: &str, body: Value| json!({"kind": kind, "name": name, "base": 0, "body": {kind: body}});
    let mut changes = vec![
        change(
            "pool",
            "engines",
            json!({
                "kind": {"engine": {"models": ["demo"], "max_tokens": 400}},
                "select": {"role": ["engine"]},
            }),
        ),
        change(
            "pool",
            "records",
            json!({
                "kind": {"service": {"name": "records", "price": PRICE}},
                "select": {"role": ["records"]},
            }),
        ),
    ];
    for team in ["loans", "smoke"] {
        let keys = [KeyHash::of(team).to_string()];
        changes.push(change("team", team, json!({"bearer": "team"})));
        changes.push(change("account", team, json!({"keys": keys})));
        changes.push(change(
            "rule",
            &format!("{team}-completions"),
            json!({"order": 10, "when": {"account": [team], "model": ["demo"]}, "team": team, "pool": "engines"}),
        ));
        changes.push(change(
            "rule",
            &format!("{team}-records"),
            json!({"order": 20, "when": {"account": [team], "service": ["records"]}, "team": team, "pool": "records"}),
        ));
    }
    json!({"format": 1, "by": "test", "changes": changes})
}
