#![expect(
    clippy::disallowed_methods,
    reason = "the server of these tests is a socket"
)]

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::http_client::HttpClient;
use crate::http_client::HttpError;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// How long the server takes for an answer, so that calls made together have a connection each.
const WORK: Duration = Duration::from_millis(50);

/// How long a call may take.
const LIMIT: Duration = Duration::from_millis(500);

/// Answers requests on a connection, until connections that were opened before a cut are dead.
async fn serve(mut stream: TcpStream, dead: Arc<AtomicBool>) {
    let old = !dead.load(Ordering::Relaxed);
    let mut head = [0; 1024];
    while let Ok(1..) = stream.read(&mut head).await {
        if old && dead.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(WORK).await;
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

/// A cut of the network leaves all connections dead, and nobody says so. When it is over, the first call finds out by its
/// time limit. The next must not find another dead connection, and so on for as long as there are any: a router would be
/// parted from its log for many seconds after the cut.
#[tokio::test]
async fn one_unanswered_call_is_enough_to_leave_dead_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}/", listener.local_addr().expect("an address"));
    let dead = Arc::new(AtomicBool::new(false));
    let cut = dead.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, dead.clone()));
        }
    });
    let client = HttpClient::default();
    let calls = (0..4).map(|_| client.get(&url, LIMIT));
    let answers = join_all(calls).await;
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    cut.store(true, Ordering::Relaxed);
    let first = client.get(&url, LIMIT).await;
    assert!(matches!(first, Err(HttpError::Timeout(_))), "{first:?}");
    let second = client.get(&url, LIMIT).await;
    assert!(second.is_ok(), "{second:?}");
}
