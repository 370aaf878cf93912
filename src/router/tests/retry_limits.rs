//! Retries of a fleet of routers, counted for each pool and window over all of them.

use std::time::Duration;

use crate::ids::VmId;
use crate::router::Effect;
use crate::router::Event;
use crate::router::RunEnd;
use crate::router::tests::fleet::Fleet;
use crate::router::tests::fleet::app;
use crate::router::tests::fleet::endpoint;
use crate::router::tests::fleet::pool_name;
use crate::router::tests::fleet::vms;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::whole;

/// Starts a fleet that received `rate` requests a second for longer than a window; one in eight is for the second pool.
fn busy_fleet(routers: usize, rate: f64) -> Fleet {
    let mut fleet = Fleet::start(routers, 5);
    fleet.routes = [["again"; 7].as_slice(), &["app"]].concat();
    fleet.run(12.0, rate);
    fleet
}

/// Starts a router with twelve endpoints that may retry a request.
fn start_site() -> Site {
    let mut site = Site::start_with_vms(1000, vms(2, 12));
    site.wait_for_retries();
    site
}

fn refuse_all(fleet: &mut Fleet) {
    fleet.refusing = (0..5).map(endpoint).chain((0..3).map(app)).collect();
}

/// Guards against a service whose retries are paid for by the requests to another service.
#[test]
fn a_service_in_trouble_does_not_spend_the_retries_of_others() {
    for routers in [1, 7, 76] {
        let mut fleet = busy_fleet(routers, 400.0);
        fleet.refusing = (0..3).map(app).collect();
        fleet.run(15.0, 400.0);
        assert_eq!(fleet.excess_retries(), None, "{routers} routers");
    }
}

/// Guards against retries kept from a time with more requests than the window has in which they are sent.
#[test]
fn retries_stay_within_the_limit_when_requests_become_fewer() {
    for routers in [1, 7, 76] {
        let mut fleet = busy_fleet(routers, 400.0);
        fleet.run(2.0, 1600.0);
        refuse_all(&mut fleet);
        fleet.run(12.0, 100.0);
        assert_eq!(fleet.excess_retries(), None, "{routers} routers");
    }
}

/// Guards against routers that each have retries of their own whenever they start.
#[test]
fn retries_stay_within_the_limit_when_routers_restart() {
    for routers in [1, 7, 76] {
        let mut fleet = busy_fleet(routers, 40.0);
        refuse_all(&mut fleet);
        for _ in 0..6 {
            (0..routers).for_each(|site| fleet.restart(site));
            fleet.run(1.5, 60.0);
        }
        assert_eq!(fleet.excess_retries(), None, "{routers} routers");
    }
}

/// Guards against requests that endpoints read after a pause, long after they were given up and retried elsewhere, beside as
/// many retries as are allowed.
#[test]
fn retries_stay_within_the_limit_when_paused_endpoints_go_on() {
    for (endpoints, paused) in [(24, 12), (40, 10)] {
        for seconds in [2.0, 4.0] {
            let mut fleet = Fleet::start(7, endpoints);
            fleet.run(12.0, 400.0);
            fleet.refusing = (0..endpoints).map(endpoint).collect();
            fleet.run(10.0, 400.0);
            for _ in 0..3 {
                fleet.paused = (0..paused).map(endpoint).collect();
                fleet.run(seconds, 400.0);
                fleet.paused.clear();
                fleet.run(2.0, 400.0);
            }
            let excess = fleet.excess_retries();
            assert_eq!(excess, None, "{paused} endpoints for {seconds} s");
        }
    }
}

/// Guards against retries that nobody counts because the routers that sent them were killed: paused endpoints read them
/// beside the retries of the next lives.
#[test]
fn retries_stay_within_the_limit_when_routers_are_killed_while_endpoints_pause() {
    for (routers, endpoints, paused) in [(1, 24, 12), (4, 24, 12), (7, 40, 20)] {
        for lives in [1, 2] {
            let mut fleet = Fleet::start(routers, endpoints);
            fleet.run(12.0, 400.0);
            fleet.refusing = (0..endpoints).map(endpoint).collect();
            fleet.run(12.0, 400.0);
            fleet.paused = (0..paused).map(endpoint).collect();
            fleet.run(3.0, 400.0);
            for _ in 0..lives {
                for router in 0..routers {
                    fleet.restart(router);
                    fleet.run(8.0 / routers as f64, 400.0);
                }
            }
            fleet.paused.clear();
            fleet.run(12.0, 400.0);
            let excess = fleet.excess_retries();
            assert_eq!(excess, None, "{routers} routers, {lives} lives");
        }
    }
}

/// Guards against retries of routers that are killed and do not return, which nobody counts although their callers' requests
/// pay for retries of other routers.
#[test]
fn retries_stay_within_the_limit_when_killed_routers_leave_retries_to_others() {
    let mut fleet = Fleet::start(4, 24);
    fleet.run(12.0, 400.0);
    fleet.refusing = (0..24).map(endpoint).collect();
    fleet.run(12.0, 400.0);
    fleet.paused = (0..12).map(endpoint).collect();
    fleet.run(3.0, 400.0);
    for router in 0..2 {
        fleet.restart(router);
        fleet.dead.insert(router);
    }
    fleet.run(8.0, 800.0);
    fleet.paused.clear();
    fleet.run(12.0, 800.0);
    assert_eq!(fleet.excess_retries(), None);
}

