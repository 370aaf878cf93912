//! Metrics, by statsd over UDP or as text on request. `docs/METRICS.md` lists them.

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
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::ids::PoolId;
use crate::router::ProblemKind;

/// What each name begins with.
const PREFIX: &str = "jasmineridge";

/// The bounds of the histograms' buckets, in seconds: from an answer of a plain service to a caller's patience.
const BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];

/// Where metrics go. One that is lost is lost: a router never waits for them.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    statsd: Option<StatsdClient>,
    exposed: Option<Exposed>,
}

/// Metrics that are read as text.
#[derive(Debug)]
struct Exposed {
    registry: Registry,
    events: IntCounterVec,
    times: HistogramVec,
    open: IntGauge,
}

impl Exposed {
    fn new() -> prometheus::Result<Self> {
        let events = Opts::new("events_total", "How often each thing happened").namespace(PREFIX);
        let events = IntCounterVec::new(events, &["event"])?;
        let times = HistogramOpts::new("seconds", "How long each thing took")
            .namespace(PREFIX)
            .buckets(BOUNDS.to_vec());
        let times = HistogramVec::new(times, &["what"])?;
        let open = Opts::new("open", "Requests in progress").namespace(PREFIX);
        let open = IntGauge::with_opts(open)?;
        let registry = Registry::new();
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(times.clone()))?;
        registry.register(Box::new(open.clone()))?;
        Ok(Self {
            registry,
            events,
            times,
            open,
        })
    }
}

impl Metrics {
    /// Opens a socket to send from, if there is an address to send to.
    ///
    /// # Errors
    ///
    /// When there is no socket to be had.
    pub(crate) fn new(to: Option<SocketAddr>) -> io::Result<Self> {
        let Some(to) = to else {
            return Ok(Self::default());
        };
        let any = match to {
            SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
            SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
        };
        let socket = UdpSocket::bind((any, 0))?;
        // A full socket buffer would else stop the loop, and every stream with it.
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(to, socket).map_err(io::Error::other)?;
        Ok(Self {
            statsd: Some(StatsdClient::from_sink(PREFIX, sink)),
            exposed: None,
        })
    }

    /// Gathers metrics that are read as text.
    ///
    /// # Errors
    ///
    /// Never, as long as the names are good.
    pub(crate) fn exposed() -> io::Result<Self> {
        Ok(Self {
            statsd: None,
            exposed: Some(Exposed::new().map_err(io::Error::other)?),
        })
    }

    /// Returns the metrics as text, where they are gathered for that.
    pub(crate) fn text(&self) -> Option<String> {
        let exposed = self.exposed.as_ref()?;
        TextEncoder::new()
            .encode_to_string(&exposed.registry.gather())
            .ok()
    }

    /// Counts a request that arrived.
    pub(crate) fn request(&self) {
        self.count("requests", 1);
    }

    /// Counts a request that is forwarded to another router.
    pub(crate) fn forwarded(&self) {
        self.count("forwarded", 1);
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

    /// Counts how a run ended.
    pub(crate) fn ended(&self, how: &str) {
        self.count(&format!("run.{how}"), 1);
    }

    /// Counts a retry at a pool, or one that the pool's retry budget did not allow.
    pub(crate) fn retry(&self, pool: &PoolId, sent: bool) {
        let outcome = if sent { "sent" } else { "refused" };
        self.count(&format!("retry.{outcome}.{pool}"), 1);
    }

    /// Tells how long a request took to its end.
    pub(crate) fn took(&self, took: Duration) {
        self.time("request", took);
    }

    /// Counts log lines that were dropped.
    pub(crate) fn dropped(&self, lines: usize) {
        self.count("log.dropped", i64::try_from(lines).unwrap_or(i64::MAX));
    }

    /// Counts a pause of the whole process.
    pub(crate) fn paused(&self) {
        self.count("paused", 1);
    }

    /// Tells how many requests are in progress, and sends what has gathered.
    pub(crate) fn open(&self, requests: usize) {
        if let Some(exposed) = &self.exposed {
            exposed
                .open
                .set(i64::try_from(requests).unwrap_or(i64::MAX));
        }
        if let Some(client) = &self.statsd {
            let _ = client.gauge("open", u64::try_from(requests).unwrap_or(u64::MAX));
            let _ = client.flush();
        }
    }

    fn count(&self, name: &str, by: i64) {
        if let Some(exposed) = &self.exposed {
            exposed
                .events
                .with_label_values(&[name])
                .inc_by(by.unsigned_abs());
        }
        if let Some(client) = &self.statsd {
            let _ = client.count(name, by);
        }
    }

    fn time(&self, name: &str, took: Duration) {
        if let Some(exposed) = &self.exposed {
            exposed
                .times
                .with_label_values(&[name])
                .observe(took.as_secs_f64());
        }
        if let Some(client) = &self.statsd {
            let _ = client.time(name, took);
        }
    }
}
