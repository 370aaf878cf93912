//! A router of a platform with a metadata store whose process is paused, and goes on.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::interval;
use tokio::time::sleep;

use crate::platform::Router;
use crate::platform::ask_with;
use crate::platform::header;
use crate::platform::put_config_with_teams;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;

const SERVICE: &str = "records";
/// A service whose requests need no budget.
const OPEN: &str = "open";
/// The router's VM, which no other test uses.
const VM: usize = 80;
const KEY: &str = "team-key";
/// Budget for four hundred requests.
const PREPAID: u64 = 400_000;
/// What each request reserves, as tokens in and out.
const TOKENS: &str = "900,100";
const INTERVAL: Duration = Duration::from_millis(20);
/// Longer than the gap by which a router notices that it was paused.
const PAUSE: Duration = Duration::from_secs(2);

/// Serves all requests on a connection, none of which has a body.
async fn serve(mut stream: TcpStream) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let id = header(&head, "request-id").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Sends requests for the team, one after another, and returns the head of the last answer.
async fn send_requests(router: &Router, name: &str, count: usize) -> Result<String> {
    let headers = format!("authorization: Bearer {KEY}\r\ntoken-counts: {TOKENS}\r\n");
    let mut ticks = interval(INTERVAL);
    let mut last = String::new();
    for number in 0..count {
        ticks.tick().await;
        let name = format!("{name}-{number}");
        let path = format!("{SERVICE}/{name}");
        last = ask_with(router.front, &path, &name, &headers).await?;
    }
    Ok(last)
}

/// Guards against a router that never draws from a budget again once its process was paused.
#[tokio::test]
async fn a_router_that_was_paused_draws_from_budgets_again() -> Result<()> {
    let (store, at) = Store::start().await?;
    let endpoint = start_endpoint(serve).await?;
    for service in [SERVICE, OPEN] {
        put_endpoint(&store, &format!("i-{service}"), service, endpoint);
    }
    let teams = json!([{"name": "rangers", "apiKeys": [KEY], "prepaid": PREPAID}]);
    let mut funded = route(SERVICE, "idempotent");
    funded["public"] = json!(false);
    put_config_with_teams(&store, &[funded, route(OPEN, "idempotent")], &teams);
    let settings = json!({"retry_ratio": 0.2, "retry_spare": 10.0, "retry_window_ms": 10_000});
    let router = Router::start(VM, at, &settings)?;
    router.wait_serving(OPEN).await?;
    let before = send_requests(&router, "before", 100).await?;
    assert!(before.contains(" 200 "), "{before}");
    router.process.signal("STOP")?;
    sleep(PAUSE).await;
    router.process.signal("CONT")?;
    let after = send_requests(&router, "after", 250).await?;
    assert!(router.logged()?.contains("event=paused"));
    assert!(after.contains(" 200 "), "{after}");
    Ok(())
}
