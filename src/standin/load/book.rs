//! Which router a caller uses: it asks for an address, keeps the answer, and takes an alternate when that one fails.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;

use crate::http_client::HttpClient;
use crate::settings::BaseUrl;
use crate::settings::Millis;

/// How long to wait for advice. A caller that hears nothing asks the next router that it knows.
const ADVICE: Duration = Duration::from_millis(1000);

#[derive(Deserialize)]
struct Advice {
    address: String,
    #[serde(default)]
    alternates: Vec<String>,
    keep_ms: Millis,
}

/// One program's advised address.
#[derive(Debug)]
pub(crate) struct Book {
    known: VecDeque<String>,
    address: Option<String>,
    alternates: VecDeque<String>,
    until: Instant,
}

impl Book {
    /// Starts with the routers that the program was told of, from its own place among them on.
    pub(crate) fn new(now: Instant, routers: &[BaseUrl], place: usize) -> Self {
        let mut known: VecDeque<_> = routers.iter().map(|r| r.address().to_string()).collect();
        if !known.is_empty() {
            known.rotate_left(place % routers.len());
        }
        Self {
            known,
            address: None,
            alternates: VecDeque::new(),
            until: now,
        }
    }

    /// Returns the router to use; none means that no router answers.
    pub(crate) async fn address(&mut self, http: &HttpClient) -> Option<String> {
        if Instant::now() >= self.until {
            self.ask(http).await;
        }
        self.address.clone()
    }

    /// Asks for advice: where the last one led, then at the alternates, then at the routers known from the start.
    async fn ask(&mut self, http: &HttpClient) {
        let places = self
            .address
            .iter()
            .chain(&self.alternates)
            .chain(&self.known);
        for place in places.cloned().collect::<Vec<_>>() {
            let url = format!("http://{place}/v1/address");
            let Ok(answer) = http.get(&url, ADVICE).await else {
                continue;
            };
            let Ok(advice) = serde_json::from_slice::<Advice>(&answer.body) else {
                continue;
            };
            self.address = Some(advice.address);
            self.alternates = advice.alternates.into();
            self.until = Instant::now() + advice.keep_ms.duration();
            return;
        }
        self.address = None;
    }

    /// Takes the next alternate in place of a router that failed, or asks anew where there is none.
    pub(crate) fn failed(&mut self, address: &str) {
        self.alternates.retain(|other| other != address);
        if self.address.as_deref() != Some(address) {
            return;
        }
        self.address = self.alternates.pop_front();
        if self.address.is_none() {
            self.until = Instant::now();
        }
        // The routers known from the start are asked in turn, so that a dead one is not asked first each time.
        if self.known.front().is_some_and(|first| first == address) {
            self.known.rotate_left(1);
        }
    }
}
