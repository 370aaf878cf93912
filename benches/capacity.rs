//! The slopes that `docs/CAPACITY.md` extrapolates from: bytes, records, appends and memory by size, each with a
//! least-squares line and the largest distance of a point from it.
//!
//! `cargo bench --locked --bench capacity`; with `-- fleet`, idle routers as processes instead. Memory is measured
//! in a process of its own for each size. Processor time is the main thread's, from `/proc/thread-self/schedstat`, so that a busy machine changes it little.

#![expect(
    clippy::disallowed_methods,
    reason = "a benchmark reads files and starts processes"
)]

use std::env;
use std::fs;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;

use jasmineridge::Attempt;
use jasmineridge::Batch;
use jasmineridge::Bearer;
use jasmineridge::Claim;
use jasmineridge::Config;
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
use jasmineridge::VmEntry;
use jasmineridge::VmId;
use jasmineridge::decode;
use jasmineridge::encode;
use jasmineridge::encode_part;
use jasmineridge::split;
use serde_json::Value;
use serde_json::json;
use tarpc::context;

/// Router count of the letter.
const ROUTERS: u64 = 370;

/// Client accounts of the letter.
const ACCOUNTS: u64 = 3_200;

/// Commits a second at most: the default of `ledger.commit_ms` is 25 ms.
const COMMITS: f64 = 40.0;

/// Heartbeats a second: the default of `ledger.heartbeat_ms` is 500 ms.
const BEATS: u64 = 2;

/// Bytes of a TCP segment's headers: IPv4 20, TCP 20, timestamps 12.
const HEADERS: usize = 52;

/// Segments of a call: the question, the answer that acknowledges it, and the last acknowledgement.
const SEGMENTS: usize = 3;

/// Simulated seconds of the tail.
const TAIL_SECONDS: u64 = 60;

/// Bytes of a row in the log service's JSON beside its data: offset and time of their full length.
const ROW: &str = r#"{"offset":1000000000,"at":1796243220000,"data":""},"#;

/// An entry of the VM list.
const VM: &str = r#"{"vm":"vm-10-20-30-123","address":"10.20.30.123:8080","domain":"domain-1","labels":{"peer":"10.20.30.123:8081","role":"router"},"state":"live"}"#;

/// An endpoint's load report.
const LOAD: &str =
    r#"{"as_of":1796243220000,"running":16,"waiting":0,"kv_used":0.512,"models":["model-12"]}"#;

/// Names the child process's measurement.
const CHILD: &str = "CAPACITY_CHILD";

fn main() {
    if let Ok(what) = env::var(CHILD) {
        return child(&what);
    }
    if env::args().any(|arg| arg == "fleet") {
        return grown("fleet", &[7, 25, 50, 100], &["cpu percent", "memory mb"]);
    }
    request_bytes();
    appends();
    partitions();
    tail();
    heartbeats();
    lists();
    grown(
        "teams",
        &[10_000, 50_000, 100_000, 430_000],
        &["memory bytes", "checkpoint bytes"],
    );
    grown(
        "documents",
        &[10_000, 50_000, 100_000, 430_000],
        &["memory bytes", "snapshot bytes"],
    );
    grown(
        "keys",
        &[10_000, 50_000, 100_000, 200_000],
        &["memory bytes"],
    );
}

/// Prints `y = a + b x` by least squares, and the point farthest from it.
fn fit(what: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let over: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = over / under;
    let base = mean_y - slope * mean_x;
    let off = points.iter().map(|p| (p.1 - base - slope * p.0).abs());
    let worst = off.fold(0.0, f64::max);
    let largest = points.iter().map(|p| p.1).fold(0.0, f64::max);
    println!(
        "fit {what}: base={base:.1} slope={slope:.4} residual={worst:.1} of_largest={:.2}%",
        100.0 * worst / largest
    );
}

