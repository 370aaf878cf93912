//! Requests that crash endpoints, at a router that lives by grants.

use crate::decide::CrashReport;
use crate::ids::Fingerprint;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::AdminRequest;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Examination;
use crate::router::Heartbeat;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::Relay;
use crate::router::ReplyId;
use crate::router::RunEnd;
use crate::router::tests::site::Site;
use crate::router::tests::site::entry;
use crate::router::tests::site::whole;
use crate::vms::VmEntry;

pub(crate) const PREPAID: u64 = 1_000_000;
const ENDPOINTS: u16 = 8;

/// The request that crashes endpoints.
pub(crate) const HARMFUL: Fingerprint = Fingerprint(77);

/// How many endpoints a request may crash.
pub(crate) const LIMIT: usize = 3;

pub(crate) fn vms() -> Vec<VmEntry> {
    let endpoints =
        (0..ENDPOINTS).map(|n| entry(&format!("endpoint-{n}"), 9100 + n, &[("pool", "pool")]));
    let routers = (0..2).map(|n| {
        let peer = format!("127.0.0.1:{}", 8100 + n);
        let role = [("role", "router"), ("peer", peer.as_str())];
        entry(&format!("router-{n}"), 8001, &role)
    });
    endpoints.chain(routers).collect()
}

pub(crate) fn start() -> Site {
    let mut site = Site::start_member(0, PREPAID, vms());
    site.advance(3000);
    site.receive_heartbeats(1);
    site
}

pub(crate) fn send(site: &mut Site, route: &str) -> RequestId {
    site.send_again("key", route, HARMFUL, Relay::default())
}

/// Returns the endpoint of a request's last run.
fn endpoint(site: &Site, id: RequestId) -> VmId {
    let runs = site.runs(id);
    runs.last().expect("it runs").endpoint.clone()
}

/// Has the endpoint that runs a request close the connection, and be examined.
pub(crate) fn close(site: &mut Site, id: RequestId, found: Examination) {
    let vm = endpoint(site, id);
    site.advance(20);
    site.handle(Event::RunEnded(id, RunEnd::closed()));
    let asked = site.effects.iter().rev().find_map(|effect| match effect {
        Effect::ExamineEndpoint { vm: of, asked, .. } if *of == vm => Some(*asked),
        _ => None,
    });
    let asked = asked.expect("it is examined");
    site.advance(2);
    site.handle(Event::EndpointExamined { vm, asked, found });
}

pub(crate) fn refusal(site: &Site, id: RequestId) -> Option<(ProblemKind, Ran)> {
    site.refusal(id).map(|problem| (problem.kind, problem.ran))
}

/// Guards against a request that is sent on although this router saw it crash enough endpoints, within one attempt or several.
#[test]
fn a_request_that_crashed_endpoints_is_refused_with_when_to_come_back() {
    let mut site = start();
    for _ in 0..LIMIT {
        let id = send(&mut site, "once");
        close(&mut site, id, Examination::Refused);
        site.advance(1200);
    }
    let id = send(&mut site, "once");
    assert_eq!(site.runs(id).len(), 0);
    let expected = (ProblemKind::CrashesEndpoints, Ran::No);
    assert_eq!(refusal(&site, id), Some(expected));
    let problem = site.refusal(id).expect("it is refused");
    assert!(problem.retry.is_some() && problem.kind.status() == 503);

    // Other requests go on.
    let other = site.send_as("key", "once", 10, 10);
    assert_eq!(site.runs(other).len(), 1);
}

/// Guards against the refusal of a request whose connections were reset, or whose endpoints can't be reached.
#[test]
fn a_request_whose_endpoints_still_listen_is_not_refused() {
    for found in [Examination::Accepted, Examination::Silent] {
        let mut site = start();
        for _ in 0..3 * LIMIT {
            let id = send(&mut site, "once");
            assert_eq!(site.runs(id).len(), 1, "{found:?}");
            close(&mut site, id, found);
            site.advance(300);
        }
    }
}

/// Guards against a request that waits in a queue while other routers find out that it crashes endpoints, and is sent then.
#[test]
fn a_waiting_request_is_refused_by_what_other_routers_tell() {
    let mut other = start();
    for _ in 0..LIMIT {
        let id = send(&mut other, "once");
        close(&mut other, id, Examination::Refused);
        other.advance(1200);
    }
    let report = other.core.crash_history.report(other.now);
    assert_ne!(report, CrashReport::default());

    let mut site = start();
    let mut busy = Vec::new();
    loop {
        let id = site.send_as("key", "once", 10, 10);
        if site.runs(id).is_empty() {
            break;
        }
        busy.push(id);
    }
    let id = send(&mut site, "once");
    assert_eq!(refusal(&site, id), None);
    let beat = Heartbeat {
        crashes: Box::new(report),
        ..site.peer_heartbeat(0)
    };
    site.handle(Event::HeartbeatReceived(beat));
    let expected = (ProblemKind::CrashesEndpoints, Ran::No);
    assert_eq!(refusal(&site, id), Some(expected));
    site.handle(Event::RunEnded(busy[0], whole(1)));
    assert_eq!(site.runs(id).len(), 0);
}

/// Guards against retries that crash one more endpoint each.
#[test]
fn a_request_that_crashes_endpoints_is_not_retried() {
    let mut site = start();
    for _ in 0..LIMIT - 1 {
        let id = send(&mut site, "once");
        close(&mut site, id, Examination::Refused);
        site.advance(1200);
    }
    let [first, second] = [(); 2].map(|()| send(&mut site, "stream"));
    let vm = endpoint(&site, second);
    close(&mut site, first, Examination::Refused);
    assert_eq!(endpoint(&site, second), vm);
    site.handle(Event::RunEnded(second, RunEnd::closed()));
    assert_eq!(site.runs(second).len(), 1);
}

/// Guards against an operator who can't see why requests are refused.
#[test]
fn the_state_dump_shows_what_is_quarantined() {
    let mut site = start();
    for _ in 0..LIMIT {
        let id = send(&mut site, "once");
        close(&mut site, id, Examination::Refused);
        site.advance(1200);
    }
    site.handle(Event::Admin(ReplyId(1), AdminRequest::Status));
    let status = site.effects.iter().rev().find_map(|effect| match effect {
        Effect::Answer(ReplyId(1), 200, body) => Some(body.clone()),
        _ => None,
    });
    let crashes = &status.expect("an answer")["crashes"];
    assert_eq!(crashes["unexplained"], 0);
    assert_eq!(crashes["quarantined"].as_array().map(Vec::len), Some(1));
}
