//! A small site: the platform's stand-ins, engines, a plain service and routers, each a process.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use hyper::Method;
use hyper::Response;
use hyper::body::Incoming;
use jasmineridge::KeyHash;
use serde_json::Value;
use serde_json::json;
use tokio::sync::SemaphorePermit;

use crate::PATIENCE;
use crate::SITES;
use crate::client::Client;
use crate::process::Process;
use crate::reply::Reply;
use crate::wait_for;

/// The bearer key of the client account `yard`, which the team `loans` pays for.
pub(crate) const KEY: &str = "yard-bearer-key";

/// The bearer key of the client account `desk`, which the team `smoke` pays for.
pub(crate) const OTHER_KEY: &str = "desk-bearer-key";

/// What a call of the plain service costs.
pub(crate) const PRICE: u64 = 5;

/// What each team has prepaid.
pub(crate) const BUDGET: u64 = 100_000;

/// What a site is made of.
pub(crate) struct Plan {
    pub(crate) name: &'static str,
    pub(crate) routers: usize,
    /// Arguments of the engine's program.
    pub(crate) engine: &'static str,
    /// Arguments of the log service's program.
    pub(crate) log: &'static str,
    /// Settings that differ from the site's.
    pub(crate) settings: Value,
}

impl Plan {
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            routers: 1,
            engine: "engine --token-ms 5",
            log: "log",
            settings: json!({}),
        }
    }
}

/// A stand-in's process.
pub(crate) struct StandIn {
    _process: Process,
    pub(crate) address: SocketAddr,
    pub(crate) http: Client,
}

impl StandIn {
    fn start(args: &str) -> Result<Self> {
        let (process, addresses) = Process::stand_in(args)?;
        Ok(Self {
            _process: process,
            address: addresses[0],
            http: Client::new(addresses[0]),
        })
    }

    /// Sets its faults; `{}` mends it.
    pub(crate) async fn fault(&self, path: &str, faults: &Value) -> Result<()> {
        let answer = self.http.post(path, faults).await?;
        ensure!(answer.status == 200, "{answer:?}");
        Ok(())
    }
}

/// A router's process.
pub(crate) struct Router {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
    pub(crate) http: Client,
    log: PathBuf,
}

impl Router {
    pub(crate) async fn status(&self) -> Result<Value> {
        Ok(self.http.get("/v1/status").await?.json)
    }

    /// Returns all that it logged.
    pub(crate) fn logged(&self) -> Result<String> {
        Ok(fs::read_to_string(&self.log)?)
    }

    /// Sends a request and returns the answer with its body unread.
    pub(crate) async fn open(&self, ask: &Ask) -> Result<Response<Incoming>> {
        let headers: Vec<_> = ask.headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let method = ask.method.clone();
        self.http.open(method, &ask.path, &headers, &ask.body).await
    }

