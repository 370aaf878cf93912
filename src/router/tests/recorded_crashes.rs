//! Crashes of endpoints in the log, which outlive a kill of all routers.

use std::time::Duration;

use crate::decide::CrashReport;
use crate::decide::CrashRow;
use crate::decide::EndpointLife;
use crate::decide::QuarantineRow;
use crate::decide::SoundRow;
use crate::decide::Suspect;
use crate::decide::SuspectRow;
use crate::ids::Fingerprint;
use crate::part_id::PartId;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Examination;
use crate::router::Heartbeat;
use crate::router::PeerFailure;
use crate::router::Relay;
use crate::router::StreamLogCall;
use crate::router::crash_log::CrashRecord;
use crate::router::tests::crashes::HARMFUL;
use crate::router::tests::crashes::LIMIT;
use crate::router::tests::crashes::PREPAID;
use crate::router::tests::crashes::close;
use crate::router::tests::crashes::refusal;
use crate::router::tests::crashes::send;
use crate::router::tests::crashes::start;
use crate::router::tests::crashes::vms;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::entry;
use crate::router::tests::site::whole;
use crate::vms::VmList;

/// How many crashes a part of prompts is found out by.
const PART_LIMIT: usize = 5;

/// Returns what a request is suspected as.
fn suspect(request: Fingerprint) -> Suspect {
    let account = "loans".parse().expect("a name");
    Suspect::Request(request.of_account(&account))
}

/// Has a request crash an endpoint.
fn crash(site: &mut Site) {
    let id = send(site, "once");
    assert_eq!(site.runs(id).len(), 1);
    close(site, id, Examination::Refused);
}

/// Has a request crash as many endpoints as it is found out by.
fn find_out(site: &mut Site) {
    for _ in 0..LIMIT {
        crash(site);
        site.advance(1200);
    }
}

fn is_refused(site: &mut Site) -> bool {
    let id = send(site, "once");
    site.runs(id).is_empty() && refusal(site, id).is_some()
}

fn writes(site: &Site) -> usize {
    let writes = |effect: &&Effect| {
        matches!(
            effect,
            Effect::CallStreamLog(StreamLogCall::WriteCrashes(..))
        )
    };
    site.effects.iter().filter(writes).count()
}

/// Guards against a request that was found out and crashes more endpoints after all routers were killed.
#[test]
fn a_request_that_was_found_out_is_refused_after_kills_of_all_routers() {
    let mut site = start();
    find_out(&mut site);
    for _ in 0..3 {
        site.restart_member(vms());
        assert!(is_refused(&mut site));
        let other = site.send_as("key", "once", 10, 10);
        assert_eq!(site.runs(other).len(), 1);
    }
}

/// Guards against a request that is never found out, since all routers are killed between its crashes.
#[test]
fn crashes_before_a_kill_of_all_routers_count() {
    let mut site = start();
    for _ in 0..LIMIT {
        crash(&mut site);
        site.advance(200);
        site.restart_member(vms());
        site.advance(700);
    }
    assert!(is_refused(&mut site));
}

/// Guards against a part of prompts that is found out and crashes more endpoints after all routers were killed.
#[test]
fn a_part_that_was_found_out_is_refused_after_a_kill_of_all_routers() {
    let mut site = start();
    let prompt = || Relay {
        parts: vec![PartId(5)],
        ..Relay::default()
    };
    for n in 0..PART_LIMIT as u64 {
        let id = site.send_again("key", "once", Fingerprint(1000 + n), prompt());
        close(&mut site, id, Examination::Refused);
        site.advance(1200);
        if n == 2 {
            site.restart_member(vms());
        }
    }
    site.restart_member(vms());
    let id = site.send_again("key", "once", Fingerprint(2000), prompt());
    assert!(site.runs(id).is_empty());
}

