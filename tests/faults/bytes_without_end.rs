//! Endpoints that send bytes without end, and what that does to the other requests of their router.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use futures::future::join_all;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::DEADLINE_MS;
use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::put_endpoint;
use crate::platform::read_head;
use crate::platform::request;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;

/// The VM of the first router, which no other test uses.
const VM: usize = 122;
/// What a process on such a VM may use, in megabytes.
const MEMORY_MB: u64 = 260;
/// How many requests are answered without end at once, and how many sound ones come meanwhile.
const ENDLESS: usize = 40;
const SOUND: usize = 20;
const ENDPOINTS: usize = 4;

/// The services whose answers have no end, one that is sound, and how the requests of the former may be repeated.
const SERVICES: [(&str, &str); 3] = [
    ("records", "idempotent"),
    ("calls", "non_idempotent"),
    ("streams", "streaming"),
];
const SOUND_SERVICE: &str = "sound";

/// How an answer goes on that has no end: its head, if it has one, and what is sent again and again.
fn endless(form: &str, common: &str) -> (String, String) {
    let head = |status: &str, more: &str| format!("HTTP/1.1 {status}\r\n{common}{more}\r\n");
    match form {
        "unframed" => (head("200 OK", ""), "x".repeat(1 << 16)),
        "long" => (
            head("200 OK", "content-length: 1099511627776\r\n"),
            "x".repeat(1 << 16),
        ),
        "failure" => (head("500 Failed", ""), "x".repeat(1 << 16)),
        "chunked" => {
            let chunk = format!("10000\r\n{}\r\n", "x".repeat(1 << 16));
            (head("200 OK", "transfer-encoding: chunked\r\n"), chunk)
        }
        "interim" => {
            let interim = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
            (String::new(), interim.repeat(1 << 10))
        }
        _ => (
            head("200 OK", "transfer-encoding: chunked\r\n"),
            "0".repeat(1 << 16),
        ),
    }
}

async fn serve(mut stream: TcpStream) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let name = header(&head, "request-id").unwrap_or("none");
        let common = format!("response-seal: 1\r\nrequest-id: {name}\r\n");
        let Some(form) = name.strip_prefix("endless-") else {
            let answer = format!("HTTP/1.1 200 OK\r\n{common}content-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await?;
            continue;
        };
        let form = form.split('-').next().unwrap_or_default();
        let (head, piece) = endless(form, &common);
        stream.write_all(head.as_bytes()).await?;
        loop {
            stream.write_all(piece.as_bytes()).await?;
        }
    }
}

async fn start(vm: usize) -> Result<(Router, Store)> {
    let (store, at) = Store::start().await?;
    let routes = SERVICES.iter().chain(&[(SOUND_SERVICE, "non_idempotent")]);
    let routes: Vec<_> = routes.map(|(name, kind)| route(name, kind)).collect();
    put_config(&store, &routes);
    for (service, _) in SERVICES.iter().chain(&[(SOUND_SERVICE, "")]) {
        for number in 0..ENDPOINTS {
            let endpoint = start_endpoint(serve).await?;
            put_endpoint(&store, &format!("{service}-{number}"), service, endpoint);
        }
    }
    let settings = json!({
        "retry_ratio": 0.2, "retry_spare": 50.0, "retry_window_ms": 2000, "memory_mb": MEMORY_MB,
    });
    let router = Router::start(vm, at, &settings)?;
    router.wait_serving(SOUND_SERVICE).await?;
    Ok((router, store))
}

/// Returns the most memory that a process has used so far, in megabytes.
fn peak_memory(router: &Router) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", router.process.0.id()))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.context("no peak")?.trim();
    let kilobytes: u64 = peak.trim_end_matches(" kB").parse()?;
    Ok(kilobytes / 1000)
}

/// Returns how many of the sound requests are served, each asked some milliseconds after the last one.
async fn ask_sound(front: SocketAddr) -> usize {
    let asked = (0..SOUND).map(|number| async move {
        sleep(Duration::from_millis(300 + 50 * number as u64)).await;
        let path = format!("{SOUND_SERVICE}/x");
        let answer = ask(front, &path, &format!("sound-{number}")).await;
        answer.is_ok_and(|answer| answer.contains(" 200 "))
    });
    let served = join_all(asked).await;
    served.into_iter().filter(|served| *served).count()
}

/// Returns how many requests whose answers have no end got one from the router, within their deadline and a second more.
async fn ask_endless(front: SocketAddr, service: &str, form: &str) -> usize {
    let asked = (0..ENDLESS).map(|number| async move {
        let name = format!("endless-{form}-{number}");
        let mut answer = vec![0];
        let exchange = async {
            let mut stream = TcpStream::connect(front).await?;
            let path = format!("{service}/x");
            stream.write_all(request(&path, &name).as_bytes()).await?;
            stream.read(&mut answer).await
        };
        let limit = Duration::from_millis(DEADLINE_MS + 1000);
        matches!(timeout(limit, exchange).await, Ok(Ok(1)))
    });
    let answered = join_all(asked).await;
    answered.into_iter().filter(|answered| *answered).count()
}

async fn check(vm: usize, forms: &[(&str, &str)]) -> Result<()> {
    let (router, _store) = start(vm).await?;
    let mut wrong = Vec::new();
    for (service, form) in forms {
        let (answered, sound) = tokio::join!(
            ask_endless(router.front, service, form),
            ask_sound(router.front)
        );
        let peak = peak_memory(&router)?;
        println!(
            "measure=bytes-without-end service={service} form={form} peak_mb={peak} sound={sound} answered={answered}"
        );
        if peak > MEMORY_MB || sound < SOUND || answered < ENDLESS {
            wrong.push(format!(
                "{service} {form}: {peak} MB, {sound} served, {answered} answered"
            ));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

/// Guards against answers without end that together take all of a router's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_without_end_leave_memory_for_the_others() -> Result<()> {
    let forms = ["unframed", "long", "failure", "chunked"];
    let forms = forms.map(|form| ("records", form));
    let others = [("calls", "unframed"), ("streams", "failure")];
    check(VM, &[&forms[..], &others[..]].concat()).await
}

/// Guards against a router that reads on as long as an endpoint sends, and does nothing else meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_without_end_leave_time_for_the_others() -> Result<()> {
    let services = ["records", "calls", "streams"];
    let forms = services.map(|service| [(service, "interim"), (service, "zeros")]);
    check(VM + 1, &forms.concat()).await
}
