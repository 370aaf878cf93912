//! Server-sent events of a streamed completion.

/// Assembles the data of events from pieces of a stream.
#[derive(Debug, Default)]
pub(crate) struct Events {
    bytes: Vec<u8>,
}

impl Events {
    /// Adds bytes, and returns the data of the events that are now complete, one line each.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Vec<String> {
        self.bytes.extend_from_slice(bytes);
        let Some(end) = self.bytes.iter().rposition(|&b| b == b'\n') else {
            return Vec::new();
        };
        let lines: Vec<u8> = self.bytes.drain(..=end).collect();
        String::from_utf8_lossy(&lines)
            .lines()
            .filter_map(|line| line.strip_prefix("data:"))
            .map(|data| data.trim().to_owned())
            .collect()
    }
}