/// Guards against a fleet that has fewer retries because it starts for the first time, or because routers were killed while
/// their endpoints answer.
#[test]
fn a_former_life_costs_no_retries_while_endpoints_answer() {
    let retries = |restarts: bool, former: bool| {
        let mut fleet = Fleet::start(7, 12);
        fleet.run(12.0, 400.0);
        fleet.refusing = (0..12).map(endpoint).collect();
        if restarts {
            (0..7).for_each(|router| fleet.kill(router, former));
        }
        fleet.retried_at.clear();
        fleet.run(20.0, 400.0);
        fleet.retried_at.len() as f64
    };
    let (calm, bare, killed) = (
        retries(false, false),
        retries(true, false),
        retries(true, true),
    );
    println!("{calm} without restarts, {bare} and {killed} after restarts");
    assert!(killed >= 0.9 * bare, "{killed} of {bare}");
}

/// Guards against requests that are taken from silent endpoints although no retry is left for them.
#[test]
fn no_more_silent_endpoints_are_abandoned_than_retries_are_available() {
    let mut site = start_site();
    let ids: Vec<_> = (0..10).map(|_| site.send("again", 0, 0)).collect();
    site.advance(600);
    let abandoned = site.effects.iter().filter_map(|effect| match effect {
        Effect::Abandon(id) => Some(*id),
        _ => None,
    });
    let abandoned: Vec<_> = abandoned.collect();
    assert!(!abandoned.is_empty() && abandoned.len() < ids.len());
    for id in abandoned {
        site.handle(Event::RunEnded(id, RunEnd::given_up()));
        assert_eq!(site.runs(id).len(), 2, "{id}");
    }
}

/// Guards against retries that are charged although no endpoint is left to send them to.
#[test]
fn a_retry_that_finds_no_endpoint_costs_nothing() {
    let mut site = Site::start(1000);
    site.wait_for_retries();
    let spare = |site: &Site| {
        site.core.retry_budgets[&pool_name("pool")]
            .clone()
            .usage(site.now)
            .spare
    };
    let before = spare(&site);
    let id = site.send("again", 0, 0);
    for _ in 0..2 {
        site.handle(Event::RunEnded(id, RunEnd::NotRun { retry: None }));
    }
    assert_eq!(site.runs(id).len(), 2);
    assert!(site.refusal(id).is_some());
    assert_eq!(before - spare(&site), 1.0);
}

/// Guards against retries that go to endpoints which turn away most requests while others serve all of theirs.
#[test]
fn retries_go_to_endpoints_that_rarely_fail() {
    let mut fleet = Fleet::start(7, 12);
    fleet.run(12.0, 300.0);
    fleet.refusing = (0..6).map(endpoint).collect();
    // Each router has to see for itself which endpoints these are.
    fleet.run(5.0, 300.0);
    fleet.retried_at.clear();
    fleet.run(10.0, 300.0);
    let retries = fleet.retried_at.len();
    let refusing = fleet
        .retried_at
        .iter()
        .filter(|vm| fleet.refusing.contains(*vm));
    let refusing = refusing.count();
    assert!(retries > 100, "{retries} retries");
    assert!(refusing * 10 < retries, "{refusing} of {retries}");
}

fn pending(site: &Site) -> u32 {
    let mut budget = site.core.retry_budgets[&pool_name("pool")].clone();
    budget.usage(site.now).pending
}

/// Guards against retries that are forgotten, or counted for ever, while it is unknown whether they arrived.
#[test]
fn a_retry_is_pending_until_its_run_is_known_to_have_been_read() {
    let mut site = start_site();
    let refused = || RunEnd::NotRun { retry: None };
    for number in 0..3 {
        site.advance(3000);
        let id = site.send("again", 0, 0);
        assert_eq!(pending(&site), 0);
        site.handle(Event::RunEnded(id, refused()));
        assert_eq!(pending(&site), 1);
        site.handle(match number {
            0 => Event::AnswerStarted(id),
            1 => Event::RunEnded(id, refused()),
            _ => Event::RunEnded(id, RunEnd::CallerGone { usage: None }),
        });
        if site.runs(id).len() == 3 {
            site.handle(Event::RunEnded(id, refused()));
        }
        // Its endpoint may read on, though its caller has gone.
        assert_eq!(pending(&site), u32::from(number == 2));
    }
    end_later_requests(&mut site, |_| true);
    assert_eq!(pending(&site), 0);
}

/// Sends requests, has those answered that reach certain endpoints, and has the callers of the others leave.
fn end_later_requests<F>(site: &mut Site, answers: F)
where
    F: Fn(&VmId) -> bool,
{
    for _ in 0..24 {
        let id = site.send("again", 0, 0);
        let runs = site.runs(id);
        let endpoint = runs[0].endpoint.clone();
        site.handle(Event::RunEnded(
            id,
            match answers(&endpoint) {
                true => whole(0),
                false => RunEnd::CallerGone { usage: None },
            },
        ));
    }
}

