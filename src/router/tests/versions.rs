//! Streams of a pool whose endpoints run several versions of their software.

use std::time::Duration;
use std::time::Instant;

use crate::decide::StreamDigest;
use crate::decide::StreamKey;
use crate::decide::StreamOrigin;
use crate::decide::StreamOutbox;
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
use crate::router::StreamLogCall;
use crate::router::StreamRow;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::broken_run;
use crate::router::tests::site::entry;
use crate::router::tests::site::payer;
use crate::router::tests::site::table_with_payers;
use crate::router::tests::site::whole;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

pub(super) const PREPAID: u64 = 1_000_000;
pub(super) const ROUTERS: usize = 3;

/// Returns two endpoints of each version, and the routers.
pub(super) fn vms(versions: &[&str]) -> Vec<VmEntry> {
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
pub(super) fn start(versions: &[&str]) -> Site {
    let mut site = Site::start_member(0, PREPAID, vms(versions));
    site.advance(3000);
    site.receive_heartbeats(ROUTERS - 1);
    site
}

pub(super) fn list(site: &mut Site, vms: Vec<VmEntry>) {
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
pub(super) fn resume(site: &mut Site, key: &str, origin: Option<&str>) -> RequestId {
    let origin = origin.map(|origin| origin.parse().expect("a name"));
    let relay = Relay {
        attempt: "next".parse().ok(),
        resumption: Some(Resumption {
            origin,
            ..Resumption::default()
        }),
        ..Relay::default()
    };
    site.send_relay(key, "stream", relay)
}

/// Returns the endpoints that a request was sent to.
pub(super) fn endpoints(site: &Site, id: RequestId) -> Vec<VmId> {
    let runs = site.runs(id);
    runs.iter().map(|run| run.endpoint.clone()).collect()
}

pub(super) fn version_of(vm: &VmId) -> &str {
    vm.as_str().split('-').next().expect("a version")
}

/// Returns how many routers were asked about a request's stream.
pub(super) fn asked(site: &Site, id: RequestId) -> usize {
    let asks = |effect: &&Effect| matches!(effect, Effect::LocateStream(of, ..) if *of == id);
    site.effects.iter().filter(asks).count()
}

/// Returns how many streams other routers were told of.
pub(super) fn told(site: &Site) -> usize {
    let rows = site.effects.iter().map(|effect| match effect {
        Effect::KeepStreams(rows, _) => rows.len(),
        _ => 0,
    });
    rows.sum()
}

pub(super) fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        pool: "pool".parse().expect("a name"),
        version: version.parse().ok(),
    }
}

