//! Endpoints that answer in full or break off, in each way in which an answer may be framed and a connection may end.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use indexmap::IndexMap;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::ask_with;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::request;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::received::Received;
use crate::store::Store;

/// A service whose streams may not be resumed, one whose streams may, and one without streams.
const ONCE: &str = "once";
const RESUMABLE: &str = "resumable";
const RECORDS: &str = "records";

/// Each test breaks fewer of them.
const ENDPOINTS: usize = 16;

/// The retries that a test needs.
const RETRIES: f64 = 10.0;

/// How long an endpoint waits before it resets a connection, so that what it sent has been read.
const SETTLE: Duration = Duration::from_millis(100);

/// How an endpoint frames an answer.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

/// How an endpoint ends the connection after an answer.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// An endpoint's answer to one run.
#[derive(Clone, Copy, Debug)]
struct Answer {
    framing: Framing,
    body: &'static str,
    end: End,
}

impl Answer {
    fn unframed(body: &'static str) -> Self {
        Self {
            framing: Framing::Connection,
            body,
            end: End::Close,
        }
    }

    async fn send(self, stream: &mut TcpStream, name: &str, kind: &str) -> Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-type: {kind}\r\n"
        );
        let body = self.body;
        let length = body.len();
        let rest = match self.framing {
            Framing::Length => {
                format!("connection: close\r\ncontent-length: {length}\r\n\r\n{body}")
            }
            Framing::Chunks => {
                let chunk = match length {
                    0 => String::new(),
                    _ => format!("{length:x}\r\n{body}\r\n"),
                };
                format!("connection: close\r\ntransfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")
            }
            Framing::Connection => format!("\r\n{body}"),
        };
        stream.write_all((head + &rest).as_bytes()).await?;
        match self.end {
            End::Close => stream.shutdown().await?,
            End::Reset => {
                sleep(SETTLE).await;
                stream.set_zero_linger()?;
            }
        }
        Ok(())
    }
}

/// The answers to the runs of each request, and the event after which each run was to go on.
#[derive(Default)]
struct Script {
    answers: IndexMap<String, Vec<Answer>>,
    resumed: IndexMap<String, Vec<Option<String>>>,
}

type Shared = Arc<Mutex<Script>>;

struct Site {
    router: Router,
    script: Shared,
    _store: Store,
}

impl Site {
    async fn start(vm: usize) -> Result<Self> {
        let script = Shared::default();
        let (store, at) = Store::start().await?;
        let mut resumable = route(RESUMABLE, "streaming");
        resumable["resumable"] = json!(true);
        let routes = [
            route(ONCE, "streaming"),
            resumable,
            route(RECORDS, "idempotent"),
        ];
        put_config(&store, &routes);
        for service in [ONCE, RESUMABLE, RECORDS] {
            for number in 0..ENDPOINTS {
                let shared = script.clone();
                let endpoint = start_endpoint(move |stream| serve(stream, shared.clone())).await?;
                put_endpoint(&store, &format!("{service}-{number}"), service, endpoint);
            }
        }
        let settings = json!({"retry_ratio": 0.2, "retry_spare": 100.0, "retry_window_ms": 2000});
        let site = Self {
            router: Router::start(vm, at, &settings)?,
            script,
            _store: store,
        };
        site.router.wait_serving(RECORDS).await?;
        Ok(site)
    }

    /// Sends a request whose runs get the given answers, and returns what the caller gets.
    async fn ask(&self, service: &str, name: &str, answers: &[Answer]) -> Result<Received> {
        self.ask_after(service, name, answers, None).await
    }

    /// Sends a request that goes on after an event, if one is given, as [`Site::ask`] does.
    async fn ask_after(
        &self,
        service: &str,
        name: &str,
        answers: &[Answer],
        last: Option<&str>,
    ) -> Result<Received> {
        self.lock()
            .answers
            .insert(name.to_owned(), answers.to_vec());
        let headers = last.map_or_else(String::new, |last| {
            format!("last-event-id: {last}\r\nresumes: first\r\n")
        });
        let path = format!("{service}/{name}");
        let answer = ask_with(self.router.front, &path, name, &headers).await?;
        Received::read(&answer).with_context(|| format!("{name}: {answer:?}"))
    }

