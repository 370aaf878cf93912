//! How many answers of which size are gathered at once.

use jasmineridge::AnswerSize;

const SIZES: [AnswerSize; 2] = [AnswerSize::Large, AnswerSize::Huge];

/// Returns the length of the longest answer of a size.
fn longest(size: AnswerSize) -> usize {
    let lengths = (0..26).map(|bits| 1 << bits);
    let of_size = lengths.filter(|bytes| AnswerSize::of(*bytes) == Some(size));
    of_size.max().expect("there is one")
}

/// Guards against answers that together take more than their part of the memory, however many come at once.
#[test]
fn large_answers_together_stay_within_their_part() {
    for memory_mb in [160, 260, 512, 2000] {
        let taken = SIZES.map(|size| longest(size) * size.limit(Some(memory_mb)).expect("a limit"));
        let taken: usize = taken.iter().sum();
        assert!(
            taken * 2 <= memory_mb * 1_000_000 / 4,
            "{memory_mb}: {taken}"
        );
    }
}

/// Guards against a small VM that never passes on an answer that is allowed.
#[test]
fn at_least_one_answer_of_each_size_is_gathered() {
    for memory_mb in [None, Some(0), Some(1), Some(usize::MAX)] {
        for size in SIZES {
            assert!(size.limit(memory_mb) >= Some(1));
        }
    }
}

/// Guards against small answers that wait for large ones, and against answers that no bound holds for.
#[test]
fn small_answers_wait_for_none_and_endless_ones_are_too_long() {
    assert_eq!(AnswerSize::of(800), Some(AnswerSize::Small));
    assert_eq!(AnswerSize::Small.limit(Some(260)), None);
    assert_eq!(AnswerSize::of(usize::MAX), None);
}
