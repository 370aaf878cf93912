//! Tests of single decision components.

use std::time::Duration;

use jasmineridge::AccountLimit;
use jasmineridge::BlockHash;
use jasmineridge::BudgetView;
use jasmineridge::CacheEvent;
use jasmineridge::Chooser;
use jasmineridge::ConsistencyMode;
use jasmineridge::Criteria;
use jasmineridge::DomainId;
use jasmineridge::EjectionLimits;
use jasmineridge::Ejector;
use jasmineridge::EndpointLimit;
use jasmineridge::Fingerprint;
use jasmineridge::Health;
use jasmineridge::HoldingAction;
use jasmineridge::HoldingPolicy;
use jasmineridge::Isolation;
use jasmineridge::Limits;
use jasmineridge::Load;
use jasmineridge::Observation;
use jasmineridge::Peer;
use jasmineridge::PrefixIndex;
use jasmineridge::Quarantine;
use jasmineridge::RetryBudget;
use jasmineridge::RetryLimit;
use jasmineridge::Sample;
use jasmineridge::Tokens;
use jasmineridge::Usage;
use jasmineridge::VmId;
use jasmineridge::advise;

use crate::ms;
use crate::name;
use crate::rng;
use crate::start;

/// A client retries in a loop without a pause. Successive refusals ask for increasing waits, none shorter than the rate
/// allows.
#[test]
fn account_limit_staggers_retry_times() {
    let now = start();
    let limits = Limits {
        rate: 10,
        burst: 2,
        concurrency: 3,
        weight: 1,
    };
    let mut limit = AccountLimit::new(now, &limits);
    assert_eq!(limit.try_acquire(now), Ok(()));
    assert_eq!(limit.try_acquire(now), Ok(()));
    let waits: Vec<_> = (0..3)
        .map(|_| limit.try_acquire(now).unwrap_err().retry_after())
        .collect();
    assert_eq!(waits, [ms(100), ms(200), ms(300)]);
    assert_eq!(limit.try_acquire(now + ms(100)), Ok(()));
    assert!(
        limit.try_acquire(now + ms(1000)).is_err(),
        "3 requests are in progress"
    );
    limit.release();
    assert_eq!(limit.try_acquire(now + ms(1000)), Ok(()));
}

fn pool(count: usize) -> (Chooser, Ejector, Vec<VmId>, DomainId) {
    let domain: DomainId = name("d0");
    let mut chooser = Chooser::new(&name("router"));
    let mut ejector = Ejector::new(EjectionLimits::default());
    let vms: Vec<VmId> = (0..count).map(|n| name(&format!("e{n}"))).collect();
    for vm in &vms {
        chooser.put(vm, &domain, &[name("m")], 4);
        ejector.put(start(), vm, &domain);
    }
    (chooser, ejector, vms, domain)
}

/// A load report includes the requests that this router sent before it was measured. Requests sent since then are
/// added, and none is counted twice.
#[test]
fn chooser_corrects_delayed_load_reports() {
    let now = start();
    let (mut chooser, _, vms, _) = pool(1);
    chooser.start(now, &vms[0]);
    chooser.start(now + ms(500), &vms[0]);
    let load = Load {
        running: 3,
        waiting: 0,
        measured: now + ms(100),
    };
    chooser.report(now + ms(600), &vms[0], load);
    assert_eq!(
        chooser.load(now + ms(600), &vms[0]),
        Some(4),
        "2 sent by other routers, 2 by this one"
    );
    assert_eq!(
        chooser.load(now + ms(20_000), &vms[0]),
        Some(2),
        "the report is outdated"
    );
}

/// Endpoints that are leaving, full, or have failed the request are not chosen. If no other is left, none is chosen.
#[test]
fn chooser_skips_unusable_endpoints() {
    let now = start();
    let (mut chooser, ejector, vms, domain) = pool(3);
    let index = PrefixIndex::new();
    let model = name("m");
    let excluded = [vms[0].clone()];
    let criteria = Criteria {
        model: Some(&model),
        prefix: &[],
        domain: &domain,
        excluded: &excluded,
        usage: Usage::Heavy,
        prompt: None,
    };
    chooser.set_leaving(&vms[1], true);
    for _ in 0..4 {
        let choice = chooser
            .choose(now, &criteria, &index, &ejector, &mut rng())
            .unwrap();
        assert_eq!(choice.endpoint, vms[2]);
        chooser.start(now, &vms[2]);
    }
    assert_eq!(
        chooser.choose(now, &criteria, &index, &ejector, &mut rng()),
        None
    );
}

