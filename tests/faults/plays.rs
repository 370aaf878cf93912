//! Requests to endpoints that answer each of them as told, byte by byte.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Result;
use futures::StreamExt;
use futures::stream::iter;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::platform::Router;
use crate::platform::ask_with;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::received::fault;
use crate::store::Store;

/// How many plays run at once.
const AT_ONCE: usize = 64;

/// How long an endpoint waits before it resets a connection, so that what it sent has been read.
const SETTLE: Duration = Duration::from_millis(50);

/// How many retries a play may need.
const RETRIES: f64 = 10.0;

/// The heads of answers, but for their framing. An endpoint puts the request's name for `NAME`.
pub(crate) const PLAIN: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: NAME\r\nresponse-seal: 1\r\ncontent-type: text/plain\r\n";
pub(crate) const EVENTS: &str = "HTTP/1.1 200 OK\r\nrequest-id: NAME\r\nresponse-seal: 1\r\n\
     content-type: text/event-stream\r\n";

/// What follows the head of a plain answer.
pub(crate) const TEXT: &str = "content-length: 9\r\n\r\nsome text";

/// The first event of a stream, and what follows the head of one that has no other.
pub(crate) const FIRST: &str = "id: 1\ndata: a\n\n";
pub(crate) const ONE_EVENT: &str = "content-length: 15\r\n\r\nid: 1\ndata: a\n\n";

/// The kind of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Idempotent,
    NonIdempotent,
    /// A stream that may be resumed.
    Resumable,
}

impl Kind {
    fn route(self, name: &str) -> Value {
        match self {
            Self::Idempotent => route(name, "idempotent"),
            Self::NonIdempotent => route(name, "non_idempotent"),
            Self::Resumable => {
                let mut route = route(name, "streaming");
                route["resumable"] = json!(true);
                route
            }
        }
    }

    /// Returns an answer that is whole, and its body.
    fn sound(self) -> (Sent, &'static str) {
        match self {
            Self::Idempotent | Self::NonIdempotent => {
                (Sent::new(&[PLAIN, TEXT], End::Keep), "some text")
            }
            Self::Resumable => (Sent::new(&[EVENTS, ONE_EVENT], End::Keep), FIRST),
        }
    }
}

/// What an endpoint does with a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Close,
    Reset,
    /// It sends nothing more, and the answer is not whole.
    Hang,
    Keep,
    /// It sends this in front of the answer to the next request.
    More(&'static str),
}

/// An answer of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) bytes: String,
    pub(crate) end: End,
}

impl Sent {
    pub(crate) fn new(parts: &[&str], end: End) -> Self {
        let bytes = parts.concat();
        Self { bytes, end }
    }
}

/// A request, and the answers to its runs.
#[derive(Clone, Debug)]
pub(crate) struct Play {
    pub(crate) what: String,
    pub(crate) kind: Kind,
    /// The event after which the caller takes up a stream.
    pub(crate) last: Option<u64>,
    pub(crate) answers: Vec<Sent>,
    /// The body that the caller gets; nothing if no answer may look whole.
    pub(crate) whole: Option<String>,
}

#[derive(Default)]
struct Script {
    answers: IndexMap<String, VecDeque<Sent>>,
    runs: IndexMap<String, usize>,
    /// How many answers were told over a connection that had brought another one before.
    kept: usize,
    /// The requests that came over a connection after an answer that was not whole.
    reused: Vec<String>,
}

impl Script {
    /// Takes the answer to a request; the last one stays.
    fn take(&mut self, name: &str) -> Option<Sent> {
        let answers = self.answers.get_mut(name)?;
        match answers.len() {
            0 | 1 => answers.front().cloned(),
            _ => answers.pop_front(),
        }
    }
}

type Shared = Arc<Mutex<Script>>;

fn lock(script: &Shared) -> MutexGuard<'_, Script> {
    script.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers the requests on a connection, none of which has a body.
async fn serve(mut stream: TcpStream, kind: Kind, script: Shared) -> Result<()> {
    let mut last = None;
    loop {
        let head = read_head(&mut stream).await?;
        let Some(name) = header(&head, "request-id") else {
            let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            return Ok(stream.write_all(healthy).await?);
        };
        let answer = {
            let mut script = lock(&script);
            *script.runs.entry(name.to_owned()).or_default() += 1;
            if last == Some(End::Hang) {
                script.reused.push(name.to_owned());
            }
            let answer = script.take(name);
            script.kept += usize::from(answer.is_some() && last.is_some());
            answer.unwrap_or(kind.sound().0)
        };
        let more = match last {
            Some(End::More(bytes)) => bytes,
            _ => "",
        };
        let bytes = more.to_owned() + &answer.bytes.replace("NAME", name);
        stream.write_all(bytes.as_bytes()).await?;
        match answer.end {
            End::Close => return Ok(stream.shutdown().await?),
            End::Reset => {
                sleep(SETTLE).await;
                return Ok(stream.set_zero_linger()?);
            }
            End::Hang | End::Keep | End::More(_) => last = Some(answer.end),
        }
    }
}

