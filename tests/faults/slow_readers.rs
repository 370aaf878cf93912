//! Callers that still read their answers when their router is told to stop.

use std::time::Duration;

use anyhow::Result;
use futures::future::try_join_all;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::request;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;
use crate::wait_for;

const SERVICE: &str = "records";
/// The VM of the router, which no other test uses.
const VM: usize = 124;
const CALLERS: usize = 4;
/// The size of an answer: more than the sockets hold.
const BYTES: usize = 14 << 20;
/// How much a caller reads at once, and how long it rests then: it reads for some six seconds.
const PIECE: usize = 128 << 10;
const REST: Duration = Duration::from_millis(50);

async fn serve(mut stream: TcpStream) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let name = header(&head, "request-id").unwrap_or("none");
        let bytes = if name.starts_with("slow") { BYTES } else { 2 };
        let head = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-length: {bytes}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'x'; bytes]).await?;
    }
}

/// Reads an answer slowly, and returns how much came.
async fn read_slowly(mut stream: TcpStream) -> Result<usize> {
    let mut piece = vec![0; PIECE];
    let mut read = 0;
    loop {
        match stream.read_exact(&mut piece).await {
            Ok(count) => read += count,
            Err(_) => return Ok(read),
        }
        sleep(REST).await;
    }
}

/// Guards against a planned stop that ends before callers have read their answers.
#[tokio::test]
async fn callers_read_their_answers_whole_while_their_router_stops() -> Result<()> {
    let (store, at) = Store::start().await?;
    put_config(&store, &[route(SERVICE, "idempotent")]);
    let endpoint = start_endpoint(serve).await?;
    put_endpoint(&store, "endpoint-0", SERVICE, endpoint);
    let settings = json!({"retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 2000});
    let mut router = Router::start(VM, at, &settings)?;
    router.wait_serving(SERVICE).await?;
    let mut readers = Vec::new();
    for number in 0..CALLERS {
        let mut stream = TcpStream::connect(router.front).await?;
        SockRef::from(&stream).set_recv_buffer_size(PIECE)?;
        let ask = request(&format!("{SERVICE}/x"), &format!("slow-{number}"));
        stream.write_all(ask.as_bytes()).await?;
        readers.push(read_slowly(stream));
    }
    let readers = tokio::spawn(try_join_all(readers));
    sleep(Duration::from_millis(1000)).await;
    router.process.signal("TERM")?;
    let read = readers.await??;
    println!("measure=slow-readers read={read:?}");
    // What is read is less than the answer by less than a piece, for its head.
    let whole = read.iter().all(|count| count + PIECE > BYTES);
    assert!(whole, "{read:?}");
    let process = &mut router.process;
    wait_for("the process ends", LIMIT, async || {
        Ok(process.ended()?.is_some())
    })
    .await?;
    let code = process.ended()?.and_then(|status| status.code());
    assert_eq!(code, Some(0));
    Ok(())
}