/// Bytes in the stream by requests a batch; a request is a claim in one batch and a bill in another.
fn request_bytes() {
    let mut points = Vec::new();
    for size in [1, 4, 16, 64, 256] {
        let claims = (0..size).map(|at| claim(at + 100_000, at, Offset(1_000_000_000)));
        let claims = bytes(claims.collect());
        let bills = bytes((0..size).map(|at| bill(at + 100_000)).collect());
        let both = claims + bills;
        println!(
            "batch requests={size} claims={claims} bills={bills} a_request={:.1}",
            both as f64 / size as f64
        );
        points.push((size as f64, both as f64));
    }
    fit("bytes by requests a batch", &points);
    println!("an opening={} bytes", bytes(vec![open(1)]));
    println!(
        "a draw={} bytes",
        bytes(vec![draw(123_456)]) - bytes(vec![])
    );
    println!("a batch's head={} bytes", bytes(vec![]));
}

/// Appends a second, if each router commits for itself; arrivals are Poisson, two records a request.
fn appends() {
    for rate in [10.0, 100.0, 1000.0, 3800.0] {
        for routers in [7.0, 50.0, 150.0, 370.0] {
            let most = routers * COMMITS;
            let expected = most * (1.0 - f64::exp(-2.0 * rate / most));
            println!("appends requests={rate} routers={routers} a_second={expected:.0}");
        }
    }
}

/// What each partition would carry at the letter's size: the commit interval that keeps all of them together at 300
/// appends a second, and a reader's bytes and keys. Also with a hash of 16 bytes in place of
/// each record's account and key.
fn partitions() {
    const RATE: f64 = 3_800.0;
    const APPENDS: f64 = 300.0;
    const KEY_SECONDS: f64 = 7_200.0;
    let pair = |key: RequestKey| postcard::to_stdvec(&key).expect("it is plain").len() - 16;
    let saved = 2 * pair(key(100_000));
    let whole = bytes(vec![claim(100_000, 1, Offset(1_000_000_000))]) + bytes(vec![bill(100_000)])
        - 2 * bytes(vec![]);
    for count in [1.0, 8.0, 32.0, 64.0, 128.0, 185.0] {
        let rate = RATE / count;
        println!(
            "partitions={count} requests_a_second={rate:.1} commit_ms={:.0} bytes_a_second={:.0} with_hashed_keys={:.0} keys={:.0}",
            1000.0 * count / APPENDS,
            rate * whole as f64,
            rate * (whole - saved) as f64,
            rate * KEY_SECONDS
        );
    }
}

/// What a reader of the whole ledger reads, decodes and folds.
fn tail() {
    let mut sizes = Vec::new();
    let mut wires = Vec::new();
    let mut times = Vec::new();
    for rate in [10, 100, 1000, 3800] {
        let log = traffic(rate);
        let size: usize = log.iter().map(Vec::len).sum();
        let mut ledger = Ledger::default();
        let begun = cpu();
        for (at, bytes) in (0..).zip(&log) {
            let batch = decode(bytes).expect("it was encoded");
            let verdicts = ledger.apply(Offset(at), 0, &batch);
            assert!(!verdicts.iter().any(|v| matches!(v, Verdict::Void(_))));
        }
        let wire: usize = log
            .iter()
            .map(|bytes| ROW.len() + bytes.len().div_ceil(3) * 4)
            .sum();
        let wire = wire as f64 / TAIL_SECONDS as f64;
        let spent = (cpu() - begun) as f64 / 1e6 / TAIL_SECONDS as f64;
        let read = size as f64 / TAIL_SECONDS as f64;
        println!(
            "tail requests={rate} records_a_second={} appends_a_second={} bytes_a_second={read:.0} json_bytes_a_second={wire:.0} cpu_ms_a_second={spent:.2}",
            2 * rate,
            log.len() as u64 / TAIL_SECONDS
        );
        sizes.push((rate as f64, read));
        wires.push((rate as f64, wire));
        times.push((rate as f64, spent));
    }
    fit("tail bytes a second by requests a second", &sizes);
    fit("tail json bytes a second by requests a second", &wires);
    fit("tail cpu ms a second by requests a second", &times);
}

