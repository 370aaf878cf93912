//! Carries a run from its place in the queue to its last token.

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::prompt::BLOCK_TOKENS;
use crate::prompt::BlockHash;
use crate::standin::engine::batch::Turn;
use crate::standin::engine::run::Run;
use crate::standin::engine::run::RunState;
use crate::standin::engine::state::Engine;
use crate::standin::engine::state::lock;

/// Tokens that an engine without token time generates before it lets other tasks run.
const QUICK_TOKENS: u64 = 32;

impl Engine {
    /// Starts a run in a task of its own.
    ///
    /// The prompt's blocks go to the task, not to the run: runs are kept for those who verify, and the blocks of long
    /// prompts would fill the memory.
    pub(crate) fn start(self: &Arc<Self>, run: &Arc<Run>, blocks: Vec<BlockHash>) {
        self.runs.add(run);
        let turn = self.batch.enter(run.spec.priority);
        self.note_load();
        tokio::spawn(drive(self.clone(), run.clone(), turn, blocks));
    }

    /// Stops a run that its last reader left, at once or after a while in which it may be resumed.
    pub(crate) fn desert(&self, run: &Arc<Run>, left: u64) {
        let linger = Duration::from_millis(self.options.linger_ms);
        if linger.is_zero() {
            run.end(RunState::Cancelled);
            return;
        }
        // A reader may also be dropped while the loop itself ends, when there is no run left to stop.
        let Ok(handle) = Handle::try_current() else {
            return;
        };
        let run = run.clone();
        handle.spawn(async move {
            sleep(linger).await;
            if run.deserted_since(left) {
                run.end(RunState::Cancelled);
            }
        });
    }
}

async fn drive(engine: Arc<Engine>, run: Arc<Run>, turn: Turn, blocks: Vec<BlockHash>) {
    let mut progress = run.watch();
    tokio::select! {
        biased;
        _ = progress.wait_for(|progress| progress.state != RunState::Running) => {}
        () = work(&engine, &run, turn, &blocks) => {}
    }
    engine.note_load();
}

async fn work(engine: &Engine, run: &Run, turn: Turn, blocks: &[BlockHash]) {
    let Some(_slot) = turn.wait().await else {
        return;
    };
    engine.note_load();
    if run.spec.crashes {
        engine.crash();
        return;
    }
    prefill(engine, run, blocks).await;
    generate(engine, run).await;
    run.end(RunState::Done);
}

async fn prefill(engine: &Engine, run: &Run, blocks: &[BlockHash]) {
    let cached = lock(&engine.cache).cached(blocks) * BLOCK_TOKENS;
    let uncached = run.spec.prompt.0.saturating_sub(cached as u64);
    let time = Duration::from_micros(engine.options.prefill_us.saturating_mul(uncached));
    if !time.is_zero() {
        sleep(time).await;
    }
    lock(&engine.cache).store(std::time::Instant::now(), blocks);
}

async fn generate(engine: &Engine, run: &Run) {
    let mut left = run.spec.answer.length;
    let mut due = Instant::now();
    while left > 0 {
        let step = engine.token_time();
        let tokens = if step.is_zero() {
            yield_now().await;
            left.min(QUICK_TOKENS)
        } else {
            due += step;
            sleep_until(due).await;
            1
        };
        run.generate(tokens);
        left -= tokens;
    }
}
