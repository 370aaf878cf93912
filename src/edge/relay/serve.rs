//! One request, from its head to its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderMap;
use tokio::time::timeout;
use tracing::debug;
use tracing::info;

use crate::decide::Announcement;
use crate::edge::desk::Command;
use crate::edge::desk::Desk;
use crate::edge::desk::Line;
use crate::edge::relay::dialect::Dialect;
use crate::edge::relay::forward;
use crate::edge::relay::framing::Framing;
use crate::edge::relay::front;
use crate::edge::relay::front::Reply;
use crate::edge::relay::gather::BodyError;
use crate::edge::relay::gather::gather;
use crate::edge::relay::kept::Kept;
use crate::edge::relay::request::Ask;
use crate::edge::relay::request::Verdict;
use crate::edge::relay::room::AnswerRoom;
use crate::edge::relay::stream;
use crate::edge::relay::upstream::Target;
use crate::edge::relay::upstream::Upstream;
use crate::edge::relay::upstream::UpstreamError;
use crate::ids::Attempt;
use crate::ids::TableVersion;
use crate::labels::Labels;
use crate::router::Arrival;
use crate::router::Event;
use crate::router::Problem;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::Run;
use crate::router::RunEnd;
use crate::router::Work;

/// What answers that are streams have as their type.
const EVENTS: &[u8] = b"text/event-stream";

/// What all relayed requests share.
pub(crate) struct Relays {
    pub(crate) desk: Arc<Desk>,
    pub(crate) upstream: Upstream,
    pub(crate) room: AnswerRoom,
    pub(crate) dialect: Box<dyn Dialect>,
}

/// What came of sending a request to an endpoint.
pub(crate) enum Sent {
    /// The head of its answer.
    Answer(Box<Kept>, Box<Response<Incoming>>),
    /// The run is over, and nothing came of it.
    Over(RunEnd),
    /// The core broke it off.
    Stopped(Option<Command>),
}

/// What came of reading an answer that is no stream.
enum Gathered {
    Whole(Reply),
    /// It broke off.
    Broken,
    /// The core had a command before it was whole.
    Commanded(Option<Command>),
}

/// A request on its way to endpoints.
pub(crate) struct Runner {
    pub(crate) line: Line,
    pub(crate) ask: Ask,
    body: Bytes,
    run: Option<Run>,
    /// Whether an endpoint closed its connection. Endpoints may crash together, so that kept connections to others lead
    /// nowhere; a new one that is refused proves that the request did not run there.
    closed: bool,
    /// An endpoint's own failure, which the caller gets where no other endpoint does better.
    failure: Option<Reply>,
}

impl Runner {
    /// Sends the request to an endpoint.
    pub(crate) async fn send(&mut self, relays: &Relays, run: Run, last: Option<&str>) -> Sent {
        self.run = Some(run.clone());
        let Some((target, request)) = self.request(relays, &run, last) else {
            return Sent::Over(RunEnd::NotRun { retry: None });
        };
        let closed = self.closed;
        let sending = async {
            match closed {
                true => Upstream::send_anew(target, request).await,
                false => relays.upstream.send(target, request).await,
            }
        };
        let sent = tokio::select! {
            sent = sending => sent,
            command = self.line.next() => return match command {
                Some(Command::Leave) => Sent::Over(RunEnd::given_up()),
                command => Sent::Stopped(command),
            },
        };
        let (connection, answer) = match sent {
            Ok(sent) => sent,
            Err(error) => return Sent::Over(self.unanswered(&run, error)),
        };
        let kept = Kept::new(relays, connection, &answer);
        let verdict = match relays.dialect.verdict(&self.ask, &answer) {
            Verdict::Answer if lacks_events(&run, &answer) => Verdict::Broken,
            verdict => verdict,
        };
        // The end of such a run looks as if the endpoint had not answered.
        if matches!(
            verdict,
            Verdict::Failed | Verdict::Broken | Verdict::Foreign
        ) {
            self.line.desk.tell(Event::EndpointAnswered(self.line.id));
        }
        // Neither another endpoint that has taken over the address nor a late answer to an earlier request tells how this
        // endpoint is now.
        if !matches!(verdict, Verdict::Moved | Verdict::Foreign) {
            let announcement = relays
                .dialect
                .announcement(answer.status(), answer.headers());
            self.announced(run.limited, announcement);
        }
        match verdict {
            Verdict::Answer => Sent::Answer(Box::new(kept), Box::new(answer)),
            Verdict::Failed if run.idempotent && last.is_none() => {
                self.gather_failure(relays, kept, answer).await
            }
            Verdict::Failed => Sent::Answer(Box::new(kept), Box::new(answer)),
            Verdict::Broken => {
                info!(event = "head-broken", request = %self.line.id, endpoint = %run.endpoint);
                Sent::Over(RunEnd::broken())
            }
            Verdict::Foreign => {
                info!(event = "foreign-answer", request = %self.line.id, endpoint = %run.endpoint);
                Sent::Over(RunEnd::given_up())
            }
            Verdict::Moved => Sent::Over(RunEnd::NotRun { retry: None }),
            Verdict::NotRun(retry) => Sent::Over(RunEnd::NotRun { retry }),
        }
    }

