//! Streams, cut into whole events.

use bytes::Bytes;

use crate::edge::relay::events::EventSplitter;

/// An endpoint dies in the middle of an event. The caller has none of that half, and the number from which another endpoint
/// goes on is that of the last whole one.
#[test]
fn half_an_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(
        (events.count, &events.bytes[..]),
        (1, &b"id: 1\ndata: a\n\n"[..])
    );
    assert_eq!(splitter.last(), Some("1"));
    splitter.resume();
    let events = splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(events.bytes, Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(splitter.last(), Some("2"));
}

/// Bytes come one by one. Nothing is lost or doubled, wherever they are cut.
#[test]
fn it_is_the_same_wherever_it_is_cut() {
    let whole = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nrest";
    for cut in 0..whole.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut count = 0;
        for part in [&whole[..cut], &whole[cut..]] {
            let events = splitter.push(part);
            count += events.count;
            out.extend_from_slice(&events.bytes);
        }
        out.extend_from_slice(&splitter.rest());
        assert_eq!((out.as_slice(), count), (&whole[..], 2), "{cut}");
    }
}
