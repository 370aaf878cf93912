//! What all plays share: the addresses, the record, the configuration.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use crate::client::HOST;
use crate::client::Outcome;
use crate::runner::Seen;

/// A play of a case.
pub struct Play {
    /// The root of the repository.
    pub root: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
    /// A temporary folder.
    pub dir: PathBuf,
    record: Arc<Mutex<File>>,
    start: Instant,
}

impl Play {
    /// Begins a play that writes a record.
    pub fn new(root: PathBuf, record: &str, trouble: bool) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self {
            root,
            trouble,
            dir,
            record: Arc::new(Mutex::new(File::create(record)?)),
            start: Instant::now(),
        })
    }

    /// Writes a line into the record.
    pub fn note(&self, line: &str) {
        self.note_at(Instant::now(), line);
    }

    /// Writes a line about an earlier moment into the record.
    pub fn note_at(&self, at: Instant, line: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{seconds:8.3} s  {line}");
    }

    /// Writes a line for each request: how it ended for its caller, and which runners ran it.
    pub fn note_all(&self, outcomes: &[(String, Outcome)], seen: &[Seen]) {
        let mut runs: HashMap<&str, Vec<String>> = HashMap::new();
        for run in seen {
            let end = run.end.unwrap_or("not over");
            let text = format!("{} ({end})", run.runner);
            runs.entry(&run.name).or_default().push(text);
        }
        for (name, outcome) in outcomes {
            let runs = runs.get(name.as_str()).map(|runs| runs.join(", "));
            let runs = runs.unwrap_or_else(|| "no runner".to_owned());
            self.note(&format!(
                "{name} was sent, ran at {runs}, and ended for its caller as {outcome:?}"
            ));
        }
    }

    /// Returns the address of a machine of this play.
    pub fn ip(&self, machine: u8) -> String {
        let run = std::process::id();
        format!("127.{}.{}.{machine}", 20 + run / 200 % 200, 20 + run % 200)
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A route, and its service of the same name.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub is_engine: bool,
}

/// Returns a configuration in which each client account is a row of its name, key and further fields.
pub fn config(version: u32, routes: &[Route<'_>], accounts: &[(&str, &str, &str)]) -> String {
    let mut rows = Vec::new();
    let mut services = Vec::new();
    for route in routes {
        let Route {
            name,
            kind,
            timeout_ms,
            attempts,
            is_engine,
        } = route;
        let sticky = *is_engine;
        rows.push(format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":300,\"priority\":1,\"service\":\"{name}\",\
             \"maxAttempts\":{attempts},\"public\":false,\"sticky\":{sticky},\"resumable\":false,\"gapTargetMs\":250}}"
        ));
        let engine = match is_engine {
            true => ",\"engine\":{\"slots\":64,\"kvCapacity\":640966,\"stride\":7,\"most\":12}",
            false => "",
        };
        services.push(format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false{engine}}}"
        ));
    }
    let accounts: Vec<_> = accounts
        .iter()
        .map(|(name, key, more)| {
            format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1{more}}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        rows.join(","),
        services.join(","),
        accounts.join(","),
    )
}
