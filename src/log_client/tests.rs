#![expect(
    clippy::disallowed_methods,
    reason = "the log service of these tests is a socket"
)]

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::http_client::HttpClient;
use crate::ids::Offset;
use crate::log_client::LogClient;

/// The longest pause of the service within an answer.
const LIMIT: Duration = Duration::from_millis(400);

/// Guards against a router that never catches up with its ledger because each page takes longer over a slow link than
/// the time limit of a read.
#[tokio::test]
async fn a_long_page_over_a_slow_link_is_read_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1024]).await;
        let record = r#"{"offset":0,"at":1,"data":"YQ=="}"#;
        let body = format!(r#"{{"first":0,"next":1,"records":[{record}]}}"#);
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        for piece in body.as_bytes().chunks(length / 4) {
            tokio::time::sleep(LIMIT / 2).await;
            let _ = stream.write_all(piece).await;
        }
    });
    let client = LogClient::new(HttpClient::default(), &base);
    let page = client.read("ledger-0", Offset(0), 1, Duration::ZERO, LIMIT);
    let page = page.await.expect("it comes whole");
    assert_eq!(page.records[0].data, b"a");
}