/// A minute of `rate` requests a second, each router's turn 25 ms after its last; a router that has nothing appends
/// nothing. Openings and draws come first and count a little.
fn traffic(rate: u64) -> Vec<Vec<u8>> {
    let mut log = Vec::new();
    let mut sent = vec![0; ROUTERS as usize];
    let mut append = |router: u64, records: Vec<Record>| {
        sent[router as usize] += 1;
        let batch = Batch {
            router: Incarnation(router + 1),
            sequence: Sequence(sent[router as usize]),
            records,
        };
        log.push(encode(&batch));
    };
    for router in 0..ROUTERS {
        append(router, vec![open(router), topup(router), draw(router)]);
    }
    // Requests of one router in 25 ms; below one, they come alone.
    let together = (rate / (ROUTERS * 40)).max(1);
    for first in (0..rate * TAIL_SECONDS).step_by(together as usize) {
        let router = first / together % ROUTERS;
        let requests = first..first + together;
        let seen = Offset(ROUTERS - 1);
        append(
            router,
            requests.clone().map(|at| claim(at, router, seen)).collect(),
        );
        append(router, requests.map(bill).collect());
    }
    log
}

/// Bytes that a router sends a second for heartbeats: it asks each peer and answers each peer.
///
/// The messages are written as `src/router/event.rs` and `src/edge/peers.rs` define them, which are not public.
fn heartbeats() {
    let vm: VmId = name("vm-10-20-30", 123);
    let beat = (vm, Incarnation(1 << 40), true, 500u32, Offset(1_000_000));
    let question = (
        0u32,
        (context::current(), 1_000_000u64, (0u32, 1u32, &beat)),
    );
    let answer = (1_000_000u64, (0u32, (0u32, (0u32, &beat))));
    let size = |bytes: Result<Vec<u8>, _>| 4 + bytes.expect("it is plain").len();
    let question = size(postcard::to_stdvec(&question));
    let answer = size(postcard::to_stdvec(&answer));
    println!("a heartbeat question={question} answer={answer} bytes");
    let mut points = Vec::new();
    for routers in [7, 50, 150, 370] {
        let all = sent(routers - 1, question + answer);
        let some = sent(8.min(routers - 1), question + answer);
        println!(
            "heartbeats routers={routers} all_bytes_a_second={} with_headers={} subset_of_8={} with_headers={}",
            all.0, all.1, some.0, some.1
        );
        points.push((routers as f64, all.1 as f64));
    }
    fit("heartbeat bytes a second by routers", &points);
}

/// Bytes of the VM list, read whole each second, and of load reports, each second from each endpoint that a router
/// sees. HTTP's heads are not counted.
fn lists() {
    let entry: VmEntry = serde_json::from_str(VM).expect("it is an entry");
    let entry = serde_json::to_vec(&entry).expect("it is plain");
    let mut points = Vec::new();
    for vms in [37, 400, 2_000, 4_470] {
        let bytes = vms * (entry.len() + 1);
        println!("vm_list vms={vms} bytes_a_second={bytes}");
        points.push((vms as f64, bytes as f64));
    }
    fit("vm list bytes by vms", &points);
    for seen in [32, 128, 512, 1_120] {
        println!(
            "load_reports endpoints={seen} bytes_a_second={}",
            seen * LOAD.len()
        );
    }
}

fn sent(peers: u64, both: usize) -> (u64, u64) {
    // Over a question of its own and one of the peer's, a router sends as many headers as one whole call has.
    let calls = BEATS * peers;
    let bare = calls * both as u64;
    (bare, bare + calls * (SEGMENTS * HEADERS) as u64)
}

/// Runs a child for each size, and fits what it says.
fn grown(what: &str, sizes: &[u64], names: &[&str]) {
    let mut all = vec![Vec::new(); names.len()];
    for size in sizes {
        let me = env::current_exe().expect("this program has a path");
        let run = Command::new(me)
            .env(CHILD, format!("{what} {size}"))
            .output();
        let out = run.expect("it starts").stdout;
        let out = String::from_utf8(out).expect("it prints text");
        println!("{what}={size} {}", out.trim());
        for (points, value) in all.iter_mut().zip(out.split_whitespace()) {
            let (_, value) = value.split_once('=').expect("it prints name=value");
            points.push((*size as f64, value.parse().expect("it is a number")));
        }
    }
    for (points, name) in all.iter().zip(names) {
        fit(&format!("{name} by {what}"), points);
    }
}

