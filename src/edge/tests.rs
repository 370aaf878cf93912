//! What leaves a router for its operators.

use std::net::UdpSocket;
use std::time::Duration;

use anyhow::Result;

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
