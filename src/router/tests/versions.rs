//! Streams of a pool whose endpoints run several versions of their software.

use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::Effect;
use crate::router::Event;
use crate::router::PeerFailure;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::Relay;
use crate::router::ReplyId;
use crate::router::Resumption;
use crate::router::RunEnd;
use crate::router::StreamRow;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::broken_run;
use crate::router::tests::site::entry;
use crate::router::tests::site::payer;
use crate::router::tests::site::table_with_payers;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

const PREPAID: u64 = 1_000_000;
const ROUTERS: usize = 3;

/// Returns two endpoints of each version, and the routers.
fn vms(versions: &[&str]) -> Vec<VmEntry> {
    let endpoints = versions.iter().flat_map(|version| {
        let endpoint = move |n: u16| {
            let name = format!("{version}-{n}");
            entry(&name, 9100 + n, &[("pool", "pool"), ("version", version)])
        };
        (0..2).map(endpoint)
    });
    let routers = (0..ROUTERS).map(|n| {
        let peer = format!("127.0.0.1:{}", 8100 + n);
        let role = [("role", "router"), ("peer", peer.as_str())];
        entry(&format!("router-{n}"), 8001, &role)
    });
    endpoints.chain(routers).collect()
}

/// Starts a router that hears its peers, and may retry requests.
fn start(versions: &[&str]) -> Site {
    let mut site = Site::start_member(0, PREPAID, vms(versions));
    site.advance(3000);
    site.receive_heartbeats(ROUTERS - 1);
    site
}

fn list(site: &mut Site, vms: Vec<VmEntry>) {
    let as_of = site.core.members.vm_index.list().as_of + 1;
    site.handle(Event::VmList(VmList { as_of, vms }));
}

/// Sends the first attempt at a stream.
fn begin(site: &mut Site, attempt: &str) -> RequestId {
    let relay = Relay {
        attempt: attempt.parse().ok(),
        ..Relay::default()
    };
    site.send_relay("key", "stream", relay)
}

/// Sends an attempt that takes a stream up.
fn resume(site: &mut Site, key: &str, origin: Option<&str>) -> RequestId {
    let origin = origin.map(|origin| origin.parse().expect("a name"));
    let relay = Relay {
        attempt: "next".parse().ok(),
        resumption: Some(Resumption { origin }),
        ..Relay::default()
    };
    site.send_relay(key, "stream", relay)
}

/// Returns the endpoints that a request was sent to.
fn endpoints(site: &Site, id: RequestId) -> Vec<VmId> {
    let runs = site.runs(id);
    runs.iter().map(|run| run.endpoint.clone()).collect()
}

fn version_of(vm: &VmId) -> &str {
    vm.as_str().split('-').next().expect("a version")
}

/// Returns how many routers were asked about a request's stream.
fn asked(site: &Site, id: RequestId) -> usize {
    let asks = |effect: &&Effect| matches!(effect, Effect::LocateStream(of, ..) if *of == id);
    site.effects.iter().filter(asks).count()
}

fn told(site: &Site) -> usize {
    let rows = site.effects.iter().map(|effect| match effect {
        Effect::KeepStreams(rows, _) => rows.len(),
        _ => 0,
    });
    rows.sum()
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        pool: "pool".parse().expect("a name"),
        version: version.parse().ok(),
    }
}

fn is_refused(site: &Site, id: RequestId) -> bool {
    let refusal = site.refusal(id).map(|problem| (problem.kind, problem.ran));
    refusal == Some((ProblemKind::NoEndpoint, Ran::No))
}

/// Guards against a run that goes on with a stream of another version within one answer.
#[test]
fn a_stream_that_breaks_off_goes_on_at_its_version() {
    for n in 0..20 {
        let mut site = start(&["v1", "v2"]);
        let ids: Vec<_> = (0..=n)
            .map(|n| begin(&mut site, &format!("a{n}")))
            .collect();
        let id = ids[n];
        site.handle(Event::AnswerStarted(id));
        site.handle(Event::RunEnded(id, broken_run(true)));
        let endpoints = endpoints(&site, id);
        assert_eq!(endpoints.len(), 2, "{endpoints:?}");
        assert_ne!(endpoints[0], endpoints[1]);
        assert_eq!(version_of(&endpoints[0]), version_of(&endpoints[1]));
    }
}

/// Guards against a stream that is moved to another version since none of its own is left.
#[test]
fn a_stream_whose_version_is_gone_is_cut() {
    let mut site = start(&["v1", "v2"]);
    let id = begin(&mut site, "a");
    site.handle(Event::AnswerStarted(id));
    let first = endpoints(&site, id)[0].clone();
    let other = match version_of(&first) {
        "v1" => "v2",
        _ => "v1",
    };
    list(&mut site, vms(&[other]));
    site.handle(Event::RunEnded(id, broken_run(true)));
    assert_eq!(endpoints(&site, id), [first]);
    let problem = site.refusal(id).expect("it is cut");
    assert_eq!(problem.kind, ProblemKind::EndpointFailed);
}

