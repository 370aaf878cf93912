//! How many connections callers have open, and which are closed to make room for others.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use rustix::process::Resource;
use rustix::process::getrlimit;

/// The part of the descriptors from which on refused callers lose their connections: they come back over new ones.
const CROWDED: f64 = 0.5;

/// The part from which on all callers do.
const FULL: f64 = 0.75;

/// The connections of callers that are open.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicUsize,
    /// How many descriptors the process may have.
    descriptors: usize,
}

/// Counts one connection until it is dropped.
#[derive(Debug)]
pub(super) struct Opened(Arc<Connections>);

impl Connections {
    /// Creates the count of a process that may have so many descriptors, or as many as the system allows if that is less.
    pub(crate) fn new(descriptors: Option<usize>) -> Self {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.and_then(|most| usize::try_from(most).ok());
        let both = [descriptors, allowed].into_iter().flatten();
        Self {
            open: AtomicUsize::new(0),
            descriptors: both.min().unwrap_or(usize::MAX),
        }
    }

    /// Counts a connection.
    pub(super) fn open(self: &Arc<Self>) -> Opened {
        self.open.fetch_add(1, Ordering::Relaxed);
        Opened(self.clone())
    }

    /// Returns whether a connection is to be closed after an answer, which may be a refusal.
    pub(super) fn must_close(&self, refused: bool) -> bool {
        let limit = if refused { CROWDED } else { FULL };
        let open = self.open.load(Ordering::Relaxed) as f64;
        open > self.descriptors as f64 * limit
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
