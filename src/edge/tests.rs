//! What leaves a router for its operators.

use std::net::UdpSocket;
use std::time::Duration;

use anyhow::Result;
use tokio::net::TcpStream;

use crate::edge::driver::bind;
use crate::edge::metrics::Metrics;
use crate::router::ProblemKind;

/// A deployment's statsd server reads what `docs/METRICS.md` lists, once the router has sent what gathered.
#[test]
fn metrics_reach_a_statsd_server() -> Result<()> {
    let server = UdpSocket::bind("127.0.0.1:0")?;
    server.set_read_timeout(Some(Duration::from_secs(10)))?;
    let metrics = Metrics::new(Some(server.local_addr()?))?;
    metrics.request();
    metrics.refused(ProblemKind::BudgetSpent);
    metrics.claim_wait(Duration::from_millis(25));
    metrics.open(3);
    let mut packet = [0; 2048];
    let count = server.recv(&mut packet)?;
    let text = String::from_utf8_lossy(&packet[..count]);
    let lines: Vec<_> = text.lines().collect();
    let expected = [
        "jasmineridge.requests:1|c",
        "jasmineridge.refused.budget-spent:1|c",
        "jasmineridge.claim.wait:25|ms",
        "jasmineridge.open:3|g",
    ];
    assert_eq!(lines, expected);
    Ok(())
}

/// A router writes the head of a stream, and then its first token. The kernel holds the second small write back until the
/// caller's kernel acknowledges the first, which it puts off for 40 ms, and each first token comes so much later.
#[tokio::test]
async fn a_callers_connection_sends_each_token_at_once() -> Result<()> {
    let listener = bind("127.0.0.1:0".parse()?)?;
    let _caller = TcpStream::connect(listener.local_addr()?).await?;
    let (connection, _) = listener.accept().await?;
    assert!(connection.nodelay()?);
    Ok(())
}