/// Has a request given up at a silent endpoint, and answered by another; returns the first.
fn give_up_one(site: &mut Site) -> VmId {
    let id = site.send("again", 0, 0);
    site.handle(Event::RunEnded(id, RunEnd::given_up()));
    let endpoints: Vec<_> = site
        .runs(id)
        .iter()
        .map(|run| run.endpoint.clone())
        .collect();
    assert_eq!(endpoints.len(), 2);
    site.handle(Event::AnswerStarted(id));
    site.handle(Event::RunEnded(id, whole(0)));
    endpoints[0].clone()
}

/// Guards against retries that count for the time at which they were sent, though an endpoint that was paused reads the
/// request that they replaced much later.
#[test]
fn a_retry_is_pending_until_the_endpoint_that_was_given_up_answers_again() {
    let mut site = start_site();
    let silent = give_up_one(&mut site);
    site.advance(1000);
    end_later_requests(&mut site, |endpoint| *endpoint != silent);
    assert_eq!(pending(&site), 1);
    // It is tried again after a pause.
    site.advance(4000);
    end_later_requests(&mut site, |endpoint| *endpoint == silent);
    assert_eq!(pending(&site), 0);
}

/// Guards against answers that are taken as a sign that an endpoint read what it was sent after them.
#[test]
fn the_answer_to_an_earlier_request_does_not_show_that_a_later_one_was_read() {
    let mut site = start_site();
    let earlier: Vec<_> = (0..24).map(|_| site.send("again", 0, 0)).collect();
    site.advance(100);
    give_up_one(&mut site);
    for id in earlier {
        site.handle(Event::AnswerStarted(id));
    }
    assert_eq!(pending(&site), 1);
}

/// Guards against retries that are held though their request can't arrive so many times any more.
#[test]
fn no_more_retries_are_held_than_runs_are_unread() {
    let mut site = start_site();
    site.advance(6000);
    let id = site.send("again", 0, 0);
    site.handle(Event::RunEnded(id, RunEnd::NotRun { retry: None }));
    site.handle(Event::RunEnded(id, RunEnd::given_up()));
    assert_eq!((site.runs(id).len(), pending(&site)), (3, 2));
    site.handle(Event::AnswerStarted(id));
    assert_eq!(pending(&site), 1);
}

/// Guards against late answers to other requests that are taken as a sign that an endpoint has read on.
#[test]
fn the_late_answer_to_another_request_does_not_show_that_an_endpoint_has_read_on() {
    let mut site = start_site();
    let silent = give_up_one(&mut site);
    site.advance(4000);
    for _ in 0..24 {
        let id = site.send("again", 0, 0);
        if site.runs(id)[0].endpoint == silent {
            site.handle(Event::EndpointAnswered(id));
        }
        site.handle(Event::RunEnded(id, RunEnd::CallerGone { usage: None }));
    }
    assert_eq!(pending(&site), 1);
}

/// Guards against retries that are forgotten while their endpoint is paused for longer than a listed one may be silent.
#[test]
fn a_retry_is_pending_while_further_requests_are_given_up_at_its_endpoint() {
    let mut site = start_site();
    let silent = give_up_one(&mut site);
    for _ in 0..4 {
        site.advance(6000);
        end_later_requests(&mut site, |endpoint| *endpoint != silent);
        assert!(pending(&site) > 0);
    }
    site.advance(10_100);
    assert_eq!(pending(&site), 0);
}

/// Guards against retries that count for ever because an endpoint never answers again, and against those that are
/// forgotten as soon as a paused endpoint is removed from the list, or although the list is not kept up to date.
#[test]
fn a_retry_is_pending_for_longer_if_the_endpoint_that_was_given_up_may_be_gone() {
    for (listed, log, seconds) in [
        (true, Log::Up, 10),
        (false, Log::Up, 30),
        (true, Log::Down, 30),
    ] {
        let mut site = start_site();
        let silent = give_up_one(&mut site);
        if !listed {
            let mut list = site.core.members.vm_index.list().clone();
            list.as_of += 1;
            list.vms.retain(|entry| entry.vm != silent);
            site.handle(Event::VmList(list));
        }
        site.log = log;
        site.advance(1000 * seconds - 100);
        assert_eq!(pending(&site), 1);
        site.advance(200);
        assert_eq!(pending(&site), 0);
    }
}

/// Guards against requests that pay for retries although they were sent long before, and waited in the sockets of a
/// router that was paused.
#[test]
fn requests_that_waited_for_long_pay_for_no_retries() {
    for (waited, expected) in [(0, 1), (20, 0)] {
        let mut site = Site::start_with_vms(1000, vms(2, 12));
        let waited = Duration::from_secs(waited);
        site.core.record_idle(site.now - waited);
        site.send("again", 0, 0);
        let mut budget = site.core.retry_budgets[&pool_name("pool")].clone();
        assert_eq!(budget.usage(site.now).requests, expected);
    }
}
