//! Tells since when what arrives may have been waiting in the sockets, and for how long the VM was suspended.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::edge::clock::uptime;
use crate::edge::desk::lock;

/// The shortest suspension that is noticed. The two clocks are not read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// How long reading both clocks may take, so that the difference of their times is no suspension.
const READING_TIME: Duration = Duration::from_millis(5);

/// The times at which the process had handled all that it had found in its sockets.
///
/// What it finds after a pause may have been waiting for as long as the pause lasted. This clock also counts the time
/// for which the VM was suspended.
#[derive(Debug)]
pub struct IdleClock {
    /// The last two times, since the VM's boot.
    times: Mutex<[Duration; 2]>,
    /// Both clocks, when they were last compared.
    compared: Mutex<(Instant, Duration)>,
}

impl Default for IdleClock {
    fn default() -> Self {
        Self {
            times: Mutex::new([uptime(); 2]),
            compared: Mutex::new((Instant::now(), uptime())),
        }
    }
}

impl IdleClock {
    /// Records that the process has nothing to do until something arrives.
    pub fn record_idle(&self) {
        let mut times = lock(&self.times);
        *times = [times[1], uptime()];
    }

    /// Returns for how long the VM was suspended since the last call, if it was. The process's clock does not count this.
    pub(crate) fn suspension(&self) -> Option<Duration> {
        let before = Instant::now();
        let uptime = uptime();
        let after = Instant::now();
        if after - before > READING_TIME {
            return None;
        }
        let mut compared = lock(&self.compared);
        let (last, last_uptime) = *compared;
        let passed = uptime.saturating_sub(last_uptime);
        let suspended = passed.saturating_sub(after.saturating_duration_since(last));
        if suspended < MIN_SUSPENSION {
            return None;
        }
        *compared = (after, uptime);
        Some(suspended)
    }

    /// Returns for how long at most a request that is handled now was waiting.
    ///
    /// It may have arrived just before the process was last idle, after the sockets had been checked.
    pub(crate) fn longest_wait(&self) -> Duration {
        uptime().saturating_sub(lock(&self.times)[0])
    }
}