/// Guards against requests that are bound to the endpoint that was tried first, though their callers have no event.
#[test]
fn a_request_without_an_event_may_go_to_any_version() {
    let mut moved = 0;
    for n in 0..20 {
        let mut site = start(&["v1", "v2"]);
        let ids: Vec<_> = (0..=n)
            .map(|n| begin(&mut site, &format!("a{n}")))
            .collect();
        site.handle(Event::RunEnded(ids[n], RunEnd::NotRun { retry: None }));
        let endpoints = endpoints(&site, ids[n]);
        assert_eq!(endpoints.len(), 2);
        moved += usize::from(version_of(&endpoints[0]) != version_of(&endpoints[1]));
    }
    assert!(moved > 0, "none of 20 went to the other version");
}

/// Guards against a version that changes between the choice of an endpoint and its first event.
#[test]
fn a_stream_of_a_restarted_endpoint_is_not_resumed() {
    let mut site = start(&["v1"]);
    let id = begin(&mut site, "a");
    let mut changed = vms(&["v1"]);
    for entry in &mut changed {
        entry.labels.set("version", "v2");
    }
    list(&mut site, changed);
    site.handle(Event::AnswerStarted(id));
    site.handle(Event::RunEnded(id, broken_run(true)));
    assert_eq!(endpoints(&site, id).len(), 1);
    assert!(site.refusal(id).is_some());
}

/// Guards against a caller that is sent to another version when it takes up its stream at the same router.
#[test]
fn a_caller_that_comes_back_is_sent_to_the_version_that_began_its_stream() {
    for n in 0..20 {
        let mut site = start(&["v1", "v2"]);
        let ids: Vec<_> = (0..=n)
            .map(|n| begin(&mut site, &format!("a{n}")))
            .collect();
        site.handle(Event::AnswerStarted(ids[n]));
        let gone = RunEnd::CallerGone { usage: None };
        site.handle(Event::RunEnded(ids[n], gone));
        let next = resume(&mut site, "key", Some(&format!("a{n}")));
        let [first, second] = [ids[n], next].map(|id| endpoints(&site, id)[0].clone());
        assert_eq!(version_of(&first), version_of(&second));
        assert_eq!(asked(&site, next), 0);
    }
}

/// Guards against a stream that goes on at another pool of its route than the one where it began.
#[test]
fn a_stream_of_a_split_route_goes_on_at_its_pool() {
    let mut both = vms(&["v1"]);
    both.push(entry("app-0", 9200, &[("pool", "app"), ("version", "v1")]));
    for pool in ["pool", "app"] {
        for _ in 0..10 {
            let mut site = start(&["v1"]);
            list(&mut site, both.clone());
            let row = StreamRow {
                key: StreamKey {
                    account: "loans".parse().expect("a name"),
                    attempt: "a".parse().expect("a name"),
                },
                origin: StreamOrigin {
                    pool: pool.parse().expect("a name"),
                    ..origin("v1")
                },
            };
            site.handle(Event::StreamsBegun(vec![row]));
            let relay = Relay {
                resumption: Some(Resumption {
                    origin: "a".parse().ok(),
                }),
                ..Relay::default()
            };
            let id = site.send_relay("key", "split", relay);
            let endpoint = endpoints(&site, id)[0].clone();
            assert_eq!(endpoint.as_str().starts_with("app"), pool == "app");
        }
    }
}

/// Guards against a router that guesses the version of a stream that began at another one.
#[test]
fn a_router_asks_others_what_began_a_stream() {
    for version in ["v1", "v2"] {
        let mut site = start(&["v1", "v2"]);
        let id = resume(&mut site, "key", Some("elsewhere"));
        assert_eq!(asked(&site, id), 2);
        assert!(endpoints(&site, id).is_empty());
        site.handle(Event::StreamLocated(id, None));
        assert!(endpoints(&site, id).is_empty() && site.refusal(id).is_none());
        site.handle(Event::StreamLocated(id, Some(origin(version))));
        let endpoint = &endpoints(&site, id)[0];
        assert_eq!(version_of(endpoint), version);
    }
}

/// Guards against requests that wait, or run anywhere, where the version can't be found out.
#[test]
fn a_stream_of_which_nothing_is_known_is_refused_at_once() {
    let mut site = start(&["v1", "v2"]);
    let unknown = resume(&mut site, "key", Some("nobody-knows"));
    site.handle(Event::StreamLocated(unknown, None));
    site.handle(Event::StreamLocated(unknown, None));
    let unnamed = resume(&mut site, "key", None);
    for peer in 1..ROUTERS {
        let vm: VmId = format!("router-{peer}").parse().expect("a name");
        let failure = || Event::HeartbeatFailed(vm.clone(), PeerFailure::Unreachable);
        site.handle(failure());
        site.handle(failure());
    }
    let alone = resume(&mut site, "key", Some("elsewhere"));
    assert_eq!(asked(&site, alone), 0);
    for id in [unknown, unnamed, alone] {
        assert!(is_refused(&site, id), "{:?}", site.refusal(id));
        assert!(endpoints(&site, id).is_empty());
        assert!(
            site.refusal(id)
                .is_some_and(|problem| problem.retry.is_some())
        );
    }
}

