//! Streams: an endpoint's events to the caller as they come.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use tracing::info;

use crate::edge::desk::Command;
use crate::edge::relay::events::EventSplitter;
use crate::edge::relay::framing::Framing;
use crate::edge::relay::kept::ENDPOINT_DIED;
use crate::edge::relay::kept::Kept;
use crate::edge::relay::piecewise::PieceSender;
use crate::edge::relay::piecewise::piecewise_body;
use crate::edge::relay::serve::Relays;
use crate::edge::relay::serve::Runner;
use crate::edge::relay::serve::Sent;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::tokens::Tokens;

/// How a stream went on one endpoint.
enum End {
    Whole(Kept),
    Broken,
    /// It went on without ending an event.
    Endless,
    /// It sent an event again, or one that comes before the last one.
    Disordered,
    /// Its first event does not come after the one that the caller named. The caller may have named one that there never
    /// was, which says nothing of the endpoint.
    Misnamed,
    CallerGone,
    /// The core broke it off.
    Stopped,
    /// The core gave the endpoint up, which had sent no event yet.
    Left,
}

/// What came of passing a piece on to the caller.
enum Given {
    Sent,
    CallerGone,
    /// The core broke the stream off while the caller read nothing.
    Stopped,
}

impl Given {
    /// Returns how the stream ended, if it did.
    fn end(self) -> Option<End> {
        match self {
            Self::Sent => None,
            Self::CallerGone => Some(End::CallerGone),
            Self::Stopped => Some(End::Stopped),
        }
    }
}

/// One stream.
pub(crate) struct Pump {
    relays: Arc<Relays>,
    runner: Runner,
    out: PieceSender,
    splitter: EventSplitter,
    /// Events that went to the caller from the endpoint that answers now.
    events: u64,
    /// Whether the caller has an event of this answer. Until then another endpoint may begin anew.
    begun: bool,
}

/// Makes the body that a stream goes out by, and what fills it.
pub(crate) fn start(relays: Arc<Relays>, runner: Runner) -> (Pump, BoxBody<Bytes, io::Error>) {
    let (out, body) = piecewise_body();
    let last = runner.resumed_after().map(str::to_owned);
    let splitter = EventSplitter::after(last);
    let pump = Pump {
        relays,
        runner,
        out,
        splitter,
        events: 0,
        begun: false,
    };
    (pump, body)
}

impl Pump {
    /// Relays a stream to its end, over as many endpoints as that takes.
    pub(crate) async fn run(mut self, mut connection: Kept, mut body: Incoming) {
        loop {
            let end = self.relay(connection, body).await;
            let usage = self.usage();
            let broken = match end {
                End::Whole(connection) => {
                    self.out.finish();
                    self.runner.end(RunEnd::Completed { usage });
                    self.relays.keep(connection);
                    return;
                }
                End::CallerGone | End::Stopped | End::Misnamed => {
                    let usage = Some(usage);
                    return self.runner.end(RunEnd::CallerGone { usage });
                }
                End::Broken => RunEnd::closed_off(usage),
                End::Endless | End::Disordered => RunEnd::broken_off(Some(usage)),
                End::Left => RunEnd::broken(),
            };
            match self.go_on(broken).await {
                Some(next) => (connection, body) = next,
                None => return,
            }
        }
    }

