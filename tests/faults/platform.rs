//! Routers of a platform with a metadata store, each a process, and what the store says of their endpoints.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use anyhow::Result;
use jasmineridge::HttpClient;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::process::Process;
use crate::store::Store;
use crate::wait_for;

/// How long anything may take that is expected to come, on a busy machine.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

/// How long a caller waits for an answer, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 4000;

/// The router's program.
pub(crate) const ROUTER: &str = env!("CARGO_BIN_EXE_jasmineridged");

/// The host of all routes.
const HOST: &str = "records.example";

/// A router's process.
pub(crate) struct Router {
    pub(crate) process: Process,
    pub(crate) front: SocketAddr,
    admin: SocketAddr,
    directory: SocketAddr,
    log: PathBuf,
}

impl Router {
    /// Starts a router on a VM of its own, with settings beside the usual ones.
    pub(crate) fn start(vm: usize, store: SocketAddr, more: &Value) -> Result<Self> {
        Self::start_program(Path::new(ROUTER), vm, store, more)
    }

    /// Starts a router of another build, as [`Router::start`] does.
    pub(crate) fn start_program(
        program: &Path,
        vm: usize,
        store: SocketAddr,
        more: &Value,
    ) -> Result<Self> {
        Self::run(vm, store, more, Command::new(program))
    }

    /// Starts a router that may open so many descriptors.
    pub(crate) fn start_limited(vm: usize, store: SocketAddr, descriptors: u32) -> Result<Self> {
        let script = format!("ulimit -n {descriptors}; exec {ROUTER} \"$@\"");
        let mut shell = Command::new("sh");
        shell.args(["-c", &script, "sh"]);
        let retries = json!({"retry_ratio": 0.2, "retry_spare": 10.0, "retry_window_ms": 2000});
        Self::run(vm, store, &retries, shell)
    }

    fn run(vm: usize, store: SocketAddr, more: &Value, mut program: Command) -> Result<Self> {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let mut settings = json!({
            "vm": format!("router-{vm}"),
            "domain": "domain-0",
            "front": address(vm, 20_001),
            "ready": address(vm, 20_002),
            "directory": address(vm, 20_003),
            "peer_listen": address(vm, 20_004),
            "forward_listen": address(vm, 20_006),
            "admin": address(vm, 20_005),

            "store": store,
            "grace_ms": 8000,
            "keep_ms": 1000,
            "config_ms": 2000,
        });
        for (name, value) in more.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let path = dir.join(format!("platform-{vm}.json"));
        fs::write(&path, settings.to_string())?;
        let log = dir.join(format!("platform-{vm}.log"));
        let out = File::create(&log)?;
        let child = program
            .args(["--site", "--settings"])
            .arg(&path)
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Self {
            process: Process::of(child),
            front: address(vm, 20_001),
            admin: address(vm, 20_005),
            directory: address(vm, 20_003),
            log,
        })
    }

    /// Waits until it serves.
    pub(crate) async fn wait_serving(&self, service: &str) -> Result<()> {
        let ready = format!("{service}/ready");
        wait_for("the router serves", LIMIT, async || {
            Ok(ask(self.front, &ready, "ready").await?.contains(" 200 "))
        })
        .await?;
        Ok(())
    }

    /// Returns the addresses that it tells callers to use.
    pub(crate) async fn directory(&self) -> Result<Vec<SocketAddr>> {
        let url = format!(
            "http://{}/api/resolve?name=any&zone=domain-0",
            self.directory
        );
        let answer = HttpClient::default().get(&url, LIMIT).await?;
        let answer: Value = serde_json::from_slice(&answer.body)?;
        Ok(serde_json::from_value(answer["addresses"].clone())?)
    }

    /// Waits until a pool has so many retries: a router that has just started has none.
    pub(crate) async fn wait_for_retries(&self, pool: &str, count: f64) -> Result<()> {
        wait_for("the router may retry", LIMIT, async || {
            let status = self.status().await?;
            let mut pools = status["pools"].as_array().into_iter().flatten();
            let pool = pools.find(|row| row["pool"] == pool);
            let spare = pool.and_then(|row| row["retries"]["spare"].as_f64());
            Ok(spare.is_some_and(|spare| spare >= count))
        })
        .await?;
        Ok(())
    }

    /// Returns its state dump.
    pub(crate) async fn status(&self) -> Result<Value> {
        let url = format!("http://{}/v1/status", self.admin);
        let answer = HttpClient::default().get(&url, LIMIT).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Returns all that it logged.
    pub(crate) fn logged(&self) -> Result<String> {
        Ok(fs::read_to_string(&self.log)?)
    }
}

