//! The machine's clocks.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::moment::BootClock;
use crate::moment::BootId;
use crate::moment::HostId;
use crate::moment::Moment;

/// Where the system names its boot: another name after each start of the VM.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Reads the machine's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Reads the clocks of the VM that has an address, and the process's own beside them.
pub(crate) fn boot_clock<C>(clock: &C, address: SocketAddr) -> BootClock
where
    C: Clock,
{
    // The process's own clock is read last: its moments are then too early rather than too late.
    let uptime = uptime();
    let start = Moment {
        host: HostId(xxh3_64(address.ip().to_string().as_bytes())),
        boot: boot_id(),
        uptime,
        wall: clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default(),
    };
    BootClock::new(start, clock.now())
}

/// Returns the time since the VM's boot, with the time for which it was suspended.
pub(crate) fn uptime() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

/// Returns the boot's name; one that no other process has, where it can't be read.
fn boot_id() -> BootId {
    match fs::read(BOOT_ID) {
        Ok(name) => BootId(xxh3_64(&name)),
        Err(error) => {
            warn!(event = "boot-unnamed", path = BOOT_ID, %error);
            BootId(rand::random())
        }
    }
}
