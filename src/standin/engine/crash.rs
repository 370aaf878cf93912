//! What a request does that the engine does not survive.

use std::process;
use std::time::Duration;
use std::time::Instant;

use crate::standin::engine::run::RunState;
use crate::standin::engine::state::Engine;
use crate::standin::engine::state::lock;

/// The exit code of a Rust program that panicked.
const EXIT_CODE: i32 = 101;

impl Engine {
    /// Crashes: each run ends, each caller's connection is cut, the cache is lost.
    pub(crate) fn crash(&self) {
        if self.options.exit_on_crash {
            process::exit(EXIT_CODE);
        }
        let down = Duration::from_millis(self.switch.faults().down_ms);
        *lock(&self.down_until) = Some(Instant::now() + down);
        lock(&self.cache).clear();
        for run in self.runs.live() {
            run.end(RunState::Crashed);
            run.cut();
        }
    }
}
