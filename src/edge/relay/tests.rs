//! Streams, cut into whole events, and connections to endpoints that break.

#![expect(
    clippy::disallowed_methods,
    reason = "the endpoint of these tests is a socket"
)]

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::edge::relay::events::EventSplitter;
use crate::edge::relay::piecewise::piecewise_body;
use crate::edge::relay::upstream::Target;
use crate::edge::relay::upstream::Upstream;
use crate::edge::relay::upstream::UpstreamError;
use crate::http_client::HttpClient;
use crate::standin::proxy::Proxy;
use crate::standin::proxy::start_proxy;

/// How long a call may take that is expected to be answered.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long a link stalls before and after a request is given up.
const STALL: Duration = Duration::from_millis(300);

/// An endpoint dies in the middle of an event. The caller has none of that half, and the number from which another endpoint
/// goes on is that of the last whole one.
#[test]
fn half_an_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(
        (events.count, &events.bytes[..]),
        (1, &b"id: 1\ndata: a\n\n"[..])
    );
    assert_eq!(splitter.last(), Some("1"));
    splitter.resume();
    let events = splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(events.bytes, Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(splitter.last(), Some("2"));
}

/// Guards against events that are lost, doubled or counted wrongly where the bytes of a stream are cut.
#[test]
fn it_is_the_same_wherever_it_is_cut() {
    for end in ["\n", "\r\n", "\r"] {
        let whole = ": hello\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\n".replace('\n', end);
        let stream = format!("{whole}id: 3{end}data: c");
        for cut in 0..stream.len() {
            let mut splitter = EventSplitter::default();
            let mut out = Vec::new();
            let mut count = 0;
            for part in [&stream[..cut], &stream[cut..]] {
                let events = splitter.push(part.as_bytes());
                count += events.count;
                out.extend_from_slice(&events.bytes);
            }
            assert_eq!(
                (out.as_slice(), count),
                (whole.as_bytes(), 2),
                "{end:?} {cut}"
            );
            assert_eq!(splitter.last(), Some("2"));
            assert!(splitter.is_inside_event());
        }
    }
}

/// Guards against a stream that is taken for complete inside an event, or for broken off between two.
#[test]
fn a_stream_may_end_only_between_events() {
    let cases = [
        ("", false),
        ("id: 1", true),
        ("id: 1\n", true),
        ("id: 1\r\n", true),
        ("data: a\n\n", false),
        ("data: a\r\n\r\n", false),
        ("data: a\r\n\r", false),
        ("data: a\n: comment\n", true),
        ("data: a\n\n\n", false),
        ("data: a\n\n: comment", false),
        ("data: a\n\ndata", true),
    ];
    for (stream, inside) in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(stream.as_bytes());
        assert_eq!(splitter.is_inside_event(), inside, "{stream:?}");
    }
}

/// Guards against a stream that takes up all memory because its event has no end, and against the end of one that is long.
#[test]
fn a_stream_without_events_is_endless() {
    for piece in ["x", "data: x\n", ": x\n", "\n"] {
        let mut splitter = EventSplitter::default();
        let piece = piece.repeat(4096);
        let mut pushed = 0;
        while !splitter.is_endless() {
            splitter.push(piece.as_bytes());
            pushed += piece.len();
            assert!(pushed < 2 << 20, "{pushed}");
        }
    }
    let mut splitter = EventSplitter::default();
    for id in 1..=16 {
        let data = "x".repeat(512 << 10);
        let event = format!(": comment\nid: {id}\ndata: {data}\n\n");
        for half in event.as_bytes().chunks(event.len() / 2) {
            splitter.push(half);
            assert!(!splitter.is_endless());
        }
    }
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Returns the socket of an endpoint, and where it is.
async fn listen() -> (TcpListener, Target) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let target = Target {
        address: listener.local_addr().expect("an address"),
        endpoint: "engine-0".to_owned(),
    };
    (listener, target)
}

