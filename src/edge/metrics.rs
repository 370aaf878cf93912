//! Metrics, by statsd over UDP. `docs/METRICS.md` lists them.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;

use crate::router::ProblemKind;

/// What each name begins with.
const PREFIX: &str = "jasmineridge";

/// Where metrics go. One that is lost is lost: a router never waits for them.
#[derive(Debug, Default)]
pub(crate) struct Metrics(Option<StatsdClient>);

impl Metrics {
    /// Opens a socket to send from, if there is an address to send to.
    ///
    /// # Errors
    ///
    /// When there is no socket to be had.
    pub(crate) fn new(to: Option<SocketAddr>) -> io::Result<Self> {
        let Some(to) = to else {
            return Ok(Self(None));
        };
        let any = match to {
            SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
            SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
        };
        let socket = UdpSocket::bind((any, 0))?;
        // A full socket buffer would else stop the loop, and every stream with it.
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(to, socket).map_err(io::Error::other)?;
        Ok(Self(Some(StatsdClient::from_sink(PREFIX, sink))))
    }

    /// Counts a request that arrived.
    pub(crate) fn request(&self) {
        self.count("requests", 1);
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, kind: ProblemKind) {
        self.count(&format!("refused.{kind}"), 1);
    }

    /// Counts an answer whose end was released.
    pub(crate) fn whole(&self) {
        self.count("whole", 1);
    }

    /// Counts an answer that was broken off after it began.
    pub(crate) fn cut(&self) {
        self.count("cut", 1);
    }

    /// Counts the tokens of a stream that was relayed.
    pub(crate) fn tokens(&self, count: u64) {
        self.count("tokens", i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Tells how long a claim waited for its verdict.
    pub(crate) fn claim_wait(&self, wait: Duration) {
        self.time("claim.wait", wait);
    }

    /// Tells how long the log service took to answer an append.
    pub(crate) fn append(&self, took: Duration) {
        self.time("log.append", took);
    }

    /// Tells from a request's arrival to its answer's first bytes.
    pub(crate) fn first_byte(&self, took: Duration) {
        self.time("first-byte", took);
    }

    /// Counts a pause of the whole process.
    pub(crate) fn paused(&self) {
        self.count("paused", 1);
    }

    /// Tells how many requests are in progress, and sends what has gathered.
    pub(crate) fn open(&self, requests: usize) {
        if let Some(client) = &self.0 {
            let _ = client.gauge("open", u64::try_from(requests).unwrap_or(u64::MAX));
            let _ = client.flush();
        }
    }

    fn count(&self, name: &str, by: i64) {
        if let Some(client) = &self.0 {
            let _ = client.count(name, by);
        }
    }

    fn time(&self, name: &str, took: Duration) {
        if let Some(client) = &self.0 {
            let _ = client.time(name, took);
        }
    }
}