    /// Reads an endpoint's own failure, for a caller whose request no other endpoint does better on.
    async fn gather_failure(
        &mut self,
        relays: &Relays,
        kept: Kept,
        answer: Response<Incoming>,
    ) -> Sent {
        match self.gather(relays, kept, answer).await {
            Gathered::Whole(failure) => self.failure = Some(failure),
            Gathered::Broken => {}
            Gathered::Commanded(Some(Command::Leave)) => {}
            Gathered::Commanded(command) => return Sent::Stopped(command),
        }
        Sent::Over(RunEnd::broken())
    }

    /// Reads an answer that is no stream, unless the core has a command before it is whole: its body may never end.
    async fn gather(
        &mut self,
        relays: &Relays,
        kept: Kept,
        answer: Response<Incoming>,
    ) -> Gathered {
        let framing = kept.framing;
        let gathered = tokio::select! {
            gathered = gather(relays, kept, answer) => gathered,
            command = self.line.next() => return Gathered::Commanded(command),
        };
        match gathered {
            Ok(reply) => Gathered::Whole(reply),
            Err(error) => {
                self.log_broken(framing, &error);
                Gathered::Broken
            }
        }
    }

    /// Logs why a run got no head of an answer, and returns its end.
    fn unanswered(&self, run: &Run, error: UpstreamError) -> RunEnd {
        let (request, endpoint) = (self.line.id, &run.endpoint);
        if error == UpstreamError::Unsent {
            debug!(event = "unsent", %request, %endpoint);
        } else {
            info!(event = "no-answer", %request, %endpoint, %error);
        }
        match error {
            UpstreamError::Unsent => RunEnd::NoConnection,
            UpstreamError::Closed => RunEnd::closed(),
            UpstreamError::TimedOut => RunEnd::given_up(),
        }
    }

    /// Tells the core what the endpoint announced, unless there is nothing that could change.
    fn announced(&self, limited: bool, announcement: Announcement) {
        if limited || announcement != Announcement::default() {
            let event = Event::EndpointAnnounced(self.line.id, announcement);
            self.line.desk.tell(event);
        }
    }

    /// Tells the core that the answer began.
    pub(crate) fn started(&self) {
        let desk = &self.line.desk;
        desk.metrics.first_byte(self.line.opened.elapsed());
        desk.tell(Event::AnswerStarted(self.line.id));
    }

    /// Tells the core how the run ended.
    pub(crate) fn end(&mut self, end: RunEnd) {
        self.run = None;
        self.closed |= end.is_closed();
        let desk = &self.line.desk;
        desk.metrics.ended(end.name());
        desk.metrics.took(self.line.opened.elapsed());
        desk.tell(Event::RunEnded(self.line.id, end));
    }

    /// Returns the endpoint of the run in progress.
    pub(crate) fn endpoint(&self) -> Option<&str> {
        self.run.as_ref().map(|run| run.endpoint.as_str())
    }

    /// Returns the most tokens that one event holds.
    pub(crate) fn stride(&self) -> u64 {
        let relay = self.run.as_ref().and_then(|run| run.relay.as_ref());
        relay.map_or(1, |relay| relay.stride)
    }