    /// Relays what one endpoint sends.
    async fn relay(&mut self, connection: Kept, mut body: Incoming) -> End {
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.out.closed() => return End::CallerGone,
                command = self.runner.line.next() => match command {
                    Some(Command::Cut(_)) | None => return End::Stopped,
                    Some(Command::Leave) if !self.begun => return End::Left,
                    Some(_) => continue,
                },
            };
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    self.log_end(connection.framing, &error.to_string());
                    return End::Broken;
                }
                None => break,
            };
            let events = self.splitter.push(&bytes);
            if self.events == 0 && events.count > 0 {
                self.runner.started();
            }
            self.events += events.count;
            self.begun |= events.count > 0;
            if let Some(end) = self.give(events.bytes).await.end() {
                return end;
            }
            if self.splitter.is_disordered() {
                self.log_end(connection.framing, "the numbers of events go back");
                return match self.begun {
                    true => End::Disordered,
                    false => End::Misnamed,
                };
            }
            if self.splitter.is_endless() {
                self.log_end(connection.framing, "no event ends");
                return End::Endless;
            }
        }
        let is_complete = self.is_complete(connection.framing);
        if connection.framing == Framing::Connection || !is_complete {
            self.log_end(connection.framing, "none");
        }
        if !is_complete {
            return End::Broken;
        }
        if let Some(end) = self.check_endpoint(&connection).await {
            return end;
        }
        let rest = self.splitter.rest();
        let end = self.give(rest).await.end();
        end.unwrap_or(End::Whole(connection))
    }

    /// Returns whether a stream whose body ended without an error is complete.
    ///
    /// The body may have ended because its connection did. A run has an event at least, unless it resumed a stream of
    /// which all events had been sent; then its framing has to say that this is the end.
    fn is_complete(&self, framing: Framing) -> bool {
        let resumed = self.splitter.last().is_some();
        let has_events = self.events > 0 || (resumed && framing != Framing::Connection);
        has_events && !self.splitter.is_inside_event()
    }

    /// Returns how a stream ended whose endpoint may have died, if it is not complete.
    async fn check_endpoint(&mut self, connection: &Kept) -> Option<End> {
        let dead = tokio::select! {
            biased;
            dead = connection.has_dead_endpoint(&self.relays) => dead,
            () = self.out.closed() => return Some(End::CallerGone),
            () = self.runner.stopped() => return Some(End::Stopped),
        };
        if dead {
            self.log_end(connection.framing, ENDPOINT_DIED);
        }
        dead.then_some(End::Broken)
    }

    /// Logs how an endpoint's stream ended, unless it is framed and complete.
    fn log_end(&self, framing: Framing, error: &str) {
        let partial = self.splitter.partial();
        info!(event = "stream-ended", request = %self.runner.line.id, endpoint = self.runner.endpoint(), %framing,
            events = self.events, partial, error);
    }

    /// Passes a piece on to the caller. A caller that reads nothing holds it back, until the core breaks the stream off.
    async fn give(&mut self, bytes: Bytes) -> Given {
        if bytes.is_empty() {
            return Given::Sent;
        }
        tokio::select! {
            sent = self.out.send(bytes) => match sent {
                Ok(()) => Given::Sent,
                Err(_) => Given::CallerGone,
            },
            () = self.runner.stopped() => Given::Stopped,
        }
    }

    /// Goes on at another endpoint from the last whole event, if the core finds one; `end` is how the run ended.
    async fn go_on(&mut self, mut end: RunEnd) -> Option<(Kept, Incoming)> {
        let is_final = self.splitter.is_unnumbered();
        loop {
            self.events = 0;
            self.splitter.resume();
            self.runner.end(end);
            let Some(Command::Run(run)) = self.runner.line.next().await else {
                return None;
            };
            if is_final {
                self.runner.end(RunEnd::Unsent);
                return None;
            }
            let last = self.splitter.last().map(str::to_owned);
            let sent = tokio::select! {
                sent = self.runner.send(&self.relays, *run, last.as_deref()) => sent,
                () = self.out.closed() => {
                    self.runner.end(RunEnd::CallerGone { usage: None });
                    return None;
                }
            };
            end = match sent {
                Sent::Answer(connection, answer) if answer.status().is_success() => {
                    return Some((*connection, answer.into_body()));
                }
                Sent::Answer(..) => RunEnd::broken_off(None),
                Sent::Over(end) => end,
                Sent::Stopped(_) => {
                    self.runner.end(RunEnd::CallerGone { usage: None });
                    return None;
                }
            };
        }
    }

    /// Returns the most that went to the caller from the endpoint that answers now.
    fn usage(&self) -> Usage {
        let stride = self.runner.stride();
        Usage {
            prompt: Tokens::ZERO,
            answer: Tokens(self.events.saturating_mul(stride)),
        }
    }
}
