//! Random histories of the ledger's stream.

use jasmineridge::Attempt;
use jasmineridge::Batch;
use jasmineridge::Bearer;
use jasmineridge::Claim;
use jasmineridge::Fingerprint;
use jasmineridge::Incarnation;
use jasmineridge::Offset;
use jasmineridge::Outcome;
use jasmineridge::Record;
use jasmineridge::RequestKey;
use jasmineridge::Sequence;
use jasmineridge::Tokens;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// One record of the log.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) time: u64,
    pub(crate) batch: Batch,
}

/// What stands in the log, in order. Any part of one is one too, so it shrinks to a part.
#[derive(Clone, Debug)]
pub(crate) struct History(pub(crate) Vec<Entry>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let length = below(g, 1 + g.size() as u64);
        let mut routers = vec![Writer::new(0), Writer::new(1)];
        let mut entries = Vec::new();
        let mut held: Vec<Batch> = Vec::new();
        let mut time = 0;
        for at in 0..length {
            time += below(g, 1000);
            let batch = match below(g, 10) {
                // An append is repeated, or a slow one lands.
                0 if !entries.is_empty() => repeat(g, &entries),
                1 if !held.is_empty() => held.swap_remove(below(g, held.len() as u64) as usize),
                // A router is replaced.
                2 if below(g, 4) == 0 => replace(g, &mut routers),
                _ => {
                    let writer = below(g, routers.len() as u64) as usize;
                    routers[writer].write(g, at)
                }
            };
            match below(g, 12) {
                0 => held.push(batch),
                _ => entries.push(Entry { time, batch }),
            }
        }
        Self(entries)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let entries = self.0.clone();
        let without = (0..entries.len()).map(move |at| {
            let mut fewer = entries.clone();
            fewer.remove(at);
            Self(fewer)
        });
        Box::new(without)
    }
}

/// A router that writes batches.
struct Writer {
    router: Incarnation,
    vm: u64,
    sequence: u64,
}

impl Writer {
    fn new(vm: u64) -> Self {
        let router = Incarnation(vm + 1);
        let sequence = 0;
        Self {
            router,
            vm,
            sequence,
        }
    }

    fn write(&mut self, g: &mut Gen, at: u64) -> Batch {
        self.sequence += 1;
        let mut records = Vec::new();
        if self.sequence == 1 {
            records.push(self.open());
        }
        let more = 1 + below(g, 5);
        records.extend((0..more).map(|_| record(g, at)));
        Batch {
            router: self.router,
            sequence: Sequence(self.sequence),
            records,
        }
    }

    fn open(&self) -> Record {
        Record::Open {
            vm: name("vm", self.vm),
            domain: name("domain", self.vm),
            address: format!("10.0.0.{}:80", self.vm),
        }
    }
}

fn repeat(g: &mut Gen, entries: &[Entry]) -> Batch {
    entries[below(g, entries.len() as u64) as usize]
        .batch
        .clone()
}

/// Starts a new incarnation on the VM of one that is there.
fn replace(g: &mut Gen, routers: &mut Vec<Writer>) -> Batch {
    let vm = below(g, 2);
    let mut writer = Writer::new(vm);
    writer.router = Incarnation(routers.len() as u64 + 1);
    let batch = writer.write(g, 0);
    routers.push(writer);
    batch
}

fn record(g: &mut Gen, at: u64) -> Record {
    match below(g, 26) {
        0 | 1 => Record::TopUp {
            id: name("topup", below(g, 6)),
            team: team(g),
            amount: amount(g),
        },
        2..=4 => Record::Draw {
            team: team(g),
            want: amount(g),
        },
        5 => Record::Return {
            team: team(g),
            amount: Tokens(below(g, 300)),
        },
        6..=12 => Record::Claim(claim(g, at)),
        13 => Record::Release { key: key(g) },
        14 | 15 => Record::Refuse {
            key: key(g),
            attempt: Attempt(below(g, 4)),
        },
        16..=20 => Record::Bill {
            key: key(g),
            amount: amount(g),
            outcome: outcome(g),
        },
        21 if below(g, 3) == 0 => Record::Close {
            router: Incarnation(below(g, 6)),
        },
        22 => Record::Lead {
            pool: name("pool", below(g, 2)),
        },
        23 => Record::Crash {
            request: Fingerprint(below(g, 2)),
            endpoint: name("endpoint", below(g, 3)),
        },
        24 => Record::Lend {
            to: Incarnation(below(g, 4)),
            team: team(g),
            amount: Tokens(below(g, 300)),
            number: below(g, 8),
        },
        _ => Record::Draw {
            team: team(g),
            want: Tokens(100),
        },
    }
}

fn claim(g: &mut Gen, at: u64) -> Claim {
    let key = key(g);
    // Two keys may run twice and two may not; now and then a caller contradicts itself.
    let once = key.key.as_str().ends_with(['2', '3']) ^ (below(g, 40) == 0);
    Claim {
        team: team(g),
        reserved: Tokens(below(g, 150)),
        request: Fingerprint(u64::from(below(g, 30) == 0)),
        seen: Offset(at.saturating_sub(below(g, 8))),
        attempt: Attempt(below(g, 5)),
        idempotent: !once,
        bearer: if below(g, 2) == 0 {
            Bearer::Team
        } else {
            Bearer::House
        },
        key,
    }
}

fn outcome(g: &mut Gen) -> Outcome {
    match below(g, 4) {
        0 => Outcome::Whole,
        1 => Outcome::Cut,
        2 => Outcome::Unknown,
        _ => Outcome::Answered {
            status: 200,
            body: Some(vec![1, 2, 3]),
        },
    }
}

/// Mostly small amounts; some that no sum of two would fit.
fn amount(g: &mut Gen) -> Tokens {
    match below(g, 20) {
        0 => Tokens(u64::MAX - below(g, 2)),
        _ => Tokens(below(g, 1000)),
    }
}

fn key(g: &mut Gen) -> RequestKey {
    RequestKey {
        account: name("account", 0),
        key: name("key", below(g, 4)),
    }
}

fn team(g: &mut Gen) -> jasmineridge::TeamId {
    name("team", below(g, 2))
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

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}
