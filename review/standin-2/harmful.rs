//! A request that crashes runners comes again after all routers were killed.

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
use crate::router::SIGKILL;
use crate::runner::Runner;
use crate::runner::Seen;
use crate::runner::Work;
use crate::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ROUTERS: u8 = 3;
const RUNNERS: u8 = 9;

/// The path of the harmful request.
const HARMFUL: &str = "/tiles/harmful";

/// How long a runner is down after a crash.
const DOWN: Duration = Duration::from_millis(2500);

/// How long a runner works on a sound request, and how many callers ask for them at each router.
const SOUND_TIME: Duration = Duration::from_millis(400);
const CALLERS: usize = 6;

/// How often the harmful request comes, at one router after the other.
const INTERVAL: Duration = Duration::from_millis(1000);

/// How many times it comes before a kill, and after.
const TIMES: usize = 12;

/// How many times all routers are killed, and how long they are down.
const KILLS: usize = 2;
const RESTART: Duration = Duration::from_millis(1500);

/// After this time routers are in touch, by the bound `stableWindowMs` of 3 s.
const STABLE: Duration = Duration::from_millis(4000);
const WINDOW: Duration = Duration::from_millis(3000);

/// The retries that may reach runners.
const MOST: usize = 3;

/// Plays the case; returns whether the rule held.
pub fn run(play: &Play) -> io::Result<bool> {
    let (store, address) = Store::start(&play.ip(1))?;
    let route = [Route {
        name: "tiles",
        kind: "non_idempotent",
        timeout_ms: 4000,
        attempts: 1,
        is_engine: false,
    }];
    let account = ("alpha", KEY, ",\"prepaid\":4912792");
    store.put("keyed.op", "config", &config(1, &route, &[account]));
    let seen = Arc::new(Mutex::new(Vec::new()));
    for number in 0..RUNNERS {
        let plan = Arc::new(|head: &Head| match head.target() {
            HARMFUL => Work::Crash {
                events: 0,
                gap: Duration::ZERO,
                down: DOWN,
            },
            _ => Work::Body {
                bytes: 800,
                after: SOUND_TIME,
            },
        });
        let (ip, id) = (play.ip(10 + number), format!("i-{number}"));
        Runner::start(&store, &ip, &id, "tiles", plan, seen.clone())?;
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
    let mut in_touch = Vec::new();
    for phase in 0..=KILLS {
        if phase > 0 && play.trouble {
            routers.iter().for_each(|router| router.signal(SIGKILL));
            play.note("all routers are killed");
            thread::sleep(RESTART);
            for router in &mut routers {
                router.wait()?;
                router.restart()?;
            }
            for router in &routers {
                router.wait_ready()?;
            }
            thread::sleep(STABLE);
            play.note("the routers are ready and have been so for 4 s");
        }
        let begun = Instant::now();
        let until = begun + INTERVAL * TIMES as u32;
        let mut callers = Vec::new();
        for (number, front) in routers.iter().map(|router| router.front).enumerate() {
            for caller in 0..CALLERS {
                let name = format!("p{phase}r{number}c{caller}");
                callers.push(thread::spawn(move || ask_until(front, &name, until)));
            }
        }
        for time in 0..TIMES {
            let router = &routers[time % routers.len()];
            let name = format!("p{phase}t{time}");
            let outcome = ask(router.front, HARMFUL, &name);
            play.note(&format!("{name}, harmful, at {}: {outcome:?}", router.vm));
            thread::sleep(INTERVAL);
        }
        let mut outcomes = Vec::new();
        for caller in callers {
            outcomes.extend(caller.join().expect("a caller"));
        }
        play.note_all(&outcomes, &seen.lock().unwrap());
        let whole = outcomes
            .iter()
            .filter(|(_, outcome)| *outcome == Outcome::Answered(200));
        let (all, whole) = (outcomes.len(), whole.count());
        play.note(&format!(
            "{whole} of {all} sound requests were served meanwhile"
        ));
        in_touch.push((begun, Instant::now()));
    }
    report(play, &seen.lock().unwrap(), &in_touch)
}

fn report(play: &Play, seen: &[Seen], in_touch: &[(Instant, Instant)]) -> io::Result<bool> {
    let runs: Vec<_> = seen.iter().filter(|run| run.path == HARMFUL).collect();
    for run in &runs {
        play.note_at(run.at, &format!("a runner runs {} and crashes", run.name));
    }
    let Some(third) = runs.get(2) else {
        return Err(io::Error::other(
            "the request crashed fewer than three runners",
        ));
    };
    let bound = third.at + WINDOW;
    let is_late = |run: &&&Seen| {
        let sent = |(from, to): &(Instant, Instant)| *from <= run.at && run.at <= *to;
        run.at > bound && in_touch.iter().any(sent)
    };
    let late = runs.iter().filter(is_late).count();
    play.note_at(bound, "the third runner has crashed 3 s ago");
    play.note(&format!(
        "{late} retries reached runners after that, {MOST} may"
    ));
    Ok(late <= MOST)
}

fn ask(front: SocketAddr, path: &str, name: &str) -> Outcome {
    let headers = format!("Authorization: Bearer {KEY}\r\n");
    let request = Request {
        method: "GET",
        path,
        name,
        deadline: Duration::from_secs(4),
        headers: &headers,
        body: b"",
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
        let outcome = ask(front, "/tiles/1", &name);
        outcomes.push((name, outcome));
    }
    outcomes
}
