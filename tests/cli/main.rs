//! The operators' command line, as a process, against small fakes of the log service and of a router.

#![expect(
    clippy::disallowed_methods,
    reason = "the tests start the command line, and servers for it"
)]

mod ask;
mod config;
mod fake;
mod ledger;
mod log;
mod router;

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;

/// What a command did.
#[derive(Debug)]
struct Done {
    code: Option<i32>,
    out: String,
    err: String,
}

impl Done {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// Runs the command line against a log service and a router, either of which may be nothing.
fn run(log: &str, router: &str, args: &[&str]) -> Done {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jasmineridge"));
    command
        .args(args)
        .env_clear()
        .env("JASMINERIDGE_KEY", "caller");
    for (name, value) in [("JASMINERIDGE_LOG", log), ("JASMINERIDGE_ROUTER", router)] {
        if !value.is_empty() {
            command.env(name, value);
        }
    }
    command.env("JASMINERIDGE_ADMIN_KEY", "operator");
    let output = command.output().expect("it can be started");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Done {
        code: output.status.code(),
        out: text(&output.stdout),
        err: text(&output.stderr),
    }
}

/// Writes a file of a test; its name must be the test's own.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("it can be written");
    path.to_string_lossy().into_owned()
}

#[test]
fn checks_files() {
    let settings = r#"{"vm": "vm-1", "domain": "a", "listen": "127.0.0.1:1",
        "peer_listen": "127.0.0.1:2", "log": "http://127.0.0.1:3", "vms": "http://127.0.0.1:4"}"#;
    let sound = file("check-sound.json", settings);
    let done = run("", "", &["check", &sound, "--json"]);
    assert_eq!(
        (done.code, done.json()["holds"].as_str()),
        (Some(0), Some("settings"))
    );
    let wrong = file(
        "check-wrong.json",
        &settings.replace("127.0.0.1:3", "log:3"),
    );
    let done = run("", "", &["check", &wrong]);
    assert_eq!(done.code, Some(4));
    assert!(
        done.err
            .contains("log: found \"http://log:3\"; allowed: http://ip:port"),
        "{done:?}"
    );
    assert_eq!(run("", "", &["check", "no-such-file"]).code, Some(1));
}

#[test]
fn tells_a_wrong_command_line() {
    assert_eq!(run("", "", &["check"]).code, Some(2));
    assert_eq!(
        run("", "", &["team", "top-up", "lending", "7"]).code,
        Some(2)
    );
    assert_eq!(
        run("", "", &["--log", "http://log:1", "config", "get"]).code,
        Some(2)
    );
    let done = run("", "", &["address"]);
    assert_eq!(done.code, Some(1));
    assert!(done.err.contains("JASMINERIDGE_ROUTER"), "{done:?}");
}

#[test]
fn completes_in_each_shell() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let done = run("", "", &["completions", shell]);
        assert_eq!(done.code, Some(0));
        assert!(done.out.contains("top-up"), "{shell}");
    }
}

#[test]
fn documents_each_command() {
    let page = include_str!("../../docs/CLI.md");
    let help = run("", "", &["--help"]).out;
    let commands = help.split("Commands:").nth(1).expect("it lists them");
    let commands = commands.split("\n\n").next().expect("they end");
    for line in commands.lines().filter(|line| !line.trim().is_empty()) {
        let name = line.split_whitespace().next().expect("it is not empty");
        assert!(
            name == "help" || page.contains(&format!("jasmineridge {name}")),
            "{name}"
        );
    }
}
