//! A stream of events, cut into whole ones.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memchr2;

/// Begins the line that numbers an event.
const ID: &str = "id:";

/// Begins a line that is a comment, and part of no event.
const COMMENT: u8 = b':';

/// How many bytes may come without ending an event. An endpoint that sends more goes on without end.
const MAX_EVENT: usize = 1 << 20;

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
/// endpoint that goes on. A line ends with a line feed, a carriage return or both, and an event with an empty line
/// (WHATWG HTML, section 9.2.6).
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// What came after the last whole event.
    rest: BytesMut,
    /// Where in the rest the line begins that has not ended yet.
    line: usize,
    /// Whether the rest has a line that belongs to an event.
    begun: bool,
    /// Whether the last byte was a carriage return, to which a line feed that comes next belongs.
    after_return: bool,
    /// How many bytes have come since the last event ended, comments and empty lines among them.
    since_event: usize,
    last: Option<String>,
}

impl EventSplitter {
    /// Takes bytes in and returns the events that are whole by now, with the comments and empty lines between them.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Events {
        let mut at = self.rest.len();
        self.rest.extend_from_slice(bytes);
        let mut whole = 0;
        let mut count = 0;
        let mut event_end = None;
        while let Some(found) = memchr2(b'\r', b'\n', &self.rest[at..]) {
            let ends_event = self.end_line(at + found);
            count += u64::from(ends_event);
            at += found + 1;
            if ends_event {
                event_end = Some(at);
            }
            self.line = at;
            if !self.begun {
                whole = at;
            }
        }
        self.since_event = match event_end {
            Some(end) => self.rest.len() - end,
            None => self.since_event.saturating_add(bytes.len()),
        };
        self.line -= whole;
        let bytes = self.rest.split_to(whole).freeze();
        if let Some(id) = last_id(&bytes) {
            self.last = Some(id);
        }
        Events { bytes, count }
    }

    /// Ends the current line at a line feed or carriage return; returns whether an event ends with it.
    fn end_line(&mut self, end: usize) -> bool {
        let is_feed = self.rest[end] == b'\n';
        let after_return = std::mem::replace(&mut self.after_return, !is_feed);
        match self.rest[self.line..end].first() {
            Some(&COMMENT) => false,
            Some(_) => {
                self.begun = true;
                false
            }
            None if is_feed && after_return => false,
            None => std::mem::take(&mut self.begun),
        }
    }

    /// Returns whether the stream would break off if it ended now. A comment that has not ended is part of no event.
    pub(crate) fn is_inside_event(&self) -> bool {
        let line = self.rest[self.line..].first();
        self.begun || line.is_some_and(|first| *first != COMMENT)
    }

    /// Returns whether so much has come since the last event that no other one is to be expected.
    pub(crate) fn is_endless(&self) -> bool {
        self.since_event > MAX_EVENT
    }

    /// Returns how many bytes came after the last whole event.
    pub(crate) fn partial(&self) -> usize {
        self.rest.len()
    }

    /// Returns what is left at the stream's end.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Forgets half of an event, since another endpoint goes on from the last whole one.
    pub(crate) fn resume(&mut self) {
        *self = Self {
            last: self.last.take(),
            ..Self::default()
        };
    }

    /// Returns the number of the last whole event, as the endpoint spells it.
    pub(crate) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| matches!(byte, b'\r' | b'\n'));
    let id = lines
        .filter_map(|line| std::str::from_utf8(line).ok())
        .find_map(|line| line.strip_prefix(ID))?;
    Some(id.trim().to_owned())
}
