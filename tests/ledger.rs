//! Drives the fold over random histories of the log and checks what must hold in each.

mod history;

use std::collections::HashMap;
use std::collections::HashSet;

use history::Entry;
use history::History;
use jasmineridge::Attempt;
use jasmineridge::Batch;
use jasmineridge::Bearer;
use jasmineridge::Claim;
use jasmineridge::DecodeError;
use jasmineridge::Fingerprint;
use jasmineridge::Incarnation;
use jasmineridge::Ledger;
use jasmineridge::Offset;
use jasmineridge::Outcome;
use jasmineridge::Record;
use jasmineridge::RequestKey;
use jasmineridge::Sequence;
use jasmineridge::TeamId;
use jasmineridge::Tokens;
use jasmineridge::TopUpId;
use jasmineridge::Verdict;
use jasmineridge::VoidReason;
use jasmineridge::decode;
use jasmineridge::encode;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

const SEED: u64 = 20261202;
const HISTORIES: u64 = 3000;

fn check<A>(name: &str, property: A)
where
    A: Testable,
{
    println!("{name}: seed={SEED} histories={HISTORIES}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(HISTORIES)
        .quickcheck(property);
}

/// Folds a history and shows each record with its verdict, and the ledger behind its batch.
fn fold<F>(history: &History, mut see: F) -> Ledger
where
    F: FnMut(Offset, &Record, &Verdict, &Ledger),
{
    let mut ledger = Ledger::default();
    for (at, Entry { time, batch }) in history.0.iter().enumerate() {
        let offset = Offset(at as u64);
        let verdicts = ledger.apply(offset, *time, batch);
        for (record, verdict) in batch.records.iter().zip(&verdicts) {
            see(offset, record, verdict, &ledger);
        }
    }
    ledger
}

/// Two routers draw on one team at once, one of them dies, answers of the log get lost and batches come twice: were a
/// draw counted twice or a close given back too much, the team would spend what it never paid.
#[test]
fn no_team_is_allotted_more_than_it_prepaid() {
    fn property(history: History) -> bool {
        let mut good = true;
        fold(&history, |_, _, _, ledger| {
            good &= ledger.check_balances().is_ok();
            good &= ledger
                .teams()
                .all(|(_, t)| t.spent + t.lost + t.held() <= t.prepaid);
        });
        good
    }
    check("budgets", property as fn(History) -> bool);
}

/// A request is retried at a second router while the first one's bill is on its way, or is appended twice. A second
/// bill would charge the team twice for one answer.
#[test]
fn each_request_is_billed_once() {
    fn property(history: History) -> bool {
        let mut bills = HashMap::new();
        let mut good = true;
        let ledger = fold(&history, |_, _, _, ledger| {
            for (key, state) in ledger.keys() {
                if let Some(bill) = &state.bill {
                    good &= bills.entry(key.clone()).or_insert_with(|| bill.clone()) == bill;
                }
            }
        });
        let billed: u64 = bills.values().map(|bill| bill.amount.0).sum();
        let spent: u64 = ledger.teams().map(|(_, team)| team.spent.0).sum();
        good && billed == spent
    }
    check("bills", property as fn(History) -> bool);
}

/// A disbursement is sent to two routers, one of which is closed or wakes from a pause. If both claims counted, the
/// borrower would owe the money twice.
#[test]
fn a_request_that_may_not_run_twice_is_claimed_once() {
    fn property(history: History) -> bool {
        let mut open = HashSet::new();
        let mut ran = HashSet::new();
        let mut once = HashSet::new();
        let mut good = true;
        fold(&history, |_, record, verdict, _| match (record, verdict) {
            (Record::Claim(claim), Verdict::Accepted) => {
                if !claim.idempotent {
                    once.insert(claim.key.clone());
                }
                if !open.insert(claim.key.clone()) {
                    ran.insert(claim.key.clone());
                }
                good &= !(once.contains(&claim.key) && ran.contains(&claim.key));
            }
            (Record::Bill { key, .. }, Verdict::Accepted) => {
                open.remove(key);
                ran.insert(key.clone());
            }
            (Record::Release { key }, Verdict::Accepted) => {
                open.remove(key);
            }
            _ => {}
        });
        good
    }
    check("claims", property as fn(History) -> bool);
}

/// A caller is told "not run" and sends its request elsewhere or gives up. A claim of the attempt that was refused, or
/// of an earlier one, that counted later would make that a lie; so would a refusal of what a dead router was running.
#[test]
fn what_was_refused_neither_ran_nor_will() {
    fn property(history: History) -> bool {
        let mut open: HashSet<RequestKey> = HashSet::new();
        let mut ran: HashSet<RequestKey> = HashSet::new();
        let mut refused: HashMap<RequestKey, (Offset, Attempt)> = HashMap::new();
        let mut good = true;
        fold(&history, |offset, record, verdict, _| {
            match (record, verdict) {
                (Record::Claim(claim), Verdict::Accepted) => {
                    if let Some((at, attempt)) = refused.get(&claim.key) {
                        good &= claim.seen >= *at;
                        good &= *attempt == Attempt(0) || claim.attempt > *attempt;
                    }
                    // Whoever had it before was closed over it.
                    if !open.insert(claim.key.clone()) {
                        ran.insert(claim.key.clone());
                    }
                }
                (Record::Bill { key, .. }, Verdict::Accepted) => {
                    open.remove(key);
                    ran.insert(key.clone());
                }
                (Record::Release { key }, Verdict::Accepted) => {
                    open.remove(key);
                }
                (Record::Refuse { key, attempt }, Verdict::Accepted) => {
                    good &= !open.contains(key) && !ran.contains(key);
                    let before = refused.get(key).map_or(Attempt(0), |(_, attempt)| *attempt);
                    refused.insert(key.clone(), (offset, before.max(*attempt)));
                }
                _ => {}
            }
        });
        good
    }
    check("refusals", property as fn(History) -> bool);
}

/// The log's answer is lost and a batch is appended again; a slow copy lands behind later batches, or when its writer
/// was closed. If it counted, budgets would grow twice and a router that nobody hears would hold tokens for ever.
#[test]
fn a_batch_counts_once_in_order_and_not_after_its_writers_end() {
    fn property(history: History) -> bool {
        let mut ledger = Ledger::default();
        let mut last: HashMap<Incarnation, u64> = HashMap::new();
        let mut lent: HashMap<Incarnation, u64> = HashMap::new();
        let mut closed = HashSet::new();
        let mut prepaid: HashMap<(TopUpId, TeamId), Tokens> = HashMap::new();
        let mut good = true;
        for (at, Entry { time, batch }) in history.0.iter().enumerate() {
            let verdicts = ledger.apply(Offset(at as u64), *time, batch);
            let mut counts = false;
            for (record, verdict) in batch.records.iter().zip(verdicts) {
                counts |= !matches!(
                    verdict,
                    Verdict::Void(VoidReason::Sequence | VoidReason::Closed)
                );
                if matches!(verdict, Verdict::Void(_)) {
                    continue;
                }
                good &= !closed.contains(&batch.router);
                match record {
                    Record::Close { router } => {
                        closed.insert(*router);
                    }
                    Record::TopUp { id, team, amount } => {
                        good &= prepaid
                            .insert((id.clone(), team.clone()), *amount)
                            .is_none();
                    }
                    Record::Lend { number, .. } => {
                        good &= lent.insert(batch.router, *number).unwrap_or(0) < *number;
                    }
                    _ => {}
                }
            }
            if counts {
                good &= last.insert(batch.router, batch.sequence.0).unwrap_or(0) + 1
                    == batch.sequence.0;
            }
            good &= ledger
                .routers()
                .all(|(_, r)| !r.closed || r.holdings.is_empty());
        }
        good && ledger.teams().all(|(id, team)| {
            let topups = prepaid.iter().filter(|((_, of), _)| of == id);
            team.prepaid == topups.fold(Tokens::ZERO, |sum, (_, a)| sum.saturating_add(*a))
        })
    }
    check("batches", property as fn(History) -> bool);
}

/// Each router folds the log by itself, some from its beginning and some from a copy of the state. If two of them came
/// to different states, they would tell callers different things.
#[test]
fn the_same_history_gives_the_same_bytes() {
    fn property(history: History, cut: usize) -> bool {
        // Sixteen minutes a record: what is old is forgotten on the way.
        let mut history = history;
        history.0.iter_mut().for_each(|entry| entry.time *= 2000);
        let cut = cut % (history.0.len() + 1);
        let whole = fold(&history, |_, _, _, _| {});
        let again = fold(&history, |_, _, _, _| {});
        let begun = fold(&History(history.0[..cut].to_vec()), |_, _, _, _| {});
        let mut resumed: Ledger = postcard::from_bytes(&bytes(&begun)).expect("it was encoded");
        for (at, Entry { time, batch }) in history.0.iter().enumerate().skip(cut) {
            resumed.apply(Offset(at as u64), *time, batch);
        }
        bytes(&whole) == bytes(&again) && bytes(&whole) == bytes(&resumed)
    }
    check("bytes", property as fn(History, usize) -> bool);
}

fn bytes(ledger: &Ledger) -> Vec<u8> {
    postcard::to_stdvec(ledger).expect("a ledger can be encoded")
}

/// The histories would prove nothing if hardly a record of them took effect.
#[test]
fn the_histories_reach_every_record() {
    let mut accepted: HashMap<std::mem::Discriminant<Record>, usize> = HashMap::new();
    let mut generator = Gen::from_size_and_seed(120, SEED);
    for _ in 0..1000 {
        let history: History = quickcheck::Arbitrary::arbitrary(&mut generator);
        fold(&history, |_, record, verdict, _| match verdict {
            Verdict::Accepted => {
                *accepted.entry(std::mem::discriminant(record)).or_default() += 1;
            }
            Verdict::Granted(amount) if amount.0 > 0 => {
                *accepted.entry(std::mem::discriminant(record)).or_default() += 1;
            }
            _ => {}
        });
    }
    println!("accepted by kind: {accepted:?}");
    assert_eq!(accepted.len(), 12);
    assert!(accepted.values().all(|count| *count >= 100));
}

/// Another version's record, or damage, stands in the log. A router that stopped at it would stop the whole fleet, each
/// router at the same place; a router that passed it over in silence would leave the operators unaware.
#[test]
fn unreadable_records_are_counted_and_passed_over() {
    fn property(noise: Vec<u8>, history: History) -> bool {
        let mut ledger = Ledger::default();
        let mut offset = Offset(0);
        for Entry { time, batch } in &history.0 {
            let future: Result<Batch, _> = decode(&[&[250], noise.as_slice()].concat());
            assert_eq!(future, Err(DecodeError::Version(250)));
            ledger.skip(offset);
            offset = ledger.next();
            ledger.apply(offset, *time, batch);
            offset = ledger.next();
        }
        ledger.unreadable() == history.0.len() as u64 && ledger.check_balances().is_ok()
    }
    check("unreadable", property as fn(Vec<u8>, History) -> bool);
}

/// What the decoder makes of random bytes is folded like any batch: it must stop no router either.
#[test]
fn random_bytes_never_stop_a_router() {
    fn property(noise: Vec<u8>, flips: Vec<(usize, u8)>, history: History) -> bool {
        let _ = decode(&noise);
        let mut ledger = Ledger::default();
        for Entry { time, batch } in &history.0 {
            let mut damaged = encode(batch);
            assert_eq!(decode(&damaged).as_ref(), Ok(batch));
            for (at, bit) in &flips {
                let at = at % damaged.len();
                damaged[at] ^= bit;
            }
            match decode(&damaged) {
                Ok(batch) => {
                    ledger.apply(ledger.next(), *time, &batch);
                }
                Err(_) => ledger.skip(ledger.next()),
            }
        }
        ledger.check_balances().is_ok()
    }
    check(
        "noise",
        property as fn(Vec<u8>, Vec<(usize, u8)>, History) -> bool,
    );
}

const DAY: u64 = 24 * 60 * 60 * 1000;

fn open(router: u64, vm: &str, more: Vec<Record>) -> Batch {
    let open = Record::Open {
        vm: vm.parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        address: "10.0.0.1:80".to_owned(),
    };
    Batch {
        router: Incarnation(router),
        sequence: Sequence(1),
        records: [vec![open], more].concat(),
    }
}

fn batch(router: u64, sequence: u64, records: Vec<Record>) -> Batch {
    Batch {
        router: Incarnation(router),
        sequence: Sequence(sequence),
        records,
    }
}

fn key(name: &str) -> RequestKey {
    RequestKey {
        account: "a".parse().expect("a name"),
        key: name.parse().expect("a name"),
    }
}

/// Claims a call that may not run twice and costs nothing.
fn claim(name: &str, seen: u64) -> Record {
    Record::Claim(Claim {
        key: key(name),
        team: "t".parse().expect("a name"),
        reserved: Tokens::ZERO,
        request: Fingerprint(1),
        seen: Offset(seen),
        attempt: Attempt(0),
        idempotent: false,
        bearer: Bearer::Team,
    })
}

/// A router dies with its first append on the way, and the log takes that append days later. Its incarnation, long
/// forgotten, would come back to life, hold tokens and close the router that runs on its VM by then.
#[test]
fn a_forgotten_incarnation_does_not_open_again() {
    let mut ledger = Ledger::default();
    ledger.apply(Offset(0), 0, &open(1, "vm-1", vec![]));
    ledger.apply(Offset(1), 1, &open(2, "vm-1", vec![]));
    assert!(ledger.router(Incarnation(1)).is_some());
    ledger.apply(Offset(2), 3 * DAY, &batch(2, 2, vec![]));
    assert!(ledger.router(Incarnation(1)).is_none());
    let verdicts = ledger.apply(Offset(3), 3 * DAY, &open(1, "vm-1", vec![]));
    assert_eq!(verdicts, [Verdict::Void(VoidReason::Closed)]);
    assert!(ledger.is_open(Incarnation(2)));
}

/// A router dies over a disbursement, and its caller comes back for it days later. Nobody knows whether the money went
/// out; if the ledger had forgotten the claim, it would go out now, perhaps for the second time.
#[test]
fn a_claim_whose_outcome_nobody_knows_is_never_forgotten() {
    let mut ledger = Ledger::default();
    let lost = claim("k", 0);
    ledger.apply(Offset(0), 0, &open(1, "vm-1", vec![lost]));
    ledger.apply(Offset(1), 1, &open(2, "vm-1", vec![]));
    ledger.apply(Offset(2), 9 * DAY, &batch(2, 2, vec![]));
    let again = batch(2, 3, vec![claim("k", 2)]);
    let verdicts = ledger.apply(Offset(3), 9 * DAY, &again);
    assert_eq!(verdicts, [Verdict::Void(VoidReason::Unknown)]);
}

/// A router stops for hours with a request in its socket, and goes on where it was. Meanwhile the request was refused
/// by another router, and the refusal is forgotten. Its caller was told "not run"; the claim must be void all the same.
#[test]
fn a_claim_from_before_what_was_forgotten_is_void() {
    let key = key("k");
    let refuse = Record::Refuse {
        key: key.clone(),
        attempt: Attempt(0),
    };
    let mut ledger = Ledger::default();
    ledger.apply(Offset(0), 0, &open(1, "vm-1", vec![]));
    ledger.apply(Offset(1), 0, &open(2, "vm-2", vec![refuse]));
    ledger.apply(Offset(2), 3 * DAY, &batch(2, 2, vec![]));
    assert_eq!(ledger.key(&key), None);
    let verdicts = ledger.apply(
        Offset(3),
        3 * DAY,
        &batch(1, 2, vec![claim("k", 0), claim("k", 2)]),
    );
    assert_eq!(
        verdicts,
        [Verdict::Void(VoidReason::Refused), Verdict::Accepted]
    );
}

/// A router that errs bills or releases what another one runs. That one's caller would get its answer unbilled, and
/// the request could be claimed and run beside it.
#[test]
fn a_claim_is_settled_by_its_own_router_alone() {
    let bill = Record::Bill {
        key: key("k"),
        amount: Tokens::ZERO,
        outcome: Outcome::Whole,
    };
    let release = Record::Release { key: key("k") };
    let mut ledger = Ledger::default();
    ledger.apply(Offset(0), 0, &open(1, "vm-1", vec![claim("k", 0)]));
    let verdicts = ledger.apply(Offset(1), 0, &open(2, "vm-2", vec![bill, release]));
    assert_eq!(
        verdicts[1..],
        [
            Verdict::Void(VoidReason::NoClaim),
            Verdict::Void(VoidReason::NoClaim)
        ]
    );
    assert!(ledger.key(&key("k")).is_some_and(|k| k.claim.is_some()));
}

/// The log let records go before a router had read them. What it folded behind the gap would be another truth than
/// that of the routers that read them all.
#[test]
fn nothing_is_folded_behind_a_gap() {
    let mut ledger = Ledger::default();
    let before = ledger.clone();
    let verdicts = ledger.apply(Offset(1), 0, &open(1, "vm-1", vec![]));
    assert_eq!(verdicts, [Verdict::Void(VoidReason::Gap)]);
    ledger.skip(Offset(1));
    assert_eq!(ledger, before);
}