    /// Returns the event after which the caller has the run in progress go on, if it has any.
    pub(crate) fn resumed_after(&self) -> Option<&str> {
        let relay = self.run.as_ref().and_then(|run| run.relay.as_ref());
        relay.filter(|relay| relay.resumable)?;
        let last = self.ask.relay.resumption.as_ref()?.last.as_deref();
        last.filter(|last| !matches!(*last, "" | "0"))
    }

    /// Waits until the core breaks the answer off.
    pub(crate) async fn stopped(&mut self) {
        while !matches!(self.line.next().await, Some(Command::Cut(_)) | None) {}
    }

    /// Logs why an answer that is no stream is not whole.
    pub(crate) fn log_broken(&self, framing: Framing, error: &BodyError) {
        info!(event = "answer-broken", request = %self.line.id, endpoint = self.endpoint(), %framing, %error);
    }

    fn request(
        &self,
        relays: &Relays,
        run: &Run,
        last: Option<&str>,
    ) -> Option<(Target, Request<Full<Bytes>>)> {
        let address: SocketAddr = run.address.parse().ok()?;
        let deadline = run.relay.as_ref()?.deadline;
        let left = deadline.saturating_duration_since(Instant::now());
        let request = self.with_headers(relays.dialect.head(&self.ask, run, left, last));
        let endpoint = run.endpoint.to_string();
        Some((Target { address, endpoint }, request))
    }

    /// Returns the caller's request with other headers.
    pub(crate) fn with_headers(&self, headers: HeaderMap) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.ask.method.clone();
        *request.uri_mut() = self.ask.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

impl Drop for Runner {
    /// Tells the core of a run that ends because its caller is gone; the connection that it came by is closed by then.
    fn drop(&mut self) {
        if self.run.is_some() {
            self.end(RunEnd::CallerGone { usage: None });
        }
    }
}

/// Serves one request.
pub(crate) async fn serve(relays: Arc<Relays>, request: Request<Incoming>) -> Reply {
    serve_from(relays, request, None).await
}

/// Serves one request that a router with this version of the route table forwarded, if one did.
pub(crate) async fn serve_from(
    relays: Arc<Relays>,
    request: Request<Incoming>,
    forwarded: Option<TableVersion>,
) -> Reply {
    let leaving = relays.desk.clone();
    let mut reply = match read(&relays, request, forwarded).await {
        Ok(runner) => carry_out(relays, runner).await,
        Err(problem) => front::problem(&problem),
    };
    // A caller that keeps its connection would go on using a router that is about to end.
    if leaving.is_leaving() {
        front::close_after(&mut reply);
    }
    reply
}

/// Reads a request whole and tells the core of it.
async fn read(
    relays: &Relays,
    request: Request<Incoming>,
    forwarded: Option<TableVersion>,
) -> Result<Runner, Problem> {
    let (parts, body) = request.into_parts();
    let mut ask = relays.dialect.read(&parts)?;
    ask.relay.forwarded = forwarded;
    let body = read_body(&relays.desk, body).await?;
    let line = relays.desk.open();
    let origin = ask.relay.resumption.as_ref();
    let resumes = origin.and_then(|taken_up| taken_up.origin.as_ref());
    let resumes = resumes.map(tracing::field::display);
    let parts = ask.part_names();
    info!(event = "arrived", request = %line.id, name = ask.name, path = %ask.uri.path(), parts, resumes);
    let arrival = Arrival {
        id: line.id,
        bearer: ask.bearer.clone(),
        key: None,
        attempt: Attempt(1),
        labels: Labels::default(),
        fingerprint: ask.fingerprint(&body),
        work: Work::Relay(ask.relay.clone()),
        timeout: ask.patience,
        priority: None,
    };
    relays.desk.tell(Event::RequestArrived(Box::new(arrival)));
    Ok(Runner {
        line,
        ask,
        body,
        run: None,
        closed: false,
        failure: None,
    })
}

async fn read_body(desk: &Desk, body: Incoming) -> Result<Bytes, Problem> {
    let most = desk.limits.body_bytes;
    let limit = desk.limits.body_ms.duration();
    let body = Limited::new(body, most).collect();
    let refuse = |kind, detail: &str| Problem::new(kind, Ran::No, detail);
    match timeout(limit, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let detail = format!("the body has more than {most} bytes");
            Err(refuse(ProblemKind::TooLarge, &detail))
        }
        Ok(Err(error)) => {
            let detail = format!("the body can't be read: {error}");
            Err(refuse(ProblemKind::Malformed, &detail))
        }
        Err(_) => Err(refuse(
            ProblemKind::Malformed,
            "the body did not come in time",
        )),
    }
}

