//! A client of the operators' interface of a router.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::cli::args::ADMIN_KEY;
use crate::cli::args::Places;
use crate::cli::failure::Failure;
use crate::cli::problem::Problem;
use crate::http_client::Answer;
use crate::http_client::HttpClient;

/// The time limit for an answer. A top-up waits for the log, whose appends may take seconds.
const LIMIT: Duration = Duration::from_secs(15);

/// A client of the operators' interface of a router.
#[derive(Debug)]
pub(crate) struct Router {
    http: HttpClient,
    base: String,
}

impl Router {
    /// Creates a client that sends the operators' key from the environment, if there is one.
    ///
    /// # Errors
    ///
    /// When no router is given.
    pub(crate) fn new(places: &Places) -> anyhow::Result<Self> {
        let key = std::env::var(ADMIN_KEY).ok();
        Ok(Self {
            http: HttpClient::new(key),
            base: places.router()?.to_string(),
        })
    }

    /// Gets the value at a path.
    ///
    /// # Errors
    ///
    /// When the router does not answer or refuses. A read has no effect that could be unknown.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        let url = format!("{}{path}", self.base);
        let answer = self.http.get(&url, LIMIT).await;
        let answer = answer.with_context(|| url.clone())?;
        if !answer.status.is_success() {
            return Err(Failure::Refused(Problem::read(&answer).to_string()));
        }
        let value = serde_json::from_slice(&answer.body);
        Ok(value.with_context(|| format!("{url} gave what cannot be read"))?)
    }

    /// Posts a request.
    ///
    /// # Errors
    ///
    /// When the router does not answer or refuses.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Answer, Failure> {
        let url = format!("{}{path}", self.base);
        let body = Bytes::from(body.to_string());
        match self.http.post(&url, body, LIMIT).await {
            Err(e) if e.is_unknown() => Err(Failure::Unknown(format!("{url}: {e}"))),
            Err(e) => Err(Failure::Failed(anyhow::Error::new(e).context(url))),
            Ok(answer) if answer.status.is_success() => Ok(answer),
            Ok(answer) => Err(Problem::read(&answer).failure()),
        }
    }
}
