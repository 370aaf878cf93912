//! Server-sent events, as a stream of completions has them.

/// Gathers bytes into the data of events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    bytes: Vec<u8>,
}

impl Events {
    /// Adds bytes and returns the data of the events that are now whole, each a line of its own.
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
