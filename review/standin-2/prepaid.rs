//! A client account gets a budget while its streams run.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Channel;
use crate::client::Outcome;
use crate::client::Request;
use crate::play::Play;
use crate::play::Route;
use crate::play::config;
use crate::router::Router;
use crate::runner::Runner;
use crate::runner::Work;
use crate::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ROUTERS: u8 = 3;
const RUNNERS: u8 = 3;

/// Callers with a channel of their own at each router.
const CALLERS: usize = 8;

/// How long after each other they begin.
const STAGGER: Duration = Duration::from_millis(50);

/// A stream takes two seconds.
const EVENTS: usize = 20;
const GAP: Duration = Duration::from_millis(100);

/// The streams that each caller asks for, one after the other, over its channel.
const STREAMS: usize = 4;

/// When the configuration changes, after the callers have begun.
const CHANGE: Duration = Duration::from_secs(3);

/// The most requests that a machine may cut, by the rule.
const MOST_CUT: usize = 3;

struct Ended {
    at: Instant,
    router: usize,
    name: String,
    outcome: Outcome,
    kept: bool,
}

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
    store.put(
        "keyed.op",
        "config",
        &config(1, &route, &[("alpha", KEY, "")]),
    );
    let seen = Arc::new(Mutex::new(Vec::new()));
    for number in 0..RUNNERS {
        let plan = Arc::new(|_: &_| Work::Stream {
            events: EVENTS,
            gap: GAP,
        });
        Runner::start(
            &store,
            &play.ip(10 + number),
            &format!("i-{number}"),
            "chat",
            plan,
            seen.clone(),
        )?;
    }
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        let vm = format!("edge-{number}");
        routers.push(Router::start(
            &play.root,
            &play.dir,
            &play.ip(30 + number),
            &vm,
            address,
        )?);
    }
    for router in &routers {
        router.wait_ready()?;
    }
    // Routers count as stable after three seconds.
    thread::sleep(Duration::from_secs(4));
    play.note("version 1 is in force: the tenant alpha has no prepaid");
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (router, front) in routers.iter().map(|router| router.front).enumerate() {
        for caller in 0..CALLERS {
            let ended = ended.clone();
            callers.push(thread::spawn(move || {
                thread::sleep(STAGGER * caller as u32);
                let Ok(mut channel) = Channel::open(front) else {
                    return;
                };
                for stream in 0..STREAMS {
                    let name = format!("r{router}c{caller}s{stream}");
                    let headers = format!(
                        "Authorization: Bearer {KEY}\r\nModel: m\r\nToken-Counts: 1460,160\r\n"
                    );
                    let request = Request {
                        method: "POST",
                        path: "/chat/2f",
                        name: &name,
                        deadline: Duration::from_secs(12),
                        headers: &headers,
                        body: b"a question",
                    };
                    let outcome = match channel.send(&request) {
                        Ok(()) => channel.read(&request, None),
                        Err(_) => Outcome::NoAnswer,
                    };
                    let is_over = !matches!(outcome, Outcome::Answered(_));
                    ended.lock().unwrap().push(Ended {
                        at: Instant::now(),
                        router,
                        name,
                        outcome,
                        kept: stream > 0,
                    });
                    if is_over {
                        return;
                    }
                }
            }));
        }
    }
    thread::sleep(CHANGE);
    if play.trouble {
        let changed = config(2, &route, &[("alpha", KEY, ",\"prepaid\":4912792")]);
        store.put("keyed.op", "config", &changed);
        play.note("version 2 is acknowledged: alpha has a prepaid of 4912792");
    }
    for caller in callers {
        let _ = caller.join();
    }
    // A process that panics writes where before it ends.
    thread::sleep(Duration::from_secs(1));
    report(
        play,
        &mut routers,
        &ended.lock().unwrap(),
        &seen.lock().unwrap(),
    )
}

fn report(
    play: &Play,
    routers: &mut [Router],
    ended: &[Ended],
    seen: &[crate::runner::Seen],
) -> io::Result<bool> {
    for run in seen {
        play.note_at(
            run.at,
            &format!("a runner runs {}; it ended: {:?}", run.name, run.end),
        );
    }
    let mut holds = true;
    for (number, router) in routers.iter_mut().enumerate() {
        let mut cut = 0;
        for end in ended.iter().filter(|end| end.router == number) {
            let Ended {
                name,
                outcome,
                kept,
                ..
            } = end;
            play.note_at(
                end.at,
                &format!(
                    "{} ends {name} (kept channel: {kept}): {outcome:?}",
                    router.vm
                ),
            );
            let was_run = seen.iter().any(|run| run.name == *name);
            let is_cut = matches!(outcome, Outcome::Cut(_) | Outcome::NoAnswer);
            cut += usize::from(is_cut && was_run && *kept);
        }
        if let Some(status) = router.ended()? {
            play.note(&format!("{} has ended by itself: {status}", router.vm));
            play.note(&format!("it wrote: {}", router.panic().unwrap_or_default()));
        }
        play.note(&format!(
            "{}: {cut} requests from kept channels cut, {MOST_CUT} may be",
            router.vm
        ));
        holds &= cut <= MOST_CUT;
    }
    let whole = ended
        .iter()
        .filter(|end| end.outcome == Outcome::Answered(200))
        .count();
    play.note(&format!("{whole} of {} streams were whole", ended.len()));
    if !play.trouble && whole != usize::from(ROUTERS) * CALLERS * STREAMS {
        return Err(io::Error::other(
            "without the disruption not all streams are whole",
        ));
    }
    Ok(holds)
}
