//! All runs of an engine, for those who resume, cancel or verify them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde_json::Value;

use crate::standin::engine::run::Run;
use crate::standin::engine::run::RunState;

/// All runs, in the order in which they came.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    all: Mutex<Vec<Arc<Run>>>,
}

impl Runs {
    fn all(&self) -> MutexGuard<'_, Vec<Arc<Run>>> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many there were.
    pub(crate) fn count(&self) -> usize {
        self.all().len()
    }

    /// Adds a run.
    pub(crate) fn add(&self, run: &Arc<Run>) {
        self.all().push(run.clone());
    }

    /// Returns the last run of a request.
    pub(crate) fn find(&self, id: &str) -> Option<Arc<Run>> {
        let all = self.all();
        all.iter().rev().find(|run| run.spec.id == id).cloned()
    }

    /// Returns the runs that have not ended.
    pub(crate) fn live(&self) -> Vec<Arc<Run>> {
        let all = self.all();
        let live = all.iter();
        live.filter(|run| run.progress().state == RunState::Running)
            .cloned()
            .collect()
    }

    /// Returns what is shown of each.
    pub(crate) fn shown(&self) -> Vec<Value> {
        self.all().iter().map(|run| run.shown()).collect()
    }
}