/// Guards against the refusal of a request that turned out to be sound, because the log still says that it is not.
#[test]
fn a_request_that_turned_out_to_be_sound_runs_after_a_kill_of_all_routers() {
    let mut site = start();
    find_out(&mut site);
    let sound = SoundRow {
        suspect: suspect(HARMFUL),
        age: Duration::ZERO,
    };
    site.advance(600);
    let beat = Heartbeat {
        crashes: Box::new(CrashReport {
            sound: vec![sound],
            ..CrashReport::default()
        }),
        ..site.peer_heartbeat(0)
    };
    site.handle(Event::HeartbeatReceived(beat));
    site.advance(1000);
    let id = send(&mut site, "once");
    assert_eq!(site.runs(id).len(), 1, "{:?}", site.refusal(id));
    site.restart_member(vms());
    let id = send(&mut site, "once");
    assert_eq!(site.runs(id).len(), 1, "{:?}", site.refusal(id));
}

/// Guards against a router that does not serve because it can't read the record, and against one that forgets to read it
/// later.
#[test]
fn a_router_that_cannot_read_the_record_serves_and_reads_it_later() {
    let mut site = start();
    find_out(&mut site);
    site.crash_log = Log::Down;
    site.restart_member(vms());
    let sound = site.send_as("key", "once", 10, 10);
    assert_eq!(site.runs(sound).len(), 1);
    site.crash_log = Log::Up;
    site.advance(500);
    assert!(is_refused(&mut site));
}

/// Guards against crashes that are lost because the log could not be written when they were seen.
#[test]
fn crashes_of_an_outage_are_recorded_when_it_is_over() {
    let mut site = start();
    site.crash_log = Log::Down;
    find_out(&mut site);
    site.crash_log = Log::Up;
    site.advance(1000);
    site.restart_member(vms());
    assert!(is_refused(&mut site));
}

/// Guards against crashes that count twice, or not at all, since the clocks of two VMs differ.
#[test]
fn one_crash_counts_once_whatever_the_clocks_show() {
    for ahead in [0, 2500, 5000] {
        let mut site = start();
        crash(&mut site);
        site.advance(1000);
        let record = site.crashes.clone().expect("a record");
        let mut reports = Vec::new();
        for written in [
            record.written - Duration::from_millis(ahead),
            record.written + Duration::from_millis(ahead),
        ] {
            site.crashes = Some(CrashRecord {
                written,
                ..record.clone()
            });
            site.restart_member(vms());
            assert_eq!(site.core.crash_history.unexplained(), 1);
            reports.push(site.core.crash_history.report(site.now));
        }
        for report in reports {
            let beat = Heartbeat {
                crashes: Box::new(report),
                ..site.peer_heartbeat(0)
            };
            site.handle(Event::HeartbeatReceived(beat));
        }
        assert_eq!(site.core.crash_history.unexplained(), 1, "{ahead} ms");
        crash(&mut site);
        assert!(!is_refused(&mut site));
    }
}

/// Guards against odd records that end a router, or that have it refuse sound requests.
#[test]
fn odd_records_do_no_harm() {
    let suspect = suspect(HARMFUL);
    let mut site = start();
    for age in [Duration::ZERO, Duration::from_secs(60), Duration::MAX] {
        for written in [Duration::ZERO, Duration::MAX] {
            for count in [0, 1, u32::MAX] {
                let crash = |n: u64| CrashRow {
                    life: EndpointLife {
                        vm: format!("endpoint-{}", n % 40).parse().expect("a name"),
                        birth: None,
                    },
                    age,
                    suspects: vec![SuspectRow { suspect, sent: age }; 3],
                };
                let quarantined = QuarantineRow {
                    suspect,
                    first: age,
                    age,
                    count,
                };
                site.crashes = Some(CrashRecord {
                    written,
                    report: CrashReport {
                        crashes: (0..1000).map(crash).collect(),
                        sound: Vec::new(),
                        quarantined: vec![quarantined],
                    },
                });
                site.restart_member(vms());
                let sound = site.send_as("key", "once", 10, 10);
                assert_eq!(site.runs(sound).len(), 1);
                site.handle(Event::RunEnded(sound, whole(10)));
                site.advance(2000);
            }
        }
    }
}