/// The next turn of a conversation goes to the endpoint that has its prefix cached, until that endpoint evicts it.
#[test]
fn chooser_prefers_cached_prefix() {
    let now = start();
    let (chooser, ejector, vms, domain) = pool(12);
    let mut index = PrefixIndex::new();
    let prompt: Vec<_> = (0..300).map(BlockHash).collect();
    index.record_cached(&vms[7], &prompt[..200]);
    let criteria = Criteria {
        model: None,
        prefix: &prompt,
        domain: &domain,
        excluded: &[],
        usage: Usage::Heavy,
        prompt: None,
    };
    let choice = chooser
        .choose(now, &criteria, &index, &ejector, &mut rng())
        .unwrap();
    assert_eq!((choice.endpoint, choice.cached), (vms[7].clone(), 200));
    index.record_evicted(&vms[7], &prompt);
    assert!(index.matches(&prompt).is_empty());
}

/// An endpoint that fails all its requests is ejected, tried again at growing intervals, and readmitted when it
/// answers.
#[test]
fn ejector_backs_off_between_trials() {
    let mut now = start();
    let mut rng = rng();
    let (_, mut ejector, vms, _) = pool(12);
    let mut trials = Vec::new();
    let begin = now;
    while now < begin + Duration::from_secs(60) {
        if ejector.health(now, &vms[0]) != Health::Out {
            trials.push(now);
            ejector.record(now, &vms[0], Observation::Failed, &mut rng);
        }
        now += ms(100);
    }
    let gaps: Vec<_> = trials[5..].windows(2).map(|w| w[1] - w[0]).collect();
    assert!(
        gaps.len() >= 2 && gaps.windows(2).all(|w| w[1] > w[0]),
        "{gaps:?}"
    );
    while ejector.health(now, &vms[0]) != Health::In {
        now += ms(1000);
        ejector.record(now, &vms[0], Observation::Answered(ms(100)), &mut rng);
        assert!(now < begin + Duration::from_secs(400));
    }
}

/// Guards against a crashed endpoint that gets requests before anything shows that it serves, or none after that.
#[test]
fn a_crashed_endpoint_is_on_trial_until_it_serves() {
    let mut rng = rng();
    let now = start();
    for sign in [Observation::Answered(ms(100)), Observation::Checked(true)] {
        let (_, mut ejector, vms, _) = pool(5);
        for vm in &vms {
            ejector.record_crash(now, vm);
        }
        assert_eq!(ejector.crashed(now).count(), 5);
        for second in 1..=10 {
            let now = now + ms(1000 * second);
            ejector.record(now, &vms[0], Observation::Checked(false), &mut rng);
        }
        // The other four were not heard of since, and take seconds to restart.
        let now = now + ms(10_000);
        assert_eq!(ejector.crashed(now).collect::<Vec<_>>(), [&vms[0]]);
        assert_eq!(ejector.health(now, &vms[1]), Health::In);
        ejector.record(now, &vms[0], sign, &mut rng);
        assert_eq!(ejector.crashed(now).count(), 0);
    }
    let (_, mut ejector, vms, _) = pool(5);
    ejector.record_crash(now, &vms[0]);
    assert_eq!(ejector.health(now, &vms[0]), Health::Trial);
    assert_eq!(ejector.health(now, &vms[1]), Health::In);
}

/// Health checks of all endpoints fail at once although they still answer. At most a fifth of the pool is ejected.
#[test]
fn ejector_limits_ejected_share() {
    let now = start();
    let mut rng = rng();
    let (_, mut ejector, vms, _) = pool(15);
    for n in 0..4000 {
        let now = now + ms(n);
        for vm in &vms {
            ejector.record(now, vm, Observation::Checked(false), &mut rng);
        }
        assert!(ejector.ejected() <= 3);
    }
    assert!(ejector.ejected() > 0);
}

/// All endpoints fail for a while. Retries add at most a tenth to the load, plus one per second.
#[test]
fn retry_budget_is_a_share_of_requests() {
    let mut now = start();
    let mut budget = RetryBudget::new(now, RetryLimit::default());
    let mut retries = 0;
    for _ in 0..10_000 {
        now += ms(10);
        budget.record_request(now, now);
        while let Some(retry) = budget.try_retry(now) {
            budget.settle(now, retry);
            retries += 1;
        }
    }
    assert!((1000..=1120).contains(&retries), "{retries}");
    let mut rng = rng();
    assert!((0..100).all(|_| budget.backoff(3, &mut rng) < ms(100)));
}