/// Guards against a request that is sent again, without the core's decision, when the kept connection it was sent on
/// breaks.
#[tokio::test]
async fn a_request_on_a_kept_connection_that_breaks_is_sent_once() {
    let (listener, target) = listen().await;
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1024];
            for answer in [ANSWER, b""] {
                if let Ok(1..) = stream.read(&mut head).await {
                    count.fetch_add(1, Ordering::Relaxed);
                    let _ = stream.write_all(answer).await;
                }
            }
        }
    });
    let upstream = Upstream::default();
    for round in 1..=20 {
        let sent = upstream.send(target.clone(), Request::default()).await;
        let (connection, answer) = sent.expect("it is answered");
        answer.into_body().collect().await.expect("it is whole");
        upstream.keep(connection, None);
        let sent = upstream.send(target.clone(), Request::default()).await;
        assert_eq!(sent.err(), Some(UpstreamError::Closed));
        assert_eq!(requests.load(Ordering::Relaxed), 2 * round);
    }
}

/// Guards against a retry that counts as a run because it was sent on a kept connection to an endpoint that had crashed, too.
#[tokio::test]
async fn a_request_that_is_sent_anew_uses_no_kept_connection() {
    let (listener, target) = listen().await;
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut head = [0; 1024];
                while let Ok(1..) = stream.read(&mut head).await {
                    let _ = stream.write_all(ANSWER).await;
                }
            });
        }
    });
    let upstream = Upstream::default();
    let sent = upstream.send(target.clone(), Request::default()).await;
    let (connection, answer) = sent.expect("it is answered");
    answer.into_body().collect().await.expect("it is whole");
    upstream.keep(connection, None);
    let sent = Upstream::send_anew(target.clone(), Request::default()).await;
    assert!(sent.is_ok());
    assert_eq!(accepted.load(Ordering::Relaxed), 2);
    let sent = upstream.send(target, Request::default()).await;
    assert!(sent.is_ok());
    assert_eq!(accepted.load(Ordering::Relaxed), 2);
}

/// Guards against a request that counts as read because its connection broke, though only its sender gave it up.
#[tokio::test]
async fn a_connection_that_times_out_is_told_from_one_that_the_endpoint_closed() {
    let (listener, target) = listen().await;
    // More than the sockets hold, so that a part stays without acknowledgement while nobody reads.
    let body = Full::new(Bytes::from(vec![0; 64 << 20]));
    let upstream = Upstream::default();
    let sent = upstream.send(target.clone(), Request::new(body));
    let sent = timeout(PATIENCE, sent).await.expect("it is given up");
    assert_eq!(sent.err(), Some(UpstreamError::TimedOut));
    drop(listener);
    let sent = upstream.send(target, Request::default()).await;
    assert_eq!(sent.err(), Some(UpstreamError::Unsent));
}

/// Guards against a request that arrives long after the router gave it up, when a stalled link delivers what it held back.
#[tokio::test]
async fn a_request_that_is_given_up_over_a_stalled_link_never_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let proxy = Proxy::new();
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let address = proxy
        .link_default(any_port, listener.local_addr().expect("an address"))
        .expect("a link");
    let control = start_proxy(any_port, proxy).expect("a port");
    let http = HttpClient::default();
    let faults = format!("http://{}/v1/faults", control.address);
    let set = async |faults_set: &'static str| {
        let body = Bytes::from_static(faults_set.as_bytes());
        let answer = http.post(&faults, body, PATIENCE).await;
        assert!(answer.expect("an answer").status.is_success());
    };
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                let mut bytes = [0; 1024];
                while let Ok(1..) = stream.read(&mut bytes).await {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    let upstream = Upstream::default();
    let target = Target {
        address,
        endpoint: "engine-0".to_owned(),
    };
    set(r#"{"drop_to": true}"#).await;
    let sent = upstream.send(target, Request::default());
    assert!(timeout(STALL, sent).await.is_err(), "it has no answer");
    sleep(STALL).await;
    set("{}").await;
    sleep(STALL).await;
    assert_eq!(received.load(Ordering::Relaxed), 0);
}

/// Guards against an answer that ends as whole because what passes it on ended in another way.
#[tokio::test]
async fn a_body_that_is_not_finished_ends_with_an_error() {
    for finished in [true, false] {
        let (sender, body) = piecewise_body();
        let piece = Bytes::from_static(b"id: 1\n\n");
        sender.send(piece).await.expect("it is read");
        match finished {
            true => sender.finish(),
            false => drop(sender),
        }
        assert_eq!(body.collect().await.is_ok(), finished);
    }
}