/// Starts one of two routers that both learn of crashes; tells whether it is the first to record them.
fn start_number(number: usize) -> (Site, bool) {
    let mut site = Site::start_member(number, PREPAID, vms());
    site.advance(3000);
    let is_first = site.core.log_writer_rank(site.now, "crashes") == 0;
    (site, is_first)
}

/// Guards against a write by each router for each crash.
#[test]
fn crashes_that_another_router_recorded_are_not_written_again() {
    let mut first = 0;
    for number in 0..2 {
        let (mut site, is_first) = start_number(number);
        crash(&mut site);
        let written = site.crashes.is_some();
        assert_eq!(written, is_first);
        first += usize::from(is_first);
        if !is_first {
            site.crashes = Some(CrashRecord {
                written: site.core.tuning.clock.at(site.now).wall,
                report: site.core.crash_history.record(site.now),
            });
            site.crash_writes += 1;
        }
        let before = writes(&site);
        site.advance(10_000);
        assert_eq!(writes(&site), before);
    }
    assert_eq!(first, 1);
}

/// Guards against crashes that are not recorded since the router that usually does it can't.
#[test]
fn crashes_are_recorded_by_any_router_if_the_first_one_does_not() {
    for number in 0..2 {
        let (mut site, _) = start_number(number);
        find_out(&mut site);
        site.advance(1000);
        site.restart_member(vms());
        assert!(is_refused(&mut site), "router {number}");
    }
}

/// Guards against a record that a router writes over, since it did not know what others had written.
#[test]
fn a_router_does_not_write_over_what_it_has_not_read() {
    let mut site = start();
    let other = "router-1".parse().expect("a name");
    site.handle(Event::HeartbeatFailed(other, PeerFailure::Unreachable));
    let mut parted = start();
    find_out(&mut parted);
    parted.advance(1000);
    site.crashes = parted.crashes.clone();
    site.crash_writes += 7;
    let id = site.send_again("key", "once", Fingerprint(88), Relay::default());
    close(&mut site, id, Examination::Refused);
    site.advance(1000);
    site.restart_member(vms());
    assert!(is_refused(&mut site));
    let record = site.crashes.clone().expect("a record");
    let mut suspects = record.report.crashes.iter().flat_map(|row| &row.suspects);
    assert!(suspects.any(|row| row.suspect == suspect(Fingerprint(88))));
}

/// Guards against calls to the log where nothing crashes.
#[test]
fn a_calm_start_reads_once_and_writes_nothing() {
    let mut site = start();
    site.advance(5000);
    let reads =
        |effect: &&Effect| matches!(effect, Effect::CallStreamLog(StreamLogCall::ReadCrashes));
    assert_eq!(site.effects.iter().filter(reads).count(), 1);
    assert_eq!(writes(&site), 0);
}

/// Guards against a router of a large fleet that computes anew for each event who records a crash that others record.
#[test]
fn most_routers_of_a_large_fleet_leave_the_record_to_others() {
    let mut site = start();
    let role = [("role", "router"), ("peer", "127.0.0.1:8100")];
    let others = (0..40).map(|n| entry(&format!("router-{n}"), 8001, &role));
    let vms = vms()
        .into_iter()
        .filter(|vm| !vm.vm.as_str().starts_with("router"));
    let vms = vms.chain(others).collect();
    site.handle(Event::VmList(VmList { as_of: 2, vms }));
    assert!(site.core.log_writer_rank(site.now, "crashes") >= 8);
    site.effects.clear();
    find_out(&mut site);
    site.advance(2000);
    let calls = |effect: &&Effect| {
        matches!(
            effect,
            Effect::CallStreamLog(StreamLogCall::ReadCrashes | StreamLogCall::WriteCrashes(..))
        )
    };
    assert_eq!(site.effects.iter().filter(calls).count(), 0);
}
