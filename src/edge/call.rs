//! Plain services' calls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::header::CONTENT_TYPE;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use tokio::sync::oneshot;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::edge::chat::refuse;
use crate::edge::desk::Command;
use crate::edge::desk::Desk;
use crate::edge::engine;
use crate::edge::http;
use crate::edge::http::Head;
use crate::edge::render;
use crate::ids::Fingerprint;
use crate::ids::RequestId;
use crate::router::Event;
use crate::router::Problem;
use crate::router::Run;
use crate::router::RunEnd;
use crate::router::Work;

/// The largest answer of a service: a map tile or a page of records fits many times over.
const MAX_ANSWER: usize = 16 << 20;

/// The largest answer that the ledger keeps for a retry: a receipt's number fits, a document does not belong there.
const MAX_KEPT: usize = 1024;

/// How long a service may take. Unlike an engine it does not stream, so silence means trouble.
const CALL: Duration = Duration::from_secs(30);

/// Serves `/v1/services/NAME/...`.
pub(crate) struct Calls(pub(crate) Arc<Desk>);

/// A caller's call.
#[derive(Clone)]
struct Call {
    service: String,
    method: String,
    /// What follows the service's name, with the query.
    path: String,
    kind: Option<String>,
    body: Bytes,
}

/// A service's answer.
struct Answer {
    status: u16,
    kind: String,
    body: Bytes,
}

#[async_trait]
impl Handler for Calls {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.read(req).await {
            Ok((head, call)) => serve(self.0.clone(), head, call, res).await,
            Err(problem) => render::problem(res, &http::prove(problem, req)),
        }
    }
}

impl Calls {
    async fn read(&self, req: &mut Request) -> Result<(Head, Call), Problem> {
        let head = Head::read(req)?;
        let body = http::read_body(req, &self.0).await?;
        let service = req.param::<String>("name").unwrap_or_default();
        let kind = req.header::<String>(CONTENT_TYPE);
        let uri = req.uri();
        let whole = uri.path_and_query().map_or("/", |p| p.as_str());
        let prefix = format!("/v1/services/{service}");
        let path = whole.strip_prefix(&prefix).unwrap_or("/").to_owned();
        let call = Call {
            service,
            method: req.method().to_string(),
            path,
            kind,
            body,
        };
        Ok((head, call))
    }
}

/// Carries out what the core says about one call.
async fn serve(desk: Arc<Desk>, head: Head, call: Call, res: &mut Response) {
    let mut line = desk.open();
    render::name(res, line.id);
    let work = Work::Call {
        service: call.service.clone(),
        method: call.method.clone(),
    };
    desk.tell(head.arrival(line.id, work, fingerprint(&call)));
    let mut answers = None;
    loop {
        match line.next().await {
            Some(Command::Run(run)) => {
                // In a task of its own: a caller that hangs up must not make a call's outcome unknown.
                let (sender, answer) = oneshot::channel();
                tokio::spawn(carry_out(desk.clone(), line.id, *run, call.clone(), sender));
                answers = Some(answer);
            }
            Some(Command::Release) => {
                line.over = true;
                return give(answers.take(), res).await;
            }
            command => return refuse(&mut line, command, res),
        }
    }
}

async fn give(answer: Option<oneshot::Receiver<Answer>>, res: &mut Response) {
    if let Some(answer) = answer
        && let Ok(answer) = answer.await
    {
        render::bytes(res, answer.status, &answer.kind, answer.body.to_vec());
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    let head = format!("{} {}\n", call.method, call.path);
    Fingerprint(xxh3_64(&[head.as_bytes(), &call.body].concat()))
}

/// Sends a call to its endpoint, tells the core how it went and leaves the answer for the caller.
async fn carry_out(
    desk: Arc<Desk>,
    id: RequestId,
    run: Run,
    call: Call,
    sender: oneshot::Sender<Answer>,
) {
    let end = match timeout(CALL, ask(&desk, id, &run, call)).await {
        Ok(Ok(answer)) => {
            let status = answer.status;
            let body = (answer.body.len() <= MAX_KEPT).then(|| answer.body.to_vec());
            // The answer is there before the core hears of it, and so before it lets it go out.
            let _ = sender.send(answer);
            RunEnd::Answered { status, body }
        }
        Ok(Err(end)) => engine::examined(&desk, &run, end).await,
        Err(_) => RunEnd::given_up(),
    };
    desk.tell(Event::RunEnded(id, end));
}

async fn ask(desk: &Desk, id: RequestId, run: &Run, call: Call) -> Result<Answer, RunEnd> {
    engine::check_endpoint(desk, run).await?;
    let mut request = engine::begin(desk, id, run, &call.method, &call.path);
    if let Some(kind) = &call.kind {
        request = request.header(CONTENT_TYPE, kind);
    }
    let request = request.body(Full::new(call.body));
    let answer = match run.idempotent {
        true => engine::send(&desk.http, request).await?,
        false => engine::send(&desk.once, request).await?,
    };
    engine::announce(desk, id, &answer);
    let status = answer.status().as_u16();
    // Of a call that may not be repeated, not even a 503 proves that it took no effect; the caller gets it as it is.
    if status == 503 && run.idempotent {
        return Err(engine::refusal(&answer));
    }
    let kind = answer
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let body = Limited::new(answer.into_body(), MAX_ANSWER);
    let body = body
        .collect()
        .await
        .map_err(|_| RunEnd::broken())?
        .to_bytes();
    Ok(Answer { status, kind, body })
}
