//! Plays of the review's cases: routers as processes, and stand-ins for all that surrounds them.

mod client;
mod extra;
mod harmful;
mod http;
mod late_crash;
mod play;
mod prepaid;
mod router;
mod runner;
mod store;

use std::env;
use std::process::ExitCode;

use crate::play::Play;

/// Exit codes: the rule held, it was broken, the case could not run.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const FAILED: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: standin CASE ROOT RECORD");
        return ExitCode::from(FAILED);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Play::new(root.into(), record, trouble).and_then(|play| {
        let held = match case.as_str() {
            "late-crash" => late_crash::run(&play),
            "extra" => extra::run(&play),
            "prepaid" => prepaid::run(&play),
            "harmful" => harmful::run(&play),
            _ => Err(std::io::Error::other("no such case")),
        };
        match &held {
            Ok(held) => play.note(if *held {
                "the rule held"
            } else {
                "the rule was broken"
            }),
            Err(error) => play.note(&format!("the case could not run: {error}")),
        }
        held
    });
    ExitCode::from(match played {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(error) => {
            eprintln!("{error}");
            FAILED
        }
    })
}
