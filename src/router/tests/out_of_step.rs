//! Streams that are taken up at a router that has not heard of a version yet.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::Confirmation;
use crate::decide::Confirmations;
use crate::decide::PeerAnswer;
use crate::decide::RoundId;
use crate::ids::RequestId;
use crate::ids::TableVersion;
use crate::ids::VmId;
use crate::router::Effect;
use crate::router::Event;
use crate::router::KnownVersions;
use crate::router::PeerFailure;
use crate::router::ReplyId;
use crate::router::streams::VersionRow;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::payer;
use crate::router::tests::site::table_with_split;
use crate::router::tests::versions::PREPAID;
use crate::router::tests::versions::ROUTERS;
use crate::router::tests::versions::asked;
use crate::router::tests::versions::endpoints;
use crate::router::tests::versions::is_refused;
use crate::router::tests::versions::origin;
use crate::router::tests::versions::resume;
use crate::router::tests::versions::start;
use crate::router::tests::versions::version_of;
use crate::router::tests::versions::vms;
use crate::vms::VmList;

const STREAM: Option<&str> = Some("begun-elsewhere");

/// Starts a router that knows of one version, while the log lists another one as well.
fn start_behind() -> Site {
    let mut site = start(&["v1"]);
    let as_of = site.core.members.vm_index.list().as_of + 1;
    let vms = vms(&["v1", "v2"]);
    site.unread = vec![Event::VmList(VmList { as_of, vms })];
    site
}

/// Returns the questions for versions that other routers were asked.
fn questions(site: &Site) -> Vec<(RoundId, VmId)> {
    let questions = site.effects.iter().filter_map(|effect| match effect {
        Effect::AskVersions(round, peer) => Some((*round, peer.vm.clone())),
        _ => None,
    });
    questions.collect()
}

/// Has each router that was asked answer that it knows these versions.
fn answer(site: &mut Site, versions: &[&str]) {
    for (round, vm) in questions(site) {
        let known = known(1, versions);
        site.handle(Event::VersionsKnown(round, vm, Ok(known)));
    }
}

fn known(table: u64, versions: &[&str]) -> KnownVersions {
    let rows = versions.iter().map(|version| VersionRow {
        pool: "pool".parse().expect("a name"),
        version: version.parse().ok(),
        age: Duration::ZERO,
    });
    KnownVersions {
        table: TableVersion(table),
        rows: rows.collect(),
    }
}

/// Takes a stream up while the log does not answer, and returns the request once others were asked.
fn resume_without_log(site: &mut Site) -> RequestId {
    site.log = Log::Down;
    let id = resume(site, "key", STREAM);
    assert_eq!(questions(site).len(), ROUTERS - 1);
    assert!(endpoints(site, id).is_empty());
    id
}

/// Guards against a stream of a version that joined after a router was cut off from all, while what it heard before still
/// counts as fresh.
#[test]
fn a_router_that_was_just_cut_off_does_not_take_its_version_for_the_only_one() {
    let mut site = start(&["v1"]);
    site.log = Log::Down;
    let id = resume(&mut site, "key", STREAM);
    site.advance(500);
    assert!(
        endpoints(&site, id).is_empty(),
        "another version may have begun it"
    );
}

/// Guards against a stream of a version that is listed, at a router that has not read the list since.
#[test]
fn a_stream_of_a_version_that_was_not_read_yet_goes_on_there() {
    let mut site = start_behind();
    let id = resume(&mut site, "key", STREAM);
    assert_eq!((endpoints(&site, id).len(), asked(&site, id)), (0, 2));
    site.handle(Event::StreamLocated(id, Some(origin("v2"))));
    assert_eq!(version_of(&endpoints(&site, id)[0]), "v2");
}

/// Guards against a stream that is taken up at the pool that its route led to before this router was out of step.
#[test]
fn a_stream_of_a_route_that_leads_to_another_pool_by_now_is_looked_for() {
    let mut site = start(&["v1"]);
    let payers = vec![payer("loans", "key", PREPAID)];
    let table = table_with_split(2, payers, &["pool", "app"]);
    site.unread = vec![Event::Table(table)];
    let id = resume(&mut site, "key", STREAM);
    assert_eq!((endpoints(&site, id).len(), asked(&site, id)), (0, 2));
}

/// Guards against refusals of streams of a single version at routers that the log does not answer.
#[test]
fn streams_of_a_single_version_go_on_when_all_other_routers_tell_so() {
    let mut site = start(&["v1"]);
    let id = resume_without_log(&mut site);
    answer(&mut site, &["v1"]);
    assert_eq!(version_of(&endpoints(&site, id)[0]), "v1");
}

/// Guards against a version that another router knows, while the log does not answer.
#[test]
fn a_version_that_another_router_knows_is_not_passed_over() {
    let mut site = start(&["v1"]);
    let id = resume_without_log(&mut site);
    answer(&mut site, &["v1", "v2"]);
    assert_eq!((endpoints(&site, id).len(), asked(&site, id)), (0, 2));
    site.handle(Event::StreamLocated(id, Some(origin("v1"))));
    assert_eq!(version_of(&endpoints(&site, id)[0]), "v1");
}