/// Guards against a client account that learns of a stream of another one, or goes on with it.
#[test]
fn a_stream_of_another_account_is_not_known() {
    let mut site = start(&["v1", "v2"]);
    let payers = vec![
        payer("loans", "key", PREPAID),
        payer("maps", "other", PREPAID),
    ];
    site.handle(Event::Table(table_with_payers(2, payers)));
    let id = begin(&mut site, "a");
    site.handle(Event::AnswerStarted(id));
    let stolen = resume(&mut site, "other", Some("a"));
    assert_eq!(asked(&site, stolen), 2);
    for _ in 0..2 {
        site.handle(Event::StreamLocated(stolen, None));
    }
    assert!(is_refused(&site, stolen));
    let keys = site.effects.iter().filter_map(|effect| match effect {
        Effect::LocateStream(_, key, _) => Some(key.account.as_str()),
        _ => None,
    });
    assert!(keys.eq(["maps", "maps"]));
}

/// Guards against messages about streams while a single version serves.
#[test]
fn nobody_is_told_of_streams_of_a_single_version() {
    let mut site = start(&["v1"]);
    let ids: Vec<_> = (0..5).map(|n| begin(&mut site, &format!("a{n}"))).collect();
    for id in &ids {
        site.handle(Event::AnswerStarted(*id));
    }
    let resumed = resume(&mut site, "key", Some("elsewhere"));
    assert_eq!(endpoints(&site, resumed).len(), 1);
    assert_eq!((told(&site), asked(&site, resumed)), (0, 0));
    // A second version appears: from now on others have to know what began before.
    list(&mut site, vms(&["v1", "v2"]));
    assert!(told(&site) >= ids.len());
    let before = told(&site);
    let next = begin(&mut site, "b");
    site.handle(Event::AnswerStarted(next));
    assert!(told(&site) > before);
}

/// Guards against a version that is forgotten with its last endpoint, while its streams are still taken up.
#[test]
fn a_version_counts_for_a_while_after_its_last_endpoint() {
    let mut site = start(&["v1", "v2"]);
    list(&mut site, vms(&["v2"]));
    let early = resume(&mut site, "key", Some("elsewhere"));
    assert_eq!(asked(&site, early), 2);
    site.handle(Event::StreamLocated(early, Some(origin("v1"))));
    assert!(is_refused(&site, early), "no endpoint of v1 is left");
    for _ in 0..70 {
        site.advance(1000);
        site.receive_heartbeats(ROUTERS - 1);
    }
    let late = resume(&mut site, "key", Some("elsewhere"));
    assert_eq!((asked(&site, late), endpoints(&site, late).len()), (0, 1));
}

/// Guards against a router that is out of touch, and takes the version that it knows for the only one.
#[test]
fn a_router_that_hears_nobody_does_not_take_its_version_for_the_only_one() {
    let mut site = start(&["v1"]);
    site.log = Log::Down;
    site.advance(10_000);
    let id = resume(&mut site, "key", Some("elsewhere"));
    assert!(endpoints(&site, id).is_empty());
    for _ in 0..asked(&site, id) {
        site.handle(Event::StreamLocated(id, None));
    }
    assert!(is_refused(&site, id));
}

/// Guards against a request that waits until its deadline for an endpoint of a version of which none is left.
#[test]
fn a_waiting_request_is_refused_when_its_version_is_gone() {
    let mut site = start(&["v1", "v2"]);
    let mut queued = None;
    for _ in 0..100 {
        let id = resume(&mut site, "key", Some("elsewhere"));
        site.handle(Event::StreamLocated(id, Some(origin("v1"))));
        if endpoints(&site, id).is_empty() && site.refusal(id).is_none() {
            queued = Some(id);
            break;
        }
    }
    let id = queued.expect("the endpoints of v1 are full");
    let mut leaving = vms(&["v1", "v2"]);
    for entry in leaving.iter_mut().take(2) {
        entry.state = VmState::Leaving;
    }
    list(&mut site, leaving);
    assert!(is_refused(&site, id));
}

/// Guards against a stream that only the router where it began knows, and against one of another account in an answer.
#[test]
fn a_router_knows_the_streams_that_it_was_told_of() {
    let mut site = start(&["v1", "v2"]);
    let key = |account: &str| StreamKey {
        account: account.parse().expect("a name"),
        attempt: "a".parse().expect("a name"),
    };
    let row = StreamRow {
        key: key("loans"),
        origin: origin("v2"),
    };
    site.handle(Event::StreamsBegun(vec![row]));
    for (account, known) in [("loans", true), ("maps", false)] {
        let id = ReplyId(7);
        site.handle(Event::StreamQueried(id, key(account)));
        let Some(Effect::Answer(_, 200, answer)) = site.effects.last() else {
            panic!("no answer");
        };
        assert_eq!(!answer.is_null(), known, "{answer}");
    }
    let id = resume(&mut site, "key", Some("a"));
    assert_eq!(version_of(&endpoints(&site, id)[0]), "v2");
}
