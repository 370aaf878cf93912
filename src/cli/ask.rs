//! The command `ask`: one completion, with retries.

#![expect(
    clippy::disallowed_methods,
    reason = "an edge: it waits between two tries"
)]

use std::fmt;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::cli::address::ADDRESS;
use crate::cli::address::Advice;
use crate::cli::args::ACCOUNT_KEY;
use crate::cli::args::AskArgs;
use crate::cli::args::Places;
use crate::cli::failure::Failure;
use crate::cli::output;
use crate::cli::output::Output;
use crate::cli::problem::Problem;
use crate::cli::router::Router;
use crate::cli::sse::Events;
use crate::http_client::Answer;
use crate::http_client::HttpClient;
use crate::ids::IdempotencyKey;

/// The last event of a complete answer.
const END: &str = "[DONE]";

/// The largest refusal that is read, in bytes.
const MAX_PROBLEM: usize = 64 << 10;

/// The delay before the next attempt, unless the router names one: long enough for a dead router to be noticed, and short
/// enough for a person who waits.
const PAUSE: Duration = Duration::from_secs(1);

/// A complete answer.
#[derive(Debug, Serialize)]
struct Whole {
    id: IdempotencyKey,
    attempts: u64,
    text: String,
    usage: Option<Value>,
}

impl fmt::Display for Whole {
    /// Writes only a line break: the text was printed as it arrived.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f)
    }
}

/// The end of an attempt without a complete answer.
#[derive(Debug)]
struct Ended {
    /// When the next attempt may start; `None` if it would end in the same way.
    again: Option<Duration>,
    /// The router for the next attempt.
    instead: Option<String>,
    failure: Failure,
}

/// A request that is sent in each attempt.
#[derive(Debug)]
struct Question<'a> {
    http: HttpClient,
    args: &'a AskArgs,
    id: IdempotencyKey,
    output: Output,
}

pub(crate) async fn ask(places: &Places, args: &AskArgs, output: Output) -> Result<(), Failure> {
    let key = std::env::var(ACCOUNT_KEY);
    let key = key.with_context(|| format!("{ACCOUNT_KEY} holds no client account's key"))?;
    let id = match &args.id {
        Some(id) => id.clone(),
        None => random_id()?,
    };
    let question = Question {
        http: HttpClient::new(Some(key)),
        args,
        id,
        output,
    };
    let whole = question.ask(places).await?;
    Ok(output.show(&whole)?)
}

fn random_id() -> anyhow::Result<IdempotencyKey> {
    let id = format!("ask-{:016x}", rand::random::<u64>());
    id.parse().context("a random key is a name")
}

