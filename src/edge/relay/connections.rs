//! How many connections callers have open, and which are closed to make room for others or before the router ends.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use rustix::process::Resource;
use rustix::process::getrlimit;
use tokio::sync::watch;

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
    /// How many are open that are closed before the router ends.
    unfinished: AtomicUsize,
    /// Whether connections are closed once their answers are sent.
    closing: watch::Sender<bool>,
}

/// Counts one connection until it is dropped.
#[derive(Debug)]
pub(super) struct Opened {
    connections: Arc<Connections>,
    /// Whether it is closed before the router ends.
    is_awaited: bool,
}

impl Connections {
    /// Creates the count of a process that may have so many descriptors, or as many as the system allows if that is less.
    pub(crate) fn new(descriptors: Option<usize>) -> Self {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.and_then(|most| usize::try_from(most).ok());
        let both = [descriptors, allowed].into_iter().flatten();
        Self {
            open: AtomicUsize::new(0),
            descriptors: both.min().unwrap_or(usize::MAX),
            unfinished: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        }
    }

    /// Counts a connection.
    pub(super) fn open(self: &Arc<Self>) -> Opened {
        self.open.fetch_add(1, Ordering::Relaxed);
        // Callers that come after that have one answer each.
        let is_awaited = !*self.closing.borrow();
        if is_awaited {
            self.unfinished.fetch_add(1, Ordering::Relaxed);
        }
        Opened {
            connections: self.clone(),
            is_awaited,
        }
    }

    /// Has all connections closed, once the answers are sent that they are for now.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns how many connections were there before they were to be closed, and still are.
    pub(crate) fn unfinished(&self) -> usize {
        self.unfinished.load(Ordering::Relaxed)
    }

    /// Returns whether a connection is to be closed after an answer, which may be a refusal.
    pub(super) fn must_close(&self, refused: bool) -> bool {
        let limit = if refused { CROWDED } else { FULL };
        let open = self.open.load(Ordering::Relaxed) as f64;
        open > self.descriptors as f64 * limit
    }
}

impl Opened {
    /// Waits until the connection is to be closed.
    pub(super) async fn closing(&self) {
        let mut closing = self.connections.closing.subscribe();
        if !self.is_awaited || closing.wait_for(|closing| *closing).await.is_err() {
            std::future::pending().await
        }
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        let Self {
            connections,
            is_awaited,
        } = self;
        connections.open.fetch_sub(1, Ordering::Relaxed);
        if *is_awaited {
            connections.unfinished.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
