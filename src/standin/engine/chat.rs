//! Chat completions: start, resume and cancel.

use std::sync::Arc;
use std::time::Instant;

use salvo::conn::ConnCtrl;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::ids::ModelId;
use crate::prompt::prompt_blocks;
use crate::prompt::prompt_tokens;
use crate::standin::engine::answer::Answer;
use crate::standin::engine::run::Run;
use crate::standin::engine::run::RunSpec;
use crate::standin::engine::run::RunState;
use crate::standin::engine::sse;
use crate::standin::engine::state::Engine;
use crate::standin::engine::state::lock;
use crate::standin::server::Call;
use crate::standin::server::Reply;
use crate::standin::time::wall_ms;

/// The answer's limit where a request names none, in tokens.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// The priority of a request that names none: behind those that do.
const DEFAULT_PRIORITY: u8 = 100;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: ModelId,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl ChatRequest {
    fn prompt(&self) -> String {
        let contents = self.messages.iter();
        let contents: Vec<&str> = contents.map(|message| message.content.as_str()).collect();
        contents.join("\n")
    }
}

/// One who reads a run; when the last one leaves, the run stops.
#[derive(Debug)]
pub(crate) struct Reader {
    /// The engine.
    pub(crate) engine: Arc<Engine>,
    /// The run.
    pub(crate) run: Arc<Run>,
}

impl Reader {
    fn new(engine: Arc<Engine>, run: Arc<Run>, conn: ConnCtrl) -> Self {
        run.join(conn);
        Self { engine, run }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(left) = self.run.leave() {
            self.engine.desert(&self.run, left);
        }
    }
}

/// Runs a request and answers with the whole answer or with its events.
pub(crate) async fn complete(engine: Arc<Engine>, call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    if engine.switch.strikes(engine.switch.faults().error_rate) {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return Err(Reply::error(status, "refused without effect"));
    }
    let request: ChatRequest = call.json()?;
    if !lock(&engine.orders).serves(Instant::now(), &request.model) {
        let message = format!("model {} is not loaded", request.model);
        return Err(Reply::error(StatusCode::NOT_FOUND, &message));
    }
    let prompt = request.prompt();
    let run = Arc::new(Run::new(spec(&engine, &call, &request, &prompt)));
    engine.start(&run, prompt_blocks(&prompt));
    let reader = Reader::new(engine, run, call.conn.clone());
    if request.stream {
        return Ok(Reply::Events(sse::events(reader, call.conn, 0)));
    }
    Ok(whole(reader).await)
}

fn spec(engine: &Engine, call: &Call, request: &ChatRequest, prompt: &str) -> RunSpec {
    let number = engine.runs.count() + 1;
    let priority = call.header("x-priority");
    RunSpec {
        id: call
            .header("x-request-id")
            .unwrap_or_else(|| format!("run-{number}")),
        key: call.header("idempotency-key"),
        team: call.header("x-team"),
        model: request.model.clone(),
        priority: priority
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_PRIORITY),
        prompt: prompt_tokens(prompt),
        answer: Answer::new(prompt, request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
        crashes: engine.switch.faults().crashes(prompt),
        started: wall_ms(),
    }
}

async fn whole(reader: Reader) -> Reply {
    let run = &reader.run;
    let mut progress = run.watch();
    // The run holds the sender, and the reader the run, so the wait cannot fail.
    let _ = progress
        .wait_for(|progress| progress.state != RunState::Running)
        .await;
    let end = run.progress();
    if end.state == RunState::Crashed {
        return Reply::Cut;
    }
    Reply::ok(&json!({
        "id": run.spec.id,
        "object": "chat.completion",
        "created": run.spec.started / 1000,
        "model": run.spec.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": run.spec.answer.text(end.generated)},
            "finish_reason": run.finish_reason(),
        }],
        "usage": run.usage(),
    }))
}

/// Streams a run that goes on, or is whole, from a token on.
pub(crate) async fn resume(engine: Arc<Engine>, call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    let run = find(&engine, &call)?;
    let from = call.number("from_token", 0);
    let reader = Reader::new(engine, run, call.conn.clone());
    Ok(Reply::Events(sse::events(reader, call.conn, from)))
}

/// Stops a run.
pub(crate) async fn cancel(engine: Arc<Engine>, call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    let run = find(&engine, &call)?;
    run.end(RunState::Cancelled);
    Ok(Reply::ok(&run.shown()))
}

fn find(engine: &Engine, call: &Call) -> Result<Arc<Run>, Reply> {
    let run = engine.runs.find(call.param("id"));
    run.ok_or_else(|| Reply::error(StatusCode::NOT_FOUND, "no such request"))
}
