//! Tells since when what arrives may have been waiting in the sockets.

use std::sync::Mutex;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::edge::desk::lock;

/// The times at which the process had handled all that it had found in its sockets.
///
/// What it finds after a pause may have been waiting for as long as the pause lasted. This clock also counts the time
/// for which the VM was suspended.
#[derive(Debug)]
pub struct IdleClock {
    /// The last two times, since the VM's boot.
    times: Mutex<[Duration; 2]>,
}

impl Default for IdleClock {
    fn default() -> Self {
        Self {
            times: Mutex::new([uptime(); 2]),
        }
    }
}

impl IdleClock {
    /// Records that the process has nothing to do until something arrives.
    pub fn record_idle(&self) {
        let mut times = lock(&self.times);
        *times = [times[1], uptime()];
    }

    /// Returns for how long at most a request that is handled now was waiting.
    ///
    /// It may have arrived just before the process was last idle, after the sockets had been checked.
    pub(crate) fn longest_wait(&self) -> Duration {
        uptime().saturating_sub(lock(&self.times)[0])
    }
}

fn uptime() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}
