//! A stream of events, cut into whole ones.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

/// What ends an event.
const END: &[u8] = b"\n\n";

/// Begins the line that numbers an event.
const ID: &str = "id:";

/// The whole events that came with some bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Events {
    /// Their bytes.
    pub(crate) bytes: Bytes,
    /// How many they are.
    pub(crate) count: u64,
}

/// Cuts a stream into whole events.
///
/// An endpoint that dies may leave half of an event. Had the caller that half, the event could not be sent whole by the
/// endpoint that goes on.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    rest: BytesMut,
    last: Option<String>,
}

impl EventSplitter {
    /// Takes bytes in and returns the events that are whole by now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Events {
        self.rest.extend_from_slice(bytes);
        let ends: Vec<_> = memmem::find_iter(&self.rest, END).collect();
        let Some(end) = ends.last() else {
            return Events::default();
        };
        let whole = self.rest.split_to(end + END.len()).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Events {
            count: ends.len() as u64,
            bytes: whole,
        }
    }

    /// Returns what is left at the stream's end.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Returns how many bytes came after the last whole event.
    pub(crate) fn partial(&self) -> usize {
        self.rest.len()
    }

    /// Forgets half of an event, since another endpoint goes on from the last whole one.
    pub(crate) fn resume(&mut self) {
        self.rest.clear();
    }

    /// Returns the number of the last whole event, as the endpoint spells it.
    pub(crate) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let line = text.lines().rev().find_map(|line| line.strip_prefix(ID))?;
    Some(line.trim().to_owned())
}
