//! Export and import of cached blocks, and the events of the cache.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use crate::prompt::BlockHash;
use crate::standin::engine::state::Engine;
use crate::standin::engine::state::lock;
use crate::standin::server::Call;
use crate::standin::server::Reply;

/// A prefix's blocks, from its start.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Prefix {
    blocks: Vec<BlockHash>,
}

impl Engine {
    async fn copy_blocks(&self, blocks: usize) {
        let time = self.options.kv_block_us.saturating_mul(blocks as u64);
        if time > 0 {
            sleep(Duration::from_micros(time)).await;
        }
    }
}

/// Answers with those of a prefix's blocks that are cached.
pub(crate) async fn export(engine: Arc<Engine>, call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    let mut prefix: Prefix = call.json()?;
    let cached = lock(&engine.cache).cached(&prefix.blocks);
    prefix.blocks.truncate(cached);
    engine.copy_blocks(cached).await;
    Ok(Reply::ok(&prefix))
}

/// Caches a prefix's blocks.
pub(crate) async fn import(engine: Arc<Engine>, call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    let prefix: Prefix = call.json()?;
    engine.copy_blocks(prefix.blocks.len()).await;
    lock(&engine.cache).store(Instant::now(), &prefix.blocks);
    engine.note_load();
    Ok(Reply::ok(&json!({"stored": prefix.blocks.len()})))
}

/// Answers with the cache's events from a number on.
pub(crate) async fn events(engine: Arc<Engine>, call: Call) -> Result<Reply, Reply> {
    engine.check()?;
    let from = call.number("from", 0);
    let (events, next) = lock(&engine.cache).events(Instant::now(), from);
    Ok(Reply::ok(&json!({"next": next, "events": events})))
}
