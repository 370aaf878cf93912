//! Odd records in the store, which another writer left there.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::LIMIT;
use crate::platform::Router;
use crate::platform::ask;
use crate::platform::header;
use crate::platform::put_config;
use crate::platform::read_head;
use crate::platform::route;
use crate::platform::start_endpoint;
use crate::store::Store;
use crate::wait_for;

/// The topics of endpoints, of routers and of the operator.
const ENDPOINTS: &str = "keyed.servers";
const ROUTERS: &str = "keyed.routers";
const OPERATOR: &str = "keyed.op";

/// All topics that routers read.
const TOPICS: [&str; 6] = [
    ENDPOINTS,
    ROUTERS,
    OPERATOR,
    "keyed.grants",
    "keyed.versions",
    "streams",
];

/// The levels of a deeply nested value, and the length of a long one.
const DEPTH: usize = 100_000;
const LENGTH: usize = 300_000;

/// How many lines of a router's logs may say that an entry is unreadable.
const MAX_LINES: usize = 1000;

/// The longest line of a router's logs, in bytes.
const MAX_LINE: usize = 16_384;

/// How many entries come at once.
const MANY: usize = 10_000;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The VMs of the routers, which the tests of this file use one after another.
static VMS: Mutex<[usize; 2]> = Mutex::const_new([213, 137]);

/// How long an unreadable entry must change nothing.
const KEPT: Duration = Duration::from_millis(1500);