/// Plays all at one router, each with endpoints of its own, and returns what is wrong.
pub(crate) async fn play_all(vm: usize, plays: &[Play]) -> Result<Vec<String>> {
    let script = Shared::default();
    let (store, at) = Store::start().await?;
    let numbered = plays.iter().enumerate();
    let routes: Vec<_> = numbered
        .map(|(n, play)| play.kind.route(&service(n)))
        .collect();
    put_config(&store, &routes);
    for (number, play) in plays.iter().enumerate() {
        let service = service(number);
        let answers = play.answers.iter().cloned().collect();
        let name = format!("play-{number}");
        lock(&script).answers.insert(name, answers);
        let kind = play.kind;
        for endpoint in 0..play.answers.len() {
            let shared = script.clone();
            let address = start_endpoint(move |stream| serve(stream, kind, shared.clone())).await?;
            put_endpoint(&store, &format!("{service}-{endpoint}"), &service, address);
        }
    }
    let settings = json!({"retry_ratio": 0.2, "retry_spare": 10_000.0, "retry_window_ms": 2000});
    let router = Router::start(vm, at, &settings)?;
    router.wait_serving(&service(plays.len() - 1)).await?;
    // All pools have as many retries as the last one.
    let last = service(plays.len() - 1);
    router.wait_for_retries(&last, RETRIES).await?;
    let playing = iter(plays.iter().enumerate()).map(|(number, play)| {
        let (router, script) = (&router, &script);
        async move { play.run(router, script, number).await }
    });
    let wrong: Vec<_> = playing.buffer_unordered(AT_ONCE).concat().await;
    let script = lock(&script);
    println!(
        "measure=plays vm={vm} plays={} kept={} wrong={}",
        plays.len(),
        script.kept,
        wrong.len()
    );
    let reused = script
        .reused
        .iter()
        .map(|name| format!("{name}: its connection was used before"));
    Ok(wrong.into_iter().chain(reused).collect())
}

fn service(number: usize) -> String {
    format!("service-{number}")
}

impl Play {
    /// Returns a play in which no answer may look whole.
    pub(crate) fn broken(what: impl Into<String>, kind: Kind, answers: Vec<Sent>) -> Self {
        Self {
            what: what.into(),
            kind,
            last: None,
            answers,
            whole: None,
        }
    }

    /// Returns a play whose caller gets a body.
    pub(crate) fn whole(
        what: impl Into<String>,
        kind: Kind,
        answers: Vec<Sent>,
        body: &str,
    ) -> Self {
        let whole = Some(body.to_owned());
        Self {
            whole,
            ..Self::broken(what, kind, answers)
        }
    }

    /// Sends the request after one that is answered as it should be and before another one, and returns what is wrong.
    async fn run(&self, router: &Router, script: &Shared, number: usize) -> Vec<String> {
        let (_, sound) = self.kind.sound();
        let [before, name, after] = ["before", "play", "after"].map(|s| format!("{s}-{number}"));
        let headers = self.last.map_or_else(String::new, |last| {
            format!("last-event-id: {last}\r\nresumes: {before}\r\n")
        });
        let mut wrong = Vec::new();
        let path = format!("{}/x", service(number));
        for (name, headers, whole, must) in [
            (before, "", Some(sound), true),
            (name, &*headers, self.whole.as_deref(), self.whole.is_some()),
            (after, "", Some(sound), false),
        ] {
            let answer = ask_with(router.front, &path, &name, headers).await;
            let answer = answer.unwrap_or_else(|error| error.to_string());
            let runs = lock(script).runs.get(&name).copied().unwrap_or(0);
            let fault = fault(&answer, &name, whole, must);
            if let Some(fault) = fault.or_else(|| self.run_fault(&answer, runs)) {
                let what = &self.what;
                wrong.push(format!(
                    "{:?} {what}, {name}: {fault}, {runs} runs: {answer:?}",
                    self.kind
                ));
            }
        }
        wrong
    }

    /// Returns what is wrong with the runs of a request that may run only once.
    fn run_fault(&self, answer: &str, runs: usize) -> Option<&'static str> {
        let status = answer.split(' ').nth(1);
        let promised = matches!(status, Some("408" | "421" | "429" | "503"));
        match self.kind {
            Kind::NonIdempotent if runs > 1 => Some("runs twice"),
            Kind::NonIdempotent if promised && runs > 0 => Some("is refused, but ran"),
            _ => None,
        }
    }
}