pub(super) fn is_refused(site: &Site, id: RequestId) -> bool {
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

/// Guards against a further run whose endpoint changed its version before its first event.
#[test]
fn an_answer_whose_next_endpoint_changed_its_version_is_cut() {
    for taken_up in [false, true] {
        let mut site = start(&["v1"]);
        let first = begin(&mut site, "a");
        site.handle(Event::AnswerStarted(first));
        let id = match taken_up {
            false => {
                site.handle(Event::RunEnded(first, broken_run(true)));
                first
            }
            true => {
                site.handle(Event::RunEnded(first, RunEnd::CallerGone { usage: None }));
                resume(&mut site, "key", Some("a"))
            }
        };
        let runs = endpoints(&site, id);
        let mut changed = vms(&["v1"]);
        for entry in &mut changed {
            if Some(&entry.vm) == runs.last() {
                entry.labels.set("version", "v2");
            }
        }
        list(&mut site, changed);
        site.handle(Event::AnswerStarted(id));
        let problem = site.refusal(id).expect("the answer is cut");
        assert_eq!(problem.kind, ProblemKind::EndpointFailed);
        site.handle(Event::RunEnded(id, broken_run(true)));
        assert_eq!(endpoints(&site, id), runs, "no further run");
        assert!(!site.core.requests.contains_key(&id));
        if taken_up {
            let next = resume(&mut site, "key", Some("next"));
            assert_eq!(asked(&site, next), 2, "it is not remembered");
        }
    }
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
                    ..Resumption::default()
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

/// Takes up a stream at a router that has lost its memory and whose peers know nothing of it.
fn resume_unknown(site: &mut Site, attempt: &str) -> RequestId {
    let id = resume(site, "key", Some(attempt));
    for _ in 0..asked(site, id) {
        site.handle(Event::StreamLocated(id, None));
    }
    site.advance(500);
    id
}

/// Begins streams, and returns for each the attempt and the version that began it.
pub(super) fn begin_streams(site: &mut Site, count: usize) -> Vec<(String, String)> {
    let mut streams = Vec::new();
    for n in 0..count {
        let attempt = format!("begun-{n}");
        let id = begin(site, &attempt);
        site.handle(Event::AnswerStarted(id));
        let version = version_of(&endpoints(site, id)[0]).to_owned();
        site.handle(Event::RunEnded(id, RunEnd::CallerGone { usage: None }));
        streams.push((attempt, version));
    }
    streams
}

/// Returns how many streams went on, each of which must do so at the version that began it.
pub(super) fn take_up(site: &mut Site, streams: &[(String, String)]) -> usize {
    let mut taken = 0;
    for (attempt, version) in streams {
        let id = resume_unknown(site, attempt);
        match endpoints(site, id).first() {
            Some(endpoint) => {
                assert_eq!(version_of(endpoint), version);
                site.handle(Event::AnswerStarted(id));
                site.handle(Event::RunEnded(id, whole(7)));
                taken += 1;
            }
            None => {
                let refusal = site.refusal(id).map(|problem| problem.ran);
                assert_eq!(refusal, Some(Ran::No), "{attempt} waits");
            }
        }
    }
    taken
}

/// Returns the list without other routers, as long as these have not started again.
fn alone(versions: &[&str]) -> Vec<VmEntry> {
    let is_other =
        |entry: &VmEntry| entry.labels.get("role").is_some() && entry.vm.as_str() != "router-0";
    let mut all = vms(versions);
    all.retain(|entry| !is_other(entry));
    all
}

fn reads(site: &Site) -> usize {
    let is_read =
        |effect: &&Effect| matches!(effect, Effect::CallStreamLog(StreamLogCall::Read(_)));
    site.effects.iter().filter(is_read).count()
}

/// Guards against streams of two versions that are all refused after a kill of all routers, while both versions serve.
#[test]
fn streams_of_two_versions_go_on_after_all_routers_were_killed() {
    let mut site = start(&["v1", "v2"]);
    let streams = begin_streams(&mut site, 20);
    site.advance(500);
    for kills in 0..2 {
        site.restart_member(alone(&["v1", "v2"]));
        let taken = take_up(&mut site, &streams);
        assert_eq!(taken, streams.len(), "after {kills} more kills");
    }
}

/// Guards against a router that takes the only version that is left for the one that began every stream.
#[test]
fn streams_of_a_version_that_is_gone_go_on_nowhere_after_all_routers_were_killed() {
    let mut site = start(&["v1", "v2"]);
    let streams = begin_streams(&mut site, 20);
    site.advance(500);
    list(&mut site, vms(&["v2"]));
    site.advance(8000);
    site.restart_member(alone(&["v2"]));
    let of_second = streams.iter().filter(|(_, version)| version == "v2");
    let of_second = of_second.count();
    assert!(of_second > 0 && of_second < streams.len());
    assert_eq!(take_up(&mut site, &streams), of_second);
}

/// Guards against a first release while all routers are down, of which none of them saw the version before.
#[test]
fn a_version_that_was_replaced_while_all_routers_were_down_is_remembered() {
    let mut site = start(&["v1"]);
    let streams = begin_streams(&mut site, 5);
    site.advance(120_000);
    site.restart_member(alone(&["v2"]));
    assert_eq!(take_up(&mut site, &streams), 0);
    // New streams begin, and are recorded.
    let streams = begin_streams(&mut site, 5);
    site.advance(500);
    site.restart_member(alone(&["v2"]));
    assert_eq!(take_up(&mut site, &streams), 5);
}

/// Guards against refusals in a pool of one version after all routers were killed, and against calls to the log for it.
#[test]
fn streams_of_a_single_version_go_on_without_the_log_after_all_routers_were_killed() {
    let mut site = start(&["v1"]);
    let streams = begin_streams(&mut site, 5);
    site.advance(500);
    assert!(site.streams.is_empty());
    site.restart_member(alone(&["v1"]));
    assert_eq!(take_up(&mut site, &streams), 5);
    assert_eq!(reads(&site), 0);
}

/// Guards against a version that is guessed where all routers were killed before a stream was recorded, or its record is
/// gone or out of reach.
#[test]
fn streams_without_a_record_are_refused_after_all_routers_were_killed() {
    let mut site = start(&["v1", "v2"]);
    site.advance(500);
    site.log = Log::Down;
    let streams = begin_streams(&mut site, 5);
    site.log = Log::Up;
    site.restart_member(alone(&["v1", "v2"]));
    assert_eq!(take_up(&mut site, &streams), 0);
    let streams = begin_streams(&mut site, 5);
    site.advance(500);
    site.log = Log::Down;
    site.restart_member(alone(&["v1"]));
    assert_eq!(take_up(&mut site, &streams), 0);
    site.log = Log::Up;
    site.advance(3000);
    site.streams.clear();
    assert_eq!(take_up(&mut site, &streams), 0);
}

/// Guards against a version that counts for ever once it was recorded.
#[test]
fn a_version_is_dropped_from_the_log_a_while_after_its_last_endpoint() {
    let mut site = start(&["v1", "v2"]);
    site.advance(500);
    list(&mut site, vms(&["v2"]));
    site.advance(70_000);
    let recorded = site.versions.values().next().expect("a record");
    assert_eq!(recorded.versions, [origin("v2").version]);
}

/// Guards against client accounts and attempts in records that others can read.
#[test]
fn records_of_streams_name_no_account() {
    let mut site = start(&["v1", "v2"]);
    begin_streams(&mut site, 1);
    site.advance(500);
    let record = postcard::to_stdvec(&site.streams).expect("a record");
    for name in ["loans", "begun-0"] {
        let found = record
            .windows(name.len())
            .any(|part| part == name.as_bytes());
        assert!(!found, "{name}");
    }
    let stolen = resume(&mut site, "other", Some("begun-0"));
    assert!(endpoints(&site, stolen).is_empty());
}

/// Guards against records of streams that use up the rate of calls that the log takes from all routers.
#[test]
fn records_of_streams_take_a_small_part_of_the_rate_of_the_log() {
    let seconds = 10;
    for (routers, calls_per_s) in [(7, 600), (195, 3200), (985, 4000)] {
        let mut now = Instant::now();
        let mut outbox = StreamOutbox::new(now);
        let (mut writes, mut written) = (0, 0);
        let ticks = seconds * 100;
        for tick in 0..ticks {
            let key = StreamKey {
                account: "loans".parse().expect("a name"),
                attempt: tick.to_string().parse().expect("a name"),
            };
            outbox.push(now, StreamDigest::of(&key), origin("v1"));
            let streams = outbox.begin_write(now, routers);
            writes += usize::from(!streams.is_empty());
            // Every third write fails, and is made again.
            let lands = writes % 3 != 0;
            written += if lands { streams.len() } else { 0 };
            outbox.end_write(lands);
            now += Duration::from_millis(10);
        }
        let fleet = writes * routers / seconds;
        println!(
            "measure=stream-writes routers={routers} per_s={fleet} written={written} of={ticks}"
        );
        assert!(
            fleet * 5 <= calls_per_s,
            "{fleet} of {calls_per_s} calls a second"
        );
        assert!(written * 2 > ticks, "{written} of {ticks} are recorded");
    }
}
