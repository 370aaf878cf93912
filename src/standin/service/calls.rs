//! The plain service's state: the calls that took effect.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Serialize;

use crate::standin::service::faults::Faults;
use crate::standin::switch::Switch;

/// The plain service.
#[derive(Debug)]
pub struct Service {
    pub(crate) switch: Arc<Switch<Faults>>,
    calls: Mutex<Vec<Recorded>>,
}

/// A call that took effect.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Recorded {
    /// Its `X-Request-Id`.
    pub(crate) id: Option<String>,
    /// Its `Idempotency-Key`.
    pub(crate) key: Option<String>,
    /// Its method.
    pub(crate) method: String,
    /// Its path, without the query.
    pub(crate) path: String,
    /// A hash of its body, in hex.
    pub(crate) body_hash: String,
    /// When it took effect, in milliseconds since 1970.
    pub(crate) at: u64,
}

impl Default for Service {
    fn default() -> Self {
        Self::new()
    }
}

impl Service {
    /// Starts a service that was never called.
    pub fn new() -> Self {
        Self {
            switch: Arc::new(Switch::new()),
            calls: Mutex::new(Vec::new()),
        }
    }

    fn calls_mut(&self) -> MutexGuard<'_, Vec<Recorded>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call and returns its number, from 1.
    pub(crate) fn record(&self, call: Recorded) -> usize {
        let mut calls = self.calls_mut();
        calls.push(call);
        calls.len()
    }

    /// Returns the calls, in the order in which they took effect.
    pub(crate) fn calls(&self) -> Vec<Recorded> {
        self.calls_mut().clone()
    }
}
