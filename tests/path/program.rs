//! The daemon's command line: its check, its demo and its exit codes.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use anyhow::Result;
use hyper::Method;
use jasmineridge::DEMO_KEY;
use jasmineridge::KeyHash;
use serde_json::Value;
use serde_json::json;

use crate::PATIENCE;
use crate::client::Client;
use crate::process::Process;
use crate::reply::Reply;
use crate::wait_for;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineridged");

fn settings() -> Value {
    json!({
        "vm": "router-0", "domain": "domain-a", "listen": "127.0.0.1:8080", "peer_listen": "127.0.0.1:8081",
        "log": "http://127.0.0.1:9001", "vms": "http://127.0.0.1:9002",
    })
}

fn file(name: &str, text: &str) -> Result<PathBuf> {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("path-program");
    fs::create_dir_all(&dir)?;
    let path = dir.join(name);
    fs::write(&path, text)?;
    Ok(path)
}

fn run(args: &[&str]) -> Result<Output> {
    Ok(Command::new(DAEMON).args(args).output()?)
}

#[test]
fn the_check_tells_good_settings_from_bad() -> Result<()> {
    let good = file("good.json", &settings().to_string())?;
    let path = good.to_string_lossy();
    let output = run(&["--settings", &path, "--check"])?;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("are good"));
    let cases = [
        ("unknown", json!({"color": "red"}), "color"),
        ("type", json!({"listen": 8080}), "listen"),
        ("host", json!({"log": "http://log-service:9001"}), "log"),
        (
            "range",
            json!({"limits": {"body_bytes": 1}}),
            "limits.body_bytes",
        ),
        ("word", json!({"lean": "lenient"}), "lean"),
    ];
    for (name, change, field) in cases {
        let mut bad = settings();
        for (key, value) in change.as_object().into_iter().flatten() {
            bad[key] = value.clone();
        }
        let bad = file(&format!("{name}.json"), &bad.to_string())?;
        for args in [&["--check"][..], &[]] {
            let path = bad.to_string_lossy();
            let output = run(&[&["--settings", &path], args].concat())?;
            let error = String::from_utf8_lossy(&output.stderr);
            assert_eq!(output.status.code(), Some(1), "{name}: {output:?}");
            assert!(error.contains(field), "{name}: {error}");
        }
    }
    Ok(())
}

#[test]
fn a_wrong_command_line_and_a_missing_file_have_their_codes() -> Result<()> {
    for args in [
        &[][..],
        &["--check"],
        &["--demo", "--settings", "x"],
        &["--no-such"],
    ] {
        let output = run(args)?;
        assert_eq!(output.status.code(), Some(2), "{args:?}: {output:?}");
    }
    let output = run(&["--settings", "/no/such/file.json"])?;
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    Ok(())
}

/// Two routers are set to listen at one address. The second says which, and ends.
#[test]
fn an_address_in_use_ends_it_with_an_error() -> Result<()> {
    let taken = TcpListener::bind("127.0.0.1:0")?;
    let mut bad = settings();
    let address = taken.local_addr()?.to_string();
    bad["listen"] = address.as_str().into();
    let path = file("taken.json", &bad.to_string())?;
    let output = run(&["--settings", &path.to_string_lossy()])?;
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains(&address));
    Ok(())
}

/// Returns an address that was free a moment ago.
fn free() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

#[tokio::test]
async fn the_demo_serves_until_its_budget_is_spent_and_stops() -> Result<()> {
    let listen = free()?;
    let child = Command::new(DAEMON)
        .args(["--demo", "--listen", &listen.to_string()])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let mut demo = Process::of(child);
    let http = Client::new(listen);
    wait_for("the demo's team has its budget", PATIENCE, async || {
        let status = http.get("/v1/status").await?.json;
        Ok(status["teams"][0]["prepaid"].as_u64() > Some(0))
    })
    .await?;
    let bearer = format!("Bearer {DEMO_KEY}");
    let body = json!({"model": "demo", "stream": true, "max_tokens": 100,
        "messages": [{"role": "user", "content": "Who may borrow?"}]});
    let mut kinds = Vec::new();
    for number in 0..10 {
        let key = format!("demo-{number}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", key.as_str()),
            ("jasmineridge-attempt", "1"),
        ];
        let path = "/v1/chat/completions";
        let text = body.to_string();
        let answer = http.open(Method::POST, path, &headers, text.as_bytes());
        let reply = Reply::read(answer.await?).await?;
        if reply.status == 200 {
            assert!(reply.whole && reply.text().contains("[DONE]"), "{reply:?}");
        } else {
            reply.assert_problem(402, "budget-spent", "no");
        }
        kinds.push(reply.status);
    }
    assert_eq!(kinds[0], 200, "{kinds:?}");
    assert_eq!(kinds[9], 402, "{kinds:?}");
    demo.signal("TERM")?;
    let mut code = None;
    wait_for("the demo ended", PATIENCE, async || {
        code = demo.ended()?.map(|status| status.code());
        Ok(code.is_some())
    })
    .await?;
    assert_eq!(code, Some(Some(0)));
    Ok(())
}

/// Someone on the callers' network finds the operators' paths. With a key set, no order is taken without it, not even on
/// the router's own VM; callers' addresses are told to anyone.
#[tokio::test]
async fn orders_need_the_operators_key_where_one_is_set() -> Result<()> {
    let (_log, log) = Process::stand_in("log")?;
    let (_vms, vms) = Process::stand_in("vms")?;
    let mut settings = settings();
    settings["listen"] = "127.0.0.1:0".into();
    settings["peer_listen"] = "127.0.0.1:0".into();
    settings["log"] = format!("http://{}", log[0]).into();
    settings["vms"] = format!("http://{}", vms[0]).into();
    settings["admin_key_sha256"] = KeyHash::of("operators").to_string().into();
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let (_router, [address, _]) = Process::router(&dir, "path-orders", &settings).await?;
    let http = Client::new(address);
    let serves = async || Ok(http.get("/v1/address").await?.status == 200);
    wait_for("it serves", PATIENCE, serves).await?;
    let orders = [
        (Method::GET, "/v1/status", 200),
        (Method::GET, "/v1/admin/teams", 200),
        (Method::GET, "/v1/admin/config", 200),
        (Method::POST, "/v1/admin/teams/loans/top-ups", 404),
        (Method::POST, "/v1/admin/drain", 202),
    ];
    let body = json!({"id": "t1", "amount": 5}).to_string();
    for (method, path, with_key) in orders {
        for (key, status) in [
            (None, 403),
            (Some("Bearer wrong"), 403),
            (Some("Bearer operators"), with_key),
        ] {
            let headers: Vec<_> = key.map(|key| ("authorization", key)).into_iter().collect();
            let answer = http.open(method.clone(), path, &headers, body.as_bytes());
            let answer = answer.await?.status().as_u16();
            assert_eq!(answer, status, "{path} with {key:?}");
        }
    }
    Ok(())
}
