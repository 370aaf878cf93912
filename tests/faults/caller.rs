//! Callers, and what they were told.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Result;
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::client::Client;
use crate::client::Events;

/// What a caller asks for under one key.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) team: &'static str,
    pub(crate) key: String,
    pub(crate) work: Work,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Work {
    /// A streamed completion.
    Chat { prompt: String, limit: u64 },
    /// A call that may not be repeated.
    Call,
}

impl Ask {
    /// A completion of so many tokens.
    pub(crate) fn chat(team: &'static str, key: &str, limit: u64) -> Self {
        let prompt = format!("who pays for {key}");
        let key = key.to_owned();
        Self {
            team,
            key,
            work: Work::Chat { prompt, limit },
        }
    }

    /// The key as endpoints see it.
    pub(crate) fn name(&self) -> String {
        format!("{}/{}", self.team, self.key)
    }

    /// A call that may not be repeated.
    pub(crate) fn call(team: &'static str, key: &str) -> Self {
        Self {
            team,
            key: key.to_owned(),
            work: Work::Call,
        }
    }
}

/// One try of a request, as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    pub(crate) ask: Ask,
    pub(crate) attempt: u64,
    /// When it was sent and when its end was seen, milliseconds since 1970.
    pub(crate) sent: u64,
    pub(crate) told: Option<u64>,
    /// The HTTP status; 0 where none came.
    pub(crate) status: u16,
    /// Whether the answer came with its end.
    pub(crate) whole: bool,
    pub(crate) text: String,
    /// The refusal, where it is one.
    pub(crate) problem: Value,
}

impl Try {
    pub(crate) fn ran(&self) -> &str {
        self.problem["ran"].as_str().unwrap_or("")
    }

    /// The name of the refusal's kind.
    pub(crate) fn kind(&self) -> &str {
        let kind = self.problem["type"].as_str().unwrap_or("");
        kind.rsplit(':').next().unwrap_or("")
    }
}

/// All that callers did and were told.
#[derive(Clone, Default)]
pub(crate) struct Journal(Rc<RefCell<Vec<Try>>>);

impl Journal {
    pub(crate) fn tries(&self) -> Vec<Try> {
        self.0.borrow().clone()
    }

    /// Sends one try and waits for all of its answer.
    pub(crate) async fn ask(&self, router: SocketAddr, ask: &Ask, attempt: u64) -> Try {
        let at = self.0.borrow().len();
        self.0.borrow_mut().push(Try {
            ask: ask.clone(),
            attempt,
            sent: millis(),
            told: None,
            status: 0,
            whole: false,
            text: String::new(),
            problem: Value::Null,
        });
        // A connection that breaks leaves the try as it stands: cut.
        let _ = self.send(router, at).await;
        let tries = &mut self.0.borrow_mut();
        tries[at].told = Some(millis());
        tries[at].clone()
    }

    async fn send(&self, router: SocketAddr, at: usize) -> Result<()> {
        let (ask, attempt) = {
            let tries = self.0.borrow();
            (tries[at].ask.clone(), tries[at].attempt)
        };
        let (path, body) = match &ask.work {
            Work::Chat { prompt, limit } => (
                "/v1/chat/completions",
                json!({"model": "demo", "stream": true, "max_tokens": limit,
                    "messages": [{"role": "user", "content": prompt}]}),
            ),
            Work::Call => ("/v1/services/records/v1/loans", json!({"loan": ask.key})),
        };
        let bearer = format!("Bearer {}", ask.team);
        let attempt = attempt.to_string();
        let headers = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", ask.key.as_str()),
            ("jasmineridge-attempt", attempt.as_str()),
            ("content-type", "application/json"),
        ];
        let body = body.to_string();
        let client = Client::new(router);
        let answer = client.open(Method::POST, path, &headers, body.as_bytes());
        let answer = answer.await?;
        let status = answer.status();
        self.0.borrow_mut()[at].status = status.as_u16();
        let mut body = answer.into_body();
        if status.is_success() && matches!(ask.work, Work::Chat { .. }) {
            // Token by token, so that a test can wait for the middle of an answer.
            let mut events = Events::read(&mut body, 1).await;
            loop {
                let before = events.tokens;
                self.note(at, &events);
                if events.whole {
                    return Ok(());
                }
                events.go_on(&mut body, before + 1).await;
                if events.tokens == before {
                    self.note(at, &events);
                    return Ok(());
                }
            }
        }
        let bytes = body.collect().await?.to_bytes();
        let entry = &mut self.0.borrow_mut()[at];
        entry.whole = status.is_success();
        if !status.is_success() {
            entry.problem = serde_json::from_slice(&bytes)?;
        }
        Ok(())
    }

    fn note(&self, at: usize, events: &Events) {
        let entry = &mut self.0.borrow_mut()[at];
        entry.text.clone_from(&events.text);
        entry.whole = events.whole;
    }

    /// Sends a request to one router after another until its answer is whole, a refusal stands, or time is up.
    pub(crate) async fn deliver(
        &self,
        routers: &[SocketAddr],
        ask: &Ask,
        first: u64,
        limit: Duration,
    ) -> Try {
        let until = Instant::now() + limit;
        let mut attempt = first;
        loop {
            let router = routers[(attempt - first) as usize % routers.len()];
            let last = self.ask(router, ask, attempt).await;
            let over = matches!(last.kind(), "budget-spent" | "finished" | "quarantined");
            let unknown = last.kind() == "outcome-unknown";
            if last.whole || over || unknown || Instant::now() > until {
                return last;
            }
            attempt += 1;
            sleep(Duration::from_millis(150)).await;
        }
    }

    /// Returns how many tokens of its current try a request's caller has.
    pub(crate) fn tokens(&self, key: &str) -> usize {
        let tries = self.0.borrow();
        let last = tries.iter().rev().find(|t| t.ask.key == key);
        last.map_or(0, |t| t.text.split_whitespace().count())
    }
}

/// Returns milliseconds since 1970.
pub(crate) fn millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.expect("it is after 1970").as_millis()).expect("it fits")
}
