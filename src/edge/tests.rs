//! Tests of what a router understands of a stream.

use bytes::Bytes;
use quickcheck::quickcheck;

use crate::edge::sse::Splitter;
use crate::tokens::Tokens;

const TOKENS: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a \\\"finish_reason\\\":\\\"stop\\\"\"},\"finish_reason\":null}]}\n\n\
     data: {\"choices\":[{\"delta\":{\"content\":\" b\"},\"finish_reason\":null}]}\n\n";

fn end(reason: &str) -> String {
    format!(
        "data: {{\"choices\":[{{\"delta\":{{}},\"finish_reason\":\"{reason}\"}}],\
         \"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":2}}}}\n\ndata: [DONE]\n\n"
    )
}

/// Splits a stream at the given places and returns what went out at once.
fn relay(splitter: &mut Splitter, stream: &str, cuts: &[usize]) -> Vec<u8> {
    let mut places: Vec<_> = cuts.iter().map(|cut| cut % (stream.len() + 1)).collect();
    places.push(0);
    places.push(stream.len());
    places.sort_unstable();
    let mut out = Vec::new();
    for pair in places.windows(2) {
        let piece = Bytes::copy_from_slice(&stream.as_bytes()[pair[0]..pair[1]]);
        out.extend_from_slice(&splitter.push(piece).expect("no event is too large"));
    }
    out
}

quickcheck! {
    fn the_end_is_held_back_wherever_the_stream_is_cut(cuts: Vec<usize>) -> bool {
        let stream = format!("{TOKENS}{}", end("stop"));
        let mut splitter = Splitter::default();
        let out = relay(&mut splitter, &stream, &cuts);
        let (usage, held) = splitter.whole().expect("it is whole");
        out == TOKENS.as_bytes()
            && held == end("stop").as_bytes()
            && usage.total() == Tokens(5)
            && splitter.tokens() == Tokens(2)
    }
}

/// An engine ends a run early, as it does when its connection broke and nobody resumed in time, and closes the stream
/// as if all were well. Taken for whole, a caller would be sold a part of an answer.
#[test]
fn a_run_that_was_ended_early_is_not_whole() {
    for reason in ["cancelled", "abort", "error"] {
        let stream = format!("{TOKENS}{}", end(reason));
        let mut splitter = Splitter::default();
        relay(&mut splitter, &stream, &[]);
        assert!(splitter.is_done(), "{reason}");
        assert!(splitter.whole().is_none(), "{reason}");
    }
}

/// The connection to the engine breaks in the middle of the end. What was held back comes again with the rest, and
/// must not go out twice.
#[test]
fn a_resumed_stream_has_one_end() {
    let mut splitter = Splitter::default();
    let broken = format!("{TOKENS}{}", &end("stop")[..90]);
    let mut out = relay(&mut splitter, &broken, &[]);
    assert_eq!(splitter.restart(), Tokens(2));
    out.extend(relay(&mut splitter, &end("stop"), &[7]));
    let (_, held) = splitter.whole().expect("it is whole");
    assert_eq!(out, TOKENS.as_bytes());
    assert_eq!(held, end("stop").as_bytes());
}
