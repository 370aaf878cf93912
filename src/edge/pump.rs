//! Streams: an endpoint's tokens to the caller as they come, and the end once it is billed.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::body::BodySender;
use salvo::http::header::CACHE_CONTROL;
use salvo::http::header::CONTENT_TYPE;
use tokio::time::timeout;
use tracing::info;

use crate::edge::chat_body::ChatBody;
use crate::edge::desk::Command;
use crate::edge::desk::Line;
use crate::edge::engine;
use crate::edge::sse::Splitter;
use crate::router::Event;
use crate::router::Failure;
use crate::router::Run;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::router::Work;
use crate::tokens::Tokens;

/// How long an endpoint may be silent in a stream. Tokens are 80 ms apart; a minute of none is a dead endpoint.
const IDLE: Duration = Duration::from_secs(60);

/// How often one stream is resumed: a link that breaks at every other token is no link.
const MAX_RESUMES: u32 = 3;

/// One stream.
struct Pump {
    line: Line,
    run: Run,
    rest: Incoming,
    out: BodySender,
    splitter: Splitter,
    /// The most that the prompt can have used.
    prompt: Tokens,
    stall: Duration,
    resumed: u32,
}

/// How a stream went.
enum End {
    Whole(Usage, Bytes),
    Broken,
    CallerGone,
    Stopped,
}

/// Begins to stream an answer.
pub(crate) fn start(
    line: Line,
    run: Run,
    first: Bytes,
    rest: Incoming,
    body: &ChatBody,
    res: &mut Response,
) {
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let prompt = match &body.work {
        Work::Completion { prompt, .. } => Tokens(*prompt),
        Work::Call { .. } | Work::Relay(_) => Tokens::ZERO,
    };
    let stall = line.desk.limits.stall_ms.duration();
    let pump = Pump {
        line,
        run,
        rest,
        out: res.channel(),
        splitter: Splitter::default(),
        prompt,
        stall,
        resumed: 0,
    };
    tokio::spawn(pump.pump(first));
}

impl Pump {
    async fn pump(mut self, first: Bytes) {
        // From here on this task sees the caller go, and asks the engine what the run used.
        self.line.run = None;
        let end = self.relay(first).await;
        self.line.desk.metrics.tokens(self.splitter.tokens().0);
        match end {
            End::Whole(usage, end) => self.end_whole(usage, end).await,
            End::Broken => self.end_early(true).await,
            End::CallerGone => self.end_early(false).await,
            End::Stopped => {
                self.line.over = true;
                self.out.send_error(cut());
                engine::cancel(&self.line.desk, self.line.id, &self.run).await;
            }
        }
    }

    /// Relays until the end of the answer is here.
    async fn relay(&mut self, first: Bytes) -> End {
        let mut bytes = first;
        loop {
            let Ok(ready) = self.splitter.push(bytes) else {
                return End::Broken;
            };
            if !ready.is_empty() && !self.send(ready).await {
                return End::CallerGone;
            }
            if self.splitter.is_done() {
                return match self.splitter.whole() {
                    Some((usage, end)) => End::Whole(usage, end),
                    None => End::Broken,
                };
            }
            bytes = tokio::select! {
                next = next_bytes(&mut self.rest) => match next {
                    Some(bytes) => bytes,
                    None if self.resume().await => Bytes::new(),
                    None => return End::Broken,
                },
                // The core speaks to a stream only to break it off.
                _command = self.line.next() => return End::Stopped,
            };
        }
    }

    /// Goes on with a stream whose connection to the engine broke, if the run goes on there.
    ///
    /// Else a caller loses an answer of a minute to a blip of a millisecond, and its team pays for the run twice.
    async fn resume(&mut self) -> bool {
        if self.resumed >= MAX_RESUMES {
            return false;
        }
        self.resumed += 1;
        let from = self.splitter.restart();
        let desk = &self.line.desk;
        match engine::resume(desk, self.line.id, &self.run, from).await {
            Some(rest) => {
                info!(event = "stream-resumed", request = %self.line.id, from = %from);
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    /// Sends bytes to the caller; false means that it is gone, or reads nothing.
    async fn send(&mut self, bytes: Bytes) -> bool {
        let sent = timeout(self.stall, self.out.send_data(bytes)).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Lets the end go out once the request is billed.
    async fn end_whole(mut self, usage: Usage, end: Bytes) {
        self.line
            .desk
            .tell(Event::RunEnded(self.line.id, RunEnd::Completed { usage }));
        let command = self.line.next().await;
        self.line.over = true;
        match command {
            Some(Command::Release) => {
                self.send(end).await;
            }
            _ => self.out.send_error(cut()),
        }
    }

    /// Ends a stream that will not be whole, with what the run used.
    async fn end_early(mut self, broken: bool) {
        let told = engine::cancel(&self.line.desk, self.line.id, &self.run).await;
        // What the engine does not say is bounded by what is known: the prompt's length and the tokens that came.
        let known = Usage {
            prompt: self.prompt,
            answer: self.splitter.tokens(),
        };
        let usage = Some(told.unwrap_or(known));
        let end = match broken {
            true => RunEnd::Failed {
                usage,
                answer_begun: true,
                failure: match engine::is_dead(&self.line.desk, &self.run.address).await {
                    true => Failure::Died,
                    false => Failure::Answered,
                },
            },
            false => RunEnd::CallerGone { usage },
        };
        self.line.desk.tell(Event::RunEnded(self.line.id, end));
        if broken {
            self.line.next().await;
        }
        self.line.over = true;
        self.out.send_error(cut());
    }
}

/// Reads the next bytes; none means that the endpoint broke off or fell silent.
async fn next_bytes(rest: &mut Incoming) -> Option<Bytes> {
    loop {
        let frame = timeout(IDLE, rest.frame()).await.ok()??.ok()?;
        if let Ok(bytes) = frame.into_data() {
            return Some(bytes);
        }
    }
}

/// Breaks the connection off before its last chunk, so that the caller's library reports it.
fn cut() -> io::Error {
    io::Error::other("the answer is not whole")
}