/// The addresses of a VM; each one has an IP address of its own, as no other test or run of this one has.
fn address(vm: usize, port: u16) -> SocketAddr {
    let run = std::process::id();
    let [high, low] = [run / 200 % 200 + 20, run % 200 + 20].map(|part| part as u8);
    SocketAddr::from(([127, high, low, vm as u8 + 1], port))
}

/// Returns a route that anybody may use, of a service of the same name, with the path `/NAME/`.
pub(crate) fn route(name: &str, kind: &str) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
        "timeoutMs": DEADLINE_MS, "targetLatencyMs": 300, "priority": 1, "service": name,
        "maxAttempts": 3, "public": true,
    })
}

/// Writes a configuration with a service for each route.
pub(crate) fn put_config(store: &Store, routes: &[Value]) {
    put_config_with_teams(store, routes, &json!([]));
}

/// Writes a configuration with a service for each route, and with teams.
pub(crate) fn put_config_with_teams(store: &Store, routes: &[Value], teams: &Value) {
    let limits = json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000,
    });
    let service = |route: &Value| json!({"name": route["service"], "healthPath": "/health", "maxConnections": 1000});
    let services: Vec<_> = routes.iter().map(service).collect();
    let config = json!({
        "version": 1, "routes": routes, "services": services, "limits": limits, "tenants": teams,
    });
    store.put("keyed.op", "config", &config);
}

/// Lists an endpoint of a service.
pub(crate) fn put_endpoint(store: &Store, name: &str, service: &str, address: SocketAddr) {
    put_endpoint_version(store, name, service, address, "v1");
}

/// Lists an endpoint of a service that runs a version of its software.
pub(crate) fn put_endpoint_version(
    store: &Store,
    name: &str,
    service: &str,
    address: SocketAddr,
    version: &str,
) {
    let entry = json!({
        "service": service, "address": address, "zone": "domain-0", "version": version, "slots": 1000,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    });
    store.put("keyed.servers", name, &entry);
}

/// Starts an endpoint, each connection of which is served in a task of its own.
pub(crate) async fn start_endpoint<S, F>(serve: S) -> Result<SocketAddr>
where
    S: Fn(TcpStream) -> F + Send + 'static,
    F: Future<Output = Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    Ok(address)
}

/// Reads the head of a request without a body.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8(head)?)
}

/// Returns the value of a header.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut headers = head.lines().filter_map(|line| line.split_once(": "));
    headers.find_map(|(key, value)| (key == name).then_some(value))
}

/// Returns the bytes of a request, after whose answer the connection is closed.
pub(crate) fn request(path: &str, name: &str) -> String {
    request_with(path, name, "")
}

/// Returns the bytes of a request with more headers, each of which ends its line.
pub(crate) fn request_with(path: &str, name: &str, headers: &str) -> String {
    kept_request(path, name, &format!("connection: close\r\n{headers}"))
}

/// Returns the bytes of a request with more headers, each of which ends its line. Its connection may be used again.
pub(crate) fn kept_request(path: &str, name: &str, headers: &str) -> String {
    format!(
        "GET /{path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {name}\r\ndeadline-ms: {DEADLINE_MS}\r\n{headers}\r\n"
    )
}

/// Sends a request over a connection of its own, and returns what comes until it is closed or the time is over.
pub(crate) async fn ask(front: SocketAddr, path: &str, name: &str) -> Result<String> {
    ask_with(front, path, name, "").await
}

/// Sends a request with more headers, as [`ask`] does.
pub(crate) async fn ask_with(
    front: SocketAddr,
    path: &str,
    name: &str,
    headers: &str,
) -> Result<String> {
    let mut answer = Vec::new();
    let exchange = async {
        let mut stream = TcpStream::connect(front).await?;
        let request = request_with(path, name, headers);
        stream.write_all(request.as_bytes()).await?;
        stream.read_to_end(&mut answer).await
    };
    timeout(Duration::from_millis(DEADLINE_MS), exchange).await??;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
