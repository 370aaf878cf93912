//! A connection to an endpoint, while an answer comes over it and after.

use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::edge::relay::framing::Framing;
use crate::edge::relay::serve::Relays;
use crate::edge::relay::upstream::Connection;

/// How much later than its connections the listener of a process that died is closed, at most.
const LISTENER_LAG: Duration = Duration::from_millis(20);

/// Why an answer that ended with its connection is not whole.
pub(crate) const ENDPOINT_DIED: &str = "the endpoint listens no longer";

/// A connection that an answer came over, and how long it may be idle; nothing at all where it is to be closed.
pub(crate) struct Kept {
    connection: Connection,
    idle: Option<Option<Duration>>,
    /// What ends the answer.
    pub(crate) framing: Framing,
}

impl Kept {
    /// Wraps the connection that an answer with this head came over.
    pub(crate) fn new(
        relays: &Relays,
        connection: Connection,
        answer: &Response<Incoming>,
    ) -> Self {
        Self {
            connection,
            idle: relays.dialect.keep_alive(answer.headers()),
            framing: Framing::of(answer),
        }
    }

    /// Returns whether the endpoint died that ended the answer with its connection. If not, the next request has a
    /// connection in its place.
    ///
    /// The kernel closes the connections of a process that died as the process itself does after a whole answer, but then
    /// nothing listens there any more. It may close the listener after the connections.
    pub(crate) async fn has_dead_endpoint(&self, relays: &Relays) -> bool {
        if self.framing != Framing::Connection {
            return false;
        }
        sleep(LISTENER_LAG).await;
        relays.upstream.reopen(&self.connection, self.idle).await
    }
}

impl Relays {
    /// Keeps a connection whose answer was read whole.
    pub(crate) fn keep(&self, kept: Kept) {
        if let Some(idle) = kept.idle
            && kept.framing != Framing::Connection
        {
            self.upstream.keep(kept.connection, idle);
        }
    }
}
