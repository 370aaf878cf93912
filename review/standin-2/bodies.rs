//! All callers of a site send large bodies to one router.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

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
use crate::runner::Work;
use crate::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const RUNNERS: u8 = 3;

/// The callers of ikaze-lending.
const CALLERS: usize = 57;

/// The size of a body.
const BYTES: usize = 4_000_000;

/// How long a runner works on a request.
const WORK: Duration = Duration::from_millis(3000);

/// The memory of a machine, in KiB.
const MEMORY_KB: usize = 260 * 1000;

/// Plays the case; returns whether the rule held.
pub fn run(play: &Play) -> io::Result<bool> {
    let (store, address) = Store::start(&play.ip(1))?;
    let route = [Route {
        name: "records",
        kind: "non_idempotent",
        timeout_ms: 12_000,
        attempts: 1,
        is_engine: false,
    }];
    let account = ("alpha", KEY, ",\"prepaid\":4912792");
    store.put("keyed.op", "config", &config(1, &route, &[account]));
    let seen = Arc::new(Mutex::new(Vec::new()));
    for number in 0..RUNNERS {
        let plan = Arc::new(|_: &Head| Work::Body {
            bytes: 800,
            after: WORK,
        });
        let (ip, id) = (play.ip(10 + number), format!("i-{number}"));
        Runner::start(&store, &ip, &id, "records", plan, seen.clone())?;
    }
    let mut router = Router::start(&play.root, &play.dir, &play.ip(30), "edge-0", address)?;
    router.wait_ready()?;
    thread::sleep(Duration::from_secs(4));
    let size = if play.trouble { BYTES } else { 12_000 };
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let front = router.front;
            thread::spawn(move || {
                let name = format!("c{caller}");
                let headers = format!("Authorization: Bearer {KEY}\r\n");
                let request = Request {
                    method: "POST",
                    path: "/records/1",
                    name: &name,
                    deadline: Duration::from_secs(12),
                    headers: &headers,
                    body: &vec![b'x'; size],
                };
                let Ok(mut channel) = Channel::open(front) else {
                    return Outcome::NoAnswer;
                };
                match channel.send(&request) {
                    Ok(()) => channel.read(&request, None),
                    Err(_) => Outcome::NoAnswer,
                }
            })
        })
        .collect();
    let over = Arc::new(AtomicBool::new(false));
    let mut most = 0;
    for _ in 0..160 {
        most = most.max(router.memory_kb());
        if most > MEMORY_KB && !over.swap(true, Ordering::Relaxed) {
            play.note(&format!("edge-0 has {most} KiB and is killed"));
            router.signal(SIGKILL);
        }
        thread::sleep(Duration::from_millis(50));
    }
    play.note(&format!("edge-0 had {most} KiB at most"));
    for caller in callers {
        play.note(&format!("{:?}", caller.join().expect("a caller")));
    }
    let _ = router.ended()?;
    Ok(!over.load(Ordering::Relaxed))
}
