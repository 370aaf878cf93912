//! The configuration, folded from the log, and the command `config get`.

use std::fmt;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;

use crate::cli::args::DocPattern;
use crate::cli::args::GetArgs;
use crate::cli::args::Places;
use crate::cli::failure::Failure;
use crate::cli::output;
use crate::cli::output::Output;
use crate::cli::router::Router;
use crate::cli::table::Table;
use crate::config::Change;
use crate::config::ChangeSet;
use crate::config::Config;
use crate::config::Document;
use crate::config::Rejected;
use crate::http_client::HttpClient;
use crate::ids::Offset;
use crate::ids::Version;
use crate::log_client::LogClient;
use crate::log_client::LogRecord;
use crate::log_client::ReadError;

/// The stream of the configuration.
pub(crate) const STREAM: &str = "config";

/// The time limit for an answer of the log service.
pub(crate) const LIMIT: Duration = Duration::from_secs(10);

/// The number of records in one read.
pub(crate) const PAGE: usize = 500;

/// The configuration's stream, read up to its end.
#[derive(Debug)]
pub(crate) struct Stream {
    log: LogClient,
    /// The configuration that results from the records.
    pub(crate) config: Config,
}

/// A record and its verdict.
pub(crate) type Folded = (LogRecord, Result<(), Rejected>);

impl Stream {
    /// Folds the stream from its start, or from a checkpoint or a router's snapshot if the log no longer retains the start.
    ///
    /// # Errors
    ///
    /// When the log does not answer, or no longer retains the start and neither is available.
    pub(crate) async fn open(places: &Places) -> Result<Self, Failure> {
        let http = HttpClient::default();
        let mut stream = Self {
            log: LogClient::new(http, &places.log()?.to_string()),
            config: Config::default(),
        };
        match stream.catch_up().await {
            Ok(()) => {}
            Err(ReadError::Gone { first, .. }) => {
                if !stream.resume(first).await? {
                    stream.adopt(places).await.map_err(|e| gone(first, e))?;
                }
                stream.catch_up().await.map_err(anyhow::Error::new)?;
            }
            Err(e) => return Err(anyhow::Error::new(e).into()),
        }
        Ok(stream)
    }

    pub(crate) fn log(&self) -> &LogClient {
        &self.log
    }

    /// Waits up to `wait` for records, folds one page of them, and returns each with its verdict.
    ///
    /// # Errors
    ///
    /// When the log does not answer.
    pub(crate) async fn step(&mut self, wait: Duration) -> Result<Vec<Folded>, ReadError> {
        let from = self.config.next_offset();
        let page = self.log.read(STREAM, from, PAGE, wait, LIMIT).await?;
        let mut folded = Vec::with_capacity(page.records.len());
        for record in page.records {
            let outcome = self.config.apply(record.offset, &record.data);
            folded.push((record, outcome));
        }
        Ok(folded)
    }

    async fn catch_up(&mut self) -> Result<(), ReadError> {
        while !self.step(Duration::ZERO).await?.is_empty() {}
        Ok(())
    }

    /// Searches the retained records for a checkpoint.
    async fn resume(&mut self, mut from: Offset) -> anyhow::Result<bool> {
        loop {
            let page = self.log.read(STREAM, from, PAGE, Duration::ZERO, LIMIT);
            let page = page.await?;
            let Some(last) = page.records.last() else {
                return Ok(false);
            };
            from = Offset(last.offset.0 + 1);
            for record in &page.records {
                if self.config.resume(record.offset, &record.data)? {
                    return Ok(true);
                }
            }
        }
    }

    async fn adopt(&mut self, places: &Places) -> Result<(), Failure> {
        let snapshot = Router::new(places)?.get("/v1/admin/config").await?;
        let adopted = self.config.adopt(snapshot).map_err(anyhow::Error::new)?;
        if !adopted && self.config.next_offset() == Offset(0) {
            let text = "the log has let old records go, and the router has no configuration yet";
            return Err(anyhow::anyhow!(text).into());
        }
        Ok(())
    }
}

fn gone(first: Offset, why: Failure) -> Failure {
    let what = format!("the log keeps records from {first} on, and no checkpoint among them");
    anyhow::Error::new(why).context(what).into()
}

#[derive(Debug, Serialize)]
struct Shown {
    version: Version,
    documents: Vec<Document>,
}

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(["kind", "name", "version"]);
        for document in &self.documents {
            table.add(vec![
                document.kind.to_string(),
                document.name.to_string(),
                document.version.to_string(),
            ]);
        }
        write!(f, "version {}\n\n{table}", self.version)
    }
}

pub(crate) async fn get(places: &Places, args: &GetArgs, output: Output) -> Result<(), Failure> {
    let config = Stream::open(places).await?.config;
    let mut documents = config.snapshot().documents;
    documents.retain(|document| wanted(&args.only, document));
    if args.changes {
        let text = format!("{:#}\n", json!(changes(documents)));
        return Ok(output::print(&text)?);
    }
    let version = config.version();
    Ok(output.show(&Shown { version, documents })?)
}

fn wanted(only: &[DocPattern], document: &Document) -> bool {
    let matches = |pattern: &DocPattern| {
        let named = pattern.name.as_ref().is_none_or(|n| *n == document.name);
        pattern.kind == document.kind && named
    };
    only.is_empty() || only.iter().any(matches)
}

/// Creates changes without an effect, for an operator to edit.
fn changes(documents: Vec<Document>) -> ChangeSet {
    let change = |document: Document| Change {
        kind: document.kind,
        name: document.name,
        base: document.version,
        body: Some(document.body),
    };
    ChangeSet::new("", documents.into_iter().map(change).collect())
}
