//! A stream of events, cut into whole ones.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memchr2;

/// Begins the line that numbers an event.
const ID: &[u8] = b"id:";

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

/// Cuts a stream into whole events, whose numbers increase.
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
    /// The number of the event that has begun, as the endpoint spells it.
    id: Option<String>,
    /// Whether the last byte was a carriage return, to which a line feed that comes next belongs.
    after_return: bool,
    /// How many bytes have come since the last event ended, comments and empty lines among them.
    since_event: usize,
    /// Whether an event came whose number is not above the last one's. Nothing is cut from then on.
    disordered: bool,
    last: Option<String>,
    /// Whether the last whole event had no number, so that no run can go on after it.
    unnumbered: bool,
}

impl EventSplitter {
    /// Creates one for a stream that goes on after an event, if one is given.
    pub(crate) fn after(last: Option<String>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Takes bytes in and returns the events that are whole by now, with the comments and empty lines between them.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Events {
        let mut at = self.rest.len();
        self.rest.extend_from_slice(bytes);
        let mut whole = 0;
        let mut count = 0;
        let mut event_end = None;
        while let Some(found) = memchr2(b'\r', b'\n', &self.rest[at..]) {
            let ends_event = self.end_line(at + found);
            if ends_event && !self.number_event() {
                break;
            }
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
        Events { bytes, count }
    }

    /// Ends the current line at a line feed or carriage return; returns whether an event ends with it.
    fn end_line(&mut self, end: usize) -> bool {
        let is_feed = self.rest[end] == b'\n';
        let after_return = std::mem::replace(&mut self.after_return, !is_feed);
        let line = &self.rest[self.line..end];
        match line.first() {
            Some(&COMMENT) => false,
            Some(_) => {
                self.begun = true;
                if let Some(id) = id(line) {
                    self.id = Some(id);
                }
                false
            }
            None if is_feed && after_return => false,
            None => std::mem::take(&mut self.begun),
        }
    }

    /// Takes the number of an event that has ended for the last one's; returns whether it is above the one before.
    ///
    /// Numbers are compared as far as they are numbers.
    fn number_event(&mut self) -> bool {
        let id = self.id.take().filter(|id| !id.is_empty());
        self.unnumbered = id.is_none();
        let Some(id) = id else {
            return true;
        };
        let number = |id: &str| id.parse::<u64>().ok();
        let last = self.last.as_deref().and_then(number);
        self.disordered = last
            .zip(number(&id))
            .is_some_and(|(last, number)| number <= last);
        if !self.disordered {
            self.last = Some(id);
        }
        !self.disordered
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

    /// Returns whether the endpoint sent an event again, or one that comes before the last one.
    pub(crate) fn is_disordered(&self) -> bool {
        self.disordered
    }

    /// Returns whether another run would send events again, as the last whole one had no number.
    pub(crate) fn is_unnumbered(&self) -> bool {
        self.unnumbered
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
        *self = Self::after(self.last.take());
    }

    /// Returns the number of the last whole event, as the endpoint spells it.
    pub(crate) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

/// Returns the number in a line that numbers an event.
fn id(line: &[u8]) -> Option<String> {
    let id = std::str::from_utf8(line.strip_prefix(ID)?).ok()?;
    Some(id.trim().to_owned())
}
