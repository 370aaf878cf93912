//! Endpoints that crash and drop all requests until they have restarted, and callers that try one router after another.

use std::time::Duration;

use serde_json::json;

use crate::decide::suspect_router;
use crate::ids::Fingerprint;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::Arrival;
use crate::router::EndpointLoad;
use crate::router::Event;
use crate::router::Failure;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::request::State;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::tuning;
use crate::router::tests::site::broken_run;
use crate::tokens::Tokens;

const ENGINES: usize = 5;

fn engine(number: usize) -> VmId {
    format!("engine-{number}").parse().expect("a name")
}

/// Starts routers before five engines.
fn start_cluster(routers: usize) -> Cluster {
    let mut cluster = Cluster::with_tuning((0..routers).map(tuning).collect());
    let mut list = cluster.nodes[0].core.members.vm_index.list().clone();
    let first = list.vms.iter().find(|entry| entry.vm == engine(0));
    let first = first.expect("it is listed").clone();
    for number in 2..ENGINES {
        let mut entry = first.clone();
        entry.vm = engine(number);
        entry.address.set_port(9000 + number as u16);
        list.vms.push(entry);
    }
    list.as_of += 1;
    for at in 0..routers {
        cluster.handle(at, Event::VmList(list.clone()));
    }
    cluster.advance(100);
    cluster
}

/// Has requests of a router crash two of the endpoints, and returns these.
fn crash_two(cluster: &mut Cluster, router: usize) -> Vec<VmId> {
    let mut crashed = Vec::new();
    for number in 0..2 {
        let ask = chat_with(
            cluster,
            Fingerprint(100 + number),
            &format!("crash-{number}"),
            1,
        );
        let id = cluster.submit_and_dispatch(router, &ask);
        let engine = cluster.nodes[router].runs(id)[0].endpoint.clone();
        cluster.handle(router, Event::RunEnded(id, died()));
        crashed.push(engine);
        cluster.advance(40);
        cluster.complete(router, id);
    }
    crashed
}

/// Returns a request for a completion with the given fingerprint.
fn chat_with(cluster: &mut Cluster, request: Fingerprint, key: &str, attempt: u64) -> Arrival {
    Arrival {
        fingerprint: request,
        ..cluster.chat(key, attempt)
    }
}

fn died() -> RunEnd {
    RunEnd::Failed {
        usage: None,
        answer_begun: false,
        failure: Failure::Died,
    }
}

/// Reports a load of the engines that did not crash, so that these look worse to all routers.
fn load_others(cluster: &mut Cluster, crashed: &[VmId]) {
    for number in 0..ENGINES {
        let vm = engine(number);
        let running = if crashed.contains(&vm) { 0 } else { 4 };
        let load = EndpointLoad {
            age: Duration::ZERO,
            running,
            waiting: 0,
            kv_used: 0.0,
            models: vec!["demo".parse().expect("a name")],
        };
        for at in 0..cluster.nodes.len() {
            cluster.handle(at, Event::EndpointLoad(vm.clone(), load.clone()));
        }
    }
}

/// Returns the endpoint of one of a request's runs.
fn endpoint_of_run(cluster: &Cluster, router: usize, id: RequestId, number: usize) -> Option<VmId> {
    let runs = cluster.nodes[router].runs(id);
    runs.get(number).map(|run| run.endpoint.clone())
}

/// Returns the endpoint to which a request is sent first.
fn first_endpoint(cluster: &mut Cluster, router: usize, key: &str, attempt: u64) -> Option<VmId> {
    let ask = chat_with(cluster, Fingerprint(1), key, attempt);
    let id = cluster.submit(router, &ask);
    cluster.advance(40);
    let endpoint = endpoint_of_run(cluster, router, id, 0);
    cluster.complete(router, id);
    endpoint
}

/// Guards against callers that spend all their tries on crashed endpoints, which look idle, while others serve.
#[test]
fn no_router_sends_requests_to_crashed_endpoints_while_others_serve() {
    for routers in [1, 3, 7] {
        let mut cluster = start_cluster(routers);
        let crashed = crash_two(&mut cluster, 0);
        load_others(&mut cluster, &crashed);
        for attempt in 1..=5 {
            cluster.advance(120);
            for router in 0..routers {
                let key = format!("other-{router}-{attempt}");
                let endpoint = first_endpoint(&mut cluster, router, &key, attempt);
                let endpoint = endpoint.expect("it is dispatched");
                assert!(
                    !crashed.contains(&endpoint),
                    "{routers} routers, router {router}: {endpoint}"
                );
            }
        }
    }
}

/// Leaves a router without a retry.
fn spend_retries(cluster: &mut Cluster, router: usize) {
    let now = cluster.now;
    let pool = "engines".parse().expect("a name");
    let budget = cluster.nodes[router].core.retry_budget(now, &pool);
    while budget.try_retry(now).is_some() {}
}

