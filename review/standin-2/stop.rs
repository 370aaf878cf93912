//! A router is told to stop while callers on slow links read answers.

use std::io;
use std::net::TcpStream;
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
use crate::proxy;
use crate::router::Router;
use crate::router::SIGTERM;
use crate::runner::Runner;
use crate::runner::Seen;
use crate::runner::Work;
use crate::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ROUTERS: u8 = 3;
const RUNNERS: u8 = 3;
const CALLERS: usize = 4;

/// An answer's size, and how many bytes a second a caller's link carries: nearly six seconds.
const BYTES: usize = 4_000_000;
const RATE: usize = 700_000;

/// The paths of requests with small and with large answers.
const SMALL: &str = "/tiles/1";
const LARGE: &str = "/tiles/2";

/// How long the runner works on a request.
const WORK: Duration = Duration::from_millis(60);

/// How long after the signal the requests are sent. Clients use an address for three seconds and longer.
const SENT_AFTER: Duration = Duration::from_millis(600);

/// The time limit of a request, and its route's.
const DEADLINE: Duration = Duration::from_secs(10);

/// Plays the case; returns whether the rule held.
pub fn run(play: &Play) -> io::Result<bool> {
    let (store, address) = Store::start(&play.ip(1))?;
    let route = [Route {
        name: "tiles",
        kind: "non_idempotent",
        timeout_ms: DEADLINE.as_millis() as u64,
        attempts: 1,
        is_engine: false,
    }];
    let account = ("alpha", KEY, ",\"prepaid\":4912792");
    store.put("keyed.op", "config", &config(1, &route, &[account]));
    let seen = Arc::new(Mutex::new(Vec::new()));
    for number in 0..RUNNERS {
        let plan = Arc::new(|head: &Head| Work::Body {
            bytes: if head.target() == SMALL { 800 } else { BYTES },
            after: WORK,
        });
        let id = format!("i-{number}");
        let ip = play.ip(10 + number);
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
    // Routers count as stable after three seconds.
    thread::sleep(Duration::from_secs(4));
    let mut channels = Vec::new();
    for caller in 0..CALLERS {
        let link = proxy::start(&play.ip(50), routers[0].front, RATE)?;
        let mut channel = Channel::of(TcpStream::connect(link)?)?;
        let (outcome, _, _) = ask(&mut channel, SMALL, &format!("first-{caller}"));
        play.note(&format!(
            "first-{caller} over the same channel: {outcome:?}"
        ));
        channels.push(channel);
    }
    if play.trouble {
        routers[0].signal(SIGTERM);
        play.note("edge-0 gets SIGTERM");
    }
    thread::sleep(SENT_AFTER);
    let callers: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(caller, mut channel)| {
            thread::spawn(move || ask(&mut channel, LARGE, &format!("second-{caller}")))
        })
        .collect();
    let ended = play.trouble.then(|| routers[0].wait()).transpose()?;
    if let Some(status) = ended {
        play.note(&format!("edge-0 has ended: {status}"));
    }
    let mut holds = true;
    for (caller, thread) in callers.into_iter().enumerate() {
        let (outcome, sent, end) = thread.join().expect("a caller");
        let name = format!("second-{caller}");
        let run = find(&seen.lock().unwrap(), &name);
        play.note_at(sent, &format!("{name} is sent to edge-0"));
        if let Some(run) = &run {
            let end = run.end;
            play.note_at(run.at, &format!("a runner runs {name}; it ended: {end:?}"));
        }
        play.note_at(end, &format!("{name}: {outcome:?} of {BYTES} bytes"));
        let in_time = end < sent + DEADLINE;
        let whole_run = run.is_some_and(|run| run.end == Some("whole"));
        let is_cut = matches!(outcome, Outcome::Cut(_) | Outcome::NoAnswer);
        holds &= !(is_cut && whole_run && in_time);
    }
    Ok(holds)
}

fn ask(channel: &mut Channel, path: &str, name: &str) -> (Outcome, Instant, Instant) {
    let headers = format!("Authorization: Bearer {KEY}\r\n");
    let request = Request {
        method: "POST",
        path,
        name,
        deadline: DEADLINE,
        headers: &headers,
        body: b"a question",
    };
    let sent = Instant::now();
    let outcome = match channel.send(&request) {
        Ok(()) => channel.read(&request, None),
        Err(_) => Outcome::NoAnswer,
    };
    (outcome, sent, Instant::now())
}

fn find(seen: &[Seen], name: &str) -> Option<Seen> {
    seen.iter().find(|run| run.name == name).cloned()
}
