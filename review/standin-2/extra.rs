//! A faulty runner sends additional bytes where the next answer over a kept channel is expected.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Channel;
use crate::client::Outcome;
use crate::client::Request;
use crate::http::Head;
use crate::play::Play;
use crate::play::Route;
use crate::play::config;
use crate::router::Router;
use crate::runner::Runner;
use crate::runner::Seen;
use crate::runner::Work;
use crate::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ROUTERS: u8 = 3;
const RUNNERS: u8 = 3;

/// One runner of three is faulty, for so many of its answers: a share of 0.33 and x = 0.05.
const FAULTY: u8 = 0;
const EXTRA_EACH: usize = 20;

/// How long it is faulty.
const TROUBLE: Duration = Duration::from_millis(5000);

/// How long a runner works on a request.
const WORK: Duration = Duration::from_millis(15);

/// Callers at each router, and the pause before each of their requests.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(30);

/// Plays the case; returns whether the rule held.
pub fn run(play: &Play) -> io::Result<bool> {
    let (store, address) = Store::start(&play.ip(1))?;
    let route = [Route {
        name: "records",
        kind: "non_idempotent",
        timeout_ms: 600,
        attempts: 1,
        is_engine: false,
    }];
    let account = ("alpha", KEY, ",\"prepaid\":4912792");
    store.put("keyed.op", "config", &config(1, &route, &[account]));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let trouble_until = Arc::new(Mutex::new(None::<Instant>));
    for number in 0..RUNNERS {
        let answers = AtomicUsize::new(0);
        let until = trouble_until.clone();
        let plan = Arc::new(move |_: &Head| {
            let in_trouble = until
                .lock()
                .unwrap()
                .is_some_and(|until| Instant::now() < until);
            let count = answers.fetch_add(1, Ordering::Relaxed);
            match number == FAULTY && in_trouble && count % EXTRA_EACH == 0 {
                true => Work::BodyAndExtra {
                    bytes: 800,
                    after: WORK,
                },
                false => Work::Body {
                    bytes: 800,
                    after: WORK,
                },
            }
        });
        let (ip, id) = (play.ip(10 + number), format!("i-{number}"));
        Runner::start(&store, &ip, &id, "records", plan, seen.clone())?;
    }
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        let (ip, vm) = (play.ip(30 + number), format!("edge-{number}"));
        routers.push(Router::start(&play.root, &play.dir, &ip, &vm, address)?);
    }
    for router in &routers {
        router.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let until = Instant::now() + TROUBLE;
    if play.trouble {
        *trouble_until.lock().unwrap() = Some(until);
        play.note("one runner of three begins to send additional bytes after each 20th answer");
    }
    let mut callers = Vec::new();
    for (number, front) in routers.iter().map(|router| router.front).enumerate() {
        for caller in 0..CALLERS {
            let name = format!("r{number}c{caller}");
            callers.push(thread::spawn(move || ask_until(front, &name, until)));
        }
    }
    let mut outcomes = Vec::new();
    for caller in callers {
        outcomes.extend(caller.join().expect("a caller"));
    }
    thread::sleep(Duration::from_millis(300));
    Ok(report(play, &outcomes, &seen.lock().unwrap()))
}

fn report(play: &Play, outcomes: &[(String, Outcome)], seen: &[Seen]) -> bool {
    play.note_all(outcomes, seen);
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for run in seen {
        *runs.entry(&run.name).or_default() += 1;
    }
    let mut twice = 0;
    let mut refused = 0;
    for (name, outcome) in outcomes {
        let runs = runs.get(name.as_str()).copied().unwrap_or(0);
        let was_refused = matches!(outcome, Outcome::Answered(408 | 421 | 429 | 503));
        twice += usize::from(runs > 1);
        refused += usize::from(was_refused && runs > 0);
    }
    let (sent, ran) = (outcomes.len(), seen.len());
    play.note(&format!("{sent} requests were sent, {ran} runs"));
    play.note(&format!(
        "{twice} ran more than once, {refused} were refused as not run and had run"
    ));
    twice == 0 && refused == 0
}

fn ask_until(front: SocketAddr, name: &str, until: Instant) -> Vec<(String, Outcome)> {
    let mut outcomes = Vec::new();
    let Ok(mut channel) = Channel::open(front) else {
        return outcomes;
    };
    while Instant::now() < until {
        thread::sleep(PAUSE);
        let name = format!("{name}n{}", outcomes.len());
        let headers = format!("Authorization: Bearer {KEY}\r\n");
        let request = Request {
            method: "POST",
            path: "/records/1",
            name: &name,
            deadline: Duration::from_millis(600),
            headers: &headers,
            body: b"a disbursement",
        };
        let outcome = match channel.send(&request) {
            Ok(()) => channel.read(&request, None),
            Err(_) => Outcome::NoAnswer,
        };
        if matches!(
            outcome,
            Outcome::NoAnswer | Outcome::Cut(_) | Outcome::TimedOut
        ) {
            match Channel::open(front) {
                Ok(new) => channel = new,
                Err(_) => return outcomes,
            }
        }
        outcomes.push((name, outcome));
    }
    outcomes
}
