#![expect(
    clippy::disallowed_methods,
    reason = "the server of these tests is a socket"
)]

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::http_client::Overdue;
use crate::http_client::Reached;
use crate::http_client::TimeLimit;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// How long the server takes for an answer, so that concurrent calls have a connection each.
const WORK: Duration = Duration::from_millis(50);

/// The time limit of a call.
const LIMIT: Duration = Duration::from_millis(500);

/// Answers requests on a connection until a partition leaves the connections opened before it dead.
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

/// Guards against a client that tries its idle connections one after another after a network partition left them all dead.
/// Each would cost a call its time limit, and a router would be disconnected from its log for many seconds more.
#[tokio::test]
async fn one_unanswered_call_discards_all_dead_connections() {
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

/// The length in bytes of each piece of a long answer, and the number of pieces.
const PIECE: usize = 100;
const PIECES: usize = 6;

/// Answers the request of each connection in pieces, with a pause before each.
async fn serve_slowly(listener: TcpListener, pause: Duration) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).await;
        let length = PIECE * PIECES;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..PIECES {
            tokio::time::sleep(pause).await;
            let _ = stream.write_all(&[b'x'; PIECE]).await;
        }
    }
}

/// Returns time limits that allow `limit` for each step.
fn steps(limit: Duration) -> TimeLimit {
    TimeLimit::Steps {
        connect: limit,
        head: limit,
        pause: limit,
    }
}

async fn exchange(client: &HttpClient, url: &str, limit: Duration) -> Result<usize, HttpError> {
    let request = client.request("GET", url).body(Full::default())?;
    let outcome = client.exchange(request, steps(limit)).await;
    outcome.answer.map(|answer| answer.body.len())
}

/// Guards against an answer over a slow link that is given up and requested again without end.
#[tokio::test]
async fn a_long_answer_over_a_slow_link_is_read_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}/", listener.local_addr().expect("an address"));
    tokio::spawn(serve_slowly(listener, LIMIT / 2));
    let read = exchange(&HttpClient::default(), &url, LIMIT).await;
    assert_eq!(read.expect("it comes whole"), PIECE * PIECES);
}

/// Guards against waiting without end for an answer that stops in the middle.
#[tokio::test]
async fn an_answer_that_stops_in_the_middle_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}/", listener.local_addr().expect("an address"));
    tokio::spawn(serve_slowly(listener, LIMIT * 3));
    let read = exchange(&HttpClient::default(), &url, LIMIT).await;
    let expected = Overdue {
        limit: LIMIT,
        reached: Reached::Body(0),
    };
    assert!(matches!(read, Err(HttpError::Timeout(overdue)) if overdue == expected));
}

/// Guards against one late call that discards the connections of all others, which then need another round trip to
/// connect.
#[tokio::test]
async fn an_unanswered_call_over_a_new_connection_keeps_the_others() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}/", listener.local_addr().expect("an address"));
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mute = count.fetch_add(1, Ordering::Relaxed) == 1;
            tokio::spawn(async move {
                match mute {
                    true => pending().await,
                    false => serve(stream, Arc::default()).await,
                }
            });
        }
    });
    let client = HttpClient::default();
    let (kept, mute) = tokio::join!(client.get(&url, LIMIT), async {
        tokio::time::sleep(WORK / 2).await;
        client.get(&url, LIMIT).await
    });
    assert!(kept.is_ok() && mute.is_err(), "{kept:?} {mute:?}");
    let next = client.get(&url, LIMIT).await;
    assert!(next.is_ok(), "{next:?}");
    assert_eq!(accepted.load(Ordering::Relaxed), 2);
}

/// Answers the first request on each connection, and closes the connection once it has read the second one. Counts the
/// requests.
async fn serve_one(mut stream: TcpStream, requests: Arc<AtomicUsize>) {
    let mut head = [0; 1024];
    if let Ok(1..) = stream.read(&mut head).await {
        requests.fetch_add(1, Ordering::Relaxed);
        let _ = stream.write_all(ANSWER).await;
    }
    if let Ok(1..) = stream.read(&mut head).await {
        requests.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a client library that sends a request again by itself when the connection it was sent on breaks: no
/// retry budget counts such a send.
#[tokio::test]
async fn a_request_on_a_connection_that_breaks_is_not_sent_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}/", listener.local_addr().expect("an address"));
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_one(stream, count.clone()));
        }
    });
    let client = HttpClient::default();
    for round in 1..=20 {
        let first = client.get(&url, LIMIT).await;
        assert!(first.is_ok(), "{first:?}");
        let second = client.get(&url, LIMIT).await;
        assert!(matches!(second, Err(HttpError::Lost(_))), "{second:?}");
        assert_eq!(requests.load(Ordering::Relaxed), 2 * round);
    }
}

/// Sends the bytes to each caller, and closes the connection.
async fn answer_with(listener: TcpListener, bytes: &'static str) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(bytes.as_bytes()).await;
    }
}

/// Guards against an answer that is taken for a whole one although its framing is unknown or it is no final one.
#[tokio::test]
async fn an_answer_that_cannot_be_read_is_lost() {
    for bytes in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let url = format!("http://{}/", listener.local_addr().expect("an address"));
        tokio::spawn(answer_with(listener, bytes));
        let answer = HttpClient::default().get(&url, LIMIT).await;
        assert!(matches!(answer, Err(HttpError::Lost(_))), "{answer:?}");
    }
}
