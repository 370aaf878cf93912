//! The proxied links between a cluster's processes.

use std::net::SocketAddr;

use anyhow::Context;
use anyhow::Result;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use crate::client::Client;
use crate::process::Process;

/// A proxy with a link for each way that one process takes to another.
pub(crate) struct Network {
    _process: Process,
    control: Client,
}

impl Network {
    pub(crate) fn start(any: SocketAddr) -> Result<Self> {
        let args = format!("proxy --to {any} --control 127.0.0.1:0");
        let (process, addresses) = Process::stand_in(&args)?;
        Ok(Self {
            _process: process,
            control: Client::new(addresses[1]),
        })
    }

    /// Lays a link, in place of one of that name, and returns where it begins.
    pub(crate) async fn link(&self, name: &str, to: SocketAddr) -> Result<SocketAddr> {
        let path = format!("/v1/links/{name}");
        // There may be none of that name, and no JSON answers.
        let _ = self.control.send(Method::DELETE, &path, b"").await;
        let body = json!({"name": name, "listen": "127.0.0.1:0", "to": to.to_string()});
        let answer = self.control.post("/v1/links", &body).await?;
        let address = answer.json["address"].as_str();
        Ok(address
            .with_context(|| format!("{answer:?}"))?
            .parse::<SocketAddr>()?)
    }

    /// Sets the faults of a link; `{}` mends it.
    pub(crate) async fn fault(&self, name: &str, faults: &Value) -> Result<()> {
        let path = format!("/v1/links/{name}/faults");
        let answer = self.control.post(&path, faults).await?;
        anyhow::ensure!(answer.status == 200, "{name}: {answer:?}");
        Ok(())
    }
}
