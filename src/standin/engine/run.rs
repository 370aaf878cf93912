//! One request that the engine runs.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use salvo::conn::ConnCtrl;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::ids::ModelId;
use crate::standin::engine::answer::Answer;
use crate::tokens::Tokens;

/// How a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RunState {
    /// It waits for a place, or runs.
    Running,
    /// It is whole.
    Done,
    /// Its caller left, or asked to stop it.
    Cancelled,
    /// The engine crashed under it.
    Crashed,
}

/// How far a run is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// The tokens that it generated.
    pub(crate) generated: u64,
    /// How it stands.
    pub(crate) state: RunState,
}

/// What a request asks for.
#[derive(Debug)]
pub(crate) struct RunSpec {
    /// Its `X-Request-Id`.
    pub(crate) id: String,
    /// Its `Idempotency-Key`.
    pub(crate) key: Option<String>,
    /// Its `X-Team`.
    pub(crate) team: Option<String>,
    /// Its model.
    pub(crate) model: ModelId,
    /// Its priority; 0 comes first.
    pub(crate) priority: u8,
    /// The tokens of its prompt.
    pub(crate) prompt: Tokens,
    /// Its answer.
    pub(crate) answer: Answer,
    /// Whether it crashes the engine.
    pub(crate) crashes: bool,
    /// When it came, in milliseconds since 1970.
    pub(crate) started: u64,
}

/// A run: what was asked, how far it is, and who reads it.
#[derive(Debug)]
pub(crate) struct Run {
    /// What was asked.
    pub(crate) spec: RunSpec,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

#[derive(Debug, Default)]
struct Readers {
    present: usize,
    left: u64,
    conns: Vec<ConnCtrl>,
}

impl Run {
    /// Starts a run that has generated nothing.
    pub(crate) fn new(spec: RunSpec) -> Self {
        Self {
            spec,
            progress: watch::Sender::new(Progress {
                generated: 0,
                state: RunState::Running,
            }),
            readers: Mutex::default(),
        }
    }

    /// Returns how far it is.
    pub(crate) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Returns a view of the progress that can be waited on.
    pub(crate) fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Counts tokens as generated.
    pub(crate) fn generate(&self, tokens: u64) {
        self.progress
            .send_modify(|progress| progress.generated += tokens);
    }

    /// Ends it, unless it has ended.
    pub(crate) fn end(&self, state: RunState) {
        self.progress.send_if_modified(|progress| {
            let runs = progress.state == RunState::Running;
            if runs {
                progress.state = state;
            }
            runs
        });
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a reader.
    pub(crate) fn join(&self, conn: ConnCtrl) {
        let mut readers = self.readers();
        readers.present += 1;
        readers.conns.push(conn);
    }

    /// Counts a reader as gone, and returns the number of this leaving where it was the last.
    pub(crate) fn leave(&self) -> Option<u64> {
        let mut readers = self.readers();
        readers.present -= 1;
        readers.left += 1;
        if readers.present > 0 {
            return None;
        }
        readers.conns.clear();
        Some(readers.left)
    }

    /// Returns whether nobody has read it since a leaving.
    pub(crate) fn deserted_since(&self, left: u64) -> bool {
        let readers = self.readers();
        readers.present == 0 && readers.left == left
    }

    /// Cuts its readers' connections.
    pub(crate) fn cut(&self) {
        for conn in &self.readers().conns {
            conn.abort();
        }
    }

    /// Returns the reason for its end, as the API spells it.
    pub(crate) fn finish_reason(&self) -> &'static str {
        match self.progress().state {
            RunState::Running | RunState::Crashed => "error",
            RunState::Cancelled => "cancelled",
            RunState::Done if self.spec.answer.limited => "length",
            RunState::Done => "stop",
        }
    }

    /// Returns the tokens that it used, as the API spells them.
    pub(crate) fn usage(&self) -> Value {
        let prompt = self.spec.prompt.0;
        let generated = self.progress().generated;
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated,
        })
    }

    /// Returns what is shown of it.
    pub(crate) fn shown(&self) -> Value {
        let progress = self.progress();
        json!({
            "id": self.spec.id,
            "key": self.spec.key,
            "team": self.spec.team,
            "model": self.spec.model,
            "prompt_tokens": self.spec.prompt,
            "generated": progress.generated,
            "state": progress.state,
            "started_ms": self.spec.started,
        })
    }
}
