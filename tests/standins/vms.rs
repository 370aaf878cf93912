//! The VM list.

use std::time::Duration;

use anyhow::Result;
use hyper::Method;
use jasmineridge::VmList;
use jasmineridge::VmState;
use jasmineridge::Vms;
use jasmineridge::start_vms;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::any_port;
use crate::client::Answer;
use crate::client::Client;

fn entry(vm: &str, state: &str) -> Value {
    json!({
        "vm": vm,
        "address": "127.0.0.1:8080",
        "domain": "d1",
        "labels": {"role": "router"},
        "state": state,
    })
}

async fn put(vms: &Client, path: &str, entry: &Value) -> Result<Answer> {
    let body = entry.to_string();
    vms.send(Method::PUT, path, body.as_bytes()).await
}

async fn list(vms: &Client) -> Result<VmList> {
    Ok(serde_json::from_value(vms.get("/v1/vms").await?.json)?)
}

#[tokio::test]
async fn vms_come_leave_and_go() -> Result<()> {
    let vms = start_vms(any_port(), Vms::new(Duration::ZERO, Vec::new()))?;
    let vms = Client::new(vms.address);
    put(&vms, "/v1/vms/r1", &entry("r1", "live")).await?;
    put(&vms, "/v1/vms/r2", &entry("r2", "live")).await?;
    put(&vms, "/v1/vms/r1", &entry("r1", "leaving")).await?;
    let seen = list(&vms).await?.vms;
    assert_eq!(seen.len(), 2);
    assert_eq!(seen[0].state, VmState::Leaving);
    assert_eq!(seen[0].labels.get("role"), Some("router"));
    assert_eq!(
        vms.send(Method::DELETE, "/v1/vms/r1", b"").await?.status,
        200
    );
    assert_eq!(
        vms.send(Method::DELETE, "/v1/vms/r1", b"").await?.status,
        404
    );
    assert_eq!(list(&vms).await?.vms.len(), 1);
    assert_eq!(
        put(&vms, "/v1/vms/r3", &entry("r1", "live")).await?.status,
        400
    );
    assert_eq!(
        put(&vms, "/v1/vms/r3", &entry("r3", "dead")).await?.status,
        400
    );
    Ok(())
}

/// A VM leaves, and the list shows it as live for a while longer, so that work may still be sent there.
#[tokio::test]
async fn the_list_is_late() -> Result<()> {
    let lag = Duration::from_millis(600);
    let vms = start_vms(any_port(), Vms::new(lag, Vec::new()))?;
    let vms = Client::new(vms.address);
    put(&vms, "/v1/vms/r1", &entry("r1", "live")).await?;
    let early = list(&vms).await?;
    assert!(early.vms.is_empty());
    sleep(lag).await;
    let late = list(&vms).await?;
    assert_eq!(late.vms.len(), 1);
    assert!(late.as_of > early.as_of);
    Ok(())
}

#[tokio::test]
async fn an_outage_of_the_list_spares_who_changes_it() -> Result<()> {
    let vms = start_vms(any_port(), Vms::new(Duration::ZERO, Vec::new()))?;
    let vms = Client::new(vms.address);
    vms.post("/v1/faults", &json!({"down": true})).await?;
    assert_eq!(vms.get("/v1/vms").await?.status, 503);
    put(&vms, "/v1/vms/r1", &entry("r1", "live")).await?;
    vms.post("/v1/faults", &json!({})).await?;
    assert_eq!(list(&vms).await?.vms.len(), 1);
    Ok(())
}
