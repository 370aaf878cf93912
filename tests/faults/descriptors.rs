//! A router with few descriptors, and callers that leave their connections open after a refusal.

use std::time::Duration;

use anyhow::Result;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;

const SERVICE: &str = "maps";
const DESCRIPTORS: u32 = 200;
/// How many callers are refused.
const CALLERS: usize = 400;
/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(3);

async fn serve(mut stream: TcpStream) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let id = header(&head, "request-id").unwrap_or("none");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Guards against requests that are not read, since callers that were refused hold all descriptors by idle connections.
#[tokio::test]
async fn refused_callers_do_not_hold_all_descriptors() -> Result<()> {
    let (store, at) = Store::start().await?;
    put_config(&store, &[route(SERVICE, "idempotent")]);
    put_endpoint(&store, "i-0", SERVICE, start_endpoint(serve).await?);
    let router = Router::start_limited(199, at, DESCRIPTORS)?;
    router.wait_serving(SERVICE).await?;
    let mut idle = Vec::new();
    for n in 0..CALLERS {
        let mut stream = TcpStream::connect(router.front).await?;
        let request =
            format!("GET /nothing HTTP/1.1\r\nhost: records.example\r\nrequest-id: n{n}\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let answer = timeout(PATIENCE, read_head(&mut stream)).await;
        assert!(answer.is_ok(), "caller {n} is not answered");
        idle.push(stream);
    }
    let path = format!("{SERVICE}/served");
    let answer = timeout(PATIENCE, ask(router.front, &path, "served")).await??;
    assert!(answer.contains(" 200 "), "{answer}");
    Ok(())
}