fn child(what: &str) {
    let (what, size) = what.split_once(' ').expect("two words");
    let size: u64 = size.parse().expect("it is a number");
    if what == "fleet" {
        return fleet(size);
    }
    let before = resident();
    if what == "documents" {
        let config = with_documents(size);
        let memory = resident() - before;
        let snapshot = serde_json::to_vec(&config.snapshot()).expect("it is JSON");
        println!("memory_bytes={memory} snapshot_bytes={}", snapshot.len());
        return;
    }
    let ledger = match what {
        "teams" => with_teams(size),
        _ => with_keys(size),
    };
    let memory = resident() - before;
    let parts = split(&ledger, MAX_PART_BYTES);
    let count = parts.len();
    let bytes: usize = parts.iter().map(|part| encode_part(part).len()).sum();
    println!("memory_bytes={memory} checkpoint_bytes={bytes} parts={count}");
}

/// A process that ends with this value, also on a panic.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(program: &str, args: &[&str]) -> Running {
    let mut command = Command::new(program);
    command
        .args(args)
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    Running(command.spawn().expect("it starts"))
}

/// Starts as many routers as processes, idle, before a log service and a VM list; prints each one's processor time
/// and memory, the mean and the highest.
fn fleet(routers: u64) {
    const FIRST: u64 = 31_000;
    const WARM: Duration = Duration::from_secs(10);
    const SECONDS: u64 = 10;
    let standin = env!("CARGO_BIN_EXE_jasmineridge-standin");
    let folder = env::temp_dir().join(format!("jasmineridge-capacity-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("there is room");
    let peer = |at: u64| format!("127.0.0.1:{}", FIRST + 2 * at);
    let listen = |at: u64| format!("127.0.0.1:{}", FIRST + 2 * at + 1);
    let (log, vms) = (peer(1_000), listen(1_000));
    let entry = |at| {
        json!({"vm": format!("vm-{at}"), "address": listen(at), "domain": format!("domain-{}", at % 5),
        "labels": {"role": "router", "peer": peer(at)}})
    };
    let list: Vec<_> = (0..routers).map(entry).collect();
    let file = folder.join("vms.json");
    fs::write(&file, Value::from(list).to_string()).expect("there is room");
    let file = file.to_str().expect("it is plain");
    let platform = [
        start(standin, &["log", "--listen", &log]),
        start(standin, &["vms", "--listen", &vms, "--file", file]),
    ];
    let mut running = Vec::new();
    for at in 0..routers {
        let settings = json!({"vm": format!("vm-{at}"), "domain": format!("domain-{}", at % 5), "listen": listen(at),
            "peer_listen": peer(at), "log": format!("http://{log}"), "vms": format!("http://{vms}")});
        let file = folder.join(format!("{at}.json"));
        fs::write(&file, settings.to_string()).expect("there is room");
        let file = file.to_str().expect("it is plain");
        running.push(start(
            env!("CARGO_BIN_EXE_jasmineridged"),
            &["--settings", file],
        ));
    }
    sleep(WARM);
    let before: Vec<_> = running.iter().map(ticks).collect();
    sleep(Duration::from_secs(SECONDS));
    let spent = running.iter().zip(before).map(|(r, b)| ticks(r) - b);
    // A tick is 10 ms, so that one a second is one percent.
    let spent: Vec<f64> = spent.map(|t| t as f64 / SECONDS as f64).collect();
    let memory: Vec<f64> = running.iter().map(|r| resident_of(r) as f64).collect();
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    let most = |all: &[f64]| all.iter().copied().fold(0.0, f64::max);
    println!(
        "cpu_percent_mean={:.2} memory_mb_mean={:.1} cpu_percent_max={:.2} memory_mb_max={:.1}",
        mean(&spent),
        mean(&memory) / 1e6,
        most(&spent),
        most(&memory) / 1e6
    );
    drop(running);
    drop(platform);
    fs::remove_dir_all(&folder).expect("it was made here");
}

/// Returns a process's processor time, ticks.
fn ticks(running: &Running) -> u64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", running.0.id())).expect("it runs");
    let (_, text) = text.rsplit_once(')').expect("its name is in brackets");
    let fields: Vec<&str> = text.split_whitespace().collect();
    let field = |at: usize| fields[at].parse::<u64>().expect("it is a number");
    field(11) + field(12)
}

fn resident_of(running: &Running) -> u64 {
    memory_of(&running.0.id().to_string())
}

/// All topped up, and drawn on by a router each.
fn with_teams(teams: u64) -> Ledger {
    let mut writer = Writer::default();
    writer.append(vec![open(0)]);
    for team in 0..teams {
        writer.append(vec![topup(team), draw(team)]);
    }
    writer.ledger
}

/// A configuration with a document and a rule for each team.
fn with_documents(teams: u64) -> Config {
    const TOGETHER: u64 = 1_000;
    let mut config = Config::default();
    let engine = json!({"models": ["model-1"], "max_tokens": 4096});
    let body = json!({"pool": {"kind": {"engine": engine}, "select": {"model": ["model-1"]}}});
    put(
        &mut config,
        &[json!({"kind": "pool", "name": "pool-1", "base": 0, "body": body})],
    );
    for first in (0..teams).step_by(TOGETHER as usize) {
        let both = (first..first + TOGETHER).flat_map(|at| [document(at), rule(at)]);
        put(&mut config, &both.collect::<Vec<_>>());
    }
    config
}

fn put(config: &mut Config, changes: &[Value]) {
    let put = json!({"format": 1, "by": "bench", "changes": changes});
    let outcome = config.apply(config.next_offset(), put.to_string().as_bytes());
    outcome.expect("it is sound");
}

fn document(at: u64) -> Value {
    let body = json!({"team": {"labels": {"note": "0"}}});
    json!({"kind": "team", "name": format!("team-{at}"), "base": 0, "body": body})
}

fn rule(at: u64) -> Value {
    let account = format!("account-{}", at % ACCOUNTS);
    let when = json!({"account": [account], "unit": [format!("unit-{at}")]});
    let rule = json!({"order": 1, "when": when, "team": format!("team-{at}"), "pool": "pool-1"});
    json!({"kind": "rule", "name": format!("rule-{at}"), "base": 0, "body": {"rule": rule}})
}

/// As many answered requests remembered, of a thousand teams.
fn with_keys(keys: u64) -> Ledger {
    const TEAMS: u64 = 1_000;
    let mut writer = Writer::default();
    writer.append(vec![open(0)]);
    for team in 0..TEAMS {
        writer.append(vec![topup(team), draw(team)]);
    }
    for at in 0..keys {
        let seen = Offset(writer.ledger.next().0 - 1);
        writer.append(vec![claim(at, at % TEAMS, seen)]);
        writer.append(vec![bill(at)]);
    }
    assert_eq!(writer.ledger.keys().count() as u64, keys);
    writer.ledger
}

/// One router that folds what it writes.
#[derive(Default)]
struct Writer {
    ledger: Ledger,
    sent: u64,
}

impl Writer {
    fn append(&mut self, records: Vec<Record>) {
        self.sent += 1;
        let batch = Batch {
            router: Incarnation(1),
            sequence: Sequence(self.sent),
            records,
        };
        let verdicts = self.ledger.apply(self.ledger.next(), 0, &batch);
        assert!(!verdicts.iter().any(|v| matches!(v, Verdict::Void(_))));
    }
}

fn bytes(records: Vec<Record>) -> usize {
    let batch = Batch {
        router: Incarnation(u64::MAX / 3),
        sequence: Sequence(1_000_000),
        records,
    };
    encode(&batch).len()
}

/// Returns the main thread's processor time, ns.
fn cpu() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("this is Linux");
    let first = text.split_whitespace().next();
    first
        .and_then(|ns| ns.parse().ok())
        .expect("it has a number")
}

/// Returns the process's resident memory, bytes.
fn resident() -> u64 {
    memory_of("self")
}

fn memory_of(process: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<u64>().ok())
        .expect("it has a size")
        * 1024
}

fn open(router: u64) -> Record {
    Record::Open {
        vm: name("vm-10-20-30", router),
        domain: name("domain", router % 5),
        address: format!("10.20.30.{router}:8080"),
    }
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
        want: Tokens(1_000_000),
    }
}

fn claim(number: u64, of: u64, seen: Offset) -> Record {
    Record::Claim(Claim {
        key: key(number),
        team: team(of),
        reserved: Tokens(1_000),
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
        amount: Tokens(316),
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