/// Guards against a router that counts without answer, or has a newer configuration by which the stream may have begun.
#[test]
fn a_stream_is_refused_if_a_router_can_not_confirm_its_version() {
    for last in [Err(PeerFailure::Mute), Ok(known(9, &["v1"]))] {
        let mut site = start(&["v1"]);
        let id = resume_without_log(&mut site);
        let mut questions = questions(&site);
        let (round, vm) = questions.pop().expect("a question");
        for (round, vm) in questions {
            site.handle(Event::VersionsKnown(round, vm, Ok(known(1, &["v1"]))));
        }
        site.handle(Event::VersionsKnown(round, vm, last));
        for _ in 0..asked(&site, id) {
            site.handle(Event::StreamLocated(id, None));
        }
        assert!(endpoints(&site, id).is_empty() && is_refused(&site, id));
    }
}

/// Guards against an answer to a question that was sent before the stream was taken up.
#[test]
fn an_answer_to_an_earlier_question_does_not_count() {
    let mut site = start(&["v1"]);
    resume_without_log(&mut site);
    let early = questions(&site);
    site.advance(500);
    site.effects.clear();
    let id = resume_without_log(&mut site);
    for (round, vm) in early {
        site.handle(Event::VersionsKnown(round, vm, Ok(known(1, &["v1"]))));
    }
    assert!(endpoints(&site, id).is_empty());
    answer(&mut site, &["v1"]);
    assert_eq!(endpoints(&site, id).len(), 1);
}

/// Guards against a caller that is kept waiting until its deadline by routers that do not answer.
#[test]
fn a_stream_is_refused_soon_if_nobody_answers() {
    let mut site = start(&["v1"]);
    let id = resume_without_log(&mut site);
    site.advance(500);
    for _ in 0..asked(&site, id) {
        site.handle(Event::StreamLocated(id, None));
    }
    assert!(is_refused(&site, id));
}

/// Guards against calls to the log for each of the streams that an endpoint leaves.
#[test]
fn many_streams_that_are_taken_up_at_once_share_few_questions() {
    const STREAMS: usize = 300;
    let mut site = start(&["v1"]);
    let ids: Vec<_> = (0..STREAMS)
        .map(|n| resume(&mut site, "key", Some(&format!("begun-{n}"))))
        .collect();
    site.advance(200);
    let refreshes = |effect: &&Effect| matches!(effect, Effect::RefreshLists(_));
    let count = site.effects.iter().filter(refreshes).count();
    assert!(count <= 10, "{count} questions");
    let waits = |id: &&RequestId| site.is_confirming(**id);
    assert_eq!(ids.iter().filter(waits).count(), 0);
}

/// Guards against a version that came and went while the list could not be followed.
#[test]
fn a_version_that_was_missed_is_read_from_the_log() {
    let mut site = start(&["v1"]);
    site.advance(500);
    let record = site.versions.values_mut().next().expect("a record");
    record.versions.extend(["v2".parse().ok()]);
    site.handle(Event::ListGap);
    site.advance(100);
    let id = resume(&mut site, "key", STREAM);
    assert_eq!((endpoints(&site, id).len(), asked(&site, id)), (0, 2));
}

/// Guards against a version whose endpoint came and went between two reads of the list.
#[test]
fn a_version_that_was_listed_for_a_moment_counts() {
    let mut site = start(&["v1"]);
    site.handle(Event::VersionsListed(known(1, &["v2"]).rows));
    let id = resume(&mut site, "key", STREAM);
    assert_eq!((endpoints(&site, id).len(), asked(&site, id)), (0, 2));
}

/// Guards against questions that use up the rate of calls that the log takes from all routers.
#[test]
fn questions_take_a_small_part_of_the_rate_of_the_log() {
    const SECONDS: u32 = 10;
    const READS: u32 = 2;
    for (routers, reads_per_s) in [(7, 2000), (195, 16_000), (985, 16_000)] {
        let mut now = Instant::now();
        let mut confirmations = Confirmations::new(now);
        let mut rounds = 0;
        for _ in 0..SECONDS * 100 {
            confirmations.push(RequestId(1));
            if let Some(round) = confirmations.begin(now, routers) {
                rounds += 1;
                confirmations.log_answered(round, true);
            }
            now += Duration::from_millis(10);
            confirmations.take_outcome(now);
        }
        let fleet = u32::try_from(routers).expect("a fleet") * rounds * READS / SECONDS;
        println!("measure=confirming-reads routers={routers} per_s={fleet}");
        assert!(fleet * 5 <= reads_per_s, "{fleet} of {reads_per_s} reads");
    }
}

