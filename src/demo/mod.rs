//! A router with stand-ins for all that the platform gives, in one process.

#![expect(
    clippy::disallowed_methods,
    reason = "this is the process's edge: it binds sockets and starts tasks"
)]

mod example;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;

use crate::config::ChangeSet;
use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::ids::VmId;
use crate::labels::Labels;
use crate::settings::Settings;
use crate::standin::engine::EngineOptions;
use crate::standin::engine::start_engine;
use crate::standin::log::LogOptions;
use crate::standin::log::start_log;
use crate::standin::service::start_service;
use crate::standin::vms::Vms;
use crate::standin::vms::start_vms;
use crate::vms::VmEntry;
use crate::vms::VmState;

/// The bearer key of the example's client account.
pub const DEMO_KEY: &str = "demo-key";

/// What the example's team has prepaid, in tokens: a dozen short answers.
const BUDGET: u64 = 600;

/// How long the router may take until it answers.
const START: Duration = Duration::from_secs(10);

/// Where the demo's router listens and what it needs.
#[derive(Debug)]
pub struct Demo {
    /// The router's settings.
    pub settings: Settings,
}

/// Starts the stand-ins on the caller's loop and publishes the example's configuration.
///
/// # Errors
///
/// When an address cannot be bound or the configuration is not taken.
pub async fn start_demo(listen: SocketAddr) -> io::Result<Demo> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let log = start_log(any, LogOptions::default())?;
    let engines = [
        start_engine(any, EngineOptions::default())?,
        start_engine(any, EngineOptions::default())?,
    ];
    let service = start_service(any)?;
    let mut vms = vec![entry("router-1", listen, "router")];
    for (at, engine) in engines.iter().enumerate() {
        let name = format!("engine-{}", at + 1);
        vms.push(entry(&name, engine.address, "engine"));
    }
    vms.push(entry("records-1", service.address, "records"));
    let list = start_vms(any, Vms::new(Duration::ZERO, vms))?;
    publish(log.address, &example::put(DEMO_KEY)).await?;
    let text = json!({
        "vm": "router-1",
        "domain": "domain-a",
        "listen": listen.to_string(),
        "peer_listen": "127.0.0.1:0",
        "log": format!("http://{}", log.address),
        "vms": format!("http://{}", list.address),
    });
    let settings = Settings::parse(&text.to_string()).map_err(io::Error::other)?;
    Ok(Demo { settings })
}

fn entry(vm: &str, address: SocketAddr, role: &str) -> VmEntry {
    let mut labels = Labels::default();
    labels.set("role", role);
    VmEntry {
        vm: name(vm),
        address,
        domain: "domain-a".parse().expect("it is a name"),
        labels,
        state: VmState::Live,
    }
}

fn name(vm: &str) -> VmId {
    vm.parse().expect("it is a name")
}

async fn publish(log: SocketAddr, put: &ChangeSet) -> io::Result<()> {
    let url = format!("http://{log}/v1/streams/config/records");
    let body = serde_json::to_vec(put).map_err(io::Error::other)?;
    let answer = HttpClient::new(None)
        .post(&url, Bytes::from(body), START)
        .await;
    answer.map(drop).map_err(io::Error::other)
}

/// Gives the example's team its budget, once the router serves.
///
/// # Errors
///
/// When the router does not serve in time.
pub async fn top_up_demo(router: SocketAddr) -> io::Result<()> {
    let url = format!("http://{router}/v1/admin/teams/loans/top-ups");
    let body = json!({"id": "demo", "amount": BUDGET}).to_string();
    let client = HttpClient::new(None);
    let until = tokio::time::Instant::now() + START;
    loop {
        match client.post(&url, Bytes::from(body.clone()), START).await {
            Ok(answer) if answer.status.is_success() => return Ok(()),
            Err(HttpError::Timeout(_)) => {
                return Err(io::Error::other("the router does not answer"));
            }
            _ if tokio::time::Instant::now() >= until => {
                return Err(io::Error::other("the router does not serve"));
            }
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Returns the lines to try, for a person.
pub fn demo_lines(router: SocketAddr) -> String {
    let ask = format!(
        "curl -sN http://{router}/v1/chat/completions -H 'Authorization: Bearer {DEMO_KEY}' \\\n  \
         -H \"Idempotency-Key: $RANDOM$RANDOM\" -H 'Jasmineridge-Attempt: 1' \\\n  \
         -d '{{\"model\":\"demo\",\"stream\":true,\"max_tokens\":32,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Who may borrow?\"}}]}}'"
    );
    format!(
        "A router listens on {router}. Try:\n\n\
         # Which router to use, and for how long\n\
         curl -s http://{router}/v1/address\n\n\
         # A streamed completion; the team has {BUDGET} tokens, so that after a dozen of these comes a refusal\n\
         {ask}\n\n\
         # A call that may not be repeated; sent again under its key it is answered from the ledger\n\
         curl -s http://{router}/v1/services/records/v1/disbursements -H 'Authorization: Bearer {DEMO_KEY}' \\\n  \
         -H 'Idempotency-Key: loan-17' -d '{{\"loan\":17,\"amount\":500}}'\n\n\
         # What the router knows\n\
         curl -s http://{router}/v1/status\n"
    )
}
