//! How many answers of which size are gathered at once.
//!
//! Handles many large answers at once, or answers without end. Each may be as long as the longest that is allowed, so that
//! without a bound for all of them a few dozen take all memory of a small VM, and end the process with everybody's
//! requests. Small answers are gathered at once, whatever comes beside them; larger ones wait for each other.

/// The largest answer that is gathered: what is no stream is a record or a map tile.
const MAX_ANSWER: usize = 16 << 20;

/// The largest answer that waits for no other, and the largest of those that are common.
const SMALL: usize = 16 << 10;
const LARGE: usize = 1 << 20;

/// The part of a process's memory that gathered answers may take.
const MEMORY_PART: usize = 4;

/// The memory of a process of which it isn't known how much it may use.
const DEFAULT_MEMORY: usize = 256 << 20;

/// How much memory an answer takes for each byte while its buffer grows.
const GROWTH: usize = 2;

/// The sizes of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerSize {
    /// As small as most.
    #[default]
    Small,
    /// Larger than most.
    Large,
    /// As large as few.
    Huge,
}

impl AnswerSize {
    /// Returns the size of an answer of so many bytes; `None` if it is too long.
    pub fn of(bytes: usize) -> Option<Self> {
        if bytes <= SMALL {
            Some(Self::Small)
        } else if bytes <= LARGE {
            Some(Self::Large)
        } else {
            (bytes <= MAX_ANSWER).then_some(Self::Huge)
        }
    }

    /// Returns how many answers of this size are gathered at once by a process that may use so many megabytes; `None` if
    /// there is no limit. Up to half of the room is for huge ones, and at least one of each size is gathered.
    pub fn limit(self, memory_mb: Option<usize>) -> Option<usize> {
        let memory = memory_mb.map_or(DEFAULT_MEMORY, |mb| mb.saturating_mul(1_000_000));
        let room = memory / MEMORY_PART;
        let huge = (room / 2 / (MAX_ANSWER * GROWTH)).max(1);
        let rest = room.saturating_sub(huge * MAX_ANSWER * GROWTH);
        match self {
            Self::Small => None,
            Self::Large => Some((rest / (LARGE * GROWTH)).max(1)),
            Self::Huge => Some(huge),
        }
    }
}