/// Has a caller try one router after another until its answer is whole; returns the kind of the last refusal if none is.
fn ask_patiently(cluster: &mut Cluster, crashed: &[VmId], retries: bool) -> Option<ProblemKind> {
    let mut refused = None;
    for attempt in 1..=5 {
        let router = attempt as usize % cluster.nodes.len();
        if !retries {
            spend_retries(cluster, router);
        }
        let ask = chat_with(cluster, Fingerprint(1), "patient", attempt);
        let id = cluster.submit(router, &ask);
        cluster.advance(40);
        for number in 0.. {
            let Some(endpoint) = endpoint_of_run(cluster, router, id, number) else {
                break;
            };
            match crashed.contains(&endpoint) {
                true => cluster.handle(router, Event::RunEnded(id, died())),
                false => cluster.complete(router, id),
            }
        }
        cluster.advance(120);
        if cluster.nodes[router].released(id) {
            return None;
        }
        refused = cluster.nodes[router]
            .refusal(id)
            .map(|problem| problem.kind);
    }
    refused
}

/// Guards against a caller that is refused as finished although it only met endpoints that were down.
#[test]
fn a_caller_that_tries_one_router_after_another_is_answered() {
    for (routers, retries) in [(1, false), (3, false), (7, false), (3, true)] {
        let mut cluster = start_cluster(routers);
        if retries {
            cluster.advance(10_000);
        }
        let crashed = crash_two(&mut cluster, 0);
        load_others(&mut cluster, &crashed);
        let refused = ask_patiently(&mut cluster, &crashed, retries);
        assert_eq!(refused, None, "{routers} routers, retries: {retries}");
    }
}

/// Guards against a pool that gets no requests for as long as none of its endpoints is known to serve.
#[test]
fn endpoints_that_all_crashed_are_tried_again() {
    let mut cluster = start_cluster(1);
    for number in 0..ENGINES {
        cluster.handle(0, Event::HealthChecked(engine(number), true));
        cluster.nodes[0]
            .core
            .mark_crashed(cluster.now, &engine(number));
    }
    let endpoint = first_endpoint(&mut cluster, 0, "first", 1);
    assert!(endpoint.is_some());
}

/// Guards against an endpoint that stays idle after it has restarted.
#[test]
fn an_endpoint_that_passes_a_check_after_its_crash_gets_requests() {
    let mut cluster = start_cluster(1);
    let crashed = crash_two(&mut cluster, 0);
    load_others(&mut cluster, &crashed);
    cluster.advance(500);
    for vm in &crashed {
        cluster.handle(0, Event::HealthChecked(vm.clone(), true));
    }
    let endpoint = first_endpoint(&mut cluster, 0, "after", 1).expect("it is dispatched");
    assert!(crashed.contains(&endpoint), "{endpoint}");
}

/// Guards against a call that is lost at an endpoint that crashed while its claim was on its way.
#[test]
fn a_claimed_request_is_not_sent_to_an_endpoint_that_crashed_meanwhile() {
    let mut cluster = start_cluster(2);
    // The router draws budget for its first request before it claims it.
    first_endpoint(&mut cluster, 0, "before", 1);
    cluster.advance(100);
    let ask = cluster.chat("claimed", 1);
    let id = cluster.submit(0, &ask);
    let State::Claiming { endpoint } = &cluster.nodes[0].core.requests[&id].state else {
        panic!("its claim is not on its way");
    };
    let endpoint = endpoint.clone();
    cluster.nodes[0].core.mark_crashed(cluster.now, &endpoint);
    cluster.advance(100);
    let run = endpoint_of_run(&cluster, 0, id, 0).expect("it is dispatched");
    assert_ne!(run, endpoint);
    cluster.complete(0, id);
    cluster.advance(100);
    assert!(cluster.nodes[0].released(id));
    let pool = &cluster.nodes[0].core.pools.values().next().expect("a pool");
    for vm in pool.picker.chooser.vms() {
        assert_eq!(pool.picker.chooser.load(cluster.now, vm), Some(0), "{vm}");
    }
}

/// Guards against requests that ran where an endpoint crashed, and whose further tries all go to crashed endpoints, since
/// each router runs them only on its own.
#[test]
fn a_suspect_whose_endpoints_all_crashed_is_refused_at_once() {
    let mut cluster = start_cluster(3);
    let routers = cluster.nodes[0].core.members.vm_index.serving_vms();
    let owner = |number: &usize| suspect_router(&routers, &engine(*number)).cloned();
    let first = (0..ENGINES)
        .find_map(|number| owner(&number))
        .expect("a router");
    let mut nodes = cluster.nodes.iter();
    let at = nodes.position(|node| node.core.tuning.vm == first);
    let at = at.expect("it is listed");
    let (own, others): (Vec<_>, Vec<_>) =
        (0..ENGINES).partition(|n| owner(n).as_ref() == Some(&first));
    assert!(!others.is_empty());
    let (now, core) = (cluster.now, &mut cluster.nodes[at].core);
    core.quarantine
        .add_suspect(now, Fingerprint(1), &engine(own[0]));
    for number in own {
        core.mark_crashed(now, &engine(number));
    }
    let ask = chat_with(&mut cluster, Fingerprint(1), "suspect", 1);
    let id = cluster.submit(at, &ask);
    cluster.advance(100);
    assert_eq!(endpoint_of_run(&cluster, at, id, 0), None);
    let refusal = cluster.nodes[at].refusal(id).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::NoEndpoint, Ran::No)
    );
    assert!(refusal.instead.is_some() && refusal.retry.is_some());
}

