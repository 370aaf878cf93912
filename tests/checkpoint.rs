//! Cuts random ledgers into checkpoints, loses and damages parts of them, and starts routers from what is left.

mod history;

use history::History;
use jasmineridge::Assembler;
use jasmineridge::Attempt;
use jasmineridge::Batch;
use jasmineridge::Bearer;
use jasmineridge::Claim;
use jasmineridge::Fingerprint;
use jasmineridge::Incarnation;
use jasmineridge::Ledger;
use jasmineridge::MAX_PART_BYTES;
use jasmineridge::Offset;
use jasmineridge::Part;
use jasmineridge::Record;
use jasmineridge::RequestKey;
use jasmineridge::Restored;
use jasmineridge::Schedule;
use jasmineridge::Sequence;
use jasmineridge::TeamId;
use jasmineridge::Tokens;
use jasmineridge::decode_part;
use jasmineridge::encode_part;
use jasmineridge::split;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

const SEED: u64 = 20261202;
const SMALL: usize = 200;

fn check<A>(name: &str, tests: u64, property: A)
where
    A: Testable,
{
    println!("{name}: seed={SEED} tests={tests}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(tests)
        .quickcheck(property);
}

fn bytes(ledger: &Ledger) -> Vec<u8> {
    postcard::to_stdvec(ledger).expect("a ledger can be encoded")
}

fn fold(ledger: &mut Ledger, history: &History) {
    let done = ledger.next().0 as usize;
    for (at, entry) in history.0.iter().enumerate().skip(done) {
        ledger.apply(Offset(at as u64), entry.time, &entry.batch);
    }
}

fn prefix(history: &History, cut: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let cut = cut % (history.0.len() + 1);
    fold(&mut ledger, &History(history.0[..cut].to_vec()));
    ledger
}

/// A router starts after the log has let go of the ledger's beginning. If what it put together from a checkpoint and
/// the rest were another state than that of routers which read everything, it would spend another budget.
#[test]
fn a_checkpoint_and_the_rest_equal_the_whole() {
    fn property(history: History, cut: usize) -> bool {
        let begun = prefix(&history, cut);
        let mut assembler = Assembler::new();
        let mut restored = None;
        for (at, part) in split(&begun, SMALL).into_iter().enumerate() {
            let part = decode_part(&encode_part(&part)).expect("it was encoded");
            restored = assembler.push(Offset(at as u64), part).or(restored);
        }
        let Some(Restored { mut ledger, first }) = restored else {
            return false;
        };
        let same = bytes(&ledger) == bytes(&begun) && first == Offset(0);
        fold(&mut ledger, &history);
        same && bytes(&ledger) == bytes(&prefix(&history, history.0.len()))
    }
    check("whole", 1000, property as fn(History, usize) -> bool);
}

/// Two routers write a checkpoint at once, one of them dies half-way, parts are lost and damaged. Half a state taken
/// for a whole one would be a ledger in which budgets and bills are missing.
#[test]
fn only_whole_states_are_restored() {
    fn property(history: History, cuts: (usize, usize, usize), faults: Vec<u8>) -> bool {
        let states = [cuts.0, cuts.1, cuts.2].map(|cut| prefix(&history, cut));
        let mut faults = faults.into_iter().chain([0]).cycle();
        let mut assembler = Assembler::new();
        let mut queues = [0, 1, 2].map(|at| split(&states[at], SMALL).into_iter());
        let mut newest = None;
        let mut good = true;
        for at in 0..300 {
            let fault = faults.next().unwrap_or_default();
            let Some(part) = queues[usize::from(fault % 3)].next() else {
                continue;
            };
            let Some(part) = deliver(part, fault) else {
                continue;
            };
            if let Some(Restored { ledger, .. }) = assembler.push(Offset(at), part) {
                good &= states.iter().any(|state| bytes(state) == bytes(&ledger));
                good &= newest < Some(ledger.next());
                newest = Some(ledger.next());
            }
        }
        good && assembler.damaged() == 0
    }
    check(
        "faults",
        1000,
        property as fn(History, (usize, usize, usize), Vec<u8>) -> bool,
    );
}

/// Passes a part through a log that now and then loses or damages one.
fn deliver(part: Part, fault: u8) -> Option<Part> {
    let mut bytes = encode_part(&part);
    match fault {
        200..220 => None,
        220.. => {
            let at = usize::from(fault) * 7 % bytes.len();
            bytes[at] ^= 1;
            decode_part(&bytes).ok()
        }
        _ => decode_part(&bytes).ok(),
    }
}

/// Another version's part, or noise, stands in the stream: it is passed over.
#[test]
fn noise_is_no_part() {
    fn property(noise: Vec<u8>) -> bool {
        let versioned = [&[1], noise.as_slice()].concat();
        decode_part(&noise).is_err() && decode_part(&versioned).is_err()
    }
    check("noise", 10_000, property as fn(Vec<u8>) -> bool);
}

/// A state that passes its checksum and does not add up, as after a fault of its writer's memory, would let a team
/// spend more than it prepaid, or stop each router that starts from it.
#[test]
fn a_state_that_does_not_add_up_is_not_restored() {
    let mut generator = Gen::from_size_and_seed(100, SEED);
    let mut refused = 0;
    for _ in 0..200 {
        let history: History = quickcheck::Arbitrary::arbitrary(&mut generator);
        let ledger = prefix(&history, history.0.len());
        let Some((team, _)) = ledger.teams().find(|(_, team)| team.held().0 > 0) else {
            continue;
        };
        // The same state, but that the routers' holdings went missing.
        let whole = bytes(&ledger);
        let held = ledger.routers().find_map(|(_, r)| r.holdings.get(team));
        let held = postcard::to_stdvec(held.expect("someone holds it")).expect("it can be encoded");
        let Some(at) = whole.windows(held.len()).rposition(|w| w == held) else {
            continue;
        };
        let mut damaged = whole;
        damaged[at] ^= 1;
        refused += u64::from(
            postcard::from_bytes::<Ledger>(&damaged).map_or(true, |l| l.check_balances().is_err()),
        );
    }
    println!("refused={refused}");
    assert!(refused >= 50);
}

/// The same of what a claim reserves: more than its holding has set apart would stop each router at its bill.
#[test]
fn a_claim_that_reserves_what_is_not_set_apart_is_not_restored() {
    let team: TeamId = "t".parse().expect("a name");
    let reserved = Tokens(123_456);
    let claim = Claim {
        key: RequestKey {
            account: "a".parse().expect("a name"),
            key: "k".parse().expect("a name"),
        },
        team: team.clone(),
        reserved,
        request: Fingerprint(1),
        seen: Offset(0),
        attempt: Attempt(1),
        idempotent: true,
        bearer: Bearer::Team,
    };
    let topup = Record::TopUp {
        id: "x".parse().expect("a name"),
        team: team.clone(),
        amount: Tokens(900_000),
    };
    let want = Tokens(500_000);
    let mut ledger = Ledger::default();
    let mut sequence = 0;
    for record in [
        open(1),
        topup,
        Record::Draw { team, want },
        Record::Claim(claim),
    ] {
        append(&mut ledger, 0, 1, &mut sequence, record);
    }
    assert_eq!(ledger.check_balances(), Ok(()));
    let whole = bytes(&ledger);
    let amount = postcard::to_stdvec(&reserved).expect("it can be encoded");
    let places: Vec<_> = (0..whole.len())
        .filter(|at| whole[*at..].starts_with(&amount))
        .collect();
    assert_eq!(places.len(), 2);
    for at in places {
        let mut damaged = whole.clone();
        damaged[at] ^= 1;
        let read: Ledger = postcard::from_bytes(&damaged).expect("it can be read");
        assert!(read.check_balances().is_err());
    }
}

const HOUR: u64 = 60 * 60 * 1000;
const MINUTE: u64 = 60 * 1000;

/// Routers die, the log is out for hours, nobody uses the system over a weekend: at each moment a checkpoint must stand
/// that the log still keeps. Without one, the next router to start finds no budgets and refuses everything.
#[test]
fn the_last_checkpoint_is_never_let_go() {
    fn property(faults: Vec<(u8, u8)>) -> bool {
        let schedule = Schedule {
            retention_ms: 24 * HOUR,
            max_records: 1000,
        };
        let mut ledger = Ledger::default();
        let mut sequences = [0; 3];
        for (router, sequence) in (0..).zip(&mut sequences) {
            append(&mut ledger, 0, router, sequence, open(router));
        }
        let mut faults = faults.into_iter().chain([(0, 0)]).cycle();
        let (mut dead, mut down) = (0, 0);
        for minute in 1..4000 {
            let now = minute * MINUTE;
            if minute % 300 == 1 {
                let fault = faults.next().unwrap_or_default();
                dead = u64::from(fault.0 % 4);
                // Out for a quarter of the retention at most.
                down = minute + u64::from(fault.1) * 360 / 255;
            }
            for (router, sequence) in (0..).zip(&mut sequences) {
                if router != dead
                    && minute >= down
                    && schedule.is_due(&ledger, Incarnation(router), now)
                {
                    let record = Record::Checkpoint {
                        as_of: ledger.next(),
                        first: Offset(minute),
                    };
                    append(&mut ledger, now, router, sequence, record);
                }
            }
            if let Some(last) = ledger.checkpoint()
                && now - last.at >= schedule.retention_ms
            {
                return false;
            }
        }
        ledger.checkpoint().is_some()
    }
    check("schedule", 300, property as fn(Vec<(u8, u8)>) -> bool);
}

fn open(router: u64) -> Record {
    Record::Open {
        vm: format!("vm-{router}").parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        address: String::new(),
    }
}

fn append(ledger: &mut Ledger, now: u64, router: u64, sequence: &mut u64, record: Record) {
    *sequence += 1;
    let batch = Batch {
        router: Incarnation(router),
        sequence: Sequence(*sequence),
        records: vec![record],
    };
    ledger.apply(ledger.next(), now, &batch);
}

/// All routers see that a checkpoint is due at the same moment. If each wrote it, hundreds of copies of the whole state
/// would crowd out the appends of claims and bills.
#[test]
fn one_router_writes_when_all_are_well() {
    let schedule = Schedule {
        retention_ms: 24 * HOUR,
        max_records: 1000,
    };
    let mut ledger = Ledger::default();
    for router in 0..200 {
        append(&mut ledger, 0, router, &mut 0, open(router));
    }
    let due = |now| {
        (0..200)
            .filter(|router| schedule.is_due(&ledger, Incarnation(*router), now))
            .count()
    };
    assert_eq!(due(6 * HOUR - MINUTE), 0);
    assert_eq!(due(6 * HOUR), 1);
    assert_eq!(due(6 * HOUR + 45 * MINUTE), 2);
    assert_eq!(due(12 * HOUR), 200);
    assert!(split(&ledger, MAX_PART_BYTES).len() == 1);
}

/// A router wrote a checkpoint, stopped before it announced it, and does so after another one was announced whose parts
/// stand behind its own. The log may have let go of its parts; if it were taken for the newest, the records behind the
/// other would go as well, and no router could start.
#[test]
fn an_announcement_that_comes_late_is_void() {
    let mut ledger = Ledger::default();
    let mut sequence = 0;
    append(&mut ledger, 0, 1, &mut sequence, open(1));
    for as_of in [2, 1, 3] {
        let as_of = Offset(as_of);
        let first = Offset(10 - as_of.0);
        let record = Record::Checkpoint { as_of, first };
        append(&mut ledger, 0, 1, &mut sequence, record);
    }
    let newest = ledger.checkpoint().map(|newest| newest.as_of);
    assert_eq!(newest, Some(Offset(2)));
    let record = Record::Checkpoint {
        as_of: Offset(3),
        first: Offset(9),
    };
    append(&mut ledger, 0, 1, &mut sequence, record);
    assert_eq!(ledger.checkpoint().map(|n| n.as_of), Some(Offset(3)));
}