impl Question<'_> {
    async fn ask(&self, places: &Places) -> Result<Whole, Failure> {
        let mut instead = None;
        let mut attempt = 1;
        loop {
            let base = match instead.take() {
                Some(address) => format!("http://{address}"),
                None => self.address(places).await?,
            };
            let ended = match self.attempt(&base, attempt).await {
                Ok(whole) => return Ok(whole),
                Err(ended) => ended,
            };
            let Some(pause) = ended.again.filter(|_| attempt < self.args.attempts) else {
                return Err(ended.failure);
            };
            eprintln!(
                "jasmineridge: attempt {attempt} of {}: {}",
                self.id, ended.failure
            );
            tokio::time::sleep(pause).await;
            instead = ended.instead;
            attempt += 1;
        }
    }

    /// Requests advice on which router to use.
    async fn address(&self, places: &Places) -> Result<String, Failure> {
        if self.args.direct {
            return Ok(places.router()?.to_string());
        }
        let advice: Advice = Router::new(places)?.get(ADDRESS).await?;
        Ok(format!("http://{}", advice.address))
    }

    async fn attempt(&self, base: &str, attempt: u64) -> Result<Whole, Ended> {
        let request = self
            .request(base, attempt)
            .map_err(|e| Ended::last(e.into()))?;
        let answer = self.http.send(request, self.limit()).await;
        let answer = answer.map_err(|e| match e.is_unknown() {
            true => Ended::pause(Failure::Unknown(e.to_string())),
            false => Ended::pause(Failure::Failed(e.into())),
        })?;
        if !answer.status().is_success() {
            return Err(refused(answer, self.limit()).await);
        }
        self.read(answer, attempt).await
    }

    fn request(&self, base: &str, attempt: u64) -> anyhow::Result<Request<Full<Bytes>>> {
        let mut body = json!({
            "model": self.args.model,
            "messages": [{"role": "user", "content": self.args.prompt}],
            "stream": true,
            "stream_options": {"include_usage": true},
        });
        if let Some(max) = self.args.max_tokens {
            body["max_tokens"] = json!(max);
        }
        let url = format!("{base}/v1/chat/completions");
        let labels: Vec<_> = self.args.label.iter().map(ToString::to_string).collect();
        let mut request = self
            .http
            .request("POST", &url)
            .header(CONTENT_TYPE, "application/json")
            .header("Idempotency-Key", self.id.as_str())
            .header("Jasmineridge-Attempt", attempt);
        if !labels.is_empty() {
            request = request.header("Jasmineridge-Labels", labels.join(","));
        }
        let body = Full::new(Bytes::from(body.to_string()));
        request.body(body).context("the request cannot be written")
    }

    /// Reads the answer up to its end marker. An answer that ends without it is incomplete, and its bill is uncertain.
    async fn read(&self, answer: Response<Incoming>, attempt: u64) -> Result<Whole, Ended> {
        let mut whole = Whole {
            id: self.id.clone(),
            attempts: attempt,
            text: String::new(),
            usage: None,
        };
        let ended = self.read_into(answer, &mut whole).await;
        match ended {
            Ok(()) => Ok(whole),
            Err(ended) => {
                // The next attempt starts on a new line, so that the two are not taken for one answer.
                if !self.output.is_json() && !whole.text.is_empty() {
                    output::print("\n").map_err(|e| Ended::last(e.into()))?;
                }
                Err(ended)
            }
        }
    }

    async fn read_into(&self, answer: Response<Incoming>, whole: &mut Whole) -> Result<(), Ended> {
        let mut body = answer.into_body();
        let mut events = Events::default();
        loop {
            let frame = match tokio::time::timeout(self.limit(), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Err(cut(&e.to_string())),
                Ok(None) => return Err(cut("the answer ended without its end marker")),
                Err(_) => return Err(cut("the answer stopped")),
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            for event in events.feed(bytes) {
                if event == END {
                    return Ok(());
                }
                self.event(&event, whole).map_err(Ended::last)?;
            }
        }
    }

    fn event(&self, event: &str, whole: &mut Whole) -> Result<(), Failure> {
        let Ok(event) = serde_json::from_str::<Value>(event) else {
            return Ok(());
        };
        if let Some(text) = event["choices"][0]["delta"]["content"].as_str() {
            whole.text.push_str(text);
            if !self.output.is_json() {
                output::print(text)?;
            }
        }
        if event["usage"].is_object() {
            whole.usage = Some(event["usage"].clone());
        }
        Ok(())
    }

    fn limit(&self) -> Duration {
        Duration::from_millis(self.args.timeout_ms)
    }
}

impl Ended {
    fn last(failure: Failure) -> Self {
        Self {
            again: None,
            instead: None,
            failure,
        }
    }

    fn pause(failure: Failure) -> Self {
        Self {
            again: Some(PAUSE),
            instead: None,
            failure,
        }
    }
}

fn cut(why: &str) -> Ended {
    Ended::pause(Failure::Unknown(why.to_owned()))
}

/// Reads a refusal. The router sends `Retry-After` if another attempt may succeed.
async fn refused(answer: Response<Incoming>, limit: Duration) -> Ended {
    let status = answer.status();
    let after = answer.headers().get(RETRY_AFTER);
    let after = after.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = Limited::new(answer.into_body(), MAX_PROBLEM).collect();
    let body = match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        _ => Bytes::new(),
    };
    let problem = Problem::read(&Answer { status, body });
    Ended {
        again: after.map(Duration::from_secs),
        instead: problem.instead.clone(),
        failure: problem.failure(),
    }
}
