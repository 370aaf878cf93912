//! Room for answers that are gathered before they go on.

use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::decide::AnswerSize;
use crate::edge::relay::gather::BodyError;

/// Why an answer can't be gathered.
const TOO_LONG: &str = "the answer is too long";

/// The room that all answers have together.
#[derive(Debug)]
pub(crate) struct AnswerRoom {
    large: Semaphore,
    huge: Semaphore,
}

/// The room of one answer.
#[derive(Debug, Default)]
pub(super) struct Room<'a> {
    size: AnswerSize,
    permit: Option<SemaphorePermit<'a>>,
}

impl AnswerRoom {
    /// Creates the room of a process that may use so many megabytes.
    pub(crate) fn new(memory_mb: Option<usize>) -> Self {
        let room = |size: AnswerSize| {
            let limit = size.limit(memory_mb).unwrap_or(usize::MAX);
            Semaphore::new(limit.min(Semaphore::MAX_PERMITS))
        };
        Self {
            large: room(AnswerSize::Large),
            huge: room(AnswerSize::Huge),
        }
    }

    /// Waits until an answer may be so long. One that waits for the room of a huge one keeps that of a large one, and a
    /// huge one waits for nothing, so that some answer always goes on.
    ///
    /// # Errors
    ///
    /// When no answer may be so long.
    pub(super) async fn grow<'a>(
        &'a self,
        room: &mut Room<'a>,
        bytes: usize,
    ) -> Result<(), BodyError> {
        let size = AnswerSize::of(bytes).ok_or(TOO_LONG)?;
        if size <= room.size {
            return Ok(());
        }
        let semaphore = match size {
            AnswerSize::Small => return Ok(()),
            AnswerSize::Large => &self.large,
            AnswerSize::Huge => &self.huge,
        };
        room.permit = Some(semaphore.acquire().await?);
        room.size = size;
        Ok(())
    }
}
