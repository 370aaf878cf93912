//! Measures the ledger: records folded a second, bytes a record, memory for 430,000 budgets, time to restore.
//!
//! `cargo bench --bench ledger`. Memory is what the process has resident after less before, from `/proc/self/status`,
//! so that it counts what the allocator keeps as well; one measurement runs behind the other, the largest first.

#![expect(
    clippy::disallowed_methods,
    reason = "a benchmark reads the clock and files"
)]

use std::time::Duration;
use std::time::Instant;

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
use jasmineridge::Outcome;
use jasmineridge::Record;
use jasmineridge::RequestKey;
use jasmineridge::Sequence;
use jasmineridge::TeamId;
use jasmineridge::Tokens;
use jasmineridge::Verdict;
use jasmineridge::decode;
use jasmineridge::decode_part;
use jasmineridge::encode;
use jasmineridge::encode_part;
use jasmineridge::split;

/// The size to design for.
const BUDGETS: u64 = 430_000;
const ROUTERS: u64 = 370;
const ACCOUNTS: u64 = 3_200;

/// Requests in the ledger's memory besides: two hours of 14 requests a second, one partition of 270 at the peak of
/// 3,800, or the whole of a small site.
const REQUESTS: u64 = 100_000;

/// How many records a batch gathers: 3,800 requests a second, three records each, in 300 appends.
const BATCH: usize = 38;

fn main() {
    sizes();
    memory();
    speed();
}

/// Writes the log of a fleet that folds into `ledger`.
#[derive(Default)]
struct Log {
    ledger: Ledger,
    sent: Vec<u64>,
    time: u64,
    spent: Duration,
    records: u64,
}

impl Log {
    fn open(&mut self) {
        self.sent = vec![0; ROUTERS as usize];
        for router in 0..ROUTERS {
            let open = Record::Open {
                vm: name("vm-10-20-30", router),
                domain: name("domain", router % 5),
                address: format!("10.20.30.{router}:8080"),
            };
            self.append(router, vec![open]);
        }
    }

    fn append(&mut self, router: u64, records: Vec<Record>) {
        let sent = &mut self.sent[router as usize];
        *sent += 1;
        self.records += records.len() as u64;
        let batch = Batch {
            router: Incarnation(router + 1),
            sequence: Sequence(*sent),
            records,
        };
        // What a router does with each record of the log: decode and fold.
        let bytes = encode(&batch);
        let begun = Instant::now();
        let batch = decode(&bytes).expect("it was encoded");
        let verdicts = self.ledger.apply(self.ledger.next(), self.time, &batch);
        self.spent += begun.elapsed();
        assert!(!verdicts.iter().any(|v| matches!(v, Verdict::Void(_))));
    }

    /// Tops up all budgets, and lets each be drawn on by a router.
    fn budgets(&mut self) {
        for first in (0..BUDGETS).step_by(BATCH) {
            let teams = first..BUDGETS.min(first + BATCH as u64);
            let records = teams.flat_map(|team| [topup(team), draw(team)]).collect();
            self.append(first / BATCH as u64 % ROUTERS, records);
        }
    }

    /// Claims and bills requests, each router in its turn, at `rate` a second.
    fn requests(&mut self, from: u64, to: u64, rate: u64) {
        for first in (from..to).step_by(BATCH) {
            let requests = first..to.min(first + BATCH as u64);
            let router = first / BATCH as u64 % ROUTERS;
            self.time = first * 1000 / rate;
            // One of the teams that the router drew on.
            let batch = |at: u64| router + ROUTERS * (at % 30);
            let team = |at: u64| batch(at) * BATCH as u64 + at % BATCH as u64;
            let seen = Offset(self.ledger.next().0 - 1);
            let claims = requests.clone().map(|at| claim(at, team(at), seen));
            self.append(router, claims.collect());
            self.append(router, requests.map(bill).collect());
        }
    }
}

fn sizes() {
    let seen = Offset(1_000_000_000);
    let kinds = [
        ("top-up", topup(123_456)),
        ("draw", draw(123_456)),
        ("claim", claim(123_456, 123_456, seen)),
        ("bill", bill(123_456)),
        ("release", Record::Release { key: key(123_456) }),
        (
            "refuse",
            Record::Refuse {
                key: key(123_456),
                attempt: Attempt(1),
            },
        ),
        (
            "close",
            Record::Close {
                router: Incarnation(u64::MAX / 3),
            },
        ),
    ];
    let empty = batch_size(vec![]);
    println!("bytes a batch={empty}");
    for (kind, record) in kinds {
        println!("bytes a {kind}={}", batch_size(vec![record]) - empty);
    }
}