/// Guards against a harmless request that is refused for a day, since it ran where an endpoint crashed and was then sent to
/// another one that had crashed a moment before, which its router had not read yet.
#[test]
fn a_suspect_is_not_held_responsible_for_an_endpoint_that_was_down_before() {
    let mut cluster = start_cluster(2);
    // Until retries are available.
    cluster.advance(10_000);
    let ask = chat_with(&mut cluster, Fingerprint(1), "harmless", 1);
    let id = cluster.submit_and_dispatch(1, &ask);
    assert!(!cluster.nodes[1].runs(id)[0].check);
    cluster.handle(1, Event::RunEnded(id, died()));
    let runs = cluster.nodes[1].runs(id);
    // The endpoint of the second run is down, as a check shows if there is one.
    let end = match runs.get(1).expect("it is retried").check {
        true => RunEnd::NotRun { retry: None },
        false => died(),
    };
    cluster.handle(1, Event::RunEnded(id, end));
    cluster.advance(100);
    assert!(!cluster.ledger().quarantined(Fingerprint(1)));
}

/// Has the operator bear the cost of runs without a bill.
fn bear_by_house(cluster: &mut Cluster) {
    let change =
        json!({"kind": "team", "name": "loans", "base": 1, "body": {"team": {"bearer": "house"}}});
    let changes = json!({"format": 1, "by": "test", "changes": [change]});
    for at in 0..cluster.nodes.len() {
        cluster.configure(at, 1, &changes);
    }
    cluster.advance(100);
}

/// Sends one attempt, whose runs all fail before the first token, and returns the kind of its refusal.
fn fail_attempt(cluster: &mut Cluster, attempt: u64) -> ProblemKind {
    let at = attempt as usize % cluster.nodes.len();
    spend_retries(cluster, at);
    let ask = cluster.chat("unlucky", attempt);
    let id = cluster.submit(at, &ask);
    cluster.advance(100);
    if endpoint_of_run(cluster, at, id, 0).is_some() {
        cluster.handle(at, Event::RunEnded(id, broken_run(false)));
    }
    // Longer than an endpoint that fails again and again is paused.
    cluster.advance(3000);
    cluster.nodes[at].refusal(id).expect("a refusal").kind
}

/// Guards against a caller that is told that its request is finished although no token of any answer reached it.
#[test]
fn runs_that_gave_no_answer_and_cost_nothing_do_not_count_as_answers() {
    let mut cluster = start_cluster(3);
    bear_by_house(&mut cluster);
    for attempt in 1..=8 {
        let kind = fail_attempt(&mut cluster, attempt);
        assert_eq!(kind, ProblemKind::EndpointFailed, "attempt {attempt}");
    }
    // Answers count as before: three more after the bill.
    for attempt in 9..=11 {
        let at = attempt as usize % 3;
        let ask = cluster.chat("unlucky", attempt);
        let id = cluster.submit_and_dispatch(at, &ask);
        cluster.complete(at, id);
        cluster.advance(200);
        assert!(cluster.nodes[at].released(id));
    }
    assert_eq!(fail_attempt(&mut cluster, 12), ProblemKind::Finished);
    assert_eq!(cluster.spent(), 0);
    cluster.ledger().check_balances().expect("they add up");
}

/// Guards against a caller that takes the beginnings of any number of answers and hangs up.
#[test]
fn answers_that_began_count_although_they_broke_off() {
    let mut cluster = start_cluster(3);
    bear_by_house(&mut cluster);
    for attempt in 1..=4 {
        let at = attempt as usize % 3;
        let ask = cluster.chat("hasty", attempt);
        let id = cluster.submit_and_dispatch(at, &ask);
        cluster.handle(at, Event::AnswerStarted(id));
        cluster.handle(at, Event::RunEnded(id, RunEnd::CallerGone { usage: None }));
        cluster.advance(200);
    }
    let ask = cluster.chat("hasty", 5);
    let id = cluster.submit(0, &ask);
    cluster.advance(200);
    let refusal = cluster.nodes[0].refusal(id).expect("a refusal");
    assert_eq!(refusal.kind, ProblemKind::Finished);
}

/// Guards against a team that pays for less than endpoints may have used: it pays for each run that broke off, so each
/// counts.
#[test]
fn runs_that_the_team_pays_for_count() {
    let mut cluster = start_cluster(3);
    for attempt in 1..=4 {
        let kind = fail_attempt(&mut cluster, attempt);
        assert_eq!(kind, ProblemKind::EndpointFailed, "attempt {attempt}");
    }
    assert_eq!(fail_attempt(&mut cluster, 5), ProblemKind::Finished);
    let team = "loans".parse().expect("a name");
    let ledger = cluster.ledger();
    let team = ledger.team(&team).expect("it is known");
    assert_eq!((team.spent, team.lost), (Tokens(110), Tokens(330)));
}
