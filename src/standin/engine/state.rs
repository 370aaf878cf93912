//! The engine's state.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::standin::engine::batch::Batch;
use crate::standin::engine::cache::Cache;
use crate::standin::engine::faults::Faults;
use crate::standin::engine::load::Load;
use crate::standin::engine::options::EngineOptions;
use crate::standin::engine::orders::Orders;
use crate::standin::engine::runs::Runs;
use crate::standin::lagged::Lagged;
use crate::standin::server::Reply;
use crate::standin::switch::Switch;

/// The model engine.
#[derive(Debug)]
pub struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) switch: Arc<Switch<Faults>>,
    pub(crate) batch: Arc<Batch>,
    pub(crate) runs: Runs,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) orders: Mutex<Orders>,
    pub(crate) load: Mutex<Lagged<Load>>,
    pub(crate) down_until: Mutex<Option<Instant>>,
}

/// Locks a part of the state; a panic elsewhere does not make it unusable.
pub(crate) fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    /// Starts an engine that runs nothing, with its first models loaded.
    pub fn new(options: EngineOptions) -> Self {
        let now = Instant::now();
        let event_lag = Duration::from_millis(options.event_lag_ms);
        let load_lag = Duration::from_millis(options.load_lag_ms);
        let cache = Cache::new(options.cache_blocks, event_lag, options.event_gap);
        Self {
            switch: Arc::new(Switch::new()),
            batch: Arc::new(Batch::new(options.slots)),
            runs: Runs::default(),
            cache: Mutex::new(cache),
            orders: Mutex::new(Orders::new(now, &options)),
            load: Mutex::new(Lagged::new(load_lag, now, Load::default())),
            down_until: Mutex::new(None),
            options,
        }
    }

    /// Ends a call early where the engine is out of order or has just crashed.
    pub(crate) fn check(&self) -> Result<(), Reply> {
        if lock(&self.down_until).is_some_and(|until| Instant::now() < until) {
            return Err(Reply::Cut);
        }
        self.switch.check()
    }

    /// Returns the time from one token to the next.
    pub(crate) fn token_time(&self) -> Duration {
        let changed = self.switch.faults().token_ms;
        Duration::from_millis(changed.unwrap_or(self.options.token_ms))
    }
}