fn batch_size(records: Vec<Record>) -> usize {
    let batch = Batch {
        router: Incarnation(u64::MAX / 3),
        sequence: Sequence(1_000_000),
        records,
    };
    encode(&batch).len()
}

fn memory() {
    let before = resident();
    let mut log = Log::default();
    log.open();
    log.budgets();
    let budgets = resident();
    println!("budgets={BUDGETS} memory_mb={}", budgets - before);
    report("fold of top-ups and draws", &log);
    log.requests(0, REQUESTS, 1_000);
    println!(
        "requests={} memory_mb={} in_all_mb={}",
        log.ledger.keys().count(),
        resident() - budgets,
        resident() - before
    );
    restore(&log.ledger);
}

fn restore(ledger: &Ledger) {
    let begun = Instant::now();
    let parts = split(ledger, MAX_PART_BYTES);
    let cut = begun.elapsed();
    let stream: Vec<Vec<u8>> = parts.iter().map(encode_part).collect();
    drop(parts);
    let bytes: usize = stream.iter().map(Vec::len).sum();
    println!(
        "checkpoint parts={} mb={:.1} written_ms={}",
        stream.len(),
        bytes as f64 / 1e6,
        cut.as_millis()
    );
    let before = resident();
    let begun = Instant::now();
    let mut assembler = Assembler::new();
    let mut restored = None;
    for (at, bytes) in (0..).zip(&stream) {
        let part = decode_part(bytes).expect("it was encoded");
        restored = assembler.push(Offset(at), part).or(restored);
    }
    let taken = begun.elapsed();
    let restored = restored.expect("it is whole");
    assert!(restored.ledger == *ledger);
    println!(
        "restored_ms={} memory_mb={}",
        taken.as_millis(),
        resident() - before
    );
}

/// Claims and bills of as many requests as a partition remembers, with the old ones forgotten on the way.
fn speed() {
    let mut log = Log::default();
    log.open();
    log.budgets();
    log.spent = Duration::ZERO;
    log.records = 0;
    log.requests(0, 600_000, 14);
    report("fold of claims and bills", &log);
    println!("requests_remembered={}", log.ledger.keys().count());
    let closed = Instant::now();
    log.append(
        1,
        vec![Record::Close {
            router: Incarnation(1),
        }],
    );
    println!("close_us={}", closed.elapsed().as_micros());
}

fn report(what: &str, log: &Log) {
    let rate = log.records as f64 / log.spent.as_secs_f64();
    println!(
        "{what}: records={} spent_ms={} records_a_second={:.0}",
        log.records,
        log.spent.as_millis(),
        rate
    );
}

/// Returns the process's resident memory, MB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("this is Linux");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<u64>().ok())
        .expect("it has a size")
        / 1000
}

fn topup(number: u64) -> Record {
    Record::TopUp {
        id: name("2026-12-prepaid", number),
        team: team(number),
        amount: Tokens(10_000_000),
    }
}

fn draw(number: u64) -> Record {
    Record::Draw {
        team: team(number),
        want: Tokens(100_000),
    }
}

fn claim(number: u64, of: u64, seen: Offset) -> Record {
    Record::Claim(Claim {
        key: key(number),
        team: team(of),
        reserved: Tokens(1),
        request: Fingerprint(number.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        seen,
        attempt: Attempt(1),
        idempotent: true,
        bearer: Bearer::Team,
    })
}

fn bill(number: u64) -> Record {
    Record::Bill {
        key: key(number),
        amount: Tokens(1),
        outcome: Outcome::Whole,
    }
}

fn key(number: u64) -> RequestKey {
    RequestKey {
        account: name("account", number % ACCOUNTS),
        key: name("0f8fad5b-d9cb-469f-a165", number),
    }
}

fn team(number: u64) -> TeamId {
    name("team-district", number)
}

fn name<N>(kind: &str, number: u64) -> N
where
    N: std::str::FromStr,
    N::Err: std::fmt::Debug,
{
    format!("{kind}-{number}")
        .parse()
        .expect("it is a plain name")
}
