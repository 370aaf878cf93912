//! One attempt of a request.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use serde::Deserialize;
use tokio::time::timeout;

use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::standin::load::events::Events;
use crate::standin::load::events::Usage;
use crate::standin::load::job::Job;
use crate::standin::load::job::Work;
use crate::standin::load::outcome::Refusal;
use crate::standin::load::outcome::Reply;
use crate::standin::load::outcome::Whole;
use crate::standin::load::scenario::AccountLoad;
use crate::standin::time::wall_ms;

/// A refusal's body.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Problem {
    #[serde(rename = "type")]
    name: Option<String>,
    ran: Option<String>,
    retry_after_ms: Option<u64>,
    instead: Option<String>,
}

/// An answer that is not streamed.
#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
    usage: Usage,
}

#[derive(Deserialize)]
struct Choice {
    message: Message,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Deserialize)]
struct Receipt {
    recorded: u64,
}

/// One attempt, and what is measured of it.
pub(crate) struct Ask<'a> {
    pub(crate) http: &'a HttpClient,
    pub(crate) load: &'a AccountLoad,
    pub(crate) job: &'a Job,
    /// How long the caller still waits.
    pub(crate) patience: Duration,
    /// When the first token came.
    pub(crate) first: Option<Instant>,
    /// The times between tokens, in microseconds.
    pub(crate) gaps: Vec<u32>,
}

impl Ask<'_> {
    /// Sends the request to a router as the caller's attempt of this number.
    pub(crate) async fn send(&mut self, router: &str, attempt: u64) -> Reply {
        let sent = wall_ms();
        let Ok(request) = self.request(router, attempt) else {
            return Reply::Unsent;
        };
        let quiet = self.load.silence_ms.duration().min(self.patience);
        let answer = match self.http.send(request, quiet).await {
            Ok(answer) => answer,
            Err(HttpError::Connect(_) | HttpError::Request(_)) => return Reply::Unsent,
            Err(_) => return BROKEN,
        };
        match answer.status().is_success() {
            true => self.answer(answer).await,
            false => self.refusal(answer, sent).await,
        }
    }

    fn request(
        &self,
        router: &str,
        attempt: u64,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let (method, path, body) = match &self.job.work {
            Work::Completion { body, .. } => ("POST", "/v1/chat/completions", body.clone()),
            Work::Call { path, repeatable } => match repeatable {
                true => ("GET", path.as_str(), String::new()),
                false => ("POST", path.as_str(), "{}".to_owned()),
            },
        };
        let patience = self.patience.as_millis().to_string();
        let mut request = self
            .http
            .request(method, &format!("http://{router}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.load.key))
            .header(CONTENT_TYPE, "application/json")
            .header("idempotency-key", &self.job.key)
            .header("jasmineridge-deadline-ms", patience);
        // Whoever sends a request that another part of it may have sent does not know the number of the try.
        if !self.job.repeats {
            request = request.header("jasmineridge-attempt", attempt.to_string());
        }
        if let Some(priority) = self.load.priority {
            request = request.header("jasmineridge-priority", priority.to_string());
        }
        if !self.load.labels.0.is_empty() {
            request = request.header("jasmineridge-labels", self.load.labels.to_string());
        }
        request.body(Full::new(Bytes::from(body)))
    }

    async fn answer(&mut self, answer: Response<Incoming>) -> Reply {
        match &self.job.work {
            Work::Completion { stream: true, .. } => self.stream(answer.into_body()).await,
            _ => self.whole(answer.into_body()).await,
        }
    }

    async fn stream(&mut self, mut body: Incoming) -> Reply {
        let mut events = Events::default();
        let mut good = true;
        // A connection that ends in good order after the end marker is a whole answer; all else is not.
        let mut ended = false;
        while good && let Ok(frame) = timeout(self.load.silence_ms.duration(), body.frame()).await {
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        good = events.push(Instant::now(), &bytes);
                    }
                }
                Some(Err(_)) => break,
                None => {
                    ended = true;
                    break;
                }
            }
        }
        self.first = self.first.or(events.first);
        self.gaps.append(&mut events.gaps);
        let expected = self.job.expected();
        if !events.is_whole() || !ended {
            return Reply::Broken {
                wrong: !good || !expected.starts_with(&events.text),
            };
        }
        Reply::Whole(Whole {
            right: good && events.text == expected,
            usage: events.usage.map(pair),
            number: None,
        })
    }

    async fn whole(&mut self, body: Incoming) -> Reply {
        let Ok(Ok(body)) = timeout(self.load.silence_ms.duration(), body.collect()).await else {
            return BROKEN;
        };
        self.first.get_or_insert_with(Instant::now);
        let body = body.to_bytes();
        Reply::Whole(match &self.job.work {
            Work::Completion { .. } => self.completion(&body),
            Work::Call { .. } => receipt(&body),
        })
    }

    fn completion(&self, body: &[u8]) -> Whole {
        let Ok(answer) = serde_json::from_slice::<Completion>(body) else {
            return WRONG;
        };
        let text = answer.choices.first().map(|c| c.message.content.as_str());
        Whole {
            right: text == Some(&self.job.expected()),
            usage: Some(pair(answer.usage)),
            number: None,
        }
    }

    async fn refusal(&self, answer: Response<Incoming>, sent: u64) -> Reply {
        let status = answer.status().as_u16();
        let seconds = answer
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        let body = timeout(
            self.load.silence_ms.duration(),
            answer.into_body().collect(),
        )
        .await;
        let Ok(Ok(body)) = body else {
            return BROKEN;
        };
        let problem: Problem = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let kind = problem
            .name
            .as_deref()
            .and_then(|name| name.rsplit(':').next())
            .map_or_else(|| status.to_string(), str::to_owned);
        let exact = problem.retry_after_ms.map(Duration::from_millis);
        Reply::Refused(Refusal {
            kind,
            ran: problem.ran.unwrap_or_else(|| "unsaid".to_owned()),
            retry: exact.or(seconds),
            instead: problem.instead,
            sent,
            came: wall_ms(),
        })
    }
}

const BROKEN: Reply = Reply::Broken { wrong: false };

const WRONG: Whole = Whole {
    right: false,
    usage: None,
    number: None,
};

fn pair(usage: Usage) -> (u64, u64) {
    (usage.prompt_tokens, usage.completion_tokens)
}

/// Reads a plain service's receipt; whether it is this call's is known once the services' calls are listed.
fn receipt(body: &[u8]) -> Whole {
    match serde_json::from_slice::<Receipt>(body) {
        Ok(receipt) => Whole {
            right: true,
            usage: None,
            number: Some(receipt.recorded),
        },
        Err(_) => WRONG,
    }
}