/// Guards against refusals at a router that has just started, and hears the others only after the stream was taken up.
#[test]
fn a_router_that_hears_others_while_it_asks_goes_on_with_the_stream() {
    let mut site = Site::start_member(0, PREPAID, vms(&["v1"]));
    site.advance(500);
    let id = resume(&mut site, "key", STREAM);
    assert_eq!((endpoints(&site, id).len(), asked(&site, id)), (0, 2));
    site.receive_heartbeats(ROUTERS - 1);
    for _ in 1..ROUTERS {
        site.handle(Event::StreamLocated(id, None));
    }
    site.advance(200);
    assert_eq!(endpoints(&site, id).len(), 1, "{:?}", site.refusal(id));
}

/// Guards against routers that are taken for dead by what was heard before, so that nobody is asked.
#[test]
fn routers_that_were_dead_are_asked_again_and_confirm_nothing() {
    let mut site = start(&["v1"]);
    for number in 1..ROUTERS {
        for _ in 0..2 {
            let vm = format!("router-{number}").parse().expect("a name");
            site.handle(Event::HeartbeatFailed(vm, PeerFailure::Refused));
        }
    }
    let id = resume_without_log(&mut site);
    for (round, vm) in questions(&site) {
        let dead = Err(PeerFailure::Refused);
        site.handle(Event::VersionsKnown(round, vm, dead));
    }
    site.advance(500);
    assert!(endpoints(&site, id).is_empty());
}

/// Guards against a router that has just started, has read nothing, and tells that it knows of no other version.
#[test]
fn a_router_that_has_read_nothing_confirms_nothing() {
    let mut site = start(&["v1"]);
    site.log = Log::Down;
    site.restart_member(vms(&["v1"]));
    site.handle(Event::VersionsQueried(ReplyId(7)));
    let Some(Effect::Answer(_, 200, answer)) = site.effects.last() else {
        panic!("no answer");
    };
    assert!(answer.is_null(), "{answer}");
}

/// Guards against versions that were read before the list had a gap.
#[test]
fn versions_that_were_read_before_a_gap_do_not_count() {
    let mut site = start(&["v1"]);
    site.advance(500);
    let read = || Some(Vec::new());
    site.core.version_log.reload(site.now);
    // The call that is in progress was made before the gap.
    site.core.step_versions(site.now);
    site.core.version_log.reload(site.now);
    site.core.end_version_read(site.now, read());
    assert!(!site.core.version_log.is_loaded());
    site.core.step_versions(site.now);
    site.core.end_version_read(site.now, read());
    assert!(site.core.version_log.is_loaded());
}

fn names(count: usize) -> IndexSet<VmId> {
    let names = (0..count).map(|n| format!("router-{n}").parse().expect("a name"));
    names.collect()
}

/// Guards against an answer to a question that was sent before a request arrived.
#[test]
fn a_request_is_served_by_no_round_that_began_before_it() {
    let now = Instant::now();
    let mut confirmations = Confirmations::new(now);
    confirmations.push(RequestId(1));
    let first = confirmations.begin(now, 3).expect("a round");
    confirmations.push(RequestId(2));
    assert_eq!(confirmations.begin(now, 3), None);
    confirmations.log_answered(first, true);
    let served = |ids| Some((Confirmation::Log, ids));
    assert_eq!(confirmations.take_outcome(now), served(vec![RequestId(1)]));
    let second = confirmations.begin(now, 3).expect("a round");
    confirmations.log_answered(first, true);
    assert_eq!(confirmations.take_outcome(now), None);
    confirmations.log_answered(second, true);
    assert_eq!(confirmations.take_outcome(now), served(vec![RequestId(2)]));
}

/// Guards against refusals while the log is silent and all other routers answer, and against routers that are asked in each
/// round once the log answers again.
#[test]
fn requests_go_on_in_fleets_whose_log_is_silent() {
    for routers in [7, 64] {
        let mut now = Instant::now();
        let mut confirmations = Confirmations::new(now);
        for n in 0..200 {
            confirmations.push(RequestId(n));
            for _ in 0..100 {
                now += Duration::from_millis(1);
                confirmations.begin(now, routers);
                if let Some(round) = confirmations.peer_round(now)
                    && confirmations.ask(now, Some(names(routers - 1)))
                {
                    for vm in names(routers - 1) {
                        confirmations.peer_answered(round, &vm, PeerAnswer::Told);
                    }
                }
                if let Some((outcome, _)) = confirmations.take_outcome(now) {
                    assert_eq!(outcome, Confirmation::Peers, "{routers} routers");
                }
            }
        }
        now += Duration::from_secs(1);
        confirmations.take_outcome(now);
        confirmations.push(RequestId(0));
        let round = confirmations.begin(now, routers).expect("a round");
        confirmations.log_answered(round, true);
        confirmations.take_outcome(now);
        now += Duration::from_secs(1);
        confirmations.push(RequestId(0));
        confirmations.begin(now, routers).expect("a round");
        assert_eq!(confirmations.peer_round(now), None);
    }
}
