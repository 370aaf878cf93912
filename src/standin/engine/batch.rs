//! The continuous batch: so many requests run at once, the others wait by priority.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::oneshot;

/// Which waiting request comes first: the lower priority number, then the earlier arrival.
type Rank = (u8, u64);

/// The batch.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<Rank, oneshot::Sender<Slot>>,
}

/// A place in the batch, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    batch: Arc<Batch>,
}

/// A place in the batch, or in the queue for one.
#[derive(Debug)]
pub(crate) enum Turn {
    /// There was room.
    Now(Slot),
    /// It comes later.
    Later(oneshot::Receiver<Slot>),
}

impl Turn {
    /// Waits for the place.
    pub(crate) async fn wait(self) -> Option<Slot> {
        match self {
            Self::Now(slot) => Some(slot),
            Self::Later(turn) => turn.await.ok(),
        }
    }
}

impl Batch {
    /// Starts an empty batch.
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many requests run and how many wait.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let mut state = self.state();
        state.waiting.retain(|_, turn| !turn.is_closed());
        (state.running, state.waiting.len())
    }

    /// Takes a place, or one in the queue for it.
    pub(crate) fn enter(self: &Arc<Self>, priority: u8) -> Turn {
        let mut state = self.state();
        if state.running < self.slots {
            state.running += 1;
            let batch = self.clone();
            return Turn::Now(Slot { batch });
        }
        let (sender, turn) = oneshot::channel();
        state.arrivals += 1;
        let rank = (priority, state.arrivals);
        state.waiting.insert(rank, sender);
        Turn::Later(turn)
    }

    /// Counts a place as free, or returns the first that still waits for it.
    fn free(&self) -> Option<oneshot::Sender<Slot>> {
        let mut state = self.state();
        while let Some((_, turn)) = state.waiting.pop_first() {
            if !turn.is_closed() {
                return Some(turn);
            }
        }
        state.running -= 1;
        None
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(turn) = self.batch.free() else {
            return;
        };
        let slot = Self {
            batch: self.batch.clone(),
        };
        // One that stopped waiting meanwhile hands the place back here, and dropping it passes the place on.
        let _ = turn.send(slot);
    }
}
