//! Completions: a caller's request, from its arrival to the answer's first bytes.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Response as Answer;
use hyper::body::Incoming;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;

use crate::edge::chat_body::ChatBody;
use crate::edge::desk::Command;
use crate::edge::desk::Desk;
use crate::edge::desk::Line;
use crate::edge::engine;
use crate::edge::http;
use crate::edge::http::Head;
use crate::edge::pump;
use crate::edge::render;
use crate::edge::sse;
use crate::edge::sse::Finish;
use crate::ids::RequestId;
use crate::router::Event;
use crate::router::Problem;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::Run;
use crate::router::RunEnd;

/// The largest answer that is not streamed: ten thousand tokens fit many times over.
const MAX_ANSWER: usize = 16 << 20;

/// Serves `/v1/chat/completions`.
pub(crate) struct Chat(pub(crate) Arc<Desk>);

#[async_trait]
impl Handler for Chat {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.read(req).await {
            Ok((head, body)) => serve(self.0.clone(), head, body, res).await,
            Err(problem) => render::problem(res, &http::prove(problem, req)),
        }
    }
}

impl Chat {
    async fn read(&self, req: &mut Request) -> Result<(Head, ChatBody), Problem> {
        let head = Head::read(req)?;
        let body = http::read_body(req, &self.0).await?;
        Ok((head, ChatBody::read(&body)?))
    }
}

/// What came of sending a request to an endpoint, before anything of the answer went out.
enum Begun {
    /// Its first bytes are here, and it streams.
    Stream(Bytes, Incoming),
    /// All of it is here.
    Whole(Vec<u8>, RunEnd),
    /// The run is over, and nothing came of it.
    Over(RunEnd),
    /// The core broke it off.
    Stopped(Option<Command>),
}

/// Carries out what the core says about one request.
async fn serve(desk: Arc<Desk>, head: Head, body: ChatBody, res: &mut Response) {
    let mut line = desk.open();
    render::name(res, line.id);
    desk.tell(head.arrival(line.id, body.work.clone(), body.request));
    loop {
        let run = match line.next().await {
            Some(Command::Run(run)) => *run,
            command => return refuse(&mut line, command, res),
        };
        line.run = Some(run.clone());
        match begin(&mut line, &run, &body).await {
            Begun::Stream(first, rest) => {
                begun(&line, &run, res);
                return pump::start(line, run, first, rest, &body, res);
            }
            Begun::Whole(answer, end) => {
                begun(&line, &run, res);
                return finish(&mut line, answer, end, res).await;
            }
            Begun::Stopped(command) => return refuse(&mut line, command, res),
            Begun::Over(end) => {
                let end = engine::examined(&desk, &run, end).await;
                // Not sooner: a caller that hangs up meanwhile must have its run cancelled and its use counted.
                line.run = None;
                desk.tell(Event::RunEnded(line.id, end));
            }
        }
    }
}

/// Measures what passed until the answer's first bytes, and tells the caller what its claim's wait was of that.
fn begun(line: &Line, run: &Run, res: &mut Response) {
    line.desk.metrics.first_byte(line.opened.elapsed());
    render::claim_wait(res, run.claim_wait);
}

/// Sends a request to its endpoint, unless the core breaks it off.
async fn begin(line: &mut Line, run: &Run, body: &ChatBody) -> Begun {
    let desk = line.desk.clone();
    let id = line.id;
    tokio::select! {
        begun = ask(&desk, id, run, body) => begun,
        command = line.next() => Begun::Stopped(command),
    }
}

async fn ask(desk: &Desk, id: RequestId, run: &Run, body: &ChatBody) -> Begun {
    if let Err(end) = engine::check_endpoint(desk, run).await {
        return Begun::Over(end);
    }
    let request = engine::completion(desk, id, run, body.for_endpoint(run.limit));
    let answer = match engine::send(&desk.http, request).await {
        Ok(answer) if answer.status().is_success() => answer,
        Ok(answer) => {
            engine::announce(desk, id, &answer);
            return Begun::Over(engine::refusal(&answer));
        }
        Err(end) => return Begun::Over(end),
    };
    match body.stream {
        true => first_bytes(desk, id, answer).await,
        false => whole(answer).await,
    }
}

/// Waits for a stream's first bytes: until they are there, the request may still go to another endpoint.
async fn first_bytes(desk: &Desk, id: RequestId, answer: Answer<Incoming>) -> Begun {
    let mut rest = answer.into_body();
    while let Some(Ok(frame)) = rest.frame().await {
        if let Ok(bytes) = frame.into_data() {
            desk.tell(Event::AnswerStarted(id));
            return Begun::Stream(bytes, rest);
        }
    }
    Begun::Over(RunEnd::broken())
}

async fn whole(answer: Answer<Incoming>) -> Begun {
    let body = Limited::new(answer.into_body(), MAX_ANSWER);
    let Ok(body) = body.collect().await else {
        return Begun::Over(RunEnd::broken());
    };
    let body = body.to_bytes().to_vec();
    match sse::finish(&body) {
        Finish {
            whole: Some(true),
            usage: Some(usage),
        } => Begun::Whole(body, RunEnd::Completed { usage }),
        _ => Begun::Over(RunEnd::broken()),
    }
}

/// Holds an answer until it is billed.
async fn finish(line: &mut Line, answer: Vec<u8>, end: RunEnd, res: &mut Response) {
    line.run = None;
    line.desk.tell(Event::RunEnded(line.id, end));
    match line.next().await {
        Some(Command::Release) => {
            line.over = true;
            render::bytes(res, 200, "application/json", answer);
        }
        command => refuse(line, command, res),
    }
}

/// Answers with the core's refusal.
pub(crate) fn refuse(line: &mut Line, command: Option<Command>, res: &mut Response) {
    line.over = true;
    match command {
        Some(Command::Refuse(problem) | Command::Cut(problem)) => render::problem(res, &problem),
        Some(Command::Replay(replay)) => {
            render::bytes(res, replay.status, "application/json", replay.body);
        }
        _ => {
            let detail = "this router stopped";
            let problem = Problem::new(ProblemKind::NotServing, Ran::Unknown, detail);
            render::problem(res, &problem);
        }
    }
}
