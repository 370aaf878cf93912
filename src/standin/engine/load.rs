//! The load report, which is always a little old.

use std::sync::Arc;
use std::time::Instant;

use serde::Serialize;
use serde_json::json;

use crate::standin::engine::state::Engine;
use crate::standin::engine::state::lock;
use crate::standin::server::Call;
use crate::standin::server::Reply;
use crate::standin::time::wall_ms;

/// How busy the engine is.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Load {
    /// Requests in the batch.
    pub(crate) running: usize,
    /// Requests that wait for a place in it.
    pub(crate) waiting: usize,
    /// The share of the cache's room that is taken.
    pub(crate) kv_used: f64,
}

impl Engine {
    /// Notes how busy it is now; the report shows it a lag later.
    pub(crate) fn note_load(&self) {
        let (running, waiting) = self.batch.counts();
        let load = Load {
            running,
            waiting,
            kv_used: lock(&self.cache).used(),
        };
        lock(&self.load).set(Instant::now(), load);
    }
}

/// Answers with the report.
pub(crate) async fn report(engine: Arc<Engine>, _call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    let now = Instant::now();
    let load = *lock(&engine.load).seen(now);
    Ok(Reply::ok(&json!({
        "as_of": wall_ms().saturating_sub(engine.options.load_lag_ms),
        "running": load.running,
        "waiting": load.waiting,
        "kv_used": load.kv_used,
        "models": lock(&engine.orders).loaded(now),
    })))
}
