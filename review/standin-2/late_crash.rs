//! A request crashes its runner in the middle of its stream, and comes again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
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
const RUNNERS: u8 = 9;

/// The path of the harmful request, and of sound ones.
const HARMFUL: &str = "/chat/harmful";
const SOUND: &str = "/chat/sound";

/// A stream has so many events, and the harmful one fewer: it crashes its runner 0.9 s after the first.
const GAP: Duration = Duration::from_millis(100);
const EVENTS: usize = 15;
const HARMFUL_EVENTS: usize = 10;

/// How long a runner is down after a crash.
const DOWN: Duration = Duration::from_millis(2500);

/// How often the harmful request comes, at one router after the other, and how many times.
const INTERVAL: Duration = Duration::from_millis(2000);
const TIMES: usize = 16;

/// How many callers ask for sound streams at each router.
const CALLERS: usize = 6;

/// After this time routers are in touch, by the bound `stableWindowMs` of 3 s.
const STABLE: Duration = Duration::from_millis(4000);
const WINDOW: Duration = Duration::from_millis(3000);

/// The retries that may reach runners.
const MOST: usize = 3;

/// Plays the case; returns whether the rule held.
pub fn run(play: &Play) -> io::Result<bool> {
    let (store, address) = Store::start(&play.ip(1))?;
    let route = [Route {
        name: "chat",
        kind: "streaming",
        timeout_ms: 12_000,
        attempts: 1,
        is_engine: true,
    }];
    let account = ("alpha", KEY, ",\"prepaid\":4912792");
    store.put("keyed.op", "config", &config(1, &route, &[account]));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let trouble = play.trouble;
    for number in 0..RUNNERS {
        let plan = Arc::new(move |head: &Head| match head.target() {
            HARMFUL if trouble => Work::Crash {
                events: HARMFUL_EVENTS,
                gap: GAP,
                down: DOWN,
            },
            _ => Work::Stream {
                events: EVENTS,
                gap: GAP,
            },
        });
        let (ip, id) = (play.ip(10 + number), format!("i-{number}"));
        Runner::start(&store, &ip, &id, "chat", plan, seen.clone())?;
    }
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        let (ip, vm) = (play.ip(30 + number), format!("edge-{number}"));
        routers.push(Router::start(&play.root, &play.dir, &ip, &vm, address)?);
    }
    for router in &routers {
        router.wait_ready()?;
    }
    thread::sleep(STABLE);
    let until = Instant::now() + INTERVAL * TIMES as u32;
    let mut callers = Vec::new();
    for (number, front) in routers.iter().map(|router| router.front).enumerate() {
        for caller in 0..CALLERS {
            let name = format!("r{number}c{caller}");
            callers.push(thread::spawn(move || ask_until(front, &name, until)));
        }
    }
    for time in 0..TIMES {
        let next = Instant::now() + INTERVAL;
        let router = &routers[time % routers.len()];
        let name = format!("t{time}");
        let outcome = ask(router.front, HARMFUL, &name);
        play.note(&format!("{name}, harmful, at {}: {outcome:?}", router.vm));
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let mut outcomes = Vec::new();
    for caller in callers {
        outcomes.extend(caller.join().expect("a caller"));
    }
    let seen = seen.lock().unwrap();
    play.note_all(&outcomes, &seen);
    let whole = outcomes
        .iter()
        .filter(|(_, outcome)| *outcome == Outcome::Answered(200));
    let (all, whole) = (outcomes.len(), whole.count());
    play.note(&format!("{whole} of {all} sound streams were whole"));
    report(play, &seen)
}

fn report(play: &Play, seen: &[Seen]) -> io::Result<bool> {
    let runs: Vec<_> = seen.iter().filter(|run| run.path == HARMFUL).collect();
    for run in &runs {
        let end = run.end;
        play.note_at(
            run.at,
            &format!("a runner runs {}; it ended: {end:?}", run.name),
        );
    }
    let crashes: Vec<_> = runs
        .iter()
        .filter(|run| run.end == Some("crashed"))
        .collect();
    let Some(third) = crashes.get(2) else {
        let count = crashes.len();
        play.note(&format!("the request crashed {count} runners"));
        return Ok(true);
    };
    let bound = third.at + GAP * HARMFUL_EVENTS as u32 + WINDOW;
    let late = runs.iter().filter(|run| run.at > bound).count();
    play.note_at(bound, "the third runner has crashed 3 s ago");
    play.note(&format!(
        "{late} retries reached runners after that, {MOST} may"
    ));
    Ok(late <= MOST)
}

fn ask(front: SocketAddr, path: &str, name: &str) -> Outcome {
    let headers = format!("Authorization: Bearer {KEY}\r\nModel: m\r\nToken-Counts: 1460,160\r\n");
    let request = Request {
        method: "POST",
        path,
        name,
        deadline: Duration::from_secs(12),
        headers: &headers,
        body: b"a question",
    };
    let Ok(mut channel) = Channel::open(front) else {
        return Outcome::NoAnswer;
    };
    match channel.send(&request) {
        Ok(()) => channel.read(&request, None),
        Err(_) => Outcome::NoAnswer,
    }
}

/// Asks for sound requests, one after the other; returns how each ended.
fn ask_until(front: SocketAddr, name: &str, until: Instant) -> Vec<(String, Outcome)> {
    let mut outcomes = Vec::new();
    while Instant::now() < until {
        let name = format!("{name}n{}", outcomes.len());
        let outcome = ask(front, SOUND, &name);
        if outcome != Outcome::Answered(200) {
            // Clients that are refused wait before they ask again.
            thread::sleep(Duration::from_millis(200));
        }
        outcomes.push((name, outcome));
    }
    outcomes
}
