//! What a process used, by the kernel's word.

use std::fs;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;

/// The kernel's clock ticks a second in `/proc`; 100 on every Linux that Rust's standard library runs on.
const TICKS: u64 = 100;

/// Returns the processor time that a process has had.
pub(crate) fn cpu(pid: u32) -> Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = text.rsplit_once(')').context("a name in parentheses")?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(Duration::from_millis(ticks * 1000 / TICKS))
}

/// Returns the resident memory of a process, in KiB.
pub(crate) fn resident(pid: u32) -> Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    Ok(value.context("VmRSS")?.parse()?)
}
