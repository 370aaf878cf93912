//! One streamed request, measured.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use jasmineridge::HttpClient;
use memchr::memmem;
use serde_json::json;

/// How long a head may take.
const HEAD: Duration = Duration::from_secs(30);

/// Tells each request of a bench from all others.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// What came of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// From its sending to the first bytes of its answer.
    pub(crate) first: Duration,
    /// How long its claim waited, as the router says.
    pub(crate) claim: Duration,
}

/// A request whose answer's head is here.
pub(crate) struct Stream {
    begun: Instant,
    claim: Duration,
    body: Incoming,
}

/// Sends a streamed completion to a router or, as it takes the same, to an engine.
pub(crate) async fn open(http: &HttpClient, to: SocketAddr, tokens: u64) -> Result<Stream> {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let body = json!({
        "model": "demo", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": format!("what burns at station {number}")}],
    });
    let request = http
        .request("POST", &format!("http://{to}/v1/chat/completions"))
        .header("authorization", "Bearer loans")
        .header("content-type", "application/json")
        .header("idempotency-key", format!("b{number}"))
        .header("jasmineridge-attempt", "1")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let begun = Instant::now();
    let answer = http.send(request, HEAD).await?;
    ensure!(answer.status() == 200, "{to}: {}", answer.status());
    Ok(Stream {
        begun,
        claim: claim(&answer).unwrap_or_default(),
        body: answer.into_body(),
    })
}

fn claim(answer: &Response<Incoming>) -> Option<Duration> {
    let text = answer.headers().get("server-timing")?.to_str().ok()?;
    let ms: f64 = text.strip_prefix("claim;dur=")?.parse().ok()?;
    Some(Duration::from_secs_f64(ms / 1000.0))
}

impl Stream {
    /// Waits for the first token.
    pub(crate) async fn first(&mut self) -> Result<Sample> {
        while let Some(frame) = self.body.frame().await {
            if frame?.is_data() {
                return Ok(Sample {
                    first: self.begun.elapsed(),
                    claim: self.claim,
                });
            }
        }
        anyhow::bail!("the answer ended before its first token")
    }

    /// Reads on to the end, counting events as they come.
    pub(crate) async fn count(&mut self, events: &AtomicU64) -> Result<()> {
        while let Some(frame) = self.body.frame().await {
            let bytes = frame?.into_data().unwrap_or_default();
            let count = memmem::find_iter(&bytes, b"\n\n").count();
            events.fetch_add(count as u64, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Reads on to the end.
    pub(crate) async fn finish(mut self) -> Result<()> {
        let mut last = Bytes::new();
        while let Some(frame) = self.body.frame().await {
            last = frame?.into_data().unwrap_or_default();
        }
        ensure!(
            last.ends_with(b"data: [DONE]\n\n"),
            "the answer is not whole"
        );
        Ok(())
    }
}

/// Sends a short request and reads all of its answer.
pub(crate) async fn ask(http: &HttpClient, to: SocketAddr) -> Result<Sample> {
    let mut stream = open(http, to, 16).await?;
    let sample = stream.first().await?;
    // The end waits for the bill, which is not part of the time to the first token.
    stream.count(&AtomicU64::new(0)).await?;
    Ok(sample)
}

/// Times, of which quantiles are wanted.
pub(crate) struct Times(Histogram<u64>);

impl Times {
    pub(crate) fn of<I>(times: I) -> Result<Self>
    where
        I: Iterator<Item = Duration>,
    {
        let mut all = Histogram::new_with_bounds(1, 600_000_000, 3)?;
        for time in times {
            all.saturating_record(u64::try_from(time.as_micros())?.max(1));
        }
        Ok(Self(all))
    }

    /// Returns a quantile in milliseconds.
    pub(crate) fn at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    pub(crate) fn row(&self, name: &str) {
        let (p50, p95, p99) = (self.at(0.5), self.at(0.95), self.at(0.99));
        let count = self.0.len();
        println!("{name:<34} p50 {p50:8.3} p95 {p95:8.3} p99 {p99:8.3} ms  n={count}");
    }
}

/// Sends short requests to addresses in turn, `rate` a second for a while, however slow the answers are.
pub(crate) async fn offer(to: &[SocketAddr], rate: u32, lasts: Duration) -> Result<Vec<Sample>> {
    let http = HttpClient::new(None);
    let step = Duration::from_secs(1) / rate;
    let begin = tokio::time::Instant::now();
    let count = (lasts.as_secs_f64() * f64::from(rate)) as u32;
    let mut asked = Vec::new();
    for at in 0..count {
        tokio::time::sleep_until(begin + step * at).await;
        let to = to[at as usize % to.len()];
        let http = http.clone();
        asked.push(tokio::spawn(async move { ask(&http, to).await }));
    }
    let mut samples = Vec::new();
    for task in asked {
        samples.push(task.await?.context("a request of the bench")?);
    }
    Ok(samples)
}

/// Prints a figure beside its aim.
pub(crate) fn verdict(name: &str, value: f64, unit: &str, aim: f64, met: bool) {
    let met = if met { "met" } else { "MISSED" };
    println!("{name:<34} {value:12.3} {unit:<10} aim {aim} {met}");
}
