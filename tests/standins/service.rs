//! The plain service.

use anyhow::Result;
use hyper::Method;
use jasmineridge::start_service;
use serde_json::json;

use crate::any_port;
use crate::client::Client;

#[tokio::test]
async fn calls_are_recorded() -> Result<()> {
    let service = Client::new(start_service(any_port())?.address);
    let headers = [("Idempotency-Key", "k1"), ("X-Request-Id", "r1")];
    let path = "/v1/loans/7/disbursements?dry=no";
    let posted = service.open(Method::POST, path, &headers, b"{}").await?;
    assert_eq!(posted.status(), 201);
    let read = service.get("/v1/loans/7").await?;
    assert_eq!((read.status, read.json), (200, json!({"recorded": 2})));
    let calls = service.get("/_calls").await?.json;
    assert_eq!(calls[0]["key"], "k1");
    assert_eq!(calls[0]["id"], "r1");
    assert_eq!(calls[0]["method"], "POST");
    assert_eq!(calls[0]["path"], "/v1/loans/7/disbursements");
    assert_ne!(calls[0]["body_hash"], calls[1]["body_hash"]);
    Ok(())
}

/// A disbursement is recorded and its answer is lost, or it is refused and not recorded. A caller sees an error both
/// times; sending it again after the first would pay twice.
#[tokio::test]
async fn a_call_may_fail_with_or_without_effect() -> Result<()> {
    let service = Client::new(start_service(any_port())?.address);
    service
        .post("/_faults", &json!({"lose_answer": 1.0}))
        .await?;
    assert!(service.post("/v1/loans", &json!({})).await.is_err());
    service
        .post("/_faults", &json!({"error_rate": 1.0}))
        .await?;
    assert_eq!(service.post("/v1/loans", &json!({})).await?.status, 500);
    service.post("/_faults", &json!({"down": true})).await?;
    assert_eq!(service.post("/v1/loans", &json!({})).await?.status, 503);
    let calls = service.get("/_calls").await?.json;
    assert_eq!(calls.as_array().expect("calls").len(), 1);
    Ok(())
}