    /// Returns the events after which the runs of a request were to go on.
    fn resumed(&self, name: &str) -> Vec<Option<String>> {
        self.lock().resumed[name].clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers one request, which has no body.
async fn serve(mut stream: TcpStream, script: Shared) -> Result<()> {
    let head = read_head(&mut stream).await?;
    let Some(name) = header(&head, "request-id") else {
        let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        return Ok(stream.write_all(healthy).await?);
    };
    let kind = match head.contains("/records/") {
        true => "text/plain",
        false => "text/event-stream",
    };
    let last = header(&head, "last-event-id").map(str::to_owned);
    let answer = {
        let mut script = script.lock().unwrap_or_else(PoisonError::into_inner);
        let runs = script.resumed.entry(name.to_owned()).or_default();
        runs.push(last);
        let run = runs.len() - 1;
        let answers = script.answers.get(name);
        answers.and_then(|answers| answers.get(run).copied())
    };
    let answer = answer.unwrap_or(Answer::unframed(""));
    answer.send(&mut stream, name, kind).await
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];
const ENDS: [End; 2] = [End::Close, End::Reset];

const FIRST: &str = "id: 1\ndata: a\n\n";

/// Guards against streams that broke off, before their first event or inside one, and are passed on as complete.
#[tokio::test]
async fn a_stream_that_breaks_off_is_not_complete() -> Result<()> {
    let site = Site::start(100).await?;
    let mut wrong = Vec::new();
    for framing in FRAMINGS {
        for end in ENDS {
            for (body, whole) in [
                ("id: 1\ndata: a\n\nid: 2\nda", FIRST),
                ("id: 1\ndata: a\n\nid: 2\ndata: b\n", FIRST),
                ("id: 1\nda", ""),
                ("", ""),
            ] {
                let name = format!("{framing:?}-{end:?}-{}", body.len());
                let answer = Answer {
                    framing,
                    end,
                    ..Answer::unframed(body)
                };
                let received = site.ask(ONCE, &name, &[answer]).await?;
                if received.complete || received.body != whole {
                    wrong.push(format!("{name}: {received:?}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let log = site.router.logged()?;
    let runs = log.lines().filter(|line| line.contains("event=run-ended"));
    assert!(
        !runs.clone().any(|line| line.contains("end=whole")),
        "no run is whole"
    );
    Ok(())
}

/// Guards against parts of events in a resumed stream, and against events that are missing or come twice where runs meet.
#[tokio::test]
async fn a_resumed_stream_goes_on_after_the_last_whole_event() -> Result<()> {
    let site = Site::start(101).await?;
    let second = Answer::unframed("id: 2\ndata: b\n\nid: 3\ndata");
    let third = Answer::unframed("id: 3\ndata: c\n\n");
    let whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    site.router.wait_for_retries(RESUMABLE, RETRIES).await?;
    for framing in FRAMINGS {
        let first = Answer {
            framing,
            ..Answer::unframed("id: 1\ndata: a\n\nid: 2\nda")
        };
        let name = format!("{framing:?}");
        let received = site.ask(RESUMABLE, &name, &[first, second, third]).await?;
        assert!(received.complete, "{name}: {received:?}");
        assert_eq!(received.body, whole, "{name}");
        let after = [None, Some("1".to_owned()), Some("2".to_owned())];
        assert_eq!(site.resumed(&name), after, "{name}");
    }
    // All events came before the connection was reset, so that the second run has none left.
    let first = Answer {
        end: End::Reset,
        ..Answer::unframed(FIRST)
    };
    let framed = Answer {
        framing: Framing::Length,
        ..Answer::unframed("")
    };
    let received = site
        .ask(RESUMABLE, "nothing-left", &[first, framed])
        .await?;
    assert!(received.complete && received.body == FIRST, "{received:?}");
    let received = site
        .ask(RESUMABLE, "never", &[second, second, second])
        .await?;
    assert!(!received.complete, "{received:?}");
    Ok(())
}

/// Guards against complete streams that are taken for broken ones because of their line ends, comments or framing.
#[tokio::test]
async fn a_complete_stream_is_passed_on_as_it_came() -> Result<()> {
    let site = Site::start(102).await?;
    for framing in FRAMINGS {
        let bodies = [
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
            "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
            "id: 1\r\ndata: a\n\r\nid: 2\rdata: b\r\n\n",
            ": hello\n\nid: 1\ndata: a\n\n: bye\n",
            "id: 1\ndata: a\n\n\n",
        ];
        for (number, body) in bodies.into_iter().enumerate() {
            let name = format!("{framing:?}-{number}");
            let answer = Answer {
                framing,
                ..Answer::unframed(body)
            };
            let received = site.ask(ONCE, &name, &[answer]).await?;
            assert!(received.complete, "{name}: {received:?}");
            assert_eq!(received.body, body, "{name}");
        }
    }
    Ok(())
}

/// Guards against an answer without a length that is passed on although its connection was reset.
#[tokio::test]
async fn a_plain_answer_without_length_is_complete_unless_its_connection_is_reset() -> Result<()> {
    let site = Site::start(103).await?;
    let whole = Answer::unframed("some text");
    let received = site.ask(RECORDS, "closed", &[whole]).await?;
    assert_eq!((received.status, &*received.body), (200, "some text"));
    assert!(received.complete, "{received:?}");
    let reset = Answer {
        end: End::Reset,
        ..whole
    };
    let received = site.ask(RECORDS, "reset", &[reset; 3]).await?;
    assert_eq!(received.status, 502, "{received:?}");
    Ok(())
}

const SECOND: &str = "id: 2\ndata: b\n\n";

/// Guards against events that come twice or whose numbers go back, from endpoints that do not go on after the last event.
#[tokio::test]
async fn events_whose_numbers_go_back_are_not_passed_on() -> Result<()> {
    let site = Site::start(107).await?;
    site.router.wait_for_retries(RESUMABLE, RETRIES).await?;
    let both = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let chunks = |body| Answer {
        framing: Framing::Chunks,
        ..Answer::unframed(body)
    };
    let broken = chunks("id: 1\ndata: a\n\nid: 2\nda");
    let mut wrong = Vec::new();
    // Each run after the broken one begins too early; of the last two, the first event is one to pass on.
    for (number, (again, goes_on)) in [
        (both, true),
        ("id: 1\ndata: a\n\n", true),
        ("id: 0\ndata: x\n\nid: 2\ndata: b\n\n", true),
        ("id: 2\ndata: b\n\nid: 1\ndata: a\n\n", false),
        ("id: 2\ndata: b\n\nid: 2\ndata: b\n\n", false),
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("again-{number}");
        let answers = [broken, chunks(again), chunks(SECOND)];
        let received = site.ask(RESUMABLE, &name, &answers).await?;
        if received.body != both || received.complete != goes_on {
            wrong.push(format!("{name}: {received:?}"));
        }
        if goes_on {
            continue;
        }
        let name = format!("once-{number}");
        let received = site.ask(ONCE, &name, &[chunks(again)]).await?;
        if received.body != SECOND || received.complete {
            wrong.push(format!("{name}: {received:?}"));
        }
    }
    site.router.wait_for_retries(RESUMABLE, RETRIES).await?;
    let answers = [chunks(both), chunks(SECOND)];
    let received = site
        .ask_after(RESUMABLE, "taken-up", &answers, Some("1"))
        .await?;
    if received.complete || !received.body.is_empty() {
        wrong.push(format!("taken-up: {received:?}"));
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

/// Guards against a stream that never ends for a caller that has all of its events, and takes it up for the end.
#[tokio::test]
async fn a_stream_that_is_taken_up_after_its_last_event_ends() -> Result<()> {
    let site = Site::start(108).await?;
    for framing in [Framing::Length, Framing::Chunks] {
        let nothing = Answer {
            framing,
            ..Answer::unframed("")
        };
        let name = format!("{framing:?}");
        let received = site
            .ask_after(RESUMABLE, &name, &[nothing], Some("2"))
            .await?;
        assert!(received.complete, "{name}: {received:?}");
        assert_eq!((received.status, &*received.body), (200, ""), "{name}");
        // A caller that has no event yet is owed one.
        for none in ["0", ""] {
            let name = format!("{framing:?}-none-{none}");
            let received = site
                .ask_after(RESUMABLE, &name, &[nothing], Some(none))
                .await?;
            assert!(!received.complete, "{name}: {received:?}");
        }
    }
    Ok(())
}

/// Guards against a stream that breaks off and looks complete to a caller whose answers end with their connections.
#[tokio::test]
async fn a_caller_without_chunks_sees_that_a_stream_breaks_off() -> Result<()> {
    let site = Site::start(139).await?;
    for (name, body, complete) in [
        ("whole", FIRST, true),
        ("broken", "id: 1\ndata: a\n\nid", false),
    ] {
        let answers = vec![Answer::unframed(body)];
        site.lock().answers.insert(name.to_owned(), answers);
        let path = format!("{ONCE}/{name}");
        let request = request(&path, name).replace("HTTP/1.1", "HTTP/1.0");
        let mut caller = TcpStream::connect(site.router.front).await?;
        caller.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        let read = timeout(LIMIT, caller.read_to_end(&mut answer)).await?;
        let answer = String::from_utf8_lossy(&answer);
        assert_eq!(read.is_ok(), complete, "{name}: {answer:?}");
    }
    Ok(())
}

/// Guards against events that come twice where a run goes on after events that have no numbers.
#[tokio::test]
async fn a_stream_does_not_go_on_after_events_without_numbers() -> Result<()> {
    let site = Site::start(147).await?;
    site.router.wait_for_retries(RESUMABLE, RETRIES).await?;
    let chunks = |body| Answer {
        framing: Framing::Chunks,
        ..Answer::unframed(body)
    };
    let mut wrong = Vec::new();
    for (number, (events, part, again)) in [
        ("data: a\n\n", "da", "data: a\n\ndata: b\n\n"),
        ("id: 1\ndata: a\n\ndata: b\n\n", "da", "data: b\n\n"),
        ("id:\ndata: a\n\n", "id:", "id:\ndata: a\n\n"),
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("unnumbered-{number}");
        let broken: &'static str = format!("{events}{part}").leak();
        let answers = [chunks(broken), chunks(again)];
        let received = site.ask(RESUMABLE, &name, &answers).await?;
        if received.complete || received.body != events || site.resumed(&name).len() > 1 {
            wrong.push(format!("{name}: {received:?}"));
        }
    }
    let answers = [chunks("data: a"), chunks("data: a\n\n")];
    let received = site.ask(RESUMABLE, "anew", &answers).await?;
    if !received.complete || received.body != "data: a\n\n" {
        wrong.push(format!("anew: {received:?}"));
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}
