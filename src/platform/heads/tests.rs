//! What endpoints announce in the heads of their answers, read and told to the core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::decide::AnnouncedValue;
use crate::decide::Announcement;
use crate::edge::desk::Command;
use crate::edge::desk::Desk;
use crate::edge::metrics::Metrics;
use crate::edge::relay::AnswerRoom;
use crate::edge::relay::Connections;
use crate::edge::relay::Dialect;
use crate::edge::relay::Relays;
use crate::edge::relay::Upstream;
use crate::edge::relay::accept;
use crate::edge::relay::serve;
use crate::ids::RequestKey;
use crate::ids::TableVersion;
use crate::platform::heads::Heads;
use crate::platform::heads::prompt;
use crate::platform::heads::shared_parts;
use crate::request_rate::RequestRate;
use crate::router::Event;
use crate::router::Forwarding;
use crate::router::RelayRun;
use crate::router::Run;
use crate::settings::RequestLimits;

fn limit(status: u16, value: &[u8]) -> AnnouncedValue<RequestRate> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(value).expect("bytes of a header");
    headers.insert("server-limit", value);
    let status = StatusCode::from_u16(status).expect("a status");
    Heads.announcement(status, &headers).limit
}

/// Guards against a limit that is read only in answers with some statuses.
#[test]
fn a_limit_is_read_in_answers_of_every_status() {
    for status in [200, 404, 409, 421, 429, 500, 503] {
        let AnnouncedValue::Value(rate) = limit(status, b" 3.1 ") else {
            panic!("no limit with status {status}");
        };
        assert_eq!(rate.to_string(), "3.1");
    }
}

/// Guards against an invalid header that lifts a limit or stops the router.
#[test]
fn a_limit_that_cannot_be_read_is_not_a_lifted_one() {
    let garbage: [&[u8]; 10] = [
        b"",
        b"-1",
        b"nan",
        b"inf",
        b"1e999",
        b"3,1",
        b"3.1, 2",
        b"many",
        b"0x10",
        b"\xff\xfe",
    ];
    for value in garbage {
        assert_eq!(limit(200, value), AnnouncedValue::Unreadable, "{value:?}");
    }
    let silent = Heads.announcement(StatusCode::OK, &HeaderMap::new());
    assert_eq!(silent.limit, AnnouncedValue::None);
}

fn tolerance(values: &[&'static [u8]]) -> AnnouncedValue<u32> {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("bytes of a header");
        headers.append("server-brittle", value);
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Heads.announcement(status, &headers).tolerance
}

/// Guards against a brittle endpoint whose number of rejections is taken for a higher one, or for none.
#[test]
fn the_lowest_readable_tolerance_counts() {
    let cases: [(&[&[u8]], u32); 6] = [
        (&[b"4"], 4),
        (&[b" 0 "], 0),
        (&[b"2.9"], 2),
        (&[b"4", b"3"], 3),
        (&[b"3, 5"], 3),
        (&[b"99999999999999999999"], u32::MAX),
    ];
    for (values, count) in cases {
        let announced = tolerance(values);
        assert_eq!(announced, AnnouncedValue::Value(count), "{values:?}");
    }
    for garbage in [&b""[..], b"-1", b"nan", b"inf", b"many", b"4;", b"\xff"] {
        assert_eq!(tolerance(&[garbage]), AnnouncedValue::Unreadable);
        assert_eq!(tolerance(&[b"4", garbage]), AnnouncedValue::Unreadable);
    }
    assert_eq!(tolerance(&[]), AnnouncedValue::None);
}

/// Guards against an idle time so long that adding it to the clock stops the task of a request.
#[test]
fn a_very_long_idle_time_is_cut_short() {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_static("timeout=18446744073709551615");
    headers.insert("keep-alive", value);
    let idle = Heads.keep_alive(&headers).flatten().expect("a time");
    assert!(idle <= Duration::from_secs(3600), "{idle:?}");
}

/// Guards against shared parts that overflow their sum, or are larger than the prompt that they are parts of.
#[test]
fn the_shared_parts_of_a_prompt_have_no_more_tokens_than_the_prompt() {
    let most = u64::MAX;
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&format!("1:{most},2:{most},3:5")).expect("a header");
    headers.insert("prompt-prefix", value);
    let prompt = prompt(&headers, 10).expect("a prompt");
    assert_eq!((prompt.shared_tokens, prompt.own_tokens), (10, 0));
}