    /// Sends a request and reads all of its answer.
    pub(crate) async fn ask(&self, ask: &Ask) -> Result<Reply> {
        Reply::read(self.open(ask).await?).await
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

impl Ask {
    fn new(method: Method, path: &str, key: &str, body: &Value) -> Self {
        let headers = vec![
            ("authorization", format!("Bearer {KEY}")),
            ("idempotency-key", key.to_owned()),
            ("content-type", "application/json".to_owned()),
        ];
        Self {
            method,
            path: path.to_owned(),
            headers,
            body: body.to_string().into_bytes(),
        }
    }

    /// A streamed completion of so many tokens.
    pub(crate) fn stream(key: &str, prompt: &str, tokens: u64) -> Self {
        Self::chat(key, prompt, tokens, true)
    }

    /// A completion of so many tokens that comes in one piece.
    pub(crate) fn plain(key: &str, prompt: &str, tokens: u64) -> Self {
        Self::chat(key, prompt, tokens, false)
    }

    fn chat(key: &str, prompt: &str, tokens: u64, stream: bool) -> Self {
        let body = json!({"model": "demo", "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}]});
        Self::new(Method::POST, "/v1/chat/completions", key, &body)
    }

    /// A call that may not be repeated.
    pub(crate) fn call(key: &str) -> Self {
        let body = json!({"loan": 17, "amount": 500});
        Self::new(Method::POST, "/v1/services/records/v1/loans", key, &body)
    }

    /// A call that may be repeated.
    pub(crate) fn read(key: &str) -> Self {
        let path = "/v1/services/records/v1/loans/17?full=1";
        Self::new(Method::GET, path, key, &json!({}))
    }

    /// Sets a header, in place of the one of that name.
    pub(crate) fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    pub(crate) fn without(mut self, name: &'static str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self
    }

    /// Numbers the try.
    pub(crate) fn attempt(self, number: u64) -> Self {
        self.with("jasmineridge-attempt", &number.to_string())
    }
}

/// A small site.
pub(crate) struct Site {
    pub(crate) log: StandIn,
    pub(crate) vms: StandIn,
    pub(crate) engine: StandIn,
    pub(crate) service: StandIn,
    pub(crate) routers: Vec<Router>,
    plan: Plan,
    dir: PathBuf,
    _permit: SemaphorePermit<'static>,
}

impl Site {
    /// Starts a site whose routers serve, and whose teams have budgets.
    pub(crate) async fn start(plan: Plan) -> Result<Self> {
        let permit = SITES.acquire().await?;
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("path-{}", plan.name));
        fs::create_dir_all(&dir)?;
        let mut site = Self {
            log: StandIn::start(plan.log)?,
            vms: StandIn::start("vms")?,
            engine: StandIn::start(plan.engine)?,
            service: StandIn::start("service")?,
            routers: Vec::new(),
            plan,
            dir,
            _permit: permit,
        };
        site.publish(&config()).await?;
        let engine = site.engine.address.to_string();
        site.show("engine-0", &engine, json!({"role": "engine"}))
            .await?;
        let service = site.service.address.to_string();
        site.show("records-0", &service, json!({"role": "records"}))
            .await?;
        for at in 0..site.plan.routers {
            site.add_router(at).await?;
        }
        site.ready().await?;
        for team in ["loans", "smoke"] {
            site.top_up(team, "first", BUDGET).await?;
        }
        Ok(site)
    }

    /// Appends a put to the configuration's stream.
    pub(crate) async fn publish(&self, put: &Value) -> Result<()> {
        let path = "/v1/streams/config/records";
        let answer = self.log.http.post(path, put).await?;
        ensure!(answer.status == 200, "{answer:?}");
        Ok(())
    }

    /// Lists a VM.
    pub(crate) async fn show(&self, vm: &str, address: &str, labels: Value) -> Result<()> {
        let body = json!({"vm": vm, "address": address, "domain": "domain-a", "labels": labels, "state": "live"});
        let path = format!("/v1/vms/{vm}");
        // What it answers has no body.
        let body = body.to_string();
        let _ = self
            .vms
            .http
            .send(Method::PUT, &path, body.as_bytes())
            .await;
        Ok(())
    }

    async fn add_router(&mut self, at: usize) -> Result<()> {
        let vm = format!("router-{at}");
        let mut settings = json!({
            "vm": vm,
            "domain": format!("domain-{at}"),
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "log": format!("http://{}", self.log.address),
            "vms": format!("http://{}", self.vms.address),
        });
        for (name, value) in self.plan.settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let (process, [address, peer]) = Process::router(&self.dir, &vm, &settings).await?;
        let labels = json!({"role": "router", "peer": peer.to_string()});
        self.show(&vm, &address.to_string(), labels).await?;
        self.routers.push(Router {
            process,
            address,
            http: Client::new(address),
            log: self.dir.join(format!("{vm}.log")),
        });
        Ok(())
    }

    async fn ready(&self) -> Result<()> {
        for router in &self.routers {
            wait_for("the router serves", PATIENCE, async || {
                let status = router.status().await?;
                let pools = status["pools"].as_array().context("pools")?;
                let full =
                    |pool: &Value| pool["endpoints"].as_array().is_some_and(|e| e.len() == 1);
                let serves = pools.len() == 2 && pools.iter().all(full);
                let advice = router.http.get("/v1/address").await?.json;
                let alternates = advice["alternates"].as_array().map_or(0, Vec::len);
                let others = (self.routers.len() - 1).min(2);
                Ok(status["phase"] == "Serving" && serves && alternates == others)
            })
            .await?;
        }
        Ok(())
    }

    async fn top_up(&self, team: &str, id: &str, amount: u64) -> Result<()> {
        let path = format!("/v1/admin/teams/{team}/top-ups");
        let body = json!({"id": id, "amount": amount});
        let answer = self.routers[0].http.post(&path, &body).await?;
        ensure!(answer.json["applied"] == true, "{answer:?}");
        Ok(())
    }

    /// Returns the engine's runs under one key.
    pub(crate) async fn runs(&self, key: &str) -> Result<Vec<Value>> {
        let answer = self.engine.http.get("/v1/runs").await?;
        let runs = answer.json.as_array().or(answer.json["runs"].as_array());
        let name = format!("yard/{key}");
        let of_key = |run: &&Value| run["key"] == name.as_str();
        Ok(runs
            .context("runs")?
            .iter()
            .filter(of_key)
            .cloned()
            .collect())
    }

    /// Returns how many calls under one key took effect.
    pub(crate) async fn calls(&self, key: &str) -> Result<usize> {
        let answer = self.service.http.get("/_calls").await?;
        let calls = answer.json.as_array().or(answer.json["calls"].as_array());
        let name = format!("yard/{key}");
        let of_key = |call: &&Value| call["key"] == name.as_str();
        Ok(calls.context("calls")?.iter().filter(of_key).count())
    }
}

/// Makes a change of the configuration.
pub(crate) fn change(kind: &str, name: &str, base: u64, body: Value) -> Value {
    json!({"kind": kind, "name": name, "base": base, "body": {kind: body}})
}

/// Two teams, each with a client account, an engine and a plain service. The account `desk` must name a plane, so that
/// there are labels that no rule matches.
fn config() -> Value {
    let account = |key: &str| json!({"keys": [KeyHash::of(key).to_string()]});
    let rule = |order: u64, when: Value, team: &str, pool: &str| json!({"order": order, "when": when, "team": team, "pool": pool});
    let changes = [
        change(
            "pool",
            "engines",
            0,
            json!({"kind": {"engine": {"models": ["demo"], "max_tokens": 2000}}, "select": {"role": ["engine"]}}),
        ),
        change(
            "pool",
            "records",
            0,
            json!({"kind": {"service": {"name": "records", "price": PRICE}}, "select": {"role": ["records"]}}),
        ),
        change("team", "loans", 0, json!({"bearer": "team"})),
        change("team", "smoke", 0, json!({"bearer": "team"})),
        change("account", "yard", 0, account(KEY)),
        change("account", "desk", 0, account(OTHER_KEY)),
        change(
            "rule",
            "loans-chat",
            0,
            rule(
                10,
                json!({"account": ["yard"], "model": ["demo"]}),
                "loans",
                "engines",
            ),
        ),
        change(
            "rule",
            "loans-records",
            0,
            rule(
                20,
                json!({"account": ["yard"], "service": ["records"]}),
                "loans",
                "records",
            ),
        ),
        change(
            "rule",
            "smoke-chat",
            0,
            rule(
                30,
                json!({"account": ["desk"], "model": ["demo"], "plane": ["1"]}),
                "smoke",
                "engines",
            ),
        ),
    ];
    json!({"format": 1, "by": "test", "changes": changes})
}