/// Answers each request with a word.
async fn serve(mut stream: TcpStream, word: &'static str) -> Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let name = header(&head, "request-id").unwrap_or("none");
        let length = word.len();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\nrequest-id: {name}\r\ncontent-length: {length}\r\n\r\n{word}"
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

async fn start(word: &'static str) -> Result<SocketAddr> {
    start_endpoint(move |stream| serve(stream, word)).await
}

/// Returns the entry of an endpoint.
fn entry(service: &str, address: SocketAddr, sequence: u64) -> Value {
    json!({
        "service": service, "address": address, "zone": "domain-0", "version": "v1", "slots": 100,
        "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": 1,
    })
}

fn start_router(vm: usize, store: SocketAddr) -> Result<Router> {
    let retries = json!({"retry_ratio": 0.2, "retry_spare": 10.0, "retry_window_ms": 2000});
    Router::start(vm, store, &retries)
}

/// Waits until a service's requests are answered with a word.
async fn wait_answered(router: &Router, service: &str, word: &str) -> Result<()> {
    let path = format!("{service}/x");
    wait_for("the endpoint answers", LIMIT, async || {
        let answer = ask(router.front, &path, "request").await?;
        Ok(answer.ends_with(word))
    })
    .await?;
    Ok(())
}

/// Guards against an endpoint that is never seen to move, to leave or to change its version, because one record under its
/// name had a number or a start that is too high.
#[tokio::test]
async fn heartbeats_count_again_after_a_number_that_is_too_high() -> Result<()> {
    let vms = VMS.lock().await;
    let vm = vms[0];
    let (store, at) = Store::start().await?;
    let (first, second) = (start("first").await?, start("second").await?);
    let fields = ["sequence", "born"];
    put_config(&store, &fields.map(|field| route(field, "idempotent")));
    for field in fields {
        store.put(ENDPOINTS, field, &entry(field, first, 1));
    }
    let router = start_router(vm, at)?;
    for field in fields {
        wait_answered(&router, field, "first").await?;
        let mut odd = entry(field, first, 2);
        odd[field] = json!(u64::MAX);
        store.put(ENDPOINTS, field, &odd);
    }
    let beating = store.clone();
    tokio::spawn(async move {
        for sequence in 3.. {
            for field in fields {
                beating.put(ENDPOINTS, field, &entry(field, second, sequence));
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    for field in fields {
        wait_answered(&router, field, "second").await?;
    }
    Ok(())
}

/// Guards against a pool without endpoints because their newest entries cannot be read, and against an endpoint that stays
/// in use although its entries cannot be read for long.
#[tokio::test]
async fn an_endpoint_stays_until_its_entries_are_unreadable_for_long() -> Result<()> {
    let vms = VMS.lock().await;
    let (store, at) = Store::start().await?;
    let address = start("answer").await?;
    put_config(&store, &[route("pool", "idempotent")]);
    store.put(ENDPOINTS, "pool", &entry("pool", address, 1));
    let router = start_router(vms[0], at)?;
    wait_answered(&router, "pool", "answer").await?;
    store.push(ENDPOINTS, "pool", b"{");
    let since = Instant::now();
    while since.elapsed() < KEPT {
        let answer = ask(router.front, "pool/x", "request").await?;
        assert!(answer.contains(" 200 "), "{answer}");
    }
    wait_for("the endpoint is left", LIMIT, async || {
        let answer = ask(router.front, "pool/x", "request").await;
        Ok(!answer.is_ok_and(|answer| answer.contains(" 200 ")))
    })
    .await?;
    store.put(ENDPOINTS, "pool", &entry("pool", address, 2));
    wait_answered(&router, "pool", "answer").await
}

/// Guards against a router that the others never find again, because its entry was overwritten or deleted.
#[tokio::test]
async fn a_router_lists_itself_again() -> Result<()> {
    let vms = VMS.lock().await;
    let (store, at) = Store::start().await?;
    put_config(&store, &[route("pool", "idempotent")]);
    store.put(ENDPOINTS, "pool", &entry("pool", start("answer").await?, 1));
    let router = start_router(vms[0], at)?;
    wait_answered(&router, "pool", "answer").await?;
    let name = format!("router-{}", vms[0]);
    wait_listed(&store, &name, &router).await?;
    for odd in [&b""[..], b"{", b"\xff", b"null"] {
        store.push(ROUTERS, &name, odd);
        wait_listed(&store, &name, &router).await?;
    }
    let mut moved: Value =
        serde_json::from_slice(&store.value(ROUTERS, &name).unwrap_or_default())?;
    moved["address"] = json!("127.0.0.1:1");
    store.put(ROUTERS, &name, &moved);
    wait_listed(&store, &name, &router).await?;
    router.process.signal("TERM")?;
    wait_for("the router is listed no more", LIMIT, async || {
        Ok(store.value(ROUTERS, &name).is_none())
    })
    .await?;
    Ok(())
}

/// Waits until the list of routers has a router's address.
async fn wait_listed(store: &Store, name: &str, router: &Router) -> Result<()> {
    wait_for("the router is listed", LIMIT, async || {
        let listed = store.value(ROUTERS, name).unwrap_or_default();
        let listed: Value = serde_json::from_slice(&listed)?;
        Ok(listed["address"] == json!(router.front))
    })
    .await?;
    Ok(())
}

/// Returns values of records that no router would write.
fn odd_values() -> Vec<Vec<u8>> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let whole = json!({
        "vm": "other", "address": address, "domain": "domain-0", "state": "live",
        "labels": {"role": "router", "peer": "127.0.0.1:1", "cpu": "4294967295", "link": "4294967295"},
    });
    let mut values = vec![
        b"{".to_vec(),
        b"null".to_vec(),
        b"\0".to_vec(),
        whole.to_string().into_bytes(),
    ];
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        values.push(open.repeat(DEPTH).into_bytes());
        let nested = format!("{}1{}", open.repeat(DEPTH), close.repeat(DEPTH));
        values.push(format!("{{\"address\":{nested}}}").into_bytes());
        values.push(nested.into_bytes());
    }
    for number in [
        "0",
        "-1",
        "70000",
        "1e400",
        "18446744073709551615",
        &"9".repeat(LENGTH),
    ] {
        for field in [
            "slots",
            "sequence",
            "born",
            "coldRemainingMs",
            "address",
            "version",
        ] {
            let entry = entry("other", address, 1).to_string();
            let (before, after) = entry
                .split_once(&format!("\"{field}\":"))
                .unwrap_or((&entry, ""));
            let rest = after.find([',', '}']).map_or("", |end| &after[end..]);
            values.push(format!("{before}\"{field}\":{number}{rest}").into_bytes());
        }
    }
    values.push(
        json!({"state": "x".repeat(LENGTH)})
            .to_string()
            .into_bytes(),
    );
    // Lengths and numbers of the binary records, which take seven bits of each byte.
    let most = [[0xff; 9].as_slice(), &[1]].concat();
    for count in 1..16_u8 {
        values.push(vec![count; usize::from(count)]);
        let count = usize::from(count);
        values.push(most.repeat(count));
        values.push([most.repeat(count), vec![0]].concat());
        values.push([most.repeat(2), vec![1], most.repeat(count)].concat());
    }
    values
}

fn push_odd(store: &Store, names: &[&[u8]]) {
    for topic in TOPICS {
        for value in odd_values() {
            for name in names {
                store.push(topic, name, &value);
            }
        }
    }
    for record in [&[][..], &[255], &[3, b'a']] {
        store.push_record("streams", record);
    }
}

/// Guards against routers that end, no longer follow the store, or fill their memory with log lines, because of odd records.
#[tokio::test]
async fn routers_outlive_odd_records() -> Result<()> {
    let vms = VMS.lock().await;
    let (store, at) = Store::start().await?;
    let names: [&[u8]; 9] = [
        b"",
        b"config",
        b"\xff\xfe",
        &[b'k'; 255],
        b"router-213",
        b"router-109",
        b"router-213\t7\tteam",
        b"evacuate/",
        b"first",
    ];
    push_odd(&store, &names);
    put_config(&store, &[route("pool", "idempotent")]);
    store.put(ENDPOINTS, "first", &entry("pool", start("first").await?, 7));
    let mut routers = Vec::new();
    for vm in *vms {
        routers.push(start_router(vm, at)?);
    }
    for router in &routers {
        wait_answered(router, "pool", "first").await?;
    }
    let mut config: Value =
        serde_json::from_slice(&store.value(OPERATOR, "config").unwrap_or_default())?;
    push_odd(&store, &names);
    config["version"] = json!(2);
    config["routes"][0]["pathPrefix"] = json!("/moved/");
    store.put(OPERATOR, "config", &config);
    for number in 0..MANY {
        store.push(ENDPOINTS, format!("odd-{number}"), b"{");
    }
    store.put(
        ENDPOINTS,
        "second",
        &entry("pool", start("second").await?, 1),
    );
    store.remove(ENDPOINTS, "first");
    for router in &routers {
        wait_answered(router, "moved", "second").await?;
    }
    for (router, vm) in routers.iter_mut().zip(*vms) {
        wait_listed(&store, &format!("router-{vm}"), router).await?;
        assert!(router.process.ended()?.is_none(), "it has ended");
        let unreadable = router.logged()?.matches("=entry-unreadable").count();
        assert!(unreadable <= MAX_LINES, "{unreadable}");
        let longest = router.logged()?.lines().map(str::len).max();
        assert!(
            longest.is_some_and(|longest| longest <= MAX_LINE),
            "{longest:?}"
        );
    }
    Ok(())
}