/// Guards against an announcement to leave that is read only in answers with some statuses, or from an invalid header.
#[test]
fn an_endpoint_that_leaves_says_so_with_every_status() {
    let leaving = |status: u16, value: &[u8]| {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_bytes(value).expect("bytes of a header");
        headers.insert("server-leaving", value);
        let status = StatusCode::from_u16(status).expect("a status");
        Heads.announcement(status, &headers).leaving
    };
    for status in [200, 404, 409, 429, 500, 503] {
        assert!(leaving(status, b"1"), "{status}");
    }
    for value in [&b""[..], b"0", b"no", b"-1", b"11", b"\xff"] {
        assert!(!leaving(200, value), "{value:?}");
    }
    assert!(
        !Heads
            .announcement(StatusCode::OK, &HeaderMap::new())
            .leaving
    );
}

/// Answers any request with the given headers.
async fn answer_once(listener: TcpListener, head: String) -> Result<()> {
    let (mut connection, _) = listener.accept().await?;
    let mut request = [0; 2048];
    let _ = connection.read(&mut request).await?;
    let answer = format!("HTTP/1.1 {head}content-length: 0\r\n\r\n");
    connection.write_all(answer.as_bytes()).await?;
    Ok(())
}

/// Returns a run at an endpoint that has announced a limit before, or not.
fn run(address: SocketAddr, limited: bool) -> Result<Run> {
    Ok(Run {
        endpoint: "endpoint-0".parse()?,
        address: address.to_string(),
        key: RequestKey {
            account: "loans".parse()?,
            key: "1".parse()?,
        },
        team: "loans".parse()?,
        limit: 0,
        priority: 0,
        claim_wait: Duration::ZERO,
        idempotent: false,
        limited,
        check: false,
        relay: Some(RelayRun {
            account: None,
            deadline: Instant::now() + Duration::from_secs(5),
            stride: 1,
            resumable: false,
        }),
    })
}

/// What came to the core.
type Events = mpsc::UnboundedReceiver<Event>;

/// Starts a relay, and returns a connection to it, what it tells the core and what takes the core's commands.
async fn start_relay() -> Result<(TcpStream, Events, Arc<Desk>)> {
    let (sender, events) = mpsc::unbounded_channel();
    let limits = RequestLimits::default();
    let desk = Desk::new(limits, None, "test".to_owned(), Metrics::new(None)?, sender);
    let desk = Arc::new(desk);
    let relays = Arc::new(Relays {
        desk: desk.clone(),
        upstream: Upstream::default(),
        room: AnswerRoom::new(None),
        dialect: Box::new(Heads),
    });
    let front = TcpListener::bind("127.0.0.1:0").await?;
    let caller = TcpStream::connect(front.local_addr()?).await?;
    let connections = Arc::new(Connections::new(None));
    tokio::spawn(accept(front, connections, move |request| {
        serve(relays.clone(), request)
    }));
    Ok((caller, events, desk))
}

/// Sends a request through the relay to an endpoint that answers with the given headers, and returns the announcements that
/// the core receives.
async fn announced(head: &str, limited: bool) -> Result<Option<Announcement>> {
    let endpoint = TcpListener::bind("127.0.0.1:0").await?;
    let address = endpoint.local_addr()?;
    tokio::spawn(answer_once(endpoint, head.to_owned()));
    let (mut caller, mut events, desk) = start_relay().await?;
    let request = "GET /x HTTP/1.1\r\nhost: maps.example\r\nrequest-id: r1\r\n\r\n";
    caller.write_all(request.as_bytes()).await?;
    let mut announced = None;
    loop {
        match events.recv().await.context("the relay ended")? {
            Event::RequestArrived(arrival) => {
                desk.command(arrival.id, Command::Run(Box::new(run(address, limited)?)));
            }
            Event::EndpointAnnounced(_, announcement) => announced = Some(announcement),
            Event::RunEnded(..) => return Ok(announced),
            _ => {}
        }
    }
}

/// Guards against announcements that are read only in answers that are passed to the caller.
#[tokio::test]
async fn announcements_are_heard_in_answers_of_every_status() -> Result<()> {
    let names = "request-id: r1\r\nserver-limit: 3.1\r\nserver-leaving: 1\r\nretry-after: 2\r\n";
    for status in ["200 OK", "404 Not Found", "500 Failed", "503 Full"] {
        for ran in ["", "not-executed: 1\r\n"] {
            let head = format!("{status}\r\n{names}{ran}");
            let heard = announced(&head, false).await?.context("it is heard")?;
            assert_eq!(heard.limit, AnnouncedValue::Value("3.1".parse()?), "{head}");
            assert!(heard.leaving, "{head}");
            let rest = status.starts_with("503").then_some(Duration::from_secs(2));
            assert_eq!(heard.rest, rest, "{head}");
        }
    }
    Ok(())
}