/// All endpoints are healthy for half a minute and then fail together. Retries saved until then do not add to those that
/// are allowed in the ten seconds after it.
#[test]
fn saved_retries_are_limited() {
    let mut now = start();
    let mut budget = RetryBudget::new(now, RetryLimit::default());
    let mut retries = 0;
    for at in 0..4000 {
        now += ms(10);
        budget.record_request(now, now);
        while at >= 3000
            && let Some(retry) = budget.try_retry(now)
        {
            budget.settle(now, retry);
            retries += 1;
        }
    }
    // Ten seconds with a hundred requests per second: a tenth of these, plus one per second, and no more.
    assert!((90..=110).contains(&retries), "{retries}");
}

/// A router draws while a budget is large. When little is left, it returns the tokens that would be stranded in its
/// holding.
#[test]
fn holdings_follow_the_budget() {
    let view = BudgetView {
        free: Tokens(0),
        claimed: Tokens(0),
        undrawn: Tokens(7_000_000),
        routers: 7,
        demand: 100.0,
        team_demand: 0.0,
        wanted: Tokens(500),
        reachable: true,
    };
    let strict = HoldingPolicy::new(ConsistencyMode::Strict);
    let available = HoldingPolicy::new(ConsistencyMode::Available);
    assert_eq!(strict.decide(&view), HoldingAction::Draw(Tokens(540_500)));
    assert_eq!(
        available.decide(&view),
        HoldingAction::Draw(Tokens(540_500))
    );
    let nearly_spent = BudgetView {
        free: Tokens(90_000),
        undrawn: Tokens(7000),
        ..view
    };
    assert_eq!(
        strict.decide(&nearly_spent),
        HoldingAction::Return(Tokens(35_400))
    );
    assert_eq!(
        available.decide(&nearly_spent),
        HoldingAction::Return(Tokens(29_334))
    );
    let fragmented = BudgetView {
        free: Tokens(400),
        undrawn: Tokens(50),
        ..view
    };
    assert_eq!(
        strict.decide(&fragmented),
        HoldingAction::Return(Tokens(400))
    );
    let partitioned = BudgetView {
        reachable: false,
        ..view
    };
    assert_eq!(strict.decide(&partitioned), HoldingAction::None);
}

/// A team has 43 tokens left and one router. If the target were computed from the undrawn tokens alone, each draw would
/// lower it, and the same tokens would be drawn and returned at each commit, filling the log with these records.
#[test]
fn draw_is_not_returned_at_once() {
    for mode in [ConsistencyMode::Strict, ConsistencyMode::Available] {
        let policy = HoldingPolicy::new(mode);
        let before = BudgetView {
            free: Tokens(0),
            claimed: Tokens(0),
            undrawn: Tokens(43),
            routers: 1,
            demand: 30.0,
            team_demand: 30.0,
            wanted: Tokens(0),
            reachable: true,
        };
        let HoldingAction::Draw(drawn) = policy.decide(&before) else {
            panic!("{mode:?} does not draw");
        };
        let after = BudgetView {
            free: drawn,
            undrawn: before.undrawn - drawn,
            ..before
        };
        assert_eq!(policy.decide(&after), HoldingAction::None, "{mode:?}");
    }
}

/// One router is leaving and another is full. Callers are sent to the rest, and their advice expires at different
/// times.
#[test]
fn advice_spreads_callers() {
    let mut rng = rng();
    let peers: Vec<_> = (0..4)
        .map(|n| Peer {
            vm: name(&format!("r{n}")),
            domain: name("d0"),
            address: format!("10.0.0.{n}:80"),
            load: if n == 1 { 1.0 } else { 0.5 },
            leaving: n == 0,
        })
        .collect();
    let advice: Vec<_> = (0..1000)
        .filter_map(|_| advise(&peers, None, &mut rng))
        .collect();
    let count_to = |n: usize| {
        advice
            .iter()
            .filter(|a| a.address == peers[n].address)
            .count()
    };
    assert_eq!((advice.len(), count_to(0)), (1000, 0));
    assert!(count_to(1) < 60 && count_to(2) > 400 && count_to(3) > 400);
    assert!(advice.iter().all(|a| a.alternates.len() == 2));
    let short_lived = advice.iter().filter(|a| a.ttl < ms(30_000)).count();
    assert!((400..600).contains(&short_lived), "{short_lived}");
    assert_eq!(advise(&peers[..1], None, &mut rng), None);
}

