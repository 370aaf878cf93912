//! Counts of what the log did.

use serde::Serialize;

/// One stream's counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct StreamStats {
    /// Appends that took effect.
    pub(crate) appends: u64,
    /// Reads that were answered with records or without.
    pub(crate) reads: u64,
    /// Bytes of the records that were appended.
    pub(crate) bytes_in: u64,
    /// Bytes of the records that were read, before base64.
    pub(crate) bytes_out: u64,
}

impl StreamStats {
    /// Counts an append.
    pub(crate) fn appended(&mut self, bytes: usize) {
        self.appends += 1;
        self.bytes_in += bytes as u64;
    }

    /// Counts a read.
    pub(crate) fn read(&mut self, bytes: usize) {
        self.reads += 1;
        self.bytes_out += bytes as u64;
    }
}