/// Guards against a limit that is never lifted, because answers without one are not reported.
#[tokio::test]
async fn an_answer_without_a_limit_is_told_where_one_is_known() -> Result<()> {
    let head = "200 OK\r\nrequest-id: r1\r\n";
    assert_eq!(announced(head, true).await?, Some(Announcement::default()));
    assert_eq!(announced(head, false).await?, None);
    Ok(())
}

/// Guards against an announcement that is attributed to the wrong endpoint: made by another one at the same address, or in an
/// answer to another request.
#[tokio::test]
async fn answers_of_others_announce_nothing() -> Result<()> {
    let names = "server-limit: 0.1\r\nserver-leaving: 1\r\n";
    let moved = format!("421 Moved\r\nrequest-id: r1\r\n{names}");
    let foreign = format!("200 OK\r\nrequest-id: r2\r\n{names}");
    for head in [moved, foreign] {
        assert_eq!(announced(&head, true).await?, None, "{head}");
    }
    Ok(())
}

/// Has a request forwarded to a router that sends these bytes and closes the connection, and returns what the caller gets.
async fn forwarded(bytes: &str) -> Result<String> {
    let router = TcpListener::bind("127.0.0.1:0").await?;
    let hop = router.local_addr()?.to_string();
    let bytes = bytes.to_owned();
    tokio::spawn(async move {
        let (mut connection, _) = router.accept().await?;
        let mut request = [0; 2048];
        let _ = connection.read(&mut request).await?;
        connection.write_all(bytes.as_bytes()).await
    });
    let (mut caller, mut events, desk) = start_relay().await?;
    let request =
        "GET /x HTTP/1.1\r\nhost: maps.example\r\nrequest-id: r1\r\nconnection: close\r\n\r\n";
    caller.write_all(request.as_bytes()).await?;
    let Some(Event::RequestArrived(arrival)) = events.recv().await else {
        bail!("no request arrived");
    };
    let forwarding = Forwarding {
        hops: vec![hop],
        deadline: Instant::now() + Duration::from_secs(5),
        table: TableVersion(1),
    };
    desk.command(arrival.id, Command::Forward(Box::new(forwarding)));
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer).await;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Guards against a forwarded answer that looks whole though the router that carried out the request broke off.
#[tokio::test]
async fn a_forwarded_answer_that_breaks_off_at_any_byte_is_not_whole() -> Result<()> {
    let head = "HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-seal: 1\r\n";
    let plain = format!("{head}content-length: 4\r\n\r\ntext");
    let stream_head =
        format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    let stream = format!("{stream_head}7\r\nid: 1\n\n\r\n0\r\n\r\n");
    assert!(forwarded(&plain).await?.ends_with("\r\n\r\ntext"));
    assert!(forwarded(&stream).await?.ends_with("\r\n0\r\n\r\n"));
    for length in 0..plain.len() {
        let answer = forwarded(&plain[..length]).await?;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{length}: {answer}");
    }
    for length in 0..stream.len() {
        let answer = forwarded(&stream[..length]).await?;
        let failed = answer.starts_with("HTTP/1.1 502 ");
        assert_eq!(failed, length < stream_head.len(), "{length}: {answer}");
        let looks_whole = answer.ends_with("0\r\n\r\n");
        assert!(!looks_whole, "{length}: {answer}");
    }
    Ok(())
}

fn parts(values: &[&'static str]) -> Vec<String> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("prompt-prefix", HeaderValue::from_static(value));
    }
    let parts = shared_parts(&headers);
    parts.iter().map(ToString::to_string).collect()
}

/// Guards against a harmful part that goes unseen because another one can't be read, and against the request's own part
/// counting as one that others share.
#[test]
fn the_shared_parts_of_a_prompt_are_read() {
    let cases: [(&[&str], &[&str]); 8] = [
        (
            &["5c1e07a2:800,91bd3f06:410,e4402b7d:250"],
            &["5c1e07a2", "91bd3f06"],
        ),
        (&["e4402b7d:250"], &[]),
        (&[""], &[]),
        (&[], &[]),
        (&["a:1,,b:x,zz:3, C :4,d:5"], &["a", "b", "c"]),
        (&["a:1,a:1,b:2,c:3"], &["a", "b"]),
        (&["a:1,b:2", "c:3,d:4"], &["a", "b", "c"]),
        (&["fffffffffffffffff:1,b:2,c:3"], &["b"]),
    ];
    for (values, expected) in cases {
        assert_eq!(parts(values), expected, "{values:?}");
    }
}