/// Cache events of an endpoint are lost, or it evicts blocks without an event. Confidence in what it has cached falls
/// after a gap in the events and when an answer reports fewer cached blocks than expected.
#[test]
fn prefix_confidence_falls_after_event_gaps() {
    let (vm, prompt) = (name("e0"), [1, 2, 3, 4].map(BlockHash));
    let mut index = PrefixIndex::new();
    let event = |sequence, stored: &[BlockHash], removed: &[BlockHash]| CacheEvent {
        sequence,
        stored: stored.to_vec(),
        removed: removed.to_vec(),
    };
    let found = |index: &PrefixIndex| {
        let found = index.matches(&prompt);
        found.first().map_or((0, 0.0), |m| (m.blocks, m.confidence))
    };
    index.apply_event(&vm, &event(1, &prompt, &[]));
    assert_eq!(found(&index), (4, 1.0));
    index.apply_event(&vm, &event(2, &[], &prompt[3..]));
    assert_eq!(found(&index), (3, 1.0));
    index.apply_event(&vm, &event(5, &[], &[]));
    let (blocks, confidence) = found(&index);
    assert!(blocks == 3 && confidence < 1.0, "{confidence}");
    index.apply_event(&vm, &event(3, &prompt, &prompt[2..]));
    assert_eq!(
        found(&index),
        (2, confidence),
        "a late event only removes blocks"
    );
    index.apply_event(&vm, &event(1, &prompt[..1], &[]));
    assert_eq!(found(&index), (1, 1.0), "a restart resets the index");
    index.record_served(&vm, &prompt, 4, 0);
    assert!(
        found(&index).1 < 1.0,
        "fewer blocks were cached than expected"
    );
    index.record_served(&vm, &prompt, 4, 4);
    assert_eq!(found(&index), (4, 1.0));
}

/// An endpoint that runs fewer requests than configured reports a queue. Its limit is reduced, and raised again as it
/// answers.
#[test]
fn endpoint_limit_follows_load_reports() {
    let mut now = start();
    let mut limit = EndpointLimit::new(32);
    let overloaded = Load {
        running: 8,
        waiting: 8,
        measured: now,
    };
    for _ in 0..20 {
        now += ms(1000);
        limit.report(now, overloaded);
    }
    let reduced = limit.limit();
    assert!(reduced <= 8, "{reduced}");
    for _ in 0..200 {
        while limit.try_acquire() {}
        now += ms(100);
        limit.release(now, Sample::Answered(ms(100)));
    }
    assert!(limit.limit() > reduced + 4 && limit.limit() <= 32);
}

/// A poison request runs beside harmless ones. It is refused after crashing two endpoints; the others are rerun in
/// isolation, complete, and are cleared.
#[test]
fn quarantine_isolates_the_poison_request() {
    let now = start();
    let [e0, e1, e2]: [VmId; 3] = ["e0", "e1", "e2"].map(name);
    let [poison, harmless, later] = [1, 2, 3].map(Fingerprint);
    let mut quarantine = Quarantine::new();
    quarantine.start(poison, &e0);
    quarantine.start(harmless, &e0);
    assert_eq!(quarantine.record_crash(now, &e0).len(), 2);
    assert_eq!(quarantine.isolation(harmless), Isolation::Isolated);
    quarantine.start(poison, &e1);
    assert_eq!(
        quarantine.forbidden_endpoints(harmless),
        std::slice::from_ref(&e1)
    );
    assert_eq!(
        quarantine.avoided_endpoints(later),
        std::slice::from_ref(&e1)
    );
    quarantine.start(later, &e1);
    quarantine.start(harmless, &e2);
    quarantine.complete(harmless, &e2);
    assert_eq!(quarantine.isolation(harmless), Isolation::None);
    assert_eq!(quarantine.record_crash(now + ms(5000), &e1), [poison]);
    assert_eq!(quarantine.isolation(poison), Isolation::Refused);
    assert_eq!(quarantine.isolation(later), Isolation::None);
}

/// A rack fails, and a request that is rerun on another endpoint of it is lost twice. It must not be refused for that.
#[test]
fn quarantine_ignores_correlated_crashes() {
    let now = start();
    let mut quarantine = Quarantine::new();
    for n in 0..4 {
        quarantine.start(Fingerprint(n), &name(&format!("e{n}")));
    }
    for n in 0..4 {
        quarantine.record_crash(now + ms(n * 100), &name(&format!("e{n}")));
    }
    quarantine.start(Fingerprint(0), &name("e5"));
    quarantine.record_crash(now + ms(900), &name("e5"));
    assert_eq!(quarantine.isolation(Fingerprint(0)), Isolation::Isolated);
}