/// Carries out what the core says about a request until there is the head of an answer.
async fn carry_out(relays: Arc<Relays>, mut runner: Runner) -> Reply {
    loop {
        let run = match runner.line.next().await {
            Some(Command::Run(run)) => *run,
            Some(Command::Forward(forwarding)) => {
                return forward::forward(relays, runner, *forwarding).await;
            }
            command => return refuse(&mut runner, command),
        };
        match runner.send(&relays, run, None).await {
            Sent::Answer(kept, answer) if is_stream(&answer) => {
                return begin_stream(relays, runner, *kept, *answer);
            }
            Sent::Answer(kept, answer) => {
                if let Some(reply) = whole(&relays, &mut runner, *kept, *answer).await {
                    return reply;
                }
            }
            Sent::Over(end) => runner.end(end),
            Sent::Stopped(command) => {
                runner.end(RunEnd::CallerGone { usage: None });
                return refuse(&mut runner, command);
            }
        }
    }
}

pub(crate) fn is_stream(answer: &Response<Incoming>) -> bool {
    let kind = answer.headers().get(CONTENT_TYPE);
    let events = kind.is_some_and(|kind| kind.as_bytes().starts_with(EVENTS));
    events && answer.status().is_success()
}

/// Returns whether an answer is a success that is no stream, though the request's route has nothing else.
///
/// Only of streams that may be resumed the core says that they are streams.
fn lacks_events(run: &Run, answer: &Response<Incoming>) -> bool {
    let relay = run.relay.as_ref();
    let is_resumable = relay.is_some_and(|relay| relay.resumable);
    is_resumable && answer.status().is_success() && !is_stream(answer)
}

fn begin_stream(
    relays: Arc<Relays>,
    mut runner: Runner,
    kept: Kept,
    answer: Response<Incoming>,
) -> Reply {
    let (mut parts, body) = answer.into_parts();
    relays.dialect.strip(&mut parts.headers);
    runner.line.over = true;
    let (pump, out) = stream::start(relays, runner);
    tokio::spawn(pump.run(kept, body));
    Response::from_parts(parts, out)
}

/// Gathers an answer that is no stream; nothing where it broke off and the core was told.
async fn whole(
    relays: &Relays,
    runner: &mut Runner,
    kept: Kept,
    answer: Response<Incoming>,
) -> Option<Reply> {
    let reply = match runner.gather(relays, kept, answer).await {
        Gathered::Whole(reply) => reply,
        Gathered::Broken => {
            runner.end(RunEnd::closed());
            return None;
        }
        Gathered::Commanded(Some(Command::Leave)) => {
            runner.end(RunEnd::broken());
            return None;
        }
        Gathered::Commanded(command) => {
            runner.end(RunEnd::CallerGone { usage: None });
            return Some(refuse(runner, command));
        }
    };
    runner.end(RunEnd::Answered {
        status: reply.status().as_u16(),
        body: None,
    });
    runner.line.over = true;
    Some(reply)
}

/// Answers with the core's refusal.
fn refuse(runner: &mut Runner, command: Option<Command>) -> Reply {
    runner.line.over = true;
    match (command, runner.failure.take()) {
        // What an endpoint said goes before what the router makes of it, where the request did run.
        (Some(Command::Cut(problem)), Some(failure))
            if problem.kind == ProblemKind::EndpointFailed =>
        {
            failure
        }
        (Some(Command::Refuse(problem) | Command::Cut(problem)), _) => front::problem(&problem),
        _ => {
            let detail = "this router stopped";
            let problem = Problem::new(ProblemKind::EndpointFailed, Ran::Unknown, detail);
            front::problem(&problem)
        }
    }
}
